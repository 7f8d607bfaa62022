package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// TestLedgerDown checks that running tasks continue while the ledger does not answer, that
// the job completes soon after it answers again, and that no task runs twice.
func TestLedgerDown(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(4 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 4000})
		time.Sleep(500 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		time.Sleep(8 * time.Second)
		r.c.Check(r.state("a", "batch"), qt.Equals, yuccapaddle.JobRunning)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 2*time.Second)
		for i := range 2 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestAnswerLost checks that no task runs twice when commits are applied but get no reply.
func TestAnswerLost(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 2000})
		time.Sleep(1500 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultLostReply)
		time.Sleep(3 * time.Second)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 3*time.Second)
		for i := range 2 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestRefusedWhileLedgerDown checks that, while a commit hangs, a job that is not part of
// it is refused within a second and does not run later either.
func TestRefusedWhileLedgerDown(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
		defer cancel()
		first := &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: oneGPU}}}
		r.group.Go(func() error {
			_ = r.exec.Submit(ctx, first) // its commit hangs, so its outcome is unknown
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		late := &yuccapaddle.Job{ID: "c", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: oneGPU}}}
		err := r.exec.Submit(ctx, late)
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		r.c.Check(time.Since(start) < time.Second, qt.IsTrue)
		r.ledger.SetFault(bookkeeper.FaultNone)
		time.Sleep(5 * time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "c"}), qt.HasLen, 0)
	})
}
