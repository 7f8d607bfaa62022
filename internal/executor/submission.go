package executor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// submissionState says whether a submission can still be taken back. Once it is admitted,
// the job may be part of a commit.
type submissionState = int32

const (
	submissionWaiting submissionState = iota
	submissionAdmitted
	submissionWithdrawn
)

// admission is what became of a submission: err is the reason for refusing it. committed
// means that the job had been accepted and committed before. Otherwise done is closed after
// the commit that contains the job.
type admission struct {
	err       error
	committed bool
	done      chan struct{}
}

// submission is a job to admit.
type submission struct {
	job        *yuccapaddle.Job
	result     chan admission
	state      *atomic.Int32
	receivedAt time.Time
	deadline   time.Time // by which the caller needs the result
}

func (e *Executor) newSubmission(ctx context.Context, j *yuccapaddle.Job) submission {
	now, left := e.clock.Now(), defaultHoldTime
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return submission{job: j, result: make(chan admission, 1), state: &atomic.Int32{}, receivedAt: now, deadline: now.Add(left)}
}

// withdraw takes a submission back that has not been admitted, and reports whether it was
// in time: the job is then never part of a commit.
func (s *submission) withdraw() bool {
	return s.state.CompareAndSwap(submissionWaiting, submissionWithdrawn) || s.state.Load() == submissionWithdrawn
}

// Submit admits a job and returns once it is committed. The error is ErrLedgerUnavailable
// if commits stall, with WithHeldCalls only shortly before the deadline of ctx; such a job
// never runs, since only admitted jobs are part of a commit. It is an *InfeasibleError for a
// strict job that the registered workers could not hold, and for one that needs more than
// its workspace's quota, ErrTooMuchWork if there is no memory left for it, and ErrIDTaken if
// another caller's job has the ID. Other errors match ErrNotAccepted if the job was not admitted, and
// ErrUnknown if it was.
func (e *Executor) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	s := e.newSubmission(ctx, j)
	a := e.waitAdmitted(ctx, &s)
	if a.err != nil || a.committed {
		return a.err
	}
	select {
	case <-a.done:
		return nil
	case <-ctx.Done():
	case <-e.done:
	}
	return yuccapaddle.ErrUnknown // the job may be part of a commit, whatever became of the wait
}

// waitAdmitted hands a submission to the loop and waits until it is admitted or refused,
// or takes it back when the context or the loop ends.
func (e *Executor) waitAdmitted(ctx context.Context, s *submission) admission {
	select {
	case e.submissions <- *s:
	case <-ctx.Done():
		return admission{err: yuccapaddle.ErrNotAccepted}
	case <-e.done:
		return admission{err: yuccapaddle.ErrNotAccepted}
	}
	select {
	case a := <-s.result:
		return a
	case <-ctx.Done():
	case <-e.done:
	}
	if s.withdraw() {
		if e.held != nil {
			e.post(func() { e.withdrawHeld(*s) })
		}
		return admission{err: yuccapaddle.ErrNotAccepted}
	}
	return <-s.result // it was admitted or refused at the same time
}

// handleSubmission admits a job, or queues it while a commit is in progress. A job that is
// known already is not queued: it cannot be refused any more.
func (e *Executor) handleSubmission(s submission) {
	if e.committing && !e.known(s.job.ID) {
		e.pendingSubmissions = append(e.pendingSubmissions, s)
		return
	}
	e.admit(s)
}

// known reports whether a job with the ID has been admitted, by this host or a former one.
func (e *Executor) known(id string) bool {
	return e.plan.Spec(id) != nil
}

// admit passes a job to the planner, and returns false if it does not: the job could never
// run, or the caller has given up.
func (e *Executor) admit(s submission) bool {
	if !s.state.CompareAndSwap(submissionWaiting, submissionAdmitted) {
		return false
	}
	earlier, committed := e.jobWithID(s.job.ID)
	switch {
	case earlier != nil && !e.repeats(s, earlier):
		return false
	case committed:
		s.result <- admission{committed: true}
		return true
	case earlier != nil:
		s.result <- admission{done: e.addCommitWaiter()}
		return true
	}
	if e.plan.CanceledBefore(s.job) {
		e.log.Info("accepted as canceled", zap.String("job", s.job.ID))
		e.plan.Submit(s.job)
		e.plan.Cancel(s.job.ID)
		s.result <- admission{done: e.addCommitWaiter()}
		return true
	}
	if reason := e.neverRuns(s.job); reason != "" {
		e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", reason))
		s.result <- admission{err: &yuccapaddle.InfeasibleError{Reason: reason}}
		return false
	}
	if !e.plan.HasRoom(s.job) {
		e.meter.Count("accepted_work", "refused", 1)
		e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", "the jobs accepted before take the memory that its workspace may have"))
		s.result <- admission{err: yuccapaddle.ErrTooMuchWork}
		return false
	}
	e.plan.Submit(s.job)
	s.result <- admission{done: e.addCommitWaiter()}
	return true
}

// jobWithID returns the job with the ID, nil if there is none, and whether it is committed.
func (e *Executor) jobWithID(id string) (j *yuccapaddle.Job, committed bool) {
	if job, ok := e.committedJobs[id]; ok {
		return job.spec, true
	}
	return e.plan.Spec(id), false
}

// repeats reports whether a submission hands an accepted job in again. It refuses the
// submission if another caller's job has its ID.
func (e *Executor) repeats(s submission, earlier *yuccapaddle.Job) bool {
	c, rules := yuccapaddle.CallerOf(s.job), e.plan.Rules()
	if c.MayRepeat(earlier, rules) {
		return true
	}
	err := yuccapaddle.ErrIDTaken
	if c.Version > rules.Version {
		err = yuccapaddle.ErrNotAccepted // by the rules that this host has not read yet they may be the same
	}
	e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", err.Error()), zap.String("queue", s.job.Queue))
	s.result <- admission{err: err}
	return false
}

// neverRuns returns why a job could never run, "" if it can: its workspace's quota does not
// allow it, or it is strict and no workers could hold it.
func (e *Executor) neverRuns(j *yuccapaddle.Job) string {
	if reason := e.plan.InfeasibleByQuota(j); reason != "" || !j.Strict {
		return reason
	}
	return e.plan.Infeasible(j)
}

// commitStalled reports whether the commit in progress takes so long that the ledger
// counts as unavailable.
func (e *Executor) commitStalled() bool {
	return e.committing && e.now.Sub(e.commitStartedAt) > commitStallAfter
}

// refuse rejects a job because the ledger does not answer. delay says since when.
func (e *Executor) refuse(s submission, detail string, delay zap.Field) {
	if !s.withdraw() {
		return
	}
	e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", detail), delay)
	s.result <- admission{err: ErrLedgerUnavailable}
}

// admitPending admits the queued submissions if no commit is in progress, and holds or
// refuses them if the one in progress has stalled.
func (e *Executor) admitPending() {
	e.admitHeld()
	pending := e.pendingSubmissions
	e.pendingSubmissions = nil
	for _, s := range pending {
		switch {
		case !e.committing, e.known(s.job.ID):
			e.admit(s)
		case e.commitStalled() && e.held != nil:
			e.holdSubmission(s)
		case e.commitStalled():
			e.refuse(s, "the ledger does not answer", zap.Int64("commit_ms_ago", e.now.Sub(e.commitStartedAt).Milliseconds()))
		default:
			e.pendingSubmissions = append(e.pendingSubmissions, s)
		}
	}
}

// cancelPending refuses the queued submissions of a job that is canceled.
func (e *Executor) cancelPending(id string, c *yuccapaddle.Caller) {
	e.pendingSubmissions = slices.DeleteFunc(e.pendingSubmissions, func(s submission) bool {
		if s.job.ID != id || !c.MaySee(s.job, e.plan.Rules()) {
			return false
		}
		e.refuse(s, "the job was canceled before it was admitted", zap.Int64("received_ms_ago", e.now.Sub(s.receivedAt).Milliseconds()))
		return true
	})
}

// refuseOverdue holds or refuses the submissions that have waited for the job records to be
// loaded for longer than a caller is asked to wait for a commit.
func (e *Executor) refuseOverdue() {
	e.refuseDue()
	kept := e.pendingSubmissions[:0]
	for _, s := range e.pendingSubmissions {
		switch {
		case e.now.Sub(s.receivedAt) <= commitStallAfter:
			kept = append(kept, s)
		case e.held != nil:
			e.holdSubmission(s)
		default:
			e.refuse(s, "the job records cannot be read", zap.Int64("received_ms_ago", e.now.Sub(s.receivedAt).Milliseconds()))
		}
	}
	e.pendingSubmissions = kept
}
