package executor

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// Deadlines in orders are times on the clock of their worker. Only the worker itself tells that
// clock: its registration may be that of another writer, and an order with a deadline beyond
// the longest lease that is carried out late would keep runs that count as over.
const (
	// minClockRate is the lowest rate of a worker's clock against this host's clock.
	minClockRate = 0.98
	// maxClockRate is the highest rate of that clock that is believed, and clockSlackMS how
	// much further, in milliseconds, a registration may be ahead of it without a log line.
	maxClockRate = 1.02
	clockSlackMS = 1000
	// maxOrderDelayMS is the age in milliseconds, by the clock in its registration, from which on
	// a worker gets no late orders that were sent before its start.
	maxOrderDelayMS = 15_000
	// maxMS is the highest time in milliseconds that a worker may tell, so that sums with it
	// stay far from overflow.
	maxMS = 1<<53 - 1
)

// minClock returns a lower bound of the worker's clock, in milliseconds, 0 if the worker has
// not told it.
func (l *link) minClock(now time.Time) int64 {
	return lowerBound(l.clock, l.clockAt, now)
}

// lowerBound returns a lower bound of a worker's clock from a reading that arrived at a time,
// in milliseconds, 0 if there is none.
func lowerBound(clock int64, at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return clock + int64(float64(now.Sub(at).Milliseconds())*minClockRate)
}

// maxClock returns an upper bound of the worker's clock, in milliseconds, after it has told it.
func (l *link) maxClock(now time.Time) int64 {
	return l.clock + int64(float64(now.Sub(l.clockAt).Milliseconds())*maxClockRate) + clockSlackMS
}

// toldClock returns the clock that the answer to an order tells, in milliseconds, 0 for none.
// An order that is refused since another worker has the address tells the clock of that one.
func toldClock(clock int64, err error) int64 {
	var refusal *yuccapaddle.RefusalError
	switch {
	case err == nil:
		return clock
	case errors.As(err, &refusal) && refusal.Reason != yuccapaddle.RefusedReplaced:
		return refusal.Clock
	}
	return 0
}

// updateClockFrom stores a reading of the worker's clock from the answer to an order that was
// sent to a process of the worker. If another one has answered since, the reading may be that
// of the former process, which had a clock of its own.
func (l *link) updateClockFrom(process uint64, clock int64, at time.Time) {
	if process == l.process {
		l.updateClock(clock, at)
	}
}

// updateClock stores a reading of the worker's clock from an answer that had arrived by the
// given time, unless it is below the present lower bound. The reading may be older than its
// arrival, but is often much newer than the call: a worker that delays its reply reads its
// clock at the end.
func (l *link) updateClock(clock int64, at time.Time) {
	if clock <= 0 || clock > maxMS || clock < l.minClock(at) {
		return
	}
	l.clock, l.clockAt = clock, at
}

// updateFromRegistration stores what the latest registration says of a worker that has not
// answered yet. What the worker itself has told counts more. It returns whether the
// registration is the first that names a later incarnation than the worker has, or a worker
// that was started lately and has not answered: it may not have seen a token since.
func (l *link) updateFromRegistration(w *yuccapaddle.Worker, at time.Time) (maybeRestarted bool) {
	switch {
	case !l.answered:
		maybeRestarted = w.Incarnation > l.incarnation && w.Clock < maxOrderDelayMS
		if w.Incarnation != l.incarnation || w.Clock != l.registered {
			l.incarnation, l.registered, l.registeredAt = w.Incarnation, w.Clock, at
		}
	case w.Incarnation != l.incarnation:
		maybeRestarted = w.Incarnation > l.incarnation && w.Incarnation != l.named
		l.named = w.Incarnation
	}
	return maybeRestarted
}

// restart resets the link for an incarnation of the worker as which it has answered for the
// first time. If it had answered as another one before, the tokens that follow are higher, so
// that the worker refuses orders from before its restart.
func (l *link) restart(incarnation, clock int64, at time.Time) {
	if l.answered {
		l.restarts++
	}
	l.process++
	l.incarnation, l.clock, l.clockAt = incarnation, 0, at
	l.updateClock(clock, at)
	l.committedEnd, l.ackedEnd = 0, 0
}

// leaseDeadline returns the deadline of the lease that an order sent now grants, in
// milliseconds of the worker's clock, and moves leasesEndBy accordingly.
func (e *Executor) leaseDeadline(l *link) int64 {
	if end := e.leaseEnd(e.now); end.After(l.leasesEndBy) {
		l.leasesEndBy = end
	}
	return l.minClock(e.now) + e.bounds.MaxLeaseMS
}

// renewalDeadline returns the deadline of a renewal sent now, 0 for none: another host may be
// active, or the worker has not told its clock yet.
func (e *Executor) renewalDeadline(l *link) int64 {
	if !l.answered || l.clockAt.IsZero() || !e.roleConfirmed() {
		return 0
	}
	return e.leaseDeadline(l)
}

// updateClocks updates incarnations and clocks from registrations that had arrived by that
// time. It asks the workers that may have restarted, also idle ones: until one has seen a token
// of this host it carries out late orders from before.
func (e *Executor) updateClocks(list []yuccapaddle.Worker, at time.Time) {
	for i := range list {
		id := list[i].ID
		l := e.link(id)
		e.logContradiction(&list[i], l, at)
		if l.updateFromRegistration(&list[i], at) {
			e.poll(id, l)
		}
	}
}

// logContradiction logs, once for as long as it lasts, that a registration names another start
// or a later clock than the worker itself has told.
func (e *Executor) logContradiction(w *yuccapaddle.Worker, l *link, at time.Time) {
	contradicted := l.answered && (w.Incarnation != l.incarnation || !l.clockAt.IsZero() && w.Clock > l.maxClock(at))
	if contradicted && !l.contradicted {
		e.log.Warn("a registration contradicts its worker", zap.String("worker", w.ID), zap.String("address", w.Address),
			zap.Int64("registered_start", w.Incarnation), zap.Int64("start", l.incarnation),
			zap.Int64("registered_clock_ms", w.Clock), zap.Int64("clock_ms", l.minClock(at)))
	}
	l.contradicted = contradicted
}

// logFirstAnswer logs that a worker's first answer differs from its registration.
func (e *Executor) logFirstAnswer(id string, l *link, reply *yuccapaddle.HoldReply, at time.Time) {
	registered := lowerBound(l.registered, l.registeredAt, at)
	if reply.Incarnation != l.incarnation && l.incarnation != 0 || registered > reply.Clock+clockSlackMS {
		e.log.Warn("a worker's first answer differs from its registration", zap.String("worker", id),
			zap.Int64("registered_start", l.incarnation), zap.Int64("start", reply.Incarnation),
			zap.Int64("registered_clock_ms", registered), zap.Int64("clock_ms", reply.Clock))
	}
}
