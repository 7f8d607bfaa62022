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
	"yuccapaddle/internal/standin/taskrunner"
)

// TestNoStartAfterLapse checks that a start is not sent again after the worker's leases
// have ended. The retry of an unanswered start waits for a commit that hangs, and the
// leases end meanwhile; it must not be sent in addition to the start of the next run.
func TestNoStartAfterLapse(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultUnreachable)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 300})
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		r.group.Go(func() error {
			_ = r.exec.Submit(r.t.Context(), &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: oneGPU}}})
			return nil // the outcome does not matter
		})
		time.Sleep(8 * time.Second)
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultNone)
		}
		time.Sleep(time.Second)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}

// TestUnconfirmedRenewsNothing checks that a host that may have been replaced without
// knowing it renews no leases, since its successor relies on their end.
func TestUnconfirmedRenewsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.taskTime.Store(int64(30 * time.Second))
		var replaced atomic.Bool
		r.confirmed = func() bool { return !replaced.Load() }
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 30000})
		time.Sleep(10 * time.Second)
		r.c.Check(r.running("a"), qt.Equals, 1)
		replaced.Store(true)
		time.Sleep(maxLeaseMS * time.Millisecond * 100 / 98)
		r.c.Check(r.running("a"), qt.Equals, 0)
	})
}

// TestFormerHostMayRenew checks that the tasks of an unreachable worker are placed again
// only once all leases have ended that the former active host may have renewed after the
// takeover.
func TestFormerHostMayRenew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.taskTime.Store(int64(60 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 60000})
		r.follow()
		time.Sleep(oldRun)
		first := r.firstTaskWorker("a")
		r.predecessorRenewsUntil = time.Now().Add(3 * time.Second)
		r.takeOver()
		r.workers[first].SetFault(taskrunner.FaultUnreachable)
		task := yuccapaddle.TaskID{Job: "a"}
		time.Sleep(8 * time.Second)
		r.c.Check(r.startLog.Workers(task), qt.HasLen, 1)
		time.Sleep(4 * time.Second)
		r.c.Check(r.startLog.Workers(task), qt.HasLen, 2)
	})
}

// deadlineRecorder is a Runner that compares the deadline of each order with the worker's
// clock when the order is sent.
type deadlineRecorder struct {
	*rig
	maxAhead atomic.Int64 // longest time from sending to the deadline, in milliseconds
}

func (d *deadlineRecorder) record(w *yuccapaddle.Worker, deadline int64) {
	ahead := deadline - d.workers[w.ID].Worker().Clock
	for old := d.maxAhead.Load(); ahead > old && !d.maxAhead.CompareAndSwap(old, ahead); {
		old = d.maxAhead.Load()
	}
}

// Start implements yuccapaddle.Runner.
func (d *deadlineRecorder) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	d.record(w, o.Deadline)
	return d.rig.Start(ctx, w, o)
}

// Hold implements yuccapaddle.Runner.
func (d *deadlineRecorder) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	d.record(w, o.Deadline)
	return d.rig.Hold(ctx, w, o)
}

// TestLeaseDeadline checks that no order asks for a lease that ends, by the worker's clock,
// later than the longest lease after the order was sent. Otherwise an order that is
// executed late could grant a lease beyond the end that the host has computed.
func TestLeaseDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.taskTime.Store(int64(20 * time.Second))
		deadlines := &deadlineRecorder{rig: r}
		r.runner = deadlines
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
		r.c.Check(deadlines.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", deadlines.maxAhead.Load()))
	})
}

// TestLeaseDeadlineSlowRegistry checks the same for a worker that registers while a slow
// read of the registrations is under way, so that its clock is newer than the call.
func TestLeaseDeadlineSlowRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.taskTime.Store(int64(20 * time.Second))
		r.registryDelay = 500 * time.Millisecond
		deadlines := &deadlineRecorder{rig: r}
		r.runner = deadlines
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(3 * time.Second)
		r.c.Check(r.state("a", "batch"), qt.Equals, yuccapaddle.JobRunning)
		r.c.Check(deadlines.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", deadlines.maxAhead.Load()))
	})
}

// TestCallerGivesUp checks that a caller whose context has ended gets no result that the
// loop writes later. The race detector fails the test if both share a variable.
func TestCallerGivesUp(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU})
		ctx, cancel := context.WithCancel(r.t.Context())
		cancel()
		for range 200 {
			if view, err := r.exec.View(ctx, "a"); err != nil {
				r.c.Check(view, qt.IsNil)
			}
			if st, err := r.exec.Status(ctx); err != nil {
				r.c.Check(st, qt.IsNil)
			}
			if found, err := r.exec.Cancel(ctx, "none", yuccapaddle.Caller{}); err != nil {
				r.c.Check(found, qt.IsFalse)
			}
		}
	})
}
