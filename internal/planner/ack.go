package planner

import (
	"slices"
	"time"

	"yuccapaddle"
)

// Once a host has acknowledged that a task is done, or has failed for the last time, it must not
// begin again. The worker's run number sees to that, until the worker restarts under its ID: a
// copy of the start that had no answer may then be carried out there. So such an end stays
// unacknowledged for as long as that is possible. A worker that restarts forgets it, and it has
// never counted. The end itself is committed, and callers see it, at once.

// maxListedEnds is how many ends a worker may have listed or be about to list while an
// acknowledgement is withheld. It gets no new runs beyond that: a worker does not list more than
// 500 at a time, and the ends of those it runs have to be among them.
const maxListedEnds = 400

// withheldEnd is an end that must not be acknowledged yet.
type withheldEnd struct {
	number int64
	until  time.Time
	// former means that a former host may have sent copies of the start, so that it is withheld
	// until the last of those can have been carried out.
	former bool
}

// withholdAck withholds the acknowledgement of a run's end if a start of its unit may still be
// carried out late. The end of one member of a gang counts for all of them. An endless task may
// begin again at any time.
func (p *Planner) withholdAck(w *worker, u *unit, e *yuccapaddle.End) {
	if e.Cause != yuccapaddle.EndDone && e.Cause != yuccapaddle.EndFailed || u.stepSpec().Endless {
		return
	}
	end := withheldEnd{number: e.Number, until: p.startsLateUntil(u), former: u.formerLate}
	if p.mayBeCarriedOut(end.until, end.former) {
		w.withheld = append(w.withheld, end)
	}
}

// startsLateUntil returns the time until which a start of any run of the unit may be carried out
// late, as far as this host has sent it or has taken the run over.
func (p *Planner) startsLateUntil(u *unit) time.Time {
	until := u.lateUntil
	for i := range u.members {
		if t := p.lateUntil(assignment{u, i}); t.After(until) {
			until = t
		}
	}
	return until
}

// noteLate records, when a member ends, until when its start may be carried out late. The next
// run of its unit does not know that any more.
func (p *Planner) noteLate(x assignment) {
	u := x.u
	if t := p.lateUntil(x); t.After(u.lateUntil) {
		u.lateUntil = t
	}
	if !p.now.Before(u.lateUntil) {
		u.lateUntil = time.Time{}
	}
	if u.formerLate && !p.mayBeCarriedOut(time.Time{}, true) {
		u.formerLate = false
	}
}

// mayBeCarriedOut reports whether a start that may be carried out until a time, or was sent by a
// former host, may still be.
func (p *Planner) mayBeCarriedOut(until time.Time, former bool) bool {
	return p.now.Before(until) || former && p.now.Before(p.predecessorEnd.Add(lateOrderTime))
}

// AckableEnd returns the number of the worker's latest end that may be acknowledged, once it is
// committed, 0 if there is none.
func (p *Planner) AckableEnd(id string) int64 {
	if w := p.workers[id]; w != nil {
		return p.ackableEnd(w)
	}
	return 0
}

func (p *Planner) ackableEnd(w *worker) int64 {
	if len(w.withheld) == 0 {
		return w.appliedEnd
	}
	n := len(w.withheld)
	w.withheld = slices.DeleteFunc(w.withheld, func(e withheldEnd) bool { return !p.mayBeCarriedOut(e.until, e.former) })
	p.changed = p.changed || len(w.withheld) < n
	if len(w.withheld) == 0 {
		return w.appliedEnd
	}
	return w.withheld[0].number - 1
}

// endsLeft returns how many more runs the worker may get before it lists too many ends, at most n.
func (p *Planner) endsLeft(w *worker, n int) int {
	if len(w.withheld) == 0 {
		return n
	}
	listed := int(w.appliedEnd - p.ackableEnd(w))
	if listed <= 0 {
		return n
	}
	return min(n, max(maxListedEnds-listed-len(w.runs), 0))
}

// unitOf returns the unit of a task, nil if the job has none.
func (j *job) unitOf(t yuccapaddle.TaskID) *unit {
	for _, u := range j.units {
		if u.occurrence == t.Occurrence && u.stepIndex == t.Step && (u.stepSpec().Gang || u.taskIndex == t.Index) {
			return u
		}
	}
	return nil
}
