package rulefetcher_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulefetcher"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/rulesender"
)

// textRules is a RuleSource of one version; its data is any text.
type textRules struct{ text string }

// Read implements yuccapaddle.RuleSource.
func (t *textRules) Read(context.Context) ([]byte, error) { return []byte(t.text), nil }

// Decode implements yuccapaddle.RuleSource.
func (*textRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	n := uint64(len(data))
	return (&yuccapaddle.Rules{Version: int64(n), Revision: n, Digest: n}).Index(), nil
}

func newKeeper(c *qt.C, text string) *rulekeeper.RuleKeeper {
	r := rulekeeper.New(&textRules{text}, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
	if text != "" {
		c.Assert(r.Refresh(context.Background()), qt.IsNil)
	}
	return r
}

var errCut = errors.New("the connection is cut")

// directClient is a client that gets the parts of a sender without a network. change, if
// set, changes or drops each of them; a stream is cut after maxParts parts, if that is set.
type directClient struct {
	peer.JobsClient
	sender   *rulesender.RuleSender
	change   func(*peer.RulesPart) bool
	maxParts int
	requests []*peer.RulesRequest
}

// Rules implements peer.JobsClient.
func (d *directClient) Rules(_ context.Context, req *peer.RulesRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[peer.RulesPart], error) {
	d.requests = append(d.requests, req)
	s := &partList{}
	s.err = d.sender.Send(req, s)
	if s.err == nil {
		s.err = io.EOF
	}
	if d.maxParts > 0 && len(s.parts) > d.maxParts {
		s.parts, s.err = s.parts[:d.maxParts], errCut
	}
	if d.change != nil {
		kept := s.parts[:0]
		for _, p := range s.parts {
			if d.change(p) {
				kept = append(kept, p)
			}
		}
		s.parts = kept
	}
	return s, nil
}

// partList is both ends of a stream.
type partList struct {
	grpc.ServerStream
	grpc.ClientStream
	parts []*peer.RulesPart
	err   error // after the last part
}

// Send implements grpc.ServerStreamingServer.
func (s *partList) Send(p *peer.RulesPart) error {
	s.parts = append(s.parts, p)
	return nil
}

// Recv implements grpc.ServerStreamingClient.
func (s *partList) Recv() (*peer.RulesPart, error) {
	if len(s.parts) == 0 {
		return nil, s.err
	}
	p := s.parts[0]
	s.parts = s.parts[1:]
	return p, nil
}

// Context implements grpc.ServerStream and grpc.ClientStream.
func (*partList) Context() context.Context { return context.Background() }

// RecvMsg implements grpc.ServerStream and grpc.ClientStream.
func (*partList) RecvMsg(any) error { return io.EOF }

// SendMsg implements grpc.ServerStream and grpc.ClientStream.
func (*partList) SendMsg(any) error { return nil }

// longText returns a text of several parts even when it is compressed.
func longText(n int) string {
	var b strings.Builder
	for x := uint64(1); b.Len() < n; {
		x = x*6364136223846793005 + 1442695040888963407
		b.WriteByte(byte(x >> 56))
	}
	return b.String()
}

// TestResume checks that a transfer goes on where it was cut, and that it begins anew if the
// host has other rules by then.
func TestResume(t *testing.T) {
	c, text := qt.New(t), longText(200_000)
	client := &directClient{sender: rulesender.New(newKeeper(c, text)), maxParts: 3}
	own := newKeeper(c, "")
	f := rulefetcher.New(own, yuccapaddle.SystemClock{})
	c.Assert(f.Fetch(t.Context(), client), qt.ErrorIs, errCut)
	c.Assert(f.Fetch(t.Context(), client), qt.ErrorIs, errCut)
	c.Check(client.requests[1].GetOffset(), qt.Equals, int64(3*32<<10))
	client.sender, client.maxParts = rulesender.New(newKeeper(c, text+"more")), 0
	c.Assert(f.Fetch(t.Context(), client), qt.IsNil)
	c.Check(client.requests[2].GetOffset(), qt.Equals, int64(6*32<<10))
	data, _, _ := own.Data()
	c.Check(string(data) == text+"more", qt.IsTrue)
	c.Check(f.Progressing(), qt.IsFalse)
}

// TestBadParts checks that parts which do not belong together, are damaged or announce too
// much are refused, put nothing into force, and do not keep a later transfer from its end.
func TestBadParts(t *testing.T) {
	c, text := qt.New(t), longText(200_000)
	for name, change := range map[string]func(*peer.RulesPart) bool{
		"a part is missing":      func(p *peer.RulesPart) bool { return p.GetOffset() != 32<<10 },
		"another version":        func(p *peer.RulesPart) bool { p.Digest += uint64(p.GetOffset()); return true },
		"another size":           func(p *peer.RulesPart) bool { p.Size += p.GetOffset(); return true },
		"empty parts":            func(p *peer.RulesPart) bool { p.Data = nil; return true },
		"too large":              func(p *peer.RulesPart) bool { p.Size = 1 << 40; return true },
		"negative size":          func(p *peer.RulesPart) bool { p.Size = -1; return true },
		"longer than its size":   func(p *peer.RulesPart) bool { p.Size = 40 << 10; return true },
		"damaged":                func(p *peer.RulesPart) bool { p.Data = append([]byte{}, p.Data...); p.Data[100] ^= 255; return true },
		"no part at all":         func(*peer.RulesPart) bool { return false },
		"it starts in the midst": func(p *peer.RulesPart) bool { return p.GetOffset() > 0 },
	} {
		client := &directClient{sender: rulesender.New(newKeeper(c, text)), change: change}
		own := newKeeper(c, "")
		f := rulefetcher.New(own, yuccapaddle.SystemClock{})
		c.Check(f.Fetch(t.Context(), client), qt.IsNotNil, qt.Commentf(name))
		c.Check(own.Current(), qt.IsNil, qt.Commentf(name))
		client.change = nil
		c.Check(f.Fetch(t.Context(), client), qt.IsNil, qt.Commentf(name))
		c.Check(own.Current().Version, qt.Equals, int64(len(text)), qt.Commentf(name))
	}
}

// TestNoRulesYet checks the error for a host that has no rules.
func TestNoRulesYet(t *testing.T) {
	c := qt.New(t)
	client := &directClient{sender: rulesender.New(newKeeper(c, ""))}
	f := rulefetcher.New(newKeeper(c, ""), yuccapaddle.SystemClock{})
	c.Check(f.Fetch(t.Context(), client), qt.ErrorMatches, ".*this host has no rules yet")
}
