package executor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

const (
	shownJob = "0000000000000001"
	// maxShowTime is the time after a job's end within which its completion has to be
	// reported while the ledger is silent.
	maxShowTime = 300 * time.Millisecond
)

// silenceBeforeEnd submits a job of two tasks that take 2 s, and makes the ledger silent
// after 1.5 s.
func (r *rig) silenceBeforeEnd() {
	r.submit(shownJob, "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 2000, PerWorker: 1})
	time.Sleep(1500 * time.Millisecond)
	r.ledger.SetFault(bookkeeper.FaultTimeout)
}

// withShownRig is withRig for an executor that shows completions before their commit.
func withShownRig(t *testing.T, prepare, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.options = []executor.Option{executor.WithCompletionsShown()}
		r.leaveWithinMS = 1000 // so that the registrations are read every 280 ms
		if prepare != nil {
			prepare(r)
		}
		r.takeOver()
		defer r.close()
		f(r)
	})
}

// TestCompletionShown checks that a job whose tasks have ended is reported as completed
// while the ledger is silent, to those who ask and to those who wait, and remains so.
func TestCompletionShown(t *testing.T) {
	withShownRig(t, nil, func(r *rig) {
		r.silenceBeforeEnd()
		waiting := r.exec
		r.group.Go(func() error {
			start := time.Now()
			report, found, err := waiting.Show(r.t.Context(), shownJob, yuccapaddle.Caller{Queue: "batch"}, start.Add(3*time.Second))
			r.c.Check(err, qt.IsNil)
			r.c.Check(found, qt.IsTrue)
			r.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted)
			r.c.Check(report.MayHaveRun, qt.IsTrue)
			r.c.Check(time.Since(start) <= 500*time.Millisecond+maxShowTime, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
			return nil
		})
		r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, 500*time.Millisecond+maxShowTime)
		_, found, err := r.exec.Show(r.t.Context(), shownJob, yuccapaddle.Caller{Queue: "quick"}, time.Time{})
		r.c.Check(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse, qt.Commentf("it is of another queue"))
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobCompleted)
		}
		r.ledger.SetFault(bookkeeper.FaultNone)
		time.Sleep(2 * time.Second)
		r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobCompleted)
		r.c.Check(r.logged("shown before its commit"), qt.Equals, 1)
	})
}

// TestCompletionNotShown checks that a completion is not reported before its commit if a
// later active host might not find the end, this host may have been replaced, or the
// setting is off.
func TestCompletionNotShown(t *testing.T) {
	var replaced atomic.Bool
	for name, test := range map[string]struct {
		prepare func(r *rig)           // before the host becomes active
		meddle  func(w string, r *rig) // while the ledger is silent, just before the end
	}{
		"off": {prepare: func(r *rig) { r.options = nil }},
		"unconfirmed": {
			prepare: func(r *rig) { r.confirmed = func() bool { return !replaced.Load() } },
			meddle:  func(string, *rig) { replaced.Store(true) },
		},
		"draining":       {meddle: func(w string, r *rig) { r.workers[w].Drain() }},
		"gone":           {meddle: func(w string, r *rig) { r.unregistered.Store(w, true) }},
		"in maintenance": {meddle: func(w string, r *rig) { r.exec.Drain(r.t.Context(), w, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			withShownRig(t, test.prepare, func(r *rig) {
				replaced.Store(false)
				r.silenceBeforeEnd()
				if test.meddle != nil {
					test.meddle(r.firstTaskWorker(shownJob), r)
				}
				for range 25 {
					time.Sleep(100 * time.Millisecond)
					r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobRunning)
				}
				r.ledger.SetFault(bookkeeper.FaultNone)
				r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, time.Second)
				r.c.Check(r.logged("shown before its commit"), qt.Equals, 0)
			})
		})
	}
}

// TestCompletionOfSilentWorker checks that a completion is not reported before its commit
// while the worker that holds the end leaves holds without an answer.
func TestCompletionOfSilentWorker(t *testing.T) {
	withShownRig(t, nil, func(r *rig) {
		r.submit(shownJob, "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		time.Sleep(1900 * time.Millisecond)
		worker := r.workers[r.firstTaskWorker(shownJob)]
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		time.Sleep(110 * time.Millisecond) // the end is listed
		worker.SetFault(taskrunner.FaultUnreachable)
		time.Sleep(2500 * time.Millisecond)
		r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobRunning)
		r.ledger.SetFault(bookkeeper.FaultNone)
		worker.SetFault(taskrunner.FaultNone)
		r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, 3*time.Second)
	})
}

// TestShownRemains checks that a job that has been reported as completed is not canceled by
// a later request, and remains completed when its worker leaves or the role is no longer
// confirmed.
func TestShownRemains(t *testing.T) {
	var replaced atomic.Bool
	withShownRig(t, func(r *rig) { r.confirmed = func() bool { return !replaced.Load() } }, func(r *rig) {
		r.silenceBeforeEnd()
		holder := r.firstTaskWorker(shownJob)
		r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, 500*time.Millisecond+maxShowTime)
		exec := r.exec
		r.group.Go(func() error {
			found, err := exec.Cancel(r.t.Context(), shownJob, yuccapaddle.Caller{Queue: "batch"})
			r.c.Check(err, qt.IsNil)
			r.c.Check(found, qt.IsTrue)
			return nil
		})
		r.workers[holder].Drain()
		r.unregistered.Store(holder, true)
		replaced.Store(true)
		time.Sleep(1500 * time.Millisecond)
		r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobCompleted)
		r.ledger.SetFault(bookkeeper.FaultNone)
		time.Sleep(time.Second)
		r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobCompleted)
	})
}

// TestCanceledNotShown checks that a job that is canceled before its tasks end is neither
// reported as canceled nor as completed until the cancellation is committed.
func TestCanceledNotShown(t *testing.T) {
	withShownRig(t, nil, func(r *rig) {
		r.silenceBeforeEnd()
		exec := r.exec
		r.group.Go(func() error {
			_, err := exec.Cancel(r.t.Context(), shownJob, yuccapaddle.Caller{Queue: "batch"})
			r.c.Check(err, qt.IsNil)
			return nil
		})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			r.c.Check(r.state(shownJob, "batch"), qt.Equals, yuccapaddle.JobRunning)
		}
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.waitForState(shownJob, "batch", yuccapaddle.JobCanceled, time.Second)
	})
}

// TestShownFoundBySuccessor checks that the host that takes over from one that was lost
// after it had reported a completion reaches the same state from the workers' lists, and
// starts no task again.
func TestShownFoundBySuccessor(t *testing.T) {
	withShownRig(t, nil, func(r *rig) {
		r.silenceBeforeEnd()
		r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, 500*time.Millisecond+maxShowTime)
		time.Sleep(1200 * time.Millisecond) // holds of the first host follow the end
		r.stop()
		time.Sleep(300 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.takeOver()
		r.waitForState(shownJob, "batch", yuccapaddle.JobCompleted, time.Second)
		for i := range 2 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: shownJob, Index: i}), qt.HasLen, 1)
		}
	})
}
