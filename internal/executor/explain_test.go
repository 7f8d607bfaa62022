package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/laborer"
)

// TestExplainRefused: the log of a refused job names the ledger.
func TestExplainRefused(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		r.store.SetFault(bookkeeper.FaultSilent)
		time.Sleep(3 * time.Second) // the end of a hangs in its commit
		ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
		defer cancel()
		j := &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: one}}}
		r.c.Assert(r.exec.Submit(ctx, j), qt.ErrorIs, yuccapaddle.ErrNotTaken)
		r.c.Check(r.cause("b"), qt.Equals, "cause: not accepted, and not run: the ledger does not answer")
		r.store.SetFault(bookkeeper.FaultNone)
	})
}

// TestExplainRoleLost: the log of a job that waited for another host to become
// active tells of the vanished run and of the new host's part.
func TestExplainRoleLost(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(laborer.FaultCut)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		time.Sleep(300 * time.Millisecond)
		r.workers["w0"].SetFault(laborer.FaultNone)
		r.takeOver()
		r.settles("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.cause("a"), qt.Matches, "cause: completed .* after it was accepted; 1 x changes of the active host.*")
	})
}

// TestExplainFailed: the log of a job that failed on several workers puts it down
// to the job.
func TestExplainFailed(t *testing.T) {
	play(t, 4, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(laborer.FaultFails)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		r.settles("a", "batch", yuccapaddle.JobFailed, 5*time.Second)
		r.c.Check(r.cause("a"), qt.Equals,
			"cause: failed: task a.0.0.0 has failed 3 times; it failed on 3 workers, which speaks for the job's own fault")
	})
}
