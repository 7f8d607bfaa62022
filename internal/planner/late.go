package planner

import (
	"slices"
	"time"

	"yuccapaddle"
)

// An order without an answer may be carried out seconds later. The deadline of a start is a time
// on the clock of the worker's process. If the worker restarts under its ID, its clock begins
// anew, far before that deadline, and it has seen no token yet: it carries out what reaches it.

const (
	// lateOrderTime is how long after it was sent an order without an answer may be carried out.
	lateOrderTime = 12 * time.Second
	// sendTime is how long after the decision copies of a start are sent, the time of the commit
	// included. A later host concludes from it when the last one was sent.
	sendTime = 5 * time.Second
)

// permitStarts permits copies of the starts of the unit's current run to be sent from the next
// commit on, for sendTime from now.
func (p *Planner) permitStarts(u *unit) {
	u.sendBy = p.now.Add(sendTime)
	p.placing = append(p.placing, u)
}

// SendBy returns the time after which no copy of a start may be sent.
func (p *Planner) SendBy(st *yuccapaddle.RunStart) time.Time {
	if x, ok := p.worker(st.Worker).runs[st.Task]; ok && x.u.run == st.Run {
		return x.u.sendBy
	}
	return time.Time{}
}

// beginCommit records that the permissions since the latest batch are committed with this one.
func (p *Planner) beginCommit() {
	for _, u := range p.placing {
		u.placedRevision = 0
	}
	p.placing, p.committing = nil, p.placing
}

// NoteCommitted records that the latest batch was committed by a revision of the ledger.
func (p *Planner) NoteCommitted(revision uint64) {
	for _, u := range p.committing {
		u.placedRevision = revision
	}
	p.committing = nil
}

// SetPredecessorEnd sets the time until which the former host may go on sending starts.
func (p *Planner) SetPredecessorEnd(t time.Time) {
	p.predecessorEnd = t
}

// noteSent records that a copy of the member's start is sent now.
func (m *member) noteSent(now time.Time) {
	m.unsent, m.copyDue = false, false
	m.unanswered++
	m.lateUntil = now.Add(lateOrderTime)
}

// noteAnswered records that a copy of the member's start has an answer: it cannot be carried out
// late.
func (m *member) noteAnswered() {
	m.unanswered = max(m.unanswered-1, 0)
	if m.unanswered == 0 {
		m.lateUntil = time.Time{}
	}
}

// noteCarriedOut records that the worker has carried the member's start out. If only one copy
// was sent, none is left that may be carried out late.
func (m *member) noteCarriedOut() {
	if m.resends == 0 {
		m.unanswered, m.lateUntil, m.formerCopies = 0, time.Time{}, false
	}
}

// startSettled reports whether no copy of the member's start is under way: each was answered, or is
// the only one and was carried out. A later host then need not wait for one.
func (m *member) startSettled() bool {
	return m.confirmed && !m.formerCopies && !m.unsent && !m.copyDue && m.unanswered == 0
}

// noteSettled has the records tell that the start of an endless task is settled, which has to be
// at work again within seconds of a loss. Those of other tasks tell so when they change next.
func (p *Planner) noteSettled(u *unit, m *member) {
	if u.stepSpec().Endless && !m.settled && m.startSettled() {
		p.markUnitDirty(u)
	}
}

// lateUntil returns the time until which a copy of the start of a run may be carried out, zero
// if none may be. Copies of a former host were sent while that may have been active, and within
// sendTime of their commit. When that was is known by the steady clock of this host: a time of
// day in the records would be that of another host, and either clock may have been set since.
func (p *Planner) lateUntil(x assignment) time.Time {
	m := &x.u.members[x.member]
	if !m.formerCopies {
		return m.lateUntil
	}
	sentBy := p.predecessorEnd
	if by := x.u.committedBy.Add(sendTime); !x.u.committedBy.IsZero() && by.Before(sentBy) {
		sentBy = by
	}
	if until := sentBy.Add(lateOrderTime); until.After(m.lateUntil) {
		return until
	}
	return m.lateUntil
}

// mayRunLate reports whether a run may be in progress on a silent worker that has restarted and
// has carried a start out late. The run has a lease from then on. It cannot be if another worker
// has taken its place.
func (p *Planner) mayRunLate(w *worker, x assignment) bool {
	return p.now.Before(p.lateUntil(x).Add(p.limits.LongestLease)) && !p.replaced(w, &x.u.members[x.member])
}

// mayRestartLate reports whether a run that has ended on a worker may begin there once more,
// beside the next run of its unit, or in room that was given away: a copy of its start is carried
// out late after the worker has restarted. If the worker has restarted already, it has seen a
// token of this host since, and refuses that copy. An endless task does not wait: it has to be at
// work again within seconds.
func (p *Planner) mayRestartLate(w *worker, x assignment) bool {
	u := x.u
	if u.succeeded || u.stepSpec().Endless || w.restartedUnder(&u.members[x.member]) {
		return false
	}
	return p.now.Before(p.lateUntil(x))
}

// keep keeps a run that has ended until no copy of its start can be carried out late, and stops
// the rest of its unit. Its worker is polled meanwhile, and lists the run if it begins again.
func (p *Planner) keep(x assignment, reason string) {
	u, m := x.u, &x.u.members[x.member]
	p.confirmRun(m)
	if m.kept {
		return
	}
	m.kept = true
	p.wakeBy(p.lateUntil(x))
	if !u.stopping {
		p.stop(u, "a copy of its start may be carried out late")
	}
	if u.job.spec.Once && !u.job.state.Final() {
		u.mayHaveStartedBefore, u.lastEndReason = u.mayHaveStartedBefore || u.mayHaveStarted(), reason
		p.failIfExhausted(u)
	}
}

// releaseKept has the workers polled on which runs of the unit were kept and need not be any
// more. Only a list that was asked for since then ends a run.
func (p *Planner) releaseKept(u *unit) {
	for i := range u.members {
		m := &u.members[i]
		if !m.kept || p.mayRestartLate(p.worker(m.worker), assignment{u, i}) {
			continue
		}
		m.kept, m.confirmedPoll = false, p.lastPoll
		p.proofs = append(p.proofs, m.worker)
	}
}

// replaced reports whether another worker has answered that is registered at the address of a
// member's worker since. One that has not answered yet is asked.
func (p *Planner) replaced(w *worker, m *member) bool {
	var later []string
	for id, other := range p.workers {
		if other != w && other.registered && other.Address == m.address && other.Incarnation > m.incarnation {
			later = append(later, id)
		}
	}
	slices.Sort(later)
	return len(later) > 0 && p.requestProofs(later[:1])
}
