package executor

import (
	"time"

	"yuccapaddle"
)

// setLeaveTimes turns the time that draining workers have left into deadlines on this
// host's clock.
func (e *Executor) setLeaveTimes(r *registryRead) {
	for i := range r.workers {
		if w := &r.workers[i]; w.Draining && w.RemainingMS > 0 {
			w.LeavesAt = e.links[w.ID].leaveTime(w, r)
		}
	}
}

// leaveTime returns a time before which a draining worker does not leave. The time left
// counts from the registration, which may be older than the read: its age is at least the
// advance of the worker's clock since then, which a hold may have read later. If that clock
// is unknown, the age is taken to be the duration of the read.
func (l *link) leaveTime(w *yuccapaddle.Worker, r *registryRead) time.Time {
	remaining := time.Duration(w.RemainingMS) * time.Millisecond
	at := r.sentAt
	if l != nil && l.incarnation == w.Incarnation {
		clock := l.minClock(r.arrivedAt)
		if l.clockAt.IsZero() {
			clock = lowerBound(l.registered, l.registeredAt, r.arrivedAt)
		}
		age := time.Duration(clock-w.Clock) * time.Millisecond
		if registered := r.arrivedAt.Add(-max(age, 0)); registered.Before(at) {
			at = registered
		}
	}
	return at.Add(remaining)
}
