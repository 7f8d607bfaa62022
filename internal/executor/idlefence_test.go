package executor_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestLateStartOnRestartedIdleWorker guards against a second run of a task that is done: its
// worker restarts under its ID while it runs nothing, which its registration tells, and a late
// copy of the start is carried out seconds after that, since the worker is not asked and so has
// not been told to refuse orders from before.
func TestLateStartOnRestartedIdleWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		l := &lateStarter{rig: r}
		r.runner = l
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		time.Sleep(time.Second)
		r.workers["w0"].Restart()
		time.Sleep(2 * lateOrder)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}

// TestLateStartOnRestartedIdleWorkerAtTakeOver guards against the same where another host takes
// over before or after the restart: it has not asked the idle worker either.
func TestLateStartOnRestartedIdleWorkerAtTakeOver(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(map[bool]string{true: "before the restart", false: "after the restart"}[before], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				l := &lateStarter{rig: r}
				r.runner = l
				r.takeOver()
				defer func() { r.close() }()
				time.Sleep(20 * time.Second)
				r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
				if before {
					r.takeOver()
				}
				time.Sleep(time.Second)
				r.workers["w0"].Restart()
				if !before {
					r.takeOver()
				}
				time.Sleep(2 * lateOrder)
				r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
			})
		})
	}
}

// TestTwoRunsAfterRestartOfIdleWorker guards against two runs of a task at once: a start without
// an answer is stopped; its worker, which runs nothing, restarts under its ID, the task is placed
// elsewhere, and the worker carries out the late start.
func TestTwoRunsAfterRestartOfIdleWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		l := &lateStarter{rig: r}
		r.runner = l
		r.taskTime.Store(int64(20 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(100 * time.Millisecond)
		first := r.workers[l.worker.Load().(string)]
		first.Drain() // known before the repeat of the start, which is not sent
		time.Sleep(4 * time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 0) // not on the other worker yet
		first.Restart()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
	})
}

// TestLateStartOnRestartedWorkerInUse guards against a second run of a task that is done: its
// worker has restarted under its ID while it ran nothing, which no registration tells yet, and
// the first hold of a new run is answered only when that run ends.
func TestLateStartOnRestartedWorkerInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		l := &lateStarter{rig: r}
		r.runner = l
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		late := time.Now().Add(lateOrder)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		former := r.workers["w0"].Worker()
		r.odd.Store(change("w0", func(w *yuccapaddle.Worker) { *w = former }))
		time.Sleep(time.Until(late) - time.Second)
		r.workers["w0"].Restart()
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("long", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(2 * time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}
