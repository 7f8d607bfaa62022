package executor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

// TestRestartAfterEnds checks that the ends of a worker that has restarted are not
// acknowledged with the numbers of ends from before: the worker would forget ends that it
// has not listed, and the tasks would run again.
func TestRestartAfterEnds(t *testing.T) {
	for name, silence := range map[string]time.Duration{"commit done": 0, "commit hangs": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withRig(t, 1, func(r *rig) {
				worker := r.workers["w0"]
				r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 2000})
				time.Sleep(1900 * time.Millisecond)
				if silence > 0 {
					r.ledger.SetFault(bookkeeper.FaultTimeout)
				}
				time.Sleep(300 * time.Millisecond) // the ends are listed
				worker.Restart()
				time.Sleep(silence)
				r.ledger.SetFault(bookkeeper.FaultNone)
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, time.Second)
				time.Sleep(3 * time.Second) // the registrations and a hold tell of the restart
				r.submit("b", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
				time.Sleep(1500 * time.Millisecond)
				worker.SetFault(taskrunner.FaultUnreachable) // no hold in progress lists the end
				time.Sleep(1200 * time.Millisecond)
				worker.SetFault(taskrunner.FaultNone)
				r.waitForState("b", "batch", yuccapaddle.JobCompleted, 6*time.Second)
				r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "b"}), qt.HasLen, 1)
			})
		})
	}
}
