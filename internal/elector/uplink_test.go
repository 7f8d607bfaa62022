package elector_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// uplink is what one host can send: rate bytes per second for all of its connections
// together.
type uplink struct {
	rate int
	mu   sync.Mutex
	sent atomic.Int64
}

// uplinkListener accepts connections that share an uplink.
type uplinkListener struct {
	net.Listener
	link *uplink
}

// Accept implements net.Listener.
func (l *uplinkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &uplinkConn{Conn: conn, link: l.link}, nil
}

type uplinkConn struct {
	net.Conn
	link *uplink
}

// Write implements net.Conn.
func (u *uplinkConn) Write(p []byte) (int, error) {
	for n := 0; n < len(p); {
		piece := p[n:min(n+linkPiece/2, len(p))]
		u.link.mu.Lock()
		time.Sleep(time.Duration(len(piece)) * time.Second / time.Duration(u.link.rate))
		u.link.mu.Unlock()
		m, err := u.Conn.Write(piece)
		u.link.sent.Add(int64(m))
		n += m
		if err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// withUplinks runs f on n hosts, each with an uplink and a source of rules of its own. The
// first of the hosts that it gets is active.
func withUplinks(t *testing.T, n, rate int, source func() yuccapaddle.RuleSource, f func(c *qt.C, hosts []*host, links map[*host]*uplink)) {
	t.Helper()
	c, store := qt.New(t), bookkeeper.New()
	var g errgroup.Group
	var hosts []*host
	links := map[*host]*uplink{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		link := &uplink{rate: rate}
		h := newHostOn(t, c, &g, store, i, 0, &uplinkListener{l, link}, source())
		hosts, links[h] = append(hosts, h), link
	}
	defer func() {
		for _, h := range hosts {
			h.stop()
			h.peers.Stop()
		}
		c.Check(g.Wait(), qt.IsNil)
	}()
	waitForFollowers(c, hosts)
	for i, h := range hosts {
		if h == activeHost(hosts) {
			hosts[0], hosts[i] = hosts[i], hosts[0]
		}
	}
	f(c, hosts, links)
}

// TestLargeRulesSharedUplink checks that rules reach many followers that share the link of
// the active host: all of them at once would fill it, and none would get on.
func TestLargeRulesSharedUplink(t *testing.T) {
	const followers, share, size = 6, 30_000, 128 << 10 // bytes per second for each, and bytes
	source := newSizedRules()
	withUplinks(t, followers+1, followers*share, func() yuccapaddle.RuleSource { return source }, func(c *qt.C, hosts []*host, _ map[*host]*uplink) {
		source.change(size)
		c.Assert(hosts[0].rules.Refresh(t.Context()), qt.IsNil)
		waitForVersion(c, hosts, 2)
	})
}

// TestFollowersServeRules checks that followers which have the rules send them to others:
// the active host alone would take far longer than the test does.
func TestFollowersServeRules(t *testing.T) {
	const size = 128 << 10 // bytes
	source := newSizedRules()
	withUplinks(t, 9, 200_000, func() yuccapaddle.RuleSource { return source }, func(c *qt.C, hosts []*host, links map[*host]*uplink) {
		source.change(size)
		c.Assert(hosts[0].rules.Refresh(t.Context()), qt.IsNil)
		waitForVersion(c, hosts, 2)
		served := int64(0)
		for _, h := range hosts[1:] {
			served += links[h].sent.Load()
		}
		c.Check(served >= size, qt.IsTrue, qt.Commentf("followers have sent %d bytes", served))
	})
}

// numberedRules is a RuleSource of one host. Version, revision and digest of its rules may
// differ, and are all that its data holds but for a filling.
type numberedRules struct {
	version, revision, digest, size atomic.Int64
	reads                           atomic.Int64
	unreadable                      atomic.Int64 // digest of rules that cannot be decoded here, 0 for none
}

func newNumberedRules() *numberedRules {
	s := &numberedRules{}
	s.set(1, 1, 1, 32)
	return s
}

func (s *numberedRules) set(version, revision, digest, size int64) {
	s.version.Store(version)
	s.revision.Store(revision)
	s.digest.Store(digest)
	s.size.Store(size)
}

// Read implements yuccapaddle.RuleSource.
func (s *numberedRules) Read(context.Context) ([]byte, error) {
	s.reads.Add(1)
	var data []byte
	for _, n := range []int64{s.version.Load(), s.revision.Load(), s.digest.Load()} {
		data = binary.BigEndian.AppendUint64(data, uint64(n))
	}
	for x := uint64(1); int64(len(data)) < s.size.Load(); x = x*6364136223846793005 + 1442695040888963407 {
		data = append(data, byte(x>>56))
	}
	return data, nil
}

var errUnreadableHere = errors.New("these rules cannot be read here")

// Decode implements yuccapaddle.RuleSource.
func (s *numberedRules) Decode(data []byte) (*yuccapaddle.Rules, error) {
	if len(data) < 24 {
		return nil, errUnreadableHere
	}
	n := func(i int) uint64 { return binary.BigEndian.Uint64(data[8*i:]) }
	if bad := s.unreadable.Load(); bad != 0 && n(2) == uint64(bad) {
		return nil, errUnreadableHere
	}
	return (&yuccapaddle.Rules{Version: int64(n(0)), Revision: n(1), Digest: n(2)}).Index(), nil
}

// withNumberedRules runs f on three hosts on fast links with sources of their own, in the
// order of the hosts.
func withNumberedRules(t *testing.T, f func(c *qt.C, hosts []*host, sources map[*host]*numberedRules, links map[*host]*uplink)) {
	t.Helper()
	var list []*numberedRules
	next := func() yuccapaddle.RuleSource {
		list = append(list, newNumberedRules())
		return list[len(list)-1]
	}
	withUplinks(t, 3, 1<<30, next, func(c *qt.C, hosts []*host, links map[*host]*uplink) {
		sources := map[*host]*numberedRules{}
		for _, h := range hosts {
			sources[h] = list[h.number]
		}
		f(c, hosts, sources, links)
	})
}

// TestUselessRulesFetchedOnce checks that rules which followers cannot put into force are
// not sent to them again and again: they are of a lower version although of a higher
// revision, or the follower cannot decode them.
func TestUselessRulesFetchedOnce(t *testing.T) {
	const size = 1 << 20 // bytes
	for name, rules := range map[string][3]int64{
		"a lower version":   {3, 50, 3},
		"cannot be decoded": {9, 50, 9},
	} {
		withNumberedRules(t, func(c *qt.C, hosts []*host, sources map[*host]*numberedRules, links map[*host]*uplink) {
			followers := hosts[1:]
			for _, h := range followers {
				sources[h].set(5, 20, 5, 32)
				c.Assert(h.rules.Refresh(t.Context()), qt.IsNil)
				sources[h].unreadable.Store(9)
			}
			sources[hosts[0]].set(rules[0], rules[1], rules[2], size)
			c.Assert(hosts[0].rules.Refresh(t.Context()), qt.IsNil)
			time.Sleep(3 * time.Second) // a dozen heartbeats
			c.Check(links[hosts[0]].sent.Load() < 2*size*int64(len(followers)), qt.IsTrue, qt.Commentf("%s: %d bytes sent", name, links[hosts[0]].sent.Load()))
		})
	}
}

// TestSameRulesReadLater checks that rules which were read again later count as later than
// others that were in force between: a host which the ledger refuses gets them.
func TestSameRulesReadLater(t *testing.T) {
	withNumberedRules(t, func(c *qt.C, hosts []*host, sources map[*host]*numberedRules, _ map[*host]*uplink) {
		active, follower := hosts[0], hosts[1]
		sources[follower].set(1, 20, 2, 32) // the active host has missed these
		c.Assert(follower.rules.Refresh(t.Context()), qt.IsNil)
		sources[active].set(1, 30, 1, 32)
		eventually(c, "the follower has the latest rules", func() bool {
			c.Assert(active.rules.Refresh(t.Context()), qt.IsNil)
			return follower.rules.Current().Digest == 1
		})
	})
}

// readAgainFor lets the active host read rules of a version and digest again and again for
// some time, each time at a later revision.
func readAgainFor(c *qt.C, active *host, source *numberedRules, version, digest, size int64) {
	for revision := int64(50); revision < 80; revision++ { // 3 s, a dozen heartbeats
		source.set(version, revision, digest, size)
		c.Assert(active.rules.Refresh(context.Background()), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestRulesReadAgainNotFetched checks that rules are not sent again and again while the active
// host only reads the same ones at later revisions of the store: not to followers that have
// them, nor to those that cannot put them into force.
func TestRulesReadAgainNotFetched(t *testing.T) {
	const size = 1 << 20 // bytes
	for name, rules := range map[string][2]int64{
		"the followers take them": {5, 6},
		"a lower version":         {3, 3},
		"cannot be decoded":       {9, 9},
	} {
		withNumberedRules(t, func(c *qt.C, hosts []*host, sources map[*host]*numberedRules, links map[*host]*uplink) {
			followers := hosts[1:]
			for _, h := range followers {
				sources[h].set(5, 20, 5, 32)
				c.Assert(h.rules.Refresh(t.Context()), qt.IsNil)
				sources[h].unreadable.Store(9)
			}
			readAgainFor(c, hosts[0], sources[hosts[0]], rules[0], rules[1], size)
			sent := links[hosts[0]].sent.Load()
			c.Check(sent < 2*size*int64(len(followers)), qt.IsTrue, qt.Commentf("%s: %d bytes sent", name, sent))
			for _, h := range followers {
				revision, digest := h.rules.LatestRead()
				c.Check(digest == 6 && revision > 50, qt.Equals, rules[1] == 6, qt.Commentf("%s: digest %d, read at %d", name, digest, revision))
			}
		})
	}
}

// TestOtherRulesNotConfirmed checks that heartbeats about rules that a follower does not have
// do not confirm those that it has.
func TestOtherRulesNotConfirmed(t *testing.T) {
	withNumberedRules(t, func(c *qt.C, hosts []*host, sources map[*host]*numberedRules, _ map[*host]*uplink) {
		other, same := hosts[1], hosts[2]
		sources[other].set(2, 20, 2, 32)
		c.Assert(other.rules.Refresh(t.Context()), qt.IsNil)
		confirmed, before := other.rules.ConfirmedAt(), same.rules.ConfirmedAt()
		eventually(c, "the rules of the follower with the same ones are confirmed", func() bool {
			c.Assert(hosts[0].rules.Refresh(t.Context()), qt.IsNil)
			return same.rules.ConfirmedAt().Sub(before) > 500*time.Millisecond
		})
		c.Check(other.rules.ConfirmedAt().Equal(confirmed), qt.IsTrue)
	})
}
