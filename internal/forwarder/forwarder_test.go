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

// mixer is an active host whose first answer is that of another request.
type mixer struct {
	peer.PeerClient
	answers int
}

func (m *mixer) answer(id string) (*peer.OutcomeReply, error) {
	m.answers++
	if m.answers == 1 {
		id = "other"
	}
	return converter.Reply(yuccapaddle.Outcome{ID: id, Workspace: "w", Verdict: yuccapaddle.VerdictDone}), nil
}

func (m *mixer) Submit(context.Context, *peer.SubmitRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return m.answer("mine")
}

func (m *mixer) Await(context.Context, *peer.KeyRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return m.answer("mine")
}

func (m *mixer) Cancel(context.Context, *peer.KeyRequest, ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return m.answer("mine")
}

func newForwarder(m *mixer) *Forwarder {
	holder := func() (string, string, bool) { return "active", "there", true }
	none := func() Local { return nil }
	return New("self", holder, none, rate.NewLimiter(100, 100), WithDial(func(string) (peer.PeerClient, error) { return m, nil }))
}

// TestOtherAnswer: an answer about another request is asked for again, and never
// given out.
func TestOtherAnswer(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	r := &yuccapaddle.Request{ID: "mine", Workspace: "w"}
	for name, ask := range map[string]func(f *Forwarder) (yuccapaddle.Outcome, error){
		"submit": func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Submit(t.Context(), r, deadline), nil },
		"await":  func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Await(t.Context(), r.Key(), deadline) },
		"cancel": func(f *Forwarder) (yuccapaddle.Outcome, error) { return f.Cancel(t.Context(), r.Key(), deadline) },
	} {
		m := &mixer{}
		o, err := ask(newForwarder(m))
		qt.Check(t, err, qt.IsNil, qt.Commentf(name))
		qt.Check(t, o.ID, qt.Equals, "mine", qt.Commentf(name))
		qt.Check(t, m.answers, qt.Equals, 2, qt.Commentf(name))
	}
}
