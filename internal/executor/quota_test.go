package executor_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// runningTasks returns the number of tasks that run on the workers.
func (r *rig) runningTasks() int {
	n := 0
	for _, w := range r.workers {
		n += len(w.Running())
	}
	return n
}

// checkRunningAtMost checks for some time that no more tasks run.
func (r *rig) checkRunningAtMost(most int, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		r.c.Assert(r.runningTasks() <= most, qt.IsTrue, qt.Commentf("%d tasks run", r.runningTasks()))
	}
}

var twoTasks = yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{CPU: 1000, GPU: 1}}

// TestQuotaTakeover guards against a new active host that starts up to the quota beside what
// the former one has started: it was lost right after it had placed up to the quota.
func TestQuotaTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.setQuota(4)
		r.takeOver()
		defer r.close()
		for i := range 6 {
			r.submit(fmt.Sprintf("%016d", i), "batch", twoTasks)
		}
		r.takeOver()
		r.checkRunningAtMost(4, 20*time.Second)
		for i := range 6 {
			r.c.Check(r.state(fmt.Sprintf("%016d", i), "batch"), qt.Equals, yuccapaddle.JobCompleted)
		}
	})
}

// TestQuotaLoweredInOutage checks that a quota which was lowered while the store was away
// holds for all that starts after the store's return.
func TestQuotaLoweredInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.setQuota(8)
		r.takeOver()
		defer r.close()
		for i := range 8 {
			r.submit(fmt.Sprintf("%016d", i), "batch", twoTasks)
		}
		time.Sleep(300 * time.Millisecond)
		r.c.Assert(r.runningTasks(), qt.Equals, 8)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		r.platformHangs.Store(true)
		r.setQuota(2)
		time.Sleep(4 * time.Second)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.platformHangs.Store(false)
		r.checkRunningAtMost(2, 20*time.Second)
		for i := range 8 {
			r.c.Check(r.state(fmt.Sprintf("%016d", i), "batch"), qt.Equals, yuccapaddle.JobCompleted)
		}
	})
}

// TestAboveQuotaRefused guards against a job that waits for ever: one that needs more than
// its workspace's whole quota is refused at once, with the reason.
func TestAboveQuotaRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.setQuota(4)
		r.takeOver()
		defer r.close()
		gang := yuccapaddle.Step{Count: 5, Need: yuccapaddle.Need{CPU: 1000, GPU: 1}, Gang: true}
		job := &yuccapaddle.Job{ID: "0000000000000001", Queue: "quick", Service: "svc", Workspace: "north", Steps: []yuccapaddle.Step{gang}}
		err := r.exec.Submit(t.Context(), job)
		var infeasible *yuccapaddle.InfeasibleError
		r.c.Assert(errors.As(err, &infeasible), qt.IsTrue, qt.Commentf("%v", err))
		r.c.Check(infeasible.Reason, qt.Matches, "for the quota of workspace north: 5 tasks .*; its quota allows 4 such tasks at once")
		r.submitFor("south", "0000000000000002", "quick", gang)
	})
}
