package executor

import (
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// showCompletedAfter is how long a commit may take before completed jobs are reported
// without it. A commit on a store that answers takes about 10 ms.
const showCompletedAfter = 150 * time.Millisecond

// WithCompletionsShown makes the executor report completed jobs while the ledger does not
// answer, as far as workers list the ends that are not committed yet.
func WithCompletionsShown() Option {
	return func(e *Executor) { e.showsCompletions = true }
}

// trackEnds notes the ends in a worker's reply that the planner has not applied yet.
func (e *Executor) trackEnds(id string, reply *yuccapaddle.HoldReply) {
	if !e.showsCompletions {
		return
	}
	applied := e.plan.AppliedEnd(id)
	if e.plan.ReportedIncarnation(id) != reply.Incarnation {
		applied = 0
	}
	for i := range reply.Ended {
		if reply.Ended[i].Number > applied {
			e.uncommitted.Add(reply.Ended[i].Task.Job, id, reply.Incarnation)
		}
	}
}

// listsEnds reports whether a worker still lists the ends of an incarnation, and is
// expected to do so until they are committed.
func (e *Executor) listsEnds(id string, incarnation int64) bool {
	l := e.links[id]
	return l != nil && l.incarnation == incarnation && e.plan.Staying(id)
}

// showsUncommitted reports whether the commit in progress takes so long that completed jobs
// are reported without it. Only a host that is confirmed as the active one may do so.
func (e *Executor) showsUncommitted() bool {
	return e.showsCompletions && e.committing && !e.now.Before(e.showCompletedAt()) && e.roleConfirmed()
}

// showCompletedAt returns when completed jobs may be reported before the commit in progress
// ends.
func (e *Executor) showCompletedAt() time.Time {
	return e.commitStartedAt.Add(showCompletedAfter)
}

// completedJob returns the status of a job whose completion is not committed, and whether
// it may be reported. A job that has been reported as completed remains so at this host.
func (e *Executor) completedJob(id string) (committedJob, bool) {
	if job, ok := e.shownJobs[id]; ok {
		return job, true
	}
	if !e.plan.Completed(id) || !e.showsUncommitted() || !e.uncommitted.Listed(id, e.listsEnds) {
		return committedJob{}, false
	}
	report, _, _ := e.plan.Report(id)
	job := committedJob{report, e.plan.Spec(id)}
	e.shownJobs[id] = job
	e.meter.Count("early_completions", "shown", 1)
	e.log.Info("shown before its commit", zap.String("job", id), zap.Int64("commit_ms_ago", e.now.Sub(e.commitStartedAt).Milliseconds()))
	return job, true
}

// notifyCompleted notifies the callers that wait for jobs of which the completion may be
// reported before its commit.
func (e *Executor) notifyCompleted() {
	if !e.showsUncommitted() {
		return
	}
	for id := range e.watchers {
		if _, ok := e.completedJob(id); ok {
			e.notifyWatchers(id)
		}
	}
}
