// Package processes runs the programs as separate processes on loopback, and
// kills, suspends and stops them. Its tests wait for states rather than for
// fixed times.
package processes

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/responder"
)

const (
	hostCount    = 3
	waitTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond
	callTimeout  = 60 * time.Second
)

func newGang(id string, repeatable bool) responder.Submission {
	return responder.Submission{ID: id, Tasks: 8, Accelerators: 4, Span: "domain", Repeatable: repeatable}
}

// TestKilledHost kills the active host while callers wait at the others: both
// requests complete and every task runs once.
func TestKilledHost(t *testing.T) {
	b := newTestbed(t)
	active := b.awaitActive()
	rest := otherHosts(active)
	outcomes := make([]yuccapaddle.Outcome, 2)
	var g errgroup.Group
	for i, h := range rest {
		g.Go(func() error {
			o, err := b.submit(h, newGang(fmt.Sprintf("g%d", i), false), 4000, "30s")
			outcomes[i] = o
			return err
		})
	}
	b.waitFor("a gang runs", func() bool { return len(b.runs("g0"))+len(b.runs("g1")) > 0 })
	b.signal(active, syscall.SIGKILL)
	qt.Assert(t, g.Wait(), qt.IsNil)
	for i := range outcomes {
		id := fmt.Sprintf("g%d", i)
		o := b.awaitOutcome(id, rest...)
		qt.Assert(t, o.Verdict, qt.Equals, yuccapaddle.VerdictDone, qt.Commentf("%+v", o))
		qt.Assert(t, len(o.Parts), qt.Equals, 8)
		qt.Assert(t, len(b.runs(id)), qt.Equals, 8, qt.Commentf("every task ran once"))
	}
	next := b.awaitActive(active)
	b.waitFor("bytes between regions are counted", func() bool {
		text, err := b.metrics(next)
		return err == nil && strings.Contains(text, "yuccapaddle_region_bytes")
	})
}

// TestFrozenHost suspends the active host beyond its lease while another takes
// over and all failure domains are taken out. The resumed host must step down
// without starting anything.
func TestFrozenHost(t *testing.T) {
	b := newTestbed(t)
	active := b.awaitActive()
	rest := otherHosts(active)
	_, err := b.submit(rest[0], newGang("frozen", false), 8000, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.waitFor("the gang runs", func() bool { return len(b.runs("frozen")) == 8 })
	b.signal(active, syscall.SIGSTOP)
	next := b.awaitActive(active)
	qt.Assert(t, b.change(next, applier.Change{ID: "out", Action: applier.ActionDomainOut, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.change(next, applier.Change{ID: "out2", Action: applier.ActionDomainOut, Target: "d2", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	accepted := time.Now()
	_, err = b.submit(next, newGang("late", true), 100, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.signal(active, syscall.SIGCONT)
	b.waitFor("the resumed host has stepped down", func() bool {
		st, ok := b.hostStatus(active)
		return ok && !st.Active && st.Revision == 3
	})
	for _, r := range append(b.runs("frozen"), b.runs("late")...) {
		qt.Assert(t, r.StartAt.After(accepted.Add(3*time.Second)), qt.IsFalse, qt.Commentf("%+v", r))
	}
	qt.Assert(t, len(b.runs("late")), qt.Equals, 0)
	qt.Assert(t, b.change(active, applier.Change{ID: "back", Action: applier.ActionDomainBack, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.awaitOutcome("late", 0, 1, 2).Verdict, qt.Equals, yuccapaddle.VerdictDone)
	b.awaitOutcome("frozen", 0, 1, 2)
	qt.Assert(t, b.freshStarts("frozen"), qt.Equals, 8, qt.Commentf("a non-repeatable task must start only once"))
}

// TestRollingStop stops and restarts each host in turn under load: no request
// may fail.
func TestRollingStop(t *testing.T) {
	b := newTestbed(t)
	stop := make(chan struct{})
	var g errgroup.Group
	answered := make([]atomic.Int64, hostCount)
	var failure atomic.Pointer[error]
	for h := range hostCount {
		g.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return nil
				default:
				}
				id := fmt.Sprintf("r%d-%d", h, n)
				o, err := b.submitReady(h, id)
				if err != nil {
					err = fmt.Errorf("request %s failed: %w", id, err)
					failure.Store(&err)
					return err
				}
				if o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictDone {
					return fmt.Errorf("request %s: %+v", id, o)
				}
				answered[h].Add(1)
			}
		})
	}
	b.waitFor("requests are answered", func() bool { return answered[0].Load() > 3 && answered[1].Load() > 3 && answered[2].Load() > 3 })
	for h := range hostCount {
		cmd := b.processes[b.hosts[h].Name]
		b.signal(h, syscall.SIGTERM)
		qt.Assert(t, cmd.Wait(), qt.IsNil, qt.Commentf("a planned stop must exit with status 0"))
		b.startHost(h)
		before := answered[h].Load()
		b.waitFor("the host serves again", func() bool { return failure.Load() != nil || answered[h].Load() > before+3 })
	}
	close(stop)
	qt.Assert(t, g.Wait(), qt.IsNil)
}

// submitReady submits a request as a load balancer would: to the first host that
// reports itself ready, beginning with firstHost.
func (b *testbed) submitReady(firstHost int, id string) (yuccapaddle.Outcome, error) {
	deadline := time.Now().Add(waitTimeout)
	for n := 0; ; n++ {
		h := (firstHost + n) % hostCount
		if time.Now().After(deadline) {
			return yuccapaddle.Outcome{}, fmt.Errorf("no host is ready")
		}
		url := "http://" + b.hosts[h].Listen.Metrics + "/readyz"
		if err := b.client.Call(b.t.Context(), fasthttp.MethodGet, url, nil, nil, time.Second); err != nil {
			time.Sleep(pollInterval)
			continue
		}
		s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker"}
		return b.submit(h, s, 50, "20s")
	}
}
