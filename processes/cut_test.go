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

// relay passes connections on to an address until it is cut.
type relay struct {
	listener net.Listener
	target   string
	group    errgroup.Group
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

func newRelay(t testing.TB, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := &relay{listener: l, target: target}
	r.group.Go(r.accept)
	t.Cleanup(func() {
		_ = l.Close()
		r.setCut(true)
		_ = r.group.Wait()
	})
	return r
}

func (r *relay) accept() error {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil || !r.keep(from, to) {
			_ = from.Close()
			continue
		}
		r.group.Go(func() error { return pass(to, from) })
		r.group.Go(func() error { return pass(from, to) })
	}
}

// keep notes an open pair, unless the relay is cut.
func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	r.conns = append(r.conns, conns...)
	return true
}

func pass(to, from net.Conn) error {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	return nil
}

// setCut ends all connections and lets no new one through, or heals the relay.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

// TestCutHost: the active host is cut off from the platform's service, as when
// regions lose each other, but not from the upstreams and the other hosts. What
// runs goes on, another host takes over, an exit ordered meanwhile holds, and
// the host comes back without having done harm.
func TestCutHost(t *testing.T) {
	relays := map[string]*relay{}
	b := startBed(t, hostCount, (*bed).smallSite, func(b *bed) {
		for i := range b.hosts {
			r := newRelay(t, b.platform)
			relays[b.hosts[i].Name] = r
			b.hosts[i].Platform.Store = r.listener.Addr().String()
		}
	})
	active := b.active()
	rest := others(active)
	_, err := b.submit(rest[0], gang("once", false), 9000, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.until("the gang runs", func() bool { return len(b.runs("once")) == 8 })
	relays[b.hosts[active].Name].setCut(true)
	next := b.active(active)
	qt.Assert(t, b.change(next, applier.Change{ID: "out1", Action: applier.ActionDomainOut, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.change(next, applier.Change{ID: "out2", Action: applier.ActionDomainOut, Target: "d2", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	accepted := time.Now()
	o, err := b.submit(active, gang("late", true), 100, "1s")
	qt.Assert(t, err == nil && o.Verdict == yuccapaddle.VerdictDone, qt.IsFalse, qt.Commentf("%+v", o))
	relays[b.hosts[active].Name].setCut(false)
	b.until("the host has caught up", func() bool {
		st, ok := b.state(active)
		return ok && !st.Active && st.Revision == 3
	})
	for _, r := range append(b.runs("once"), b.runs("late")...) {
		qt.Assert(t, r.StartAt.After(accepted.Add(3*time.Second)), qt.IsFalse, qt.Commentf("%+v", r))
	}
	for _, d := range []string{"d1", "d2"} {
		c := applier.Change{ID: "back-" + d, Action: applier.ActionDomainBack, Target: d, Reason: "test"}
		qt.Assert(t, b.change(active, c).Status, qt.Equals, applier.Accepted)
	}
	b.settled("once", 0, 1, 2)
	qt.Assert(t, b.freshStarts("once"), qt.Equals, 8, qt.Commentf("not repeatable: started once"))
}
