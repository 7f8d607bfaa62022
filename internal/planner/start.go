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
	if err == nil || errors.As(err, &refusal) && refusal.Reason != yuccapaddle.RefusedUnsent {
		m.noteAnswered()
	}
	switch {
	case err == nil:
		p.confirmRun(m)
		m.progressAt = p.now
		p.markJobRunning(x.u)
		p.noteSettled(x.u, m)
		p.watchRun(x.u)
	case !errors.As(err, &refusal):
		p.handleNoAnswer(w, x)
	default:
		return p.handleRefusal(w, x, refusal.Reason)
	}
	return false
}

// handleRefusal handles a start that the worker has refused, and reports whether it
// should be polled at once. A refusal speaks only of the copy of the start that it answers,
// so it does not end a run for which the worker has answered.
func (p *Planner) handleRefusal(w *worker, x assignment, reason yuccapaddle.Refusal) (pollNow bool) {
	u, m := x.u, &x.u.members[x.member]
	if reason == yuccapaddle.RefusedUnsent && m.confirmed {
		return false
	}
	p.addDecision(yuccapaddle.Decision{Event: "start refused", Job: u.job.spec.ID, Task: u.taskID(x.member).String(), Worker: w.ID, Run: u.run, Detail: p.refusalDetail(w, x, reason)})
	if refusesOtherStarts(reason) {
		w.startBackoffUntil = p.now.Add(startBackoff)
		p.wakeBy(w.startBackoffUntil)
	}
	switch {
	case reason == yuccapaddle.RefusedSuperseded:
		// The worker has had the run; the next poll tells how it ended.
		p.confirmRun(m)
		m.progressAt = p.now
		return true
	case m.confirmed:
		return false
	case reason == yuccapaddle.RefusedLate && m.resends < maxStartResends && !u.job.spec.Once:
		p.resendStart(w, x)
		return false
	case reason == yuccapaddle.RefusedTicket:
		p.dropTicket(u, w.ID)
	case reason == yuccapaddle.RefusedInvalid:
		p.countFailure(w, u)
	}
	m.neverStarted = m.resends == 0 && !m.adopted
	if !m.refusedForGood(reason) {
		p.stop(u, "a start was refused after one without an answer")
		return false
	}
	if reason == yuccapaddle.RefusedReplaced {
		p.noteLosses(w, []assignment{x})
	}
	p.endMember(w, u, x.member, "the start was refused: "+string(reason))
	return false
}

// refusesOtherStarts reports whether a worker that has refused a start would refuse others
// for the same reason.
func refusesOtherStarts(reason yuccapaddle.Refusal) bool {
	switch reason {
	case yuccapaddle.RefusedUnhealthy, yuccapaddle.RefusedCapacity, yuccapaddle.RefusedReplaced:
		return true
	}
	return false
}

// refusedForGood reports whether the refusal of a start proves that no copy of it is being
// carried out or will be. It does if there is no other copy, or if another worker has the
// only address to which copies have gone.
func (m *member) refusedForGood(reason yuccapaddle.Refusal) bool {
	return m.resends == 0 || reason == yuccapaddle.RefusedReplaced && !m.startScattered
}

// noteStartAddress records where a copy of the member's start is sent.
func (m *member) noteStartAddress(address string) {
	if m.startAddress != "" && m.startAddress != address {
		m.startScattered = true
	}
	m.startAddress = address
}

// resendStart sends a start again; the run number makes it idempotent. That is committed
// before: a later host then knows of which runs there is one copy at most.
func (p *Planner) resendStart(w *worker, x assignment) {
	x.u.members[x.member].resends++
	x.u.members[x.member].copyDue = true
	p.markUnitDirty(x.u)
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
