package executor_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yuccapaddle"
)

// addressed is a Runner that delivers orders by address, as the platform's network does. The
// process there refuses an order that names another worker.
type addressed struct {
	*gaugedRunner
	lateStarts atomic.Int64 // delay of starts in nanoseconds, which are left unanswered; 0 for none
	started    atomic.Value // ID of the worker of the latest start
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
