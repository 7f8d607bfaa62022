package planner

import (
	"errors"
	"time"

	"yuccapaddle"
)

const (
	// unfitTime is how long a worker that refuses starts gets none.
	unfitTime = 2 * time.Second
	// startTries is how often an unanswered start is sent before the run is given up.
	startTries = 3
)

// Answered takes in a worker's answer to a start: err is nil if the run is
// there, a refusal, or ErrNoAnswer. It reports whether the worker should be
// looked at now.
func (p *Planner) Answered(id string, t yuccapaddle.TaskID, run int, err error) (look bool) {
	s := p.worker(id)
	x, ok := s.runs[t]
	if !ok || x.u.run != run || x.u.members[x.i].over {
		return false
	}
	m := &x.u.members[x.i]
	var refusal *yuccapaddle.RefusalError
	switch {
	case err == nil:
		p.confirm(m)
		m.movedAt = p.now
		p.begun(x.u)
	case !errors.As(err, &refusal):
		p.unanswered(s, x)
	default:
		return p.refused(s, x, refusal.Reason)
	}
	return false
}

// refused settles a start that was refused, and reports whether the worker should
// be looked at to know more.
func (p *Planner) refused(s *worker, x assignment, why yuccapaddle.Refusal) (look bool) {
	u := x.u
	p.note(yuccapaddle.Note{Event: "start refused", Job: u.job.in.ID, Task: u.taskID(x.i).String(), Worker: s.ID, Run: u.run, Detail: string(why)})
	m := &u.members[x.i]
	switch why {
	case yuccapaddle.RefusedOld:
		// The run has been there; the next list tells how it ended.
		p.confirm(m)
		m.movedAt = p.now
		return true
	case yuccapaddle.RefusedLate:
		if m.tries < startTries && !u.job.in.Once {
			p.again(s, x)
			return false
		}
	case yuccapaddle.RefusedUnhealthy, yuccapaddle.RefusedRoom, yuccapaddle.RefusedReplaced:
		s.unfit = p.now.Add(unfitTime)
		p.wakeBy(s.unfit)
	case yuccapaddle.RefusedTicket:
		p.rejectTicket(u, s.ID)
	case yuccapaddle.RefusedInvalid:
		p.failed(s, u)
	}
	m.unborn = m.tries == 0 && !m.adopted && !m.sent
	if m.tries > 0 && !settles(why) {
		// An earlier copy has had no answer and may still be carried out.
		p.stop(u, "a start was refused after one without an answer")
		return false
	}
	p.over(s, u, x.i, "the start was refused: "+string(why))
	return false
}

// settles reports whether a refusal says of earlier copies of the start, too,
// that they have not been carried out and will not be: only if the worker is gone.
func settles(why yuccapaddle.Refusal) bool {
	return why == yuccapaddle.RefusedReplaced
}

// again sends a start once more: the run's number makes it idempotent.
func (p *Planner) again(s *worker, x assignment) {
	x.u.members[x.i].tries++
	p.batch.Starts = append(p.batch.Starts, p.start(x.u, s.ID, x.i))
}

func (p *Planner) unanswered(s *worker, x assignment) {
	u := x.u
	p.note(yuccapaddle.Note{Event: "start unanswered", Job: u.job.in.ID, Task: u.taskID(x.i).String(), Worker: s.ID, Run: u.run})
	if u.stopping {
		return
	}
	if u.job.in.Once {
		// A second start could meet the worker's next life, and run the task again.
		p.stop(u, "a start that may go out only once has had no answer")
		return
	}
	if u.members[x.i].tries < startTries {
		p.again(s, x)
		return
	}
	s.unfit = p.now.Add(unfitTime)
	p.wakeBy(s.unfit)
	p.stop(u, "a worker does not answer the start")
}

// Stopped takes in that a worker has confirmed a stop: a start of the run that
// has not been confirmed will not be carried out any more, unless it runs. It
// reports whether the worker should be looked at now to know that.
func (p *Planner) Stopped(id string, t yuccapaddle.TaskID, run int) (look bool) {
	s := p.worker(id)
	x, ok := s.runs[t]
	if !ok || x.u.run != run {
		return false
	}
	m := &x.u.members[x.i]
	if m.sent {
		return false
	}
	p.confirm(m)
	m.movedAt = p.now
	return true
}

func (p *Planner) start(u *unit, worker string, i int) yuccapaddle.RunStart {
	return yuccapaddle.RunStart{
		Worker: worker, Task: u.taskID(i), Run: u.run, Payload: u.job.in.Payload, Saved: u.saved, Ticket: p.ticket(u, worker), Once: u.job.in.Once,
	}
}
