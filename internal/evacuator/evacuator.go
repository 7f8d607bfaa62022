// Package evacuator decides what to do with the runs on workers that are about to leave:
// whether a unit's run is stopped, so that it goes on elsewhere, or is left to end by
// itself. It does no I/O and reads no clock.
package evacuator

import "time"

const (
	// defaultStopTime is the time that a stop needs until its end is known. A worker takes up
	// to 0.4 s to save a checkpoint, the order waits for a commit and the end is listed within
	// 0.5 s, and a registration is up to 1.2 s old.
	defaultStopTime = 2100 * time.Millisecond
	// endMargin is what a run's estimated end has to be ahead of its worker's leaving, for the
	// end to be listed in time.
	endMargin = 300 * time.Millisecond
	// slack is the divisor of the estimated rest of a run that gives its margin of
	// uncertainty, 1/8.
	slack = 8
	// minPercent is the progress from which the speed of a run is estimated: percentages are
	// whole numbers, so that 5 of them are known to within a fifth.
	minPercent = 5
)

// Action is what is to be done with a run.
type Action int

// Actions, from the least to the most intrusive.
const (
	// Keep means that the run is left to end by itself.
	Keep Action = iota
	// Wait means that the run is kept for now; it may be stopped later.
	Wait
	// Stop means that the run is to be stopped now.
	Stop
)

// Run is the current run of a unit: a gang as a whole, or a single task.
type Run struct {
	// Members are those that have not ended.
	Members []Member
	// StartedAt is when the run was started.
	StartedAt time.Time
	// Resumed means that the run may have gone on from a checkpoint, so that its progress
	// since StartedAt is unknown.
	Resumed bool
	// Checkpoints means that a stop saves the work that is done.
	Checkpoints bool
	// Endless means that the run does not end by itself.
	Endless bool
	// Shortest and Longest are a low and a high quantile of the time that such runs take
	// without a checkpoint, 0 if unknown.
	Shortest, Longest time.Duration
	// Cores is the processor time of all members together, an accelerator as 8 cores.
	Cores float64
	// Room means that the unit could start again elsewhere now.
	Room bool
}

// Member is a member of a run. Percent is its progress as of At, and FirstPercent the
// progress first seen in this run, as of FirstAt.
type Member struct {
	// LeavesAt is the earliest time at which its worker leaves, zero if it stays.
	LeavesAt              time.Time
	FirstPercent, Percent int
	FirstAt, At           time.Time
}

// Evacuator decides by fixed rules. It keeps no state.
type Evacuator struct {
	stopTime time.Duration
}

// Option configures an Evacuator in New.
type Option func(*Evacuator)

// WithStopTime sets the time from the decision to stop a run until its end is known.
func WithStopTime(d time.Duration) Option {
	return func(e *Evacuator) { e.stopTime = d }
}

// New returns an Evacuator.
func New(opts ...Option) *Evacuator {
	e := &Evacuator{stopTime: defaultStopTime}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Decide says what is to be done with a run now. A gang leaves with the earliest of its
// workers, and ends with the slowest of its members.
//
// A run whose stop saves its work, or that has no end, is stopped at once if it cannot end
// in time and there is room for it elsewhere, and otherwise as late as is safe, since it
// gets on where it is. A run that would lose its work is stopped only at once, and only if
// it certainly cannot end in time, has run no longer than the time left, and its stop frees
// room on workers that stay or lets it start again: the worker may stay longer than the
// minimum time that it reports, so the run might still end if it is kept, which is worth
// more the more the run has done.
func (e *Evacuator) Decide(now time.Time, r *Run) Action {
	leavesAt := r.LeavesAt()
	if leavesAt.IsZero() {
		return Keep
	}
	left := leavesAt.Sub(now)
	shortest, longest, known := r.rest(now)
	if known && longest+longest/slack+endMargin <= left {
		return Keep
	}
	tooLong := r.Endless || known && shortest-shortest/slack > left
	if !r.Checkpoints && !r.Endless {
		if tooLong && now.Sub(r.StartedAt) <= left && (r.Room || r.Leaving() < len(r.Members)) {
			return Stop
		}
		return Keep
	}
	if left <= e.stopTime || tooLong && r.Room {
		return Stop
	}
	return Wait
}

// LeavesAt returns when the first worker of the run leaves, zero if none does.
func (r *Run) LeavesAt() time.Time {
	var first time.Time
	for i := range r.Members {
		if at := r.Members[i].LeavesAt; !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// AtRisk returns the work that is lost if the first worker leaves while the run is in
// progress, in core-seconds.
func (r *Run) AtRisk() float64 {
	return max(r.LeavesAt().Sub(r.StartedAt).Seconds(), 0) * r.Cores
}

// Leaving returns the number of members whose workers leave.
func (r *Run) Leaving() int {
	n := 0
	for i := range r.Members {
		if !r.Members[i].LeavesAt.IsZero() {
			n++
		}
	}
	return n
}

// rest estimates the time until the run ends by itself, that of its slowest member, as a
// range. It is unknown if that of any member is.
func (r *Run) rest(now time.Time) (shortest, longest time.Duration, known bool) {
	if r.Endless || len(r.Members) == 0 {
		return 0, 0, false
	}
	for i := range r.Members {
		s, l, ok := r.restByProgress(now, &r.Members[i])
		if !ok {
			s, l, ok = r.restByHistory(now)
		}
		if !ok {
			return 0, 0, false
		}
		shortest, longest = max(shortest, s), max(longest, l)
	}
	return shortest, longest, true
}

// restByProgress estimates the rest of a member's run from its own progress. A percentage
// that is seen is reached, and the next one is not.
func (r *Run) restByProgress(now time.Time, m *Member) (shortest, longest time.Duration, known bool) {
	from, since, least := 0, r.StartedAt, m.Percent
	if r.Resumed {
		from, since, least = m.FirstPercent, m.FirstAt, m.Percent-m.FirstPercent-1
	}
	made, took := m.Percent-from, m.At.Sub(since)
	if since.IsZero() || made < minPercent || took <= 0 || m.Percent > 100 || from < 0 {
		return 0, 0, false
	}
	sinceSeen := now.Sub(m.At)
	left := float64(100 - m.Percent)
	shortest = time.Duration(float64(took)*(left-1)/float64(made+1)) - sinceSeen
	longest = time.Duration(float64(took)*left/float64(least)) - sinceSeen
	// A run that is past its estimated end is slower than it was: its end is unknown.
	return max(shortest, 0), max(longest, 0), longest >= 0
}

// restByHistory estimates the rest of a run from how long such runs have taken. A run that
// has taken longer than most has an unknown end.
func (r *Run) restByHistory(now time.Time) (shortest, longest time.Duration, known bool) {
	elapsed := now.Sub(r.StartedAt)
	if r.Resumed || r.Longest <= 0 || elapsed >= r.Longest {
		return 0, 0, false
	}
	return max(r.Shortest-elapsed, 0), r.Longest - elapsed, true
}
