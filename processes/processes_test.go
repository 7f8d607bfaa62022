// Package processes runs the real programs as separate processes on loopback,
// and kills, freezes and stops them. It waits for states, never for times.
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
	hostCount = 3
	patience  = 90 * time.Second // the end of waiting for a state that never comes
	poll      = 20 * time.Millisecond
	callTime  = 60 * time.Second
)

func gang(id string, repeatable bool) responder.Submission {
	return responder.Submission{ID: id, Tasks: 8, Accelerators: 4, Span: "domain", Repeatable: repeatable}
}

func TestKilledHost(t *testing.T) {
	b := newBed(t)
	active := b.active()
	waiting := others(active)
	outcomes := make([]yuccapaddle.Outcome, 2)
	var g errgroup.Group
	for i, h := range waiting {
		g.Go(func() error {
			o, err := b.submit(h, gang(fmt.Sprintf("g%d", i), false), 4000, "30s")
			outcomes[i] = o
			return err
		})
	}
	b.until("a gang runs", func() bool { return len(b.runs("g0"))+len(b.runs("g1")) > 0 })
	b.signal(active, syscall.SIGKILL)
	qt.Assert(t, g.Wait(), qt.IsNil)
	for i := range outcomes {
		id := fmt.Sprintf("g%d", i)
		o := b.settled(id, waiting...)
		qt.Assert(t, o.Verdict, qt.Equals, yuccapaddle.VerdictDone, qt.Commentf("%+v", o))
		qt.Assert(t, len(o.Parts), qt.Equals, 8)
		qt.Assert(t, len(b.runs(id)), qt.Equals, 8, qt.Commentf("every task ran once"))
	}
	next := b.active(active)
	b.until("bytes between regions are counted", func() bool {
		text, err := b.metrics(next)
		return err == nil && strings.Contains(text, "yuccapaddle_region_bytes")
	})
}

func TestFrozenHost(t *testing.T) {
	b := newBed(t)
	active := b.active()
	rest := others(active)
	_, err := b.submit(rest[0], gang("frozen", false), 8000, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.until("the gang runs", func() bool { return len(b.runs("frozen")) == 8 })
	b.signal(active, syscall.SIGSTOP)
	next := b.active(active)
	qt.Assert(t, b.change(next, applier.Change{ID: "out", Action: applier.ActionDomainOut, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.change(next, applier.Change{ID: "out2", Action: applier.ActionDomainOut, Target: "d2", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	accepted := time.Now()
	_, err = b.submit(next, gang("late", true), 100, "0s")
	qt.Assert(t, err, qt.IsNil)
	b.signal(active, syscall.SIGCONT)
	b.until("the woken host has stepped down", func() bool {
		st, ok := b.state(active)
		return ok && !st.Active && st.Revision == 3
	})
	for _, r := range append(b.runs("frozen"), b.runs("late")...) {
		qt.Assert(t, r.StartAt.After(accepted.Add(3*time.Second)), qt.IsFalse, qt.Commentf("%+v", r))
	}
	qt.Assert(t, len(b.runs("late")), qt.Equals, 0)
	qt.Assert(t, b.change(active, applier.Change{ID: "back", Action: applier.ActionDomainBack, Target: "d1", Reason: "test"}).Status, qt.Equals, applier.Accepted)
	qt.Assert(t, b.settled("late", 0, 1, 2).Verdict, qt.Equals, yuccapaddle.VerdictDone)
	b.settled("frozen", 0, 1, 2)
	qt.Assert(t, b.freshStarts("frozen"), qt.Equals, 8, qt.Commentf("not repeatable: started once"))
}

func TestRollingStop(t *testing.T) {
	b := newBed(t)
	stop := make(chan struct{})
	var g errgroup.Group
	answered := make([]atomic.Int64, hostCount)
	var cut atomic.Pointer[error]
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
					err = fmt.Errorf("request %s was cut: %w", id, err)
					cut.Store(&err)
					return err
				}
				if o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictDone {
					return fmt.Errorf("request %s: %+v", id, o)
				}
				answered[h].Add(1)
			}
		})
	}
	b.until("requests are answered", func() bool { return answered[0].Load() > 3 && answered[1].Load() > 3 && answered[2].Load() > 3 })
	for h := range hostCount {
		cmd := b.processes[b.hosts[h].Name]
		b.signal(h, syscall.SIGTERM)
		qt.Assert(t, cmd.Wait(), qt.IsNil, qt.Commentf("a planned stop ends well"))
		b.startHost(h)
		before := answered[h].Load()
		b.until("the host serves again", func() bool { return cut.Load() != nil || answered[h].Load() > before+3 })
	}
	close(stop)
	qt.Assert(t, g.Wait(), qt.IsNil)
}

// submitReady plays the balancer: it sends to a host that says it is ready, the
// named one if possible. A connection that was never made is tried elsewhere.
func (b *bed) submitReady(first int, id string) (yuccapaddle.Outcome, error) {
	deadline := time.Now().Add(patience)
	for n := 0; ; n++ {
		h := (first + n) % hostCount
		if time.Now().After(deadline) {
			return yuccapaddle.Outcome{}, fmt.Errorf("no host is ready")
		}
		url := "http://" + b.hosts[h].Listen.Metrics + "/readyz"
		if err := b.calls.Call(b.t.Context(), fasthttp.MethodGet, url, nil, nil, time.Second); err != nil {
			time.Sleep(poll)
			continue
		}
		s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker"}
		return b.submit(h, s, 50, "20s")
	}
}
