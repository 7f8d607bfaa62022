package executor_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestLateStartOnRestartedBusyWorker guards against a second run of a task that is done: its
// worker has restarted under its ID, the host knows, but tells the worker to refuse orders from
// before only once a hold of before has ended.
func TestLateStartOnRestartedBusyWorker(t *testing.T) {
	const knownBefore = 1200 * time.Millisecond // registrations are read each 700 ms
	for offset := time.Duration(0); offset < 2*time.Second; offset += 200 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
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
				r.taskTime.Store(int64(60 * time.Second))
				time.Sleep(time.Second + offset)
				r.submit("long", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 60000})
				time.Sleep(time.Until(late) - knownBefore)
				r.workers["w0"].Restart()
				time.Sleep(2 * knownBefore)
				r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
			})
		})
	}
}
