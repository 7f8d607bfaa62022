package rulefetcher_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

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
// set, changes each of them; calls fail after maxParts, if that is set.
type directClient struct {
	peer.JobsClient
	sender   *rulesender.RuleSender
	change   func(*peer.RulesPart)
	maxParts int
	requests []*peer.RulesRequest
}

// Rules implements peer.JobsClient.
func (d *directClient) Rules(_ context.Context, req *peer.RulesRequest, _ ...grpc.CallOption) (*peer.RulesPart, error) {
	d.requests = append(d.requests, req)
	if d.maxParts > 0 && len(d.requests) > d.maxParts {
		return nil, errCut
	}
	part, err := d.sender.Part(req)
	if err == nil && d.change != nil {
		d.change(part)
	}
	return part, err
}

// longText returns a text of several parts even when it is compressed.
func longText(n int) string {
	var b strings.Builder
	for x := uint64(1); b.Len() < n; {
		x = x*6364136223846793005 + 1442695040888963407
		b.WriteByte(byte(x >> 56))
	}
	return b.String()
}

func newSender(c *qt.C, text string) *rulesender.RuleSender {
	return rulesender.New(newKeeper(c, text), yuccapaddle.SystemClock{})
}

const partBytes = 16 << 10

// TestResume checks that a transfer goes on where it was cut, and that it begins anew if the
// host has other rules by then.
func TestResume(t *testing.T) {
	c, text := qt.New(t), longText(200_000)
	client := &directClient{sender: newSender(c, text), maxParts: 3}
	own := newKeeper(c, "")
	f := rulefetcher.New(own, "self:1")
	c.Assert(f.Fetch(t.Context(), client), qt.ErrorIs, errCut)
	client.maxParts = 5
	c.Assert(f.Fetch(t.Context(), client), qt.ErrorIs, errCut)
	c.Check(client.requests[4].GetOffset(), qt.Equals, int64(3*partBytes))
	client.sender, client.maxParts = newSender(c, text+"more"), 0
	c.Assert(f.Fetch(t.Context(), client), qt.IsNil)
	c.Check(client.requests[6].GetOffset(), qt.Equals, int64(4*partBytes))
	c.Check(client.requests[7].GetOffset(), qt.Equals, int64(partBytes), qt.Commentf("the first part of the other rules has come"))
	data, _, _ := own.Data()
	c.Check(string(data) == text+"more", qt.IsTrue)
}

// TestBadParts checks that parts which do not belong together, are damaged or announce too
// much are refused, put nothing into force, and do not keep a later transfer from its end.
func TestBadParts(t *testing.T) {
	c, text := qt.New(t), longText(200_000)
	for name, change := range map[string]func(*peer.RulesPart){
		"another offset":       func(p *peer.RulesPart) { p.Offset += p.GetOffset() },
		"another version":      func(p *peer.RulesPart) { p.Digest += uint64(p.GetOffset()) },
		"another size":         func(p *peer.RulesPart) { p.Size += p.GetOffset() },
		"no data":              func(p *peer.RulesPart) { p.Data = nil },
		"too large":            func(p *peer.RulesPart) { p.Size = 1 << 40 },
		"negative size":        func(p *peer.RulesPart) { p.Size = -1 },
		"longer than its size": func(p *peer.RulesPart) { p.Size = partBytes + 1 },
		"damaged":              func(p *peer.RulesPart) { p.Data = append([]byte{}, p.Data...); p.Data[100] ^= 255 },
		"empty":                func(p *peer.RulesPart) { p.Reset() },
		"not the first":        func(p *peer.RulesPart) { p.Offset += partBytes },
	} {
		client := &directClient{sender: newSender(c, text), change: change}
		own := newKeeper(c, "")
		f := rulefetcher.New(own, "self:1")
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
	f := rulefetcher.New(newKeeper(c, ""), "self:1")
	c.Check(f.Fetch(t.Context(), &directClient{sender: newSender(c, "")}), qt.ErrorMatches, ".*this host has no rules yet")
}

// TestTurns checks that few hosts are sent rules at the same time, that the others learn who
// has them, and that a host which does not go on loses its turn.
func TestTurns(t *testing.T) {
	c, clock := qt.New(t), &manualClock{time.Now()}
	sender := rulesender.New(newKeeper(c, longText(200_000)), clock)
	for _, address := range []string{"a:1", "b:1", "c:1"} {
		part, err := sender.Part(&peer.RulesRequest{Address: address})
		c.Assert(err, qt.IsNil)
		c.Check(part.GetBusy(), qt.IsFalse)
	}
	waiting := rulefetcher.New(newKeeper(c, ""), "d:1")
	sources, busy := rulefetcher.Busy(waiting.Fetch(t.Context(), &directClient{sender: sender}))
	c.Check(busy, qt.IsTrue)
	c.Check(sources, qt.HasLen, 0)
	c.Assert(rulefetcher.New(newKeeper(c, ""), "a:1").Fetch(t.Context(), &directClient{sender: sender}), qt.IsNil)
	part, err := sender.Part(&peer.RulesRequest{Address: "e:1"})
	c.Assert(err, qt.IsNil)
	c.Check(part.GetBusy(), qt.IsFalse, qt.Commentf("the turn of a is over"))
	sources, busy = rulefetcher.Busy(waiting.Fetch(t.Context(), &directClient{sender: sender}))
	c.Check(busy, qt.IsTrue)
	c.Check(sources, qt.DeepEquals, []string{"a:1"})
	clock.now = clock.now.Add(2 * time.Second)
	c.Check(waiting.Fetch(t.Context(), &directClient{sender: sender}), qt.IsNil)
}

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

// Now implements yuccapaddle.Clock.
func (m *manualClock) Now() time.Time { return m.now }
