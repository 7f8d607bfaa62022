package executor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

// takeOverSilently starts a job, and takes over without reaching its worker, which the former
// host goes on renewing for as long as its orders are accepted. It returns the worker.
func takeOverSilently(r *rig, workers *silencer) string {
	r.taskTime.Store(int64(60 * time.Second))
	r.runner = workers
	r.takeOver()
	r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 60000})
	time.Sleep(time.Second)
	first, token := r.firstTaskWorker("a"), r.exec.Epoch()<<16
	r.predecessorRenewsUntil = time.Now().Add(30 * time.Second)
	workers.silent.Store(true)
	r.takeOver()
	r.group.Go(func() error {
		for until := r.predecessorRenewsUntil; time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			clock := r.workers[first].Worker().Clock
			if _, err := r.workers[first].Hold(r.t.Context(), yuccapaddle.HoldOrder{Token: token, Deadline: clock + maxLeaseMS}); err != nil {
				return nil // the worker has seen the token of the successor
			}
		}
		return nil
	})
	return first
}

// TestAnsweredButNotRenewed guards against leases that the former host has renewed until the
// first answer of a worker to this host, and that count as over since this host has renewed none:
// it was not confirmed at that time.
func TestAnsweredButNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		var unconfirmed atomic.Bool
		r.confirmed = func() bool { return !unconfirmed.Load() }
		workers := &silencer{rig: r}
		takeOverSilently(r, workers)
		defer func() { r.close() }()
		time.Sleep(15 * time.Second)
		unconfirmed.Store(true)
		workers.silent.Store(false)
		time.Sleep(1300 * time.Millisecond)
		workers.silent.Store(true)
		time.Sleep(3 * time.Second) // until a hold has failed
		workers.silent.Store(false)
		r.workers[r.firstTaskWorker("a")].SetFault(taskrunner.FaultUnreachable)
		unconfirmed.Store(false)
		for range 600 {
			time.Sleep(20 * time.Millisecond)
			r.checkNoDuplicateRuns()
		}
	})
}
