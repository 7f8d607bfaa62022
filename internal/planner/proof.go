package planner

import (
	"slices"
	"time"
)

// Load pattern: some workers fail whatever they start, within a moment, and look
// sound otherwise. A gang is as likely to fail as its worst worker, and has few
// attempts. So while several workers fail, gangs go to workers on which a start has
// gone well of late; single tasks, of which only one is lost, find out about the
// others.

const (
	// survival is how long a run has to live for its start to have gone well.
	survival = 300 * time.Millisecond
	// proofTime is for how long a start that went well speaks for its worker.
	proofTime = 2500 * time.Millisecond
	// stormTime is the time in which stormCount tasks have to fail for gangs to be
	// careful.
	stormTime  = 3 * time.Second
	stormCount = 3
)

// careful reports whether a unit should go to workers that have proved themselves.
func (p *Planner) careful(u *unit) bool {
	return !p.unproven && (u.fails > 0 || u.spec().Gang && p.storm())
}

// storm reports whether several tasks have failed of late.
func (p *Planner) storm() bool {
	first := p.failures[0] // the earliest of the last stormCount
	return !first.IsZero() && p.now.Sub(first) <= stormTime
}

// noteFailure notes the time at which a worker failed a task.
func (p *Planner) noteFailure(s *worker) {
	s.failedAt = p.now
	copy(p.failures[:], p.failures[1:])
	p.failures[stormCount-1] = p.now
}

// proven lists the rooms on workers on which a start has gone well of late.
func (p *Planner) proven(rooms []room) []room {
	return slices.DeleteFunc(slices.Clone(rooms), func(r room) bool {
		return p.now.Sub(p.provenAt(r.s)) > proofTime
	})
}

// provenAt is the time of the last start on a worker that went well, zero if it has
// failed a task since.
func (p *Planner) provenAt(s *worker) time.Time {
	last := s.doneAt
	for _, x := range s.runs {
		m := &x.u.members[x.i]
		if m.sent && x.u.placedAt.After(last) && p.now.Sub(x.u.placedAt) > survival {
			last = x.u.placedAt
		}
	}
	if !last.After(s.failedAt) {
		return time.Time{}
	}
	return last
}
