package elector

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulefetcher"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/rulesender"
	"yuccapaddle/internal/supervisor"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

// Now implements yuccapaddle.Clock.
func (m *manualClock) Now() time.Time { return m.now }

// lettersRules is a RuleSource whose rules have the length of their data as version.
type lettersRules struct{ data string }

// Read implements yuccapaddle.RuleSource.
func (l *lettersRules) Read(context.Context) ([]byte, error) { return []byte(l.data), nil }

// Decode implements yuccapaddle.RuleSource.
func (*lettersRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	n := uint64(len(data))
	return (&yuccapaddle.Rules{Version: int64(n), Revision: n, Digest: n}).Index(), nil
}

// senderClient is a client of a host that sends its rules without a network. during is
// called while it does.
type senderClient struct {
	peer.JobsClient
	sender *rulesender.RuleSender
	during func()
}

// Rules implements peer.JobsClient.
func (s *senderClient) Rules(_ context.Context, req *peer.RulesRequest, _ ...grpc.CallOption) (*peer.RulesPart, error) {
	s.during()
	return s.sender.Part(req)
}

// TestReadsBesideFetch checks when a follower reads the rules from the ledger as well while
// it fetches them: only once they have not been confirmed for too long. Rules that it has
// fetched are confirmed by the heartbeat that told of them before it may read again.
func TestReadsBesideFetch(t *testing.T) {
	const applyWithinMS = 1000
	c, clock := qt.New(t), &manualClock{now: time.Now()}
	ours, theirs := &lettersRules{"a"}, &lettersRules{"bb"}
	own := rulekeeper.New(ours, applyWithinMS, clock, zap.NewNop())
	c.Assert(own.Refresh(t.Context()), qt.IsNil)
	other := rulekeeper.New(theirs, applyWithinMS, clock, zap.NewNop())
	c.Assert(other.Refresh(t.Context()), qt.IsNil)
	e := &Elector{rules: own, fetcher: rulefetcher.New(own, "self:1"), conns: connector.New(), clock: clock, log: zap.NewNop()}
	client := &senderClient{sender: rulesender.New(other, clock), during: func() {
		clock.now = clock.now.Add(400 * time.Millisecond)
		c.Check(own.Stale(), qt.IsTrue)
		c.Check(e.MustReadRules(), qt.IsFalse, qt.Commentf("the rules are arriving"))
		clock.now = clock.now.Add(200 * time.Millisecond)
		c.Check(e.MustReadRules(), qt.IsTrue, qt.Commentf("they take too long"))
	}}
	g, ctx := supervisor.New(t.Context(), zap.NewNop())
	follower := &ruleFollower{e: e, client: client, leader: "other:1", group: g}
	sentAt := clock.now.Add(550 * time.Millisecond)
	follower.observe(ctx, &peer.Beat{RulesRevision: 2, RulesDigest: 2, Fresh: true}, sentAt)
	c.Assert(g.Wait(), qt.IsNil)
	c.Check(own.Current().Version, qt.Equals, int64(2))
	c.Check(own.ConfirmedAt().Equal(sentAt), qt.IsTrue)
	c.Check(e.MustReadRules(), qt.IsFalse)
}

// inactiveHost is a host that knows of no active one and has rules.
type inactiveHost struct {
	peer.UnimplementedJobsServer
	rules  *rulekeeper.RuleKeeper
	sender *rulesender.RuleSender
}

// Who implements peer.JobsServer.
func (i *inactiveHost) Who(context.Context, *peer.WhoRequest) (*peer.WhoReply, error) {
	_, revision, digest := i.rules.Data()
	return &peer.WhoReply{RulesRevision: revision, RulesDigest: digest}, nil
}

// Rules implements peer.JobsServer.
func (i *inactiveHost) Rules(_ context.Context, req *peer.RulesRequest) (*peer.RulesPart, error) {
	return i.sender.Part(req)
}

// TestRulesWithoutActiveHost checks that a host which the ledger refuses gets later rules
// from another one while no host is active.
func TestRulesWithoutActiveHost(t *testing.T) {
	c, clock := qt.New(t), yuccapaddle.SystemClock{}
	own := rulekeeper.New(&lettersRules{"a"}, 1000, clock, zap.NewNop())
	c.Assert(own.Refresh(t.Context()), qt.IsNil)
	other := rulekeeper.New(&lettersRules{"bb"}, 1000, clock, zap.NewNop())
	c.Assert(other.Refresh(t.Context()), qt.IsNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	peer.RegisterJobsServer(server, &inactiveHost{rules: other, sender: rulesender.New(other, clock)})
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	defer func() {
		server.Stop()
		c.Check(g.Wait(), qt.IsNil)
	}()
	e := &Elector{
		rules: own, fetcher: rulefetcher.New(own, "self:1"), conns: connector.New(), hosts: newHostTable("self:1", clock), clock: clock, log: zap.NewNop(),
	}
	defer e.conns.Close()
	e.hosts.note(l.Addr().String(), true)
	for n := 0; n < 100 && own.Current().Version != 2; n++ { // a slow machine may need several attempts
		c.Assert(e.askOthers(t.Context()), qt.Equals, "")
	}
	c.Check(own.Current().Version, qt.Equals, int64(2))
}
