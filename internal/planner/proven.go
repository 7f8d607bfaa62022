package planner

import (
	"slices"
	"time"
)

// Load pattern: some workers fail every task soon after its start and look healthy
// otherwise. A gang is as likely to fail as its worst worker, and has few attempts. So
// while tasks fail in a burst, gangs prefer proven workers, on which a start has
// recently succeeded. Single tasks, of which a failure costs only one, test the others.

const (
	// provenAfter is how long a run has to last for its start to count as successful.
	provenAfter = 300 * time.Millisecond
	// provenFor is how long after a successful start its worker counts as proven.
	provenFor = 2500 * time.Millisecond
	// failureBurstSize task failures within failureBurstWindow are a burst.
	failureBurstWindow = 3 * time.Second
	failureBurstSize   = 3
)

// needsProvenWorkers reports whether a unit should go to proven workers: it has failed
// before, or it is a gang and tasks fail in a burst.
func (p *Planner) needsProvenWorkers(u *unit) bool {
	return !p.noProvenPreference && (u.failures > 0 || u.stepSpec().Gang && p.inFailureBurst())
}

// inFailureBurst reports whether the latest failureBurstSize failures lie within
// failureBurstWindow.
func (p *Planner) inFailureBurst() bool {
	first := p.recentFailures[0] // the oldest of them
	return !first.IsZero() && p.now.Sub(first) <= failureBurstWindow
}

// recordFailure records that a worker has failed a task now.
func (p *Planner) recordFailure(w *worker) {
	w.lastFailure = p.now
	copy(p.recentFailures[:], p.recentFailures[1:])
	p.recentFailures[failureBurstSize-1] = p.now
}

// provenOnly returns the candidates whose workers are proven.
func (p *Planner) provenOnly(candidates []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool {
		return p.now.Sub(p.provenAt(c.w)) > provenFor
	})
}

// provenAt returns the time of the latest successful start on a worker, or the zero time
// if the worker has failed a task since.
func (p *Planner) provenAt(w *worker) time.Time {
	last := w.lastGoodStart
	for _, x := range w.runs {
		m := &x.u.members[x.member]
		if m.confirmed && x.u.placedAt.After(last) && p.now.Sub(x.u.placedAt) > provenAfter {
			last = x.u.placedAt
		}
	}
	if !last.After(w.lastFailure) {
		return time.Time{}
	}
	return last
}
