package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/laborer"
)

// TestNoStartAfterLapse: a start without an answer is to be sent again while a
// commit hangs; before it is, the worker's leases run out. The old start must not
// go out beside that of the next run.
func TestNoStartAfterLapse(t *testing.T) {
	play(t, 2, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(laborer.FaultCut)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 300})
		r.store.SetFault(bookkeeper.FaultSilent)
		r.group.Go(func() error {
			_ = r.exec.Submit(r.t.Context(), &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: one}}})
			return nil // nobody asks what becomes of it
		})
		time.Sleep(8 * time.Second)
		for _, w := range r.workers {
			w.SetFault(laborer.FaultNone)
		}
		time.Sleep(time.Second)
		r.store.SetFault(bookkeeper.FaultNone)
		r.settles("a", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}

// TestUnconfirmed: a host that may have been replaced without knowing it renews no
// leases, so that the host after it can count on their end.
func TestUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.took.Store(int64(30 * time.Second))
		var replaced atomic.Bool
		r.confirmed = func() bool { return !replaced.Load() }
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 30000})
		time.Sleep(10 * time.Second)
		r.c.Check(r.running("a"), qt.Equals, 1)
		replaced.Store(true)
		time.Sleep(holdMax * time.Millisecond * 100 / 98)
		r.c.Check(r.running("a"), qt.Equals, 0)
	})
}

// TestRival: a host that has taken over while the former one may still renew the
// leases of a worker out of reach places its tasks anew only when these have ended.
func TestRival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.took.Store(int64(30 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 30000})
		time.Sleep(time.Second)
		first := r.holder("a")
		r.rival = time.Now().Add(3 * time.Second)
		r.takeOver()
		r.workers[first].SetFault(laborer.FaultCut)
		task := yuccapaddle.TaskID{Job: "a"}
		time.Sleep(8 * time.Second)
		r.c.Check(r.starts.Of(task), qt.HasLen, 1)
		time.Sleep(4 * time.Second)
		r.c.Check(r.starts.Of(task), qt.HasLen, 2)
	})
}

// leases checks every order against the worker's clock at the time it is sent.
type leases struct {
	*rig
	most atomic.Int64 // of the time from then to an order's deadline, in milliseconds
}

func (l *leases) note(s *yuccapaddle.Worker, deadline int64) {
	ahead := deadline - l.workers[s.ID].Worker().Clock
	for most := l.most.Load(); ahead > most && !l.most.CompareAndSwap(most, ahead); {
		most = l.most.Load()
	}
}

// Start implements yuccapaddle.Runner.
func (l *leases) Start(ctx context.Context, s *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	l.note(s, o.Deadline)
	return l.rig.Start(ctx, s, o)
}

// Hold implements yuccapaddle.Runner.
func (l *leases) Hold(ctx context.Context, s *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	l.note(s, o.Deadline)
	return l.rig.Hold(ctx, s, o)
}

// TestDeadline: no order asks for a lease that ends later, by the worker's clock,
// than the longest lease from the moment it is sent. An order that is carried out
// late would else bring a lease of which this host does not know.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.took.Store(int64(20 * time.Second))
		watch := &leases{rig: r}
		r.runner = watch
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 20000})
		r.settles("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
		r.c.Check(watch.most.Load() <= holdMax, qt.IsTrue, qt.Commentf("a lease of up to %d ms was asked for", watch.most.Load()))
	})
}

// TestGivenUp: a caller that gives up gets nothing of what the loop finds later.
// The race detector fails it if both share what is found.
func TestGivenUp(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one})
		ctx, cancel := context.WithCancel(r.t.Context())
		cancel()
		for range 200 {
			if view, err := r.exec.View(ctx, "a"); err != nil {
				r.c.Check(view, qt.IsNil)
			}
			if st, err := r.exec.Status(ctx); err != nil {
				r.c.Check(st, qt.IsNil)
			}
			if found, err := r.exec.Cancel(ctx, "none", ""); err != nil {
				r.c.Check(found, qt.IsFalse)
			}
		}
	})
}
