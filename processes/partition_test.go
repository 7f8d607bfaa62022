package processes

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
)

// proxy forwards TCP connections to an address unless it is blocked.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group
	mu       sync.Mutex
	blocked  bool
	conns    []net.Conn
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &proxy{listener: l, target: target}
	p.group.Go(p.serve)
	t.Cleanup(func() {
		_ = l.Close()
		p.setBlocked(true)
		_ = p.group.Wait()
	})
	return p
}

func (p *proxy) serve() error {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(from, to) {
			_ = from.Close()
			continue
		}
		p.group.Go(func() error { return forward(to, from) })
		p.group.Go(func() error { return forward(from, to) })
	}
}

// track records a pair of open connections, or closes it and returns false if
// the proxy is blocked.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	p.conns = append(p.conns, conns...)
	return true
}

func forward(to, from net.Conn) error {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	return nil
}

// setBlocked closes all connections, and rejects new ones until the proxy is
// unblocked.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// TestPartitionedHost cuts the active host off from the platform's store, as in a
// network partition between regions, but not from the upstreams and the other
// hosts. Running tasks continue, another host becomes active, no task starts in
// failure domains that are taken out meanwhile, and the old host catches up
// without a second start of a non-repeatable task.
func TestPartitionedHost(t *testing.T) {
	proxies := map[string]*proxy{}
	b := startTestbed(t, hostCount, (*testbed).smallSite, func(b *testbed) {
		for i := range b.hosts {
			p := newProxy(t, b.platformAddr)
			proxies[b.hosts[i].Name] = p
			b.hosts[i].Platform.Store = p.listener.Addr().String()
		}
	})
	active := b.awaitActive()
	rest := otherHosts(active)
	_, err := b.submit(rest[0], newGang("once", false), 9000, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.waitFor("the gang runs", func() bool { return len(b.runs("once")) == 8 })
	proxies[b.hosts[active].Name].setBlocked(true)
	next := b.awaitActive(active)
	qt.Assert(t, b.change(next, applier.Change{ID: "out1", Action: applier.ActionDomainOut, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.change(next, applier.Change{ID: "out2", Action: applier.ActionDomainOut, Target: "d2", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	accepted := time.Now()
	o, err := b.submit(active, newGang("late", true), 100, "1s")
	qt.Assert(t, err == nil && o.Verdict == yuccapaddle.VerdictDone, qt.IsFalse, qt.Commentf("%+v", o))
	proxies[b.hosts[active].Name].setBlocked(false)
	b.waitFor("the host has caught up", func() bool {
		st, ok := b.hostStatus(active)
		return ok && !st.Active && st.Revision == 3
	})
	for _, r := range append(b.runs("once"), b.runs("late")...) {
		qt.Assert(t, r.StartAt.After(accepted.Add(3*time.Second)), qt.IsFalse, qt.Commentf("%+v", r))
	}
	for _, d := range []string{"d1", "d2"} {
		c := applier.Change{ID: "back-" + d, Action: applier.ActionDomainBack, Target: d, Reason: "test"}
		qt.Assert(t, b.change(active, c).Status, qt.Equals, applier.Accepted)
	}
	b.awaitOutcome("once", 0, 1, 2)
	qt.Assert(t, b.freshStarts("once"), qt.Equals, 8, qt.Commentf("a non-repeatable task must start only once"))
}
