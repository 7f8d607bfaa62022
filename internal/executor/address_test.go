package executor_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// addressed is a Runner that delivers orders by address, as the platform's network does. The
// process there refuses an order that names another worker.
type addressed struct {
	*gaugedRunner
	lateStarts atomic.Int64 // delay of starts in nanoseconds, which are left unanswered; 0 for none
	started    atomic.Value // ID of the worker of the latest start
	refused    atomic.Int64 // starts that did not reach the worker that they name
}

// reach returns nil if the worker that is meant is the one at its registered address.
func (a *addressed) reach(w *yuccapaddle.Worker) error {
	for id, worker := range a.workers {
		if worker.Worker().Address != w.Address {
			continue
		}
		if id == w.ID {
			return nil
		}
		return &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedReplaced}
	}
	return yuccapaddle.ErrNoAnswer
}

// Start implements yuccapaddle.Runner.
func (a *addressed) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if err := a.reach(w); err != nil {
		a.refused.Add(1)
		return 0, err
	}
	a.started.Store(w.ID)
	delay := time.Duration(a.lateStarts.Load())
	if delay == 0 {
		return a.gaugedRunner.Start(ctx, w, o)
	}
	to := *w
	time.AfterFunc(delay, func() { _, _ = a.gaugedRunner.Start(context.Background(), &to, o) }) // the reply is lost
	<-ctx.Done()
	return 0, yuccapaddle.ErrNoAnswer
}

// Stop implements yuccapaddle.Runner.
func (a *addressed) Stop(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StopOrder) (int64, error) {
	if err := a.reach(w); err != nil {
		return 0, err
	}
	return a.rig.Stop(ctx, w, o)
}

// Hold implements yuccapaddle.Runner.
func (a *addressed) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	if err := a.reach(w); err != nil {
		return yuccapaddle.HoldReply{}, err
	}
	return a.rig.Hold(ctx, w, o)
}

// withAddressedRig runs f with a rig whose workers get their orders by address and have
// answered once, and checks that no start brings a worker over its capacity.
func withAddressedRig(t *testing.T, workers int, f func(r *rig, a *addressed)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, workers)
		a := &addressed{gaugedRunner: &gaugedRunner{rig: r}}
		r.runner = a
		r.takeOver()
		defer func() { r.close() }()
		r.submit("first", "batch", yuccapaddle.Step{Count: 8 * workers, Need: oneGPU, Estimate: 2000})
		r.waitForState("first", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		f(r, a)
		a.check()
	})
}

// atAddressOfAnother returns odd entries that name another worker's address under the ID of a
// worker.
func atAddressOfAnother(id string) *oddEntries {
	odd := oddEntries(func(list []yuccapaddle.Worker) []yuccapaddle.Worker {
		other := slices.IndexFunc(list, func(w yuccapaddle.Worker) bool { return w.ID != id })
		for i := range list {
			if list[i].ID == id {
				list[i].Address = list[other].Address
			}
		}
		return list
	})
	return &odd
}

// TestStartRefusedAtOtherAddress guards against two runs of a task at once, and a worker that is
// given more than it holds: the worker leaves the start unanswered and carries it out, at once
// or late, and the repeat meets another process, since another writer has registered another
// address under the worker's ID.
func TestStartRefusedAtOtherAddress(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": time.Millisecond, "late": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withAddressedRig(t, 2, func(r *rig, a *addressed) {
				r.taskTime.Store(int64(12 * time.Second))
				a.lateStarts.Store(int64(delay))
				r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 12000})
				time.Sleep(50 * time.Millisecond)
				r.odd.Store(atAddressOfAnother(a.started.Load().(string)))
				time.Sleep(1500 * time.Millisecond)
				a.lateStarts.Store(0)
				r.odd.Store(nil)
				r.submit("b", "batch", yuccapaddle.Step{Count: 16, Need: oneGPU, Estimate: 12000})
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 60*time.Second)
				r.waitForState("b", "batch", yuccapaddle.JobCompleted, 60*time.Second)
			})
		})
	}
}

// TestSecondEntryOfProcess guards against a worker whose room counts twice, since another
// writer has registered a second ID with the worker's address and start time, or with its
// address alone: the process there is asked by ID, so the second one never proves itself.
func TestSecondEntryOfProcess(t *testing.T) {
	for name, later := range map[string]int64{"same start": 0, "later start": 5000} {
		t.Run(name, func(t *testing.T) {
			withAddressedRig(t, 1, func(r *rig, a *addressed) {
				odd := oddEntries(func(list []yuccapaddle.Worker) []yuccapaddle.Worker {
					second := list[0]
					second.ID, second.Incarnation = "second", second.Incarnation+later
					return append(list, second)
				})
				r.odd.Store(&odd)
				time.Sleep(2 * time.Second)
				r.submit("a", "batch", yuccapaddle.Step{Count: 16, Need: oneGPU, Estimate: 2000})
				r.submit("gang", "batch", yuccapaddle.Step{Count: 8, Need: oneGPU, Gang: true, Estimate: 2000})
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
				r.waitForState("gang", "batch", yuccapaddle.JobCompleted, 30*time.Second)
				report, _, err := r.exec.Show(r.t.Context(), "gang", yuccapaddle.Caller{Queue: "batch"}, time.Time{})
				r.c.Assert(err, qt.IsNil)
				r.c.Check(report.Runs, qt.Equals, 1)
				r.c.Check(a.refused.Load(), qt.Equals, int64(0), qt.Commentf("starts to the second entry"))
			})
		})
	}
}

// TestAddressOfAnother guards against runs whose leases lapse, since another writer has
// registered another address under the ID of their worker: renewals go to a process that
// refuses them.
func TestAddressOfAnother(t *testing.T) {
	withAddressedRig(t, 2, func(r *rig, a *addressed) {
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(time.Second)
		r.odd.Store(atAddressOfAnother(a.started.Load().(string)))
		time.Sleep(10 * time.Second)
		r.odd.Store(nil)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 40*time.Second)
		report, _, err := r.exec.Show(r.t.Context(), "a", yuccapaddle.Caller{Queue: "batch"}, time.Time{})
		r.c.Assert(err, qt.IsNil)
		r.c.Check(report.Runs, qt.Equals, 1)
	})
}
