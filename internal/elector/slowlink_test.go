package elector_test

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/standin/bookkeeper"
)

const (
	// linkRate is what a slow link carries, in bytes per second, and linkPiece how much it
	// takes at once. The large rules take it far longer than a heartbeat may.
	linkRate  = 400_000
	linkPiece = 4096
	// largeRules is the size of large rules in bytes. They do not compress.
	largeRules = 1 << 20
	// linkBudget is what a connection carries before it breaks, on a link that breaks.
	linkBudget = 300_000
)

// slowListener accepts connections that carry linkRate bytes per second from here.
type slowListener struct {
	net.Listener
	breaks bool // each connection breaks after linkBudget bytes
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, breaks: l.breaks}, nil
}

type slowConn struct {
	net.Conn
	breaks bool
	sent   atomic.Int64
}

var errLinkBroken = errors.New("the link is broken")

// Write implements net.Conn.
func (s *slowConn) Write(p []byte) (int, error) {
	for n := 0; n < len(p); {
		piece := p[n:min(n+linkPiece, len(p))]
		time.Sleep(time.Duration(len(piece)) * time.Second / linkRate)
		m, err := s.Conn.Write(piece)
		n += m
		if err != nil {
			return n, err
		}
		if s.breaks && s.sent.Add(int64(m)) > linkBudget {
			_ = s.Close()
			return n, errLinkBroken
		}
	}
	return len(p), nil
}

// sizedRules is a RuleSource of which each version is as large as size says. The data
// begins with the version.
type sizedRules struct {
	version, size atomic.Int64
}

func newSizedRules() *sizedRules {
	s := &sizedRules{}
	s.change(8)
	return s
}

// change starts the next version, of a size in bytes.
func (s *sizedRules) change(size int64) {
	s.size.Store(size)
	s.version.Add(1)
}

// Read implements yuccapaddle.RuleSource.
func (s *sizedRules) Read(context.Context) ([]byte, error) {
	data, random := make([]byte, 0, s.size.Load()), rand.New(rand.NewPCG(1, uint64(s.version.Load())))
	data = binary.BigEndian.AppendUint64(data, uint64(s.version.Load()))
	for int64(len(data)) < s.size.Load() {
		data = binary.BigEndian.AppendUint64(data, random.Uint64())
	}
	return data, nil
}

// Decode implements yuccapaddle.RuleSource.
func (*sizedRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	if len(data) < 8 {
		return nil, errors.New("the rules have no version")
	}
	v := binary.BigEndian.Uint64(data)
	return (&yuccapaddle.Rules{Version: int64(v), Revision: v, Digest: v}).Index(), nil
}

// withSlowHosts runs f on three hosts whose links are slow, and break if breaks is set. One
// of them is active. Only the active host learns of new rules from the source.
func withSlowHosts(t *testing.T, breaks bool, f func(c *qt.C, hosts []*host, source *sizedRules)) {
	t.Helper()
	c, store, source := qt.New(t), bookkeeper.New(), newSizedRules()
	var g errgroup.Group
	var hosts []*host
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		hosts = append(hosts, newHostOn(t, c, &g, store, i, 0, &slowListener{l, breaks}, source))
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
			h.peers.Stop()
		}
		c.Check(g.Wait(), qt.IsNil)
	}()
	waitForFollowers(c, hosts)
	f(c, hosts, source)
}

// waitForVersion waits until all hosts have a version of the rules, or a later one, and
// follow the active host.
func waitForVersion(c *qt.C, hosts []*host, version int64) {
	eventually(c, "all hosts have the rules", func() bool {
		for _, h := range hosts {
			if h.rules.Current().Version < version {
				return false
			}
		}
		return true
	})
	waitForFollowers(c, hosts)
}

// TestLargeRulesSlowLink checks that hosts with slow links get rules that take longer to
// arrive than a heartbeat may, and go on following the active host.
func TestLargeRulesSlowLink(t *testing.T) {
	withSlowHosts(t, false, func(c *qt.C, hosts []*host, source *sizedRules) {
		source.change(largeRules)
		c.Assert(activeHost(hosts).rules.Refresh(t.Context()), qt.IsNil)
		waitForVersion(c, hosts, 2)
	})
}

// TestRulesChangeWhileSent checks that rules which change more often than they can be sent
// reach hosts with slow links all the same: the transfer of a version is not given up
// because there is a later one.
func TestRulesChangeWhileSent(t *testing.T) {
	withSlowHosts(t, false, func(c *qt.C, hosts []*host, source *sizedRules) {
		active := activeHost(hosts)
		first := source.version.Load()
		eventually(c, "all hosts have later rules", func() bool {
			source.change(largeRules)
			c.Assert(active.rules.Refresh(t.Context()), qt.IsNil)
			time.Sleep(200 * time.Millisecond)
			for _, h := range hosts {
				if h.rules.Current().Version == first {
					return false
				}
			}
			return true
		})
	})
}

// TestLargeRulesBrokenLink checks that rules arrive over connections that break before all
// of them have been sent.
func TestLargeRulesBrokenLink(t *testing.T) {
	withSlowHosts(t, true, func(c *qt.C, hosts []*host, source *sizedRules) {
		source.change(largeRules)
		c.Assert(activeHost(hosts).rules.Refresh(t.Context()), qt.IsNil)
		waitForVersion(c, hosts, 2)
	})
}

// TestLargeRulesFromPeer checks that a host which gets no answers from the ledger, and
// knows of no active host, finds it through another host that has large rules.
func TestLargeRulesFromPeer(t *testing.T) {
	withSlowHosts(t, false, func(c *qt.C, hosts []*host, source *sizedRules) {
		source.change(largeRules)
		for _, h := range hosts[1:] {
			c.Assert(h.rules.Refresh(t.Context()), qt.IsNil)
		}
		hosts[0].ledger.refusing.Store(true)
		eventually(c, "the refused host follows another one", func() bool {
			address, ok := hosts[0].Leader()
			return ok && address != hosts[0].address
		})
		waitForVersion(c, hosts, 2)
	})
}

// TestFollowerOfEarlierVersion checks that a follower which does not fetch rules gets them
// with the heartbeats and with the answer to Who, and one that fetches them does not.
func TestFollowerOfEarlierVersion(t *testing.T) {
	withHosts(t, 0, func(c *qt.C, hosts []*host) {
		conns := connector.New()
		defer conns.Close()
		client, err := conns.Client(activeHost(hosts).address)
		c.Assert(err, qt.IsNil)
		for _, fetches := range []bool{false, true} {
			stream, err := client.Follow(t.Context(), &peer.FollowRequest{Host: "h9", Address: "h9:1", FetchesRules: fetches})
			c.Assert(err, qt.IsNil)
			beat, err := stream.Recv()
			c.Assert(err, qt.IsNil)
			c.Check(string(beat.GetRules()) == "r", qt.Equals, !fetches)
			c.Check(beat.GetRulesDigest() == 1, qt.Equals, fetches)
			reply, err := client.Who(t.Context(), &peer.WhoRequest{WithoutRules: fetches})
			c.Assert(err, qt.IsNil)
			c.Check(string(reply.GetRules()) == "r", qt.Equals, !fetches)
			c.Check(reply.GetRulesDigest(), qt.Equals, uint64(1))
		}
	})
}
