package forwarder

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/peer"
)

// wrongAnswerPeer is an active host whose first answer is about another request.
type wrongAnswerPeer struct {
	peer.PeerClient
	calls int
}

func (p *wrongAnswerPeer) answer(id string) (*peer.OutcomeReply, error) {
	p.calls++
	if p.calls == 1 {
		id = "other"
	}
	return converter.OutcomeMessage(yuccapaddle.Outcome{ID: id, Workspace: "w", Verdict: yuccapaddle.VerdictDone}), nil
}

func (p *wrongAnswerPeer) Submit(context.Context, *peer.SubmitRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return p.answer("mine")
}

func (p *wrongAnswerPeer) Await(context.Context, *peer.KeyRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return p.answer("mine")
}

func (p *wrongAnswerPeer) Cancel(context.Context, *peer.KeyRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return p.answer("mine")
}

func newForwarder(p *wrongAnswerPeer) *Forwarder {
	activeHost := func() (string, string, bool) { return "active", "there", true }
	noEngine := func() Engine { return nil }
	return New("self", activeHost, noEngine, rate.NewLimiter(100, 100), WithDial(func(string) (peer.PeerClient, error) { return p, nil }))
}

// TestAnswerForOtherRequest checks that an answer about another request is not
// returned, and that the call is repeated.
func TestAnswerForOtherRequest(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	r := &yuccapaddle.Request{ID: "mine", Workspace: "w"}
	for name, ask := range map[string]func(f *Forwarder) (yuccapaddle.Outcome, error){
		"submit": func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Submit(t.Context(), r, deadline), nil },
		"await":  func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Await(t.Context(), r.Key(), deadline) },
		"cancel": func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Cancel(t.Context(), r.Key(), deadline) },
	} {
		p := &wrongAnswerPeer{}
		o, err := ask(newForwarder(p))
		qt.Check(t, err, qt.IsNil, qt.Commentf(name))
		qt.Check(t, o.ID, qt.Equals, "mine", qt.Commentf(name))
		qt.Check(t, p.calls, qt.Equals, 2, qt.Commentf(name))
	}
}
