package planner

import (
	"errors"
	"time"

	"yuccapaddle"
)

const (
	// startBackoff is how long a worker gets no new starts after it has refused one for a
	// reason of its own, or has left all copies of one unanswered.
	startBackoff = 2 * time.Second
	// maxStartResends is how often an unanswered start is sent again before the run is
	// given up.
	maxStartResends = 3
)

// HandleStartReply handles a worker's answer to a start: err is nil if the worker has the
// run, a *RefusalError, or any other error if there was no answer. It reports whether the
// worker should be polled at once.
func (p *Planner) HandleStartReply(id string, t yuccapaddle.TaskID, run int, err error) (pollNow bool) {
	w := p.worker(id)
	x, ok := w.runs[t]
	if !ok || x.u.run != run || x.u.members[x.member].ended {
		return false
	}
	m := &x.u.members[x.member]
	var refusal *yuccapaddle.RefusalError
	switch {
	case err == nil:
		p.confirmRun(m)
		m.progressAt = p.now
		p.markJobRunning(x.u)
		p.watchRun(x.u)
	case !errors.As(err, &refusal):
		p.handleNoAnswer(w, x)
	default:
		return p.handleRefusal(w, x, refusal.Reason)
	}
	return false
}

// handleRefusal handles a start that the worker has refused, and reports whether it
// should be polled at once.
func (p *Planner) handleRefusal(w *worker, x assignment, reason yuccapaddle.Refusal) (pollNow bool) {
	u := x.u
	if reason == yuccapaddle.RefusedUnsent && u.runsWithoutResend(x.member) {
		return false
	}
	p.addDecision(yuccapaddle.Decision{Event: "start refused", Job: u.job.spec.ID, Task: u.taskID(x.member).String(), Worker: w.ID, Run: u.run, Detail: p.refusalDetail(w, x, reason)})
	m := &u.members[x.member]
	switch reason {
	case yuccapaddle.RefusedSuperseded:
		// The worker has had the run; the next poll tells how it ended.
		p.confirmRun(m)
		m.progressAt = p.now
		return true
	case yuccapaddle.RefusedLate:
		if m.resends < maxStartResends && !u.job.spec.Once {
			p.resendStart(w, x)
			return false
		}
	case yuccapaddle.RefusedUnhealthy, yuccapaddle.RefusedCapacity, yuccapaddle.RefusedReplaced:
		w.startBackoffUntil = p.now.Add(startBackoff)
		p.wakeBy(w.startBackoffUntil)
	case yuccapaddle.RefusedTicket:
		p.dropTicket(u, w.ID)
	case yuccapaddle.RefusedInvalid:
		p.countFailure(w, u)
	}
	m.neverStarted = m.resends == 0 && !m.adopted && !m.confirmed
	if m.resends > 0 && !coversEarlierStarts(reason) {
		// An earlier copy of the start is unanswered and may still be carried out.
		p.stop(u, "a start was refused after one without an answer")
		return false
	}
	if reason == yuccapaddle.RefusedReplaced {
		p.noteLosses(w, []assignment{x})
	}
	p.endMember(w, u, x.member, "the start was refused: "+string(reason))
	return false
}

// coversEarlierStarts reports whether a refusal also proves that earlier copies of the
// start have not been carried out and will not be. Only the replacement of the worker
// does.
func coversEarlierStarts(reason yuccapaddle.Refusal) bool {
	return reason == yuccapaddle.RefusedReplaced
}

// resendStart sends a start again; the run number makes it idempotent.
func (p *Planner) resendStart(w *worker, x assignment) {
	x.u.members[x.member].resends++
	p.batch.Starts = append(p.batch.Starts, p.startOrder(x.u, w.ID, x.member))
}

// handleNoAnswer resends an unanswered start, or stops the unit if it may not be sent
// again.
func (p *Planner) handleNoAnswer(w *worker, x assignment) {
	u := x.u
	p.addDecision(yuccapaddle.Decision{Event: "start unanswered", Job: u.job.spec.ID, Task: u.taskID(x.member).String(), Worker: w.ID, Run: u.run})
	if u.stopping {
		return
	}
	if u.job.spec.Once {
		// The worker may carry out the first start and restart; it would then run the
		// task a second time.
		p.stop(u, "a start that may go out only once has had no answer")
		return
	}
	if u.members[x.member].resends < maxStartResends {
		p.resendStart(w, x)
		return
	}
	w.startBackoffUntil = p.now.Add(startBackoff)
	p.wakeBy(w.startBackoffUntil)
	p.stop(u, "a worker does not answer the start")
}

// HandleStopConfirmed handles a worker's confirmation of a stop. If the start is not
// confirmed, the run either is in progress there by now or will never start;
// HandleStopConfirmed then reports that the worker should be polled at once, to find out
// which.
func (p *Planner) HandleStopConfirmed(id string, t yuccapaddle.TaskID, run int) (pollNow bool) {
	w := p.worker(id)
	x, ok := w.runs[t]
	if !ok || x.u.run != run {
		return false
	}
	m := &x.u.members[x.member]
	if m.confirmed {
		return false
	}
	p.confirmRun(m)
	m.progressAt = p.now
	return true
}

// startOrder returns the order to start the unit's member i on a worker.
func (p *Planner) startOrder(u *unit, worker string, i int) yuccapaddle.RunStart {
	return yuccapaddle.RunStart{
		Worker: worker, Task: u.taskID(i), Run: u.run, Payload: u.job.spec.Payload, Checkpoint: u.checkpoint, Ticket: p.ticketValue(u, worker), Once: u.job.spec.Once,
	}
}
