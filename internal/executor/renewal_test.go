package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

// clockAhead registers a clock that is ahead of the worker's by ms.
func clockAhead(id string, ms int64) *oddEntries {
	return change(id, func(w *yuccapaddle.Worker) { w.Clock += ms })
}

// TestLateRenewalAfterTakeOver guards against a renewal after a takeover that is carried out
// late and keeps a run that has been placed again: its deadline was computed from a clock
// that another writer had registered.
func TestLateRenewalAfterTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		r.taskTime.Store(int64(60 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 60000})
		r.follow()
		time.Sleep(oldRun)
		first := r.firstTaskWorker("a")
		r.odd.Store(clockAhead(first, 60_000))
		r.workers[first].SetFault(taskrunner.FaultDelayed)
		r.takeOver()
		time.Sleep(time.Second)
		r.workers[first].SetFault(taskrunner.FaultUnreachable)
		for range 600 {
			time.Sleep(20 * time.Millisecond)
			r.checkNoDuplicateRuns()
		}
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 2)
	})
}

// TestRenewalDeadlineAfterTakeOver guards against a deadline that never passes in the first
// renewals after a takeover.
func TestRenewalDeadlineAfterTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.taskTime.Store(int64(20 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(time.Second)
		deadlines := &deadlineRecorder{rig: r}
		r.runner = deadlines
		r.odd.Store(clockAhead("w0", 60_000))
		r.takeOver()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 20*time.Second)
		r.c.Check(deadlines.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", deadlines.maxAhead.Load()))
	})
}

// TestDeadlineOfCreepingClock guards against a lease beyond the end that the host has computed,
// since a registered clock is somewhat ahead of the worker's, more so each time it is read.
func TestDeadlineOfCreepingClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.taskTime.Store(int64(20 * time.Second))
		deadlines := &deadlineRecorder{rig: r}
		r.runner = deadlines
		var ahead atomic.Int64
		odd := oddEntries(func(list []yuccapaddle.Worker) []yuccapaddle.Worker {
			list[0].Clock += ahead.Add(500)
			return list
		})
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(time.Second)
		r.odd.Store(&odd)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 20*time.Second)
		r.c.Check(deadlines.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", deadlines.maxAhead.Load()))
	})
}

// firstClockUnknown is a Runner whose workers do not tell their clock in their first answer.
// Calls take a millisecond, so that a call that is repeated without end takes time.
type firstClockUnknown struct {
	deadlineRecorder
	answered atomic.Bool
}

// Start implements yuccapaddle.Runner.
func (f *firstClockUnknown) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	time.Sleep(callTime)
	return f.deadlineRecorder.Start(ctx, w, o)
}

// Hold implements yuccapaddle.Runner.
func (f *firstClockUnknown) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	time.Sleep(callTime)
	reply, err := f.deadlineRecorder.Hold(ctx, w, o)
	if !f.answered.Swap(true) {
		reply.Clock = 0
	}
	return reply, err
}

// TestFirstClockUnknown guards against a registered clock that counts as the word of the
// worker for good since its first answer did not tell the clock: no start is in time.
func TestFirstClockUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		f := &firstClockUnknown{deadlineRecorder: deadlineRecorder{rig: r}}
		r.runner = f
		r.odd.Store(change("w0", func(w *yuccapaddle.Worker) { w.Clock = 1<<53 - 1 }))
		r.takeOver()
		defer r.close()
		r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 2000})
		time.Sleep(3 * time.Second)
		r.odd.Store(nil)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(f.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", f.maxAhead.Load()))
	})
}

// overtakenReplies is a Runner of which a reply can be kept back.
type overtakenReplies struct {
	deadlineRecorder
	keepHold, keepStart, keepStop atomic.Int64 // time by which the next reply is late, in nanoseconds
}

// Start implements yuccapaddle.Runner.
func (o *overtakenReplies) Start(ctx context.Context, w *yuccapaddle.Worker, order yuccapaddle.StartOrder) (int64, error) {
	clock, err := o.deadlineRecorder.Start(ctx, w, order)
	time.Sleep(time.Duration(o.keepStart.Swap(0)))
	return clock, err
}

// Stop implements yuccapaddle.Runner.
func (o *overtakenReplies) Stop(ctx context.Context, w *yuccapaddle.Worker, order yuccapaddle.StopOrder) (int64, error) {
	clock, err := o.deadlineRecorder.Stop(ctx, w, order)
	time.Sleep(time.Duration(o.keepStop.Swap(0)))
	return clock, err
}

// Hold implements yuccapaddle.Runner.
func (o *overtakenReplies) Hold(ctx context.Context, w *yuccapaddle.Worker, order yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	reply, err := o.deadlineRecorder.Hold(ctx, w, order)
	time.Sleep(time.Duration(o.keepHold.Swap(0)))
	return reply, err
}

// TestReplyOfFormerLife guards against deadlines that never pass, since a reply from before the
// restart of a worker arrives after newer ones and tells the clock of before.
func TestReplyOfFormerLife(t *testing.T) {
	const late = int64(400 * time.Millisecond)
	for name, keep := range map[string]func(o *overtakenReplies){
		"hold":  func(o *overtakenReplies) { o.keepHold.Store(late) },
		"start": func(o *overtakenReplies) { o.keepStart.Store(late) },
		"stop":  func(o *overtakenReplies) { o.keepStop.Store(late) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				r.leaveWithinMS = 500 // the registrations are read often, so the restart is known soon
				r.taskTime.Store(int64(20 * time.Second))
				o := &overtakenReplies{deadlineRecorder: deadlineRecorder{rig: r}}
				r.runner = o
				r.takeOver()
				defer r.close()
				r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
				time.Sleep(60 * time.Second) // the clock is far ahead of that after a restart
				r.submit("b", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
				time.Sleep(time.Second)
				keep(o)
				r.submit("c", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
				_, err := r.exec.Cancel(r.t.Context(), "b", yuccapaddle.Caller{Queue: "batch"})
				r.c.Assert(err, qt.IsNil)
				time.Sleep(80 * time.Millisecond) // the hold in progress returns for the end of the cancelled task
				r.workers["w0"].Restart()
				time.Sleep(200 * time.Millisecond)
				o.maxAhead.Store(0) // the host knows of the restart
				r.waitForState("c", "batch", yuccapaddle.JobCompleted, 40*time.Second)
				r.c.Check(o.maxAhead.Load() <= maxLeaseMS, qt.IsTrue, qt.Commentf("an order asked for a lease of %d ms", o.maxAhead.Load()))
			})
		})
	}
}

// TestStartAfterLongIdleTime guards against a run whose lease is over at once, since its
// worker's clock was last told so long ago that its lower bound is far behind.
func TestStartAfterLongIdleTime(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		time.Sleep(292 * time.Second)
		for _, id := range []string{"b", "c", "d"} {
			time.Sleep(2 * time.Second)
			r.submit(id, "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
			time.Sleep(100 * time.Millisecond)
			r.waitForState(id, "batch", yuccapaddle.JobCompleted, 5*time.Second)
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: id}), qt.HasLen, 1)
		}
	})
}
