package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

// TestExplainRefused checks that the log of a refused job names the ledger as the cause.
func TestExplainRefused(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		time.Sleep(3 * time.Second) // job a ends, and the commit of that hangs
		ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
		defer cancel()
		j := &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: oneGPU}}}
		r.c.Assert(r.exec.Submit(ctx, j), qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		r.c.Check(r.explainedCause("b"), qt.Equals, "cause: not accepted, and not run: the ledger does not answer")
		r.ledger.SetFault(bookkeeper.FaultNone)
	})
}

// TestExplainRoleLost checks that the explanation of a job that was delayed by a takeover
// counts the change of the active host.
func TestExplainRoleLost(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(taskrunner.FaultUnreachable)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		time.Sleep(300 * time.Millisecond)
		r.workers["w0"].SetFault(taskrunner.FaultNone)
		r.takeOver()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.explainedCause("a"), qt.Matches, "cause: completed .* after it was accepted; 1 x changes of the active host.*")
	})
}

// TestExplainFailed checks that failures on several workers are explained as the job's
// own fault.
func TestExplainFailed(t *testing.T) {
	withRig(t, 4, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultFailTasks)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "batch", yuccapaddle.JobFailed, 5*time.Second)
		r.c.Check(r.explainedCause("a"), qt.Equals,
			"cause: failed: task a.0.0.0 has failed 3 times; it failed on 3 workers, which speaks for the job's own fault")
	})
}
