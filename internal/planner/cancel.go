package planner

import (
	"time"

	"yuccapaddle"
)

// A caller who cancels a job that nobody knows is told that there is no such job, and takes it for
// canceled. Its submission may still be on its way. So the cancellation is kept, in the records
// too, and a job that is handed in later under the ID by a caller who could cancel it is accepted
// as canceled: it is the same job, which an ID names once.

// minCancellationTime is the least time for which a cancellation is kept. A submission is on its
// way for less, see yuccapaddle.MaxSubmissionTime.
const minCancellationTime = 2 * yuccapaddle.MaxSubmissionTime

// CancelUnknown keeps a caller's cancellation of a job that is not known, for as long as a
// canceled job is. It returns false, and keeps nothing, if the caller's workspace has too many.
func (p *Planner) CancelUnknown(id string, c yuccapaddle.Caller) bool {
	record, ok := p.cancellations.Add(id, c, p.cancellationEnd())
	if ok {
		p.newCancellations = append(p.newCancellations, record)
	}
	return ok
}

// CanceledBefore reports whether a job that is handed in has been canceled already.
func (p *Planner) CanceledBefore(spec *yuccapaddle.Job) bool {
	return p.cancellations.Cancels(spec, p.rules)
}

// RestoreCancellation keeps a cancellation that a former host has committed.
func (p *Planner) RestoreCancellation(stored *yuccapaddle.StoredJob) error {
	return p.cancellations.Restore(stored, p.cancellationEnd())
}

func (p *Planner) cancellationEnd() time.Time {
	return p.now.Add(max(p.limits.Retention, minCancellationTime))
}
