package executor

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// Cancel cancels a job and returns once the cancellation is committed. It reports whether
// there is such a job that the caller may see. If there is none, the cancellation is kept, so that
// a submission which is still on its way does not run. Errors match ErrNotAccepted, also if too
// many such cancellations are kept for the caller, or ErrUnknown.
func (e *Executor) Cancel(ctx context.Context, id string, c yuccapaddle.Caller) (bool, error) {
	found, err := e.cancelKnown(ctx, id, &c)
	if err != nil || found != absent {
		return found == visible, err
	}
	if err := e.confirmAbsence(ctx); err != nil {
		return false, err
	}
	return e.cancelUnknown(ctx, id, &c)
}

// cancelKnown cancels a job if it is known here, and returns whether the caller may see it.
func (e *Executor) cancelKnown(ctx context.Context, id string, c *yuccapaddle.Caller) (visibility, error) {
	var found visibility
	if err := e.runAndCommit(ctx, func() { found = e.cancel(id, c) }); err != nil {
		return absent, err // the loop may still write found
	}
	if found == unsettled {
		return absent, yuccapaddle.ErrNotAccepted
	}
	return found, nil
}

// cancel cancels a job if it is known here, and refuses its submissions that wait.
func (e *Executor) cancel(id string, c *yuccapaddle.Caller) visibility {
	e.cancelHeld(id, c)
	e.cancelPending(id, c)
	found := e.visibilityOf(e.plan.Spec(id), c, "cancel")
	if found == visible {
		e.plan.Cancel(id)
	}
	return found
}

// cancelUnknown keeps the cancellation of a job, unless the job has become known meanwhile.
func (e *Executor) cancelUnknown(ctx context.Context, id string, c *yuccapaddle.Caller) (bool, error) {
	var found visibility
	kept := true
	err := e.runAndCommit(ctx, func() {
		if found = e.cancel(id, c); found == absent {
			kept = e.keepCancellation(id, c)
		}
	})
	switch {
	case err != nil: // the loop may still write found
		return false, err
	case found == unsettled, !kept:
		return false, yuccapaddle.ErrNotAccepted
	}
	return found == visible, nil
}

// keepCancellation keeps the cancellation of a job that is not known, and reports whether it did:
// too many may be kept for the caller.
func (e *Executor) keepCancellation(id string, c *yuccapaddle.Caller) bool {
	kept := e.plan.CancelUnknown(id, *c)
	outcome := "kept"
	if !kept {
		outcome = "refused"
	}
	e.meter.Count("unknown_cancellations", outcome, 1)
	e.log.Info("canceled before it is known", zap.String("job", id), zap.String("outcome", outcome),
		zap.String("queue", c.Queue), zap.String("workspace", c.Workspace))
	return kept
}

// confirmAbsence returns nil if this host was still active after a job was not found here, so
// that none had been accepted elsewhere, and ErrNotAccepted otherwise.
func (e *Executor) confirmAbsence(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	if err := e.absence.Confirm(ctx); err != nil {
		e.log.Info("cannot tell whether there is a job", zap.Error(err))
		return yuccapaddle.ErrNotAccepted
	}
	return nil
}

// startConfirmation starts a function of the confirmer. The loop does so, since nothing may be
// started once the loop has ended.
func (e *Executor) startConfirmation(f func() error) {
	e.post(func() { e.group.Go("confirmation", f) })
}

// visibility says whether a caller may see a job.
type visibility int

const (
	absent visibility = iota // there is no such job here
	hidden                   // as if there were none
	visible
	// unsettled means that the caller was identified by later rules than this host has.
	unsettled
)

// visibilityOf returns whether a caller may see a job, which is nil if there is none. It logs
// and counts the calls to which an existing job is hidden.
func (e *Executor) visibilityOf(j *yuccapaddle.Job, c *yuccapaddle.Caller, call string) visibility {
	rules := e.plan.Rules()
	switch {
	case j == nil:
		return absent
	case c.MaySee(j, rules):
		return visible
	case c.Version > rules.Version:
		return unsettled
	}
	e.meter.Count("hidden_jobs", call, 1)
	e.log.Info("hidden from the caller", zap.String("job", j.ID), zap.String("call", call),
		zap.String("job_queue", j.Queue), zap.String("call_queue", c.Queue),
		zap.Bool("same_workspace", c.Workspace == j.Workspace), zap.Int64("rules", rules.Version))
	return hidden
}

// runAndCommit calls f on the loop and waits until its effects are committed. Errors
// match ErrNotAccepted if f will not run, and ErrUnknown if it may.
func (e *Executor) runAndCommit(ctx context.Context, f func()) error {
	committed, err := runOnLoop(ctx, e, func() chan struct{} {
		f()
		return e.addCommitWaiter()
	})
	if err != nil {
		return err
	}
	select {
	case <-committed:
		return nil
	case <-ctx.Done():
		return yuccapaddle.ErrUnknown
	case <-e.done:
		return yuccapaddle.ErrUnknown
	}
}

// runOnLoop calls f on the loop and returns its result. The error is ErrNotAccepted if f
// will not be called, and ErrUnknown if it may be called after the return.
func runOnLoop[T any](ctx context.Context, e *Executor, f func() T) (T, error) {
	results := make(chan T, 1)
	var zero T
	if !e.post(func() { results <- f() }) {
		return zero, yuccapaddle.ErrNotAccepted
	}
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
	case <-e.done:
	}
	return zero, yuccapaddle.ErrUnknown
}

// Show returns the committed status of a job, and whether there is such a job that the caller
// may see. With WithCompletionsShown a completion may be shown before its commit. It waits for
// a final state until the given time. Errors match ErrNotAccepted or ErrUnknown.
func (e *Executor) Show(ctx context.Context, id string, c yuccapaddle.Caller, until time.Time) (yuccapaddle.JobReport, bool, error) {
	for {
		status, err := runOnLoop(ctx, e, func() jobStatus { return e.lookUp(id, &c, until) })
		switch {
		case err != nil:
		case status.found == unsettled:
			err = yuccapaddle.ErrNotAccepted
		case status.found == absent:
			err = e.confirmAbsence(ctx)
		}
		if err != nil || status.final == nil {
			return status.JobReport, status.found == visible, err
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-status.final:
		case <-timer.C:
		case <-ctx.Done():
		case <-e.done:
		}
		timer.Stop()
		e.post(func() { e.removeWatcher(id, status.final) })
	}
}

// jobStatus is the status of a job as it may be reported. final is closed once a final
// state may be reported; it is nil if there is nothing to wait for.
type jobStatus struct {
	yuccapaddle.JobReport
	found visibility
	final chan struct{}
}

// lookUp returns the status of a job as it may be reported, and registers a watcher for its
// final state if that is still to come. A job without a commit yet is shown as queued.
func (e *Executor) lookUp(id string, c *yuccapaddle.Caller, until time.Time) jobStatus {
	job, committed := e.committedJobs[id]
	if !committed {
		job = committedJob{yuccapaddle.JobReport{State: yuccapaddle.JobQueued}, e.plan.Spec(id)}
	}
	if !job.State.Final() {
		if completed, shown := e.completedJob(id); shown {
			job = completed
		}
	}
	status := jobStatus{JobReport: job.JobReport, found: e.visibilityOf(job.spec, c, "show")}
	if status.found == visible && !job.State.Final() && time.Now().Before(until) {
		status.final = make(chan struct{})
		e.watchers[id] = append(e.watchers[id], status.final)
	}
	return status
}

// removeWatcher removes a watcher of a job, if it is still registered.
func (e *Executor) removeWatcher(id string, final chan struct{}) {
	list := slices.DeleteFunc(e.watchers[id], func(c chan struct{}) bool { return c == final })
	if len(list) == 0 {
		delete(e.watchers, id)
		return
	}
	e.watchers[id] = list
}

// notifyWatchers closes the channels of all watchers of a job.
func (e *Executor) notifyWatchers(id string) {
	for _, final := range e.watchers[id] {
		close(final)
	}
	delete(e.watchers, id)
}

// View returns a job as operators see it, nil if there is none. Errors match
// ErrNotAccepted or ErrUnknown.
func (e *Executor) View(ctx context.Context, id string) (*yuccapaddle.JobView, error) {
	return runOnLoop(ctx, e, func() *yuccapaddle.JobView { return e.plan.View(id) })
}

// Status returns a summary for operators. Errors match ErrNotAccepted or ErrUnknown.
func (e *Executor) Status(ctx context.Context) (*yuccapaddle.EngineStatus, error) {
	return runOnLoop(ctx, e, func() *yuccapaddle.EngineStatus {
		st := e.plan.Status()
		st.Epoch, st.Stalled = e.rec.Epoch(), e.commitStalled()
		return &st
	})
}

// Pending returns, by queue, the number of jobs of which no task has started, or nil if
// the loop does not answer.
func (e *Executor) Pending(ctx context.Context) map[string]int64 {
	counts, err := runOnLoop(ctx, e, e.plan.Pending)
	if err != nil {
		return nil
	}
	return counts
}

// LoadedEpoch returns the epoch of this host once the records of its predecessors are
// loaded, so that it knows every job that one of them has accepted, and 0 before.
func (e *Executor) LoadedEpoch() uint64 {
	if !e.restored.Load() {
		return 0
	}
	return e.rec.Epoch()
}

// Epoch returns the epoch of this host as the writer of the job records.
func (e *Executor) Epoch() uint64 {
	return e.rec.Epoch()
}
