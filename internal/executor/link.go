package executor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// A hold is the periodic call to a worker: it renews the leases of its runs,
// acknowledges ended runs, and long-polls for the next end.
const (
	// orderTimeout bounds the calls for start, stop and pace orders.
	orderTimeout = 500 * time.Millisecond
	// holdWaitMS is how long a worker may delay its reply to a hold until a run ends.
	holdWaitMS = 1900
	// pacedHoldWaitMS is the same for a worker whose spare tasks are paced by the
	// gauge of another task: the gauge covers the last half second.
	pacedHoldWaitMS = 500
	// holdCallSlack is what the call of a hold may take beyond the wait.
	holdCallSlack  = 700 * time.Millisecond
	holdRetryDelay = 200 * time.Millisecond
	// unheldTime is the time without a hold after which a worker replies to the next one at
	// once: it may have restarted while it ran nothing.
	unheldTime = holdWaitMS*time.Millisecond + holdCallSlack
	// relistInterval is the time between holds to a worker that lists ends of which the
	// acknowledgement is withheld: it does not wait for the next end.
	relistInterval = 300 * time.Millisecond
	// probeInterval is the time between holds to a silent worker that runs nothing.
	probeInterval = 600 * time.Millisecond
	// restartBits is the number of low bits of a fencing token that count the restarts
	// of the worker; the epoch is above them.
	restartBits = 16
)

// link is the state of the communication with one worker.
type link struct {
	clock        int64     // last reading of its clock that the worker has told, in milliseconds
	clockAt      time.Time // when the reading arrived here, zero if the worker has told none
	registered   int64     // the clock in its latest registration, before it has answered
	registeredAt time.Time // when that arrived here
	incarnation  int64     // start of the worker in Unix milliseconds, 0 if unknown
	answered     bool      // the worker itself has told the incarnation
	address      string    // at which it has answered a hold last, empty if it has not
	named        int64     // another incarnation that its registration has named last
	contradicted bool      // its registration contradicts what the worker has told
	restarts     uint64    // of the worker since it first answered this host
	process      uint64    // counts the processes of the worker that have answered this host
	holdPending  bool
	holdSentAt   time.Time
	holdUntil    time.Time // when the worker replies to it at the latest
	retryAt      time.Time // no hold is sent before
	committedEnd int64     // number of the last run end whose effects are committed
	ackedEnd     int64     // number of the last run end that the worker may forget
	leasesEndBy  time.Time // when all leases that this host has granted to the worker have certainly ended
	silent       bool      // the last hold failed
	reported     bool      // the worker has listed its runs since this host became active
}

// link returns the link to a worker and creates it if needed. A new link assumes that a
// former host renewed the worker's leases until this one took over.
func (e *Executor) link(id string) *link {
	l := e.links[id]
	if l == nil {
		l = &link{leasesEndBy: e.leaseEnd(e.startedAt)}
		e.links[id] = l
	}
	return l
}

// allLeasesEndBy returns when all leases of a worker have certainly ended. A worker that has
// answered this host refuses renewals by a former one.
func (e *Executor) allLeasesEndBy(l *link) time.Time {
	if l.answered {
		return l.leasesEndBy
	}
	return e.formerLeasesEndBy(l, e.predecessorRenewsUntil())
}

// formerLeasesEndBy returns when all leases of a worker have certainly ended to which a former
// host granted none after a time.
func (e *Executor) formerLeasesEndBy(l *link, lastGrant time.Time) time.Time {
	if until := e.predecessorRenewsUntil(); until.Before(lastGrant) {
		lastGrant = until
	}
	if end := e.leaseEnd(lastGrant); end.After(l.leasesEndBy) {
		return end
	}
	return l.leasesEndBy
}

// predecessorEnd returns until when the former host may go on sending starts.
func (e *Executor) predecessorEnd() time.Time {
	if until := e.predecessorStartsUntil(); until.After(e.startedAt) {
		return until
	}
	return e.startedAt
}

// leaseEnd returns when a lease granted at the given time has certainly ended.
func (e *Executor) leaseEnd(at time.Time) time.Time {
	return at.Add(longestLease(e.bounds.MaxLeaseMS))
}

// longestLease returns how long a lease of that length by the worker's clock may last.
func longestLease(maxLeaseMS int64) time.Duration {
	return time.Duration(float64(maxLeaseMS)/minClockRate) * time.Millisecond
}

// token returns the fencing token for orders to the worker.
func (e *Executor) token(l *link) uint64 {
	return e.rec.Epoch()<<restartBits | min(l.restarts, 1<<restartBits-1)
}

// appliedEnd is the number of the last run end of a worker that the planner has applied.
// Numbers begin anew when the worker restarts.
type appliedEnd struct {
	l        *link
	restarts uint64
	number   int64
}

// commit notes that a commit covers the end, unless the worker has restarted since.
func (a *appliedEnd) commit() {
	if a.l.restarts == a.restarts {
		a.l.committedEnd = a.number
	}
}

// uncommittedEnds returns the last applied ends of the workers where no commit covers them
// yet.
func (e *Executor) uncommittedEnds() []appliedEnd {
	var ends []appliedEnd
	for id, l := range e.links {
		if e.plan.ReportedIncarnation(id) != l.incarnation {
			continue // the ends are those of before a restart
		}
		if n := e.plan.AppliedEnd(id); n > l.committedEnd {
			ends = append(ends, appliedEnd{l, l.restarts, n})
		}
	}
	return ends
}

// sendHolds sends the holds that are due: to workers that may run something, that have
// applied ends to be acknowledged, or that are registered but silent. It gives up the runs
// of a silent worker once its leases have ended.
func (e *Executor) sendHolds() {
	for id, l := range e.links {
		if l.holdPending || e.now.Before(l.retryAt) {
			continue
		}
		busy := e.plan.Busy(id)
		probe := l.silent && e.plan.Registered(id)
		if !busy && !probe && l.ackedEnd >= e.plan.AckableEnd(id) && !e.renewsListed(id, l) {
			continue
		}
		if l.silent && e.now.After(e.allLeasesEndBy(l)) {
			e.plan.HandleLeaseExpiry(id)
			l.ackedEnd = e.plan.AppliedEnd(id)
			if !probe {
				continue
			}
		}
		e.hold(id, l, busy)
	}
}

var (
	errUnregistered = errors.New("the worker is not registered")
	// errStranger means that a process has refused the token that has never answered as the
	// worker: an entry of another writer may name it, and it may be of another system. So it does
	// not prove that a later host is active.
	errStranger = errors.New("a process that has not answered as the worker refuses the token")
)

// isOutdated reports whether an order was refused since the worker has seen a higher token.
func isOutdated(err error) bool {
	var refusal *yuccapaddle.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == yuccapaddle.RefusedOutdated
}

// hold sends the regular hold to a worker. busy means that something may run there.
func (e *Executor) hold(id string, l *link, busy bool) {
	w, ok := e.plan.Worker(id)
	if !ok || w.Address == "" {
		e.handleHoldError(id, l, e.token(l), errUnregistered)
		return
	}
	o := yuccapaddle.HoldOrder{Token: e.token(l), AckedEnd: l.endToAck(e.plan.AckableEnd(id))}
	if (busy || e.withholds(id)) && !l.silent {
		// A silent worker gets no renewal: the order may arrive even if the reply does
		// not, so each one would postpone the time when its leases have certainly ended.
		o.Deadline = e.renewalDeadline(l)
		switch {
		case !l.reported || e.now.Sub(l.holdSentAt) > unheldTime:
		case e.plan.HasSpareBesideTarget(id):
			o.WaitMS = pacedHoldWaitMS
		default:
			o.WaitMS = e.holdWait(id)
		}
	}
	if due := e.relistDue(id, l); !due.IsZero() {
		// The worker would not wait but list the ends again at once.
		if e.now.Before(due) {
			return
		}
		o.WaitMS = 0
	}
	l.holdPending, l.holdSentAt = true, e.now
	l.holdUntil = e.now.Add(time.Duration(o.WaitMS) * time.Millisecond)
	e.sendHold(&w, id, l, o, true)
}

// relistDue returns when the next hold is due to a worker that lists ends which this hold does
// not acknowledge, zero if there are none: they are not committed, or it is withheld.
func (e *Executor) relistDue(id string, l *link) time.Time {
	switch {
	case e.plan.AppliedEnd(id) > l.committedEnd && e.plan.ReportedIncarnation(id) == l.incarnation:
		return l.holdSentAt.Add(holdWaitMS * time.Millisecond / 2)
	case e.withholds(id):
		return l.holdSentAt.Add(relistInterval)
	}
	return time.Time{}
}

// withholds reports whether the acknowledgement of an end that a worker lists is withheld.
func (e *Executor) withholds(id string) bool {
	return e.plan.AckableEnd(id) < e.plan.AppliedEnd(id)
}

// renewsListed reports whether the lease of a worker that runs nothing is renewed now. The end
// of which the acknowledgement is withheld would not count if the lease lapsed meanwhile.
func (e *Executor) renewsListed(id string, l *link) bool {
	return e.withholds(id) && e.now.Sub(l.holdSentAt) >= holdWaitMS*time.Millisecond
}

// endToAck returns the number up to which the next hold acknowledges ends, at most ackable, 0 for
// none. The worker may have restarted unnoticed, and its ends have other numbers then. So nothing
// is acknowledged twice, nor while it does not answer.
func (l *link) endToAck(ackable int64) int64 {
	end := min(l.committedEnd, ackable)
	if l.silent || l.ackedEnd >= end {
		return 0
	}
	return end
}

// noteAck records that a worker has answered a hold that acknowledged ends, and which ends it
// lists. What it lists it has not forgotten.
func (l *link) noteAck(acked int64, listed []yuccapaddle.End) {
	l.ackedEnd = max(l.ackedEnd, acked)
	if len(listed) > 0 {
		l.ackedEnd = min(l.ackedEnd, listed[0].Number-1)
	}
}

// poll sends a hold that does not wait, even if a regular one is pending, to learn at once
// what the worker runs. It acknowledges nothing, since it may be sent to find out whether the
// worker has restarted.
func (e *Executor) poll(id string, l *link) {
	w, ok := e.plan.Worker(id)
	if !ok || w.Address == "" || l.silent {
		return
	}
	o := yuccapaddle.HoldOrder{Token: e.token(l), Deadline: e.renewalDeadline(l)}
	e.sendHold(&w, id, l, o, false)
}

// sendHold sends a hold. regular marks the kind of which a worker has at most one pending.
func (e *Executor) sendHold(w *yuccapaddle.Worker, id string, l *link, o yuccapaddle.HoldOrder, regular bool) {
	to, poll, process := *w, e.plan.NextPoll(), l.process
	e.group.Go("hold", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, time.Duration(o.WaitMS)*time.Millisecond+holdCallSlack)
		defer cancel()
		reply, err := e.runner.Hold(ctx, &to, o)
		at := e.clock.Now()
		e.post(func() {
			if regular {
				l.holdPending = false
			}
			if err == nil && l.ofFormerProcess(process, &reply) {
				return
			}
			if err == nil {
				l.address = to.Address
			}
			if to.Address != l.address && isOutdated(err) {
				err = errStranger
			}
			e.handleHoldReply(id, l, o, at, poll, reply, err)
		})
		return nil
	})
}

// ofFormerProcess reports whether the reply to a hold that was sent to a process of the worker
// is that of one before the latest that has answered. It tells nothing of the worker then. A
// process that began later may answer such a hold too, and that reply tells of a restart.
func (l *link) ofFormerProcess(process uint64, reply *yuccapaddle.HoldReply) bool {
	return process != l.process && reply.Incarnation < l.incarnation
}

// handleHoldReply passes a worker's reply on to the planner. poll is the number that the
// planner gave the hold when it was sent.
func (e *Executor) handleHoldReply(id string, l *link, o yuccapaddle.HoldOrder, at time.Time, poll int64, reply yuccapaddle.HoldReply, err error) {
	e.meter.Count("looks", outcomeLabel(err), 1)
	if err != nil {
		e.handleHoldError(id, l, o.Token, err)
		return
	}
	if l.silent {
		l.silent = false
		e.plan.SetResponsive(id, true)
		e.log.Info("worker answers again", zap.String("worker", id))
	}
	if !l.answered {
		e.logFirstAnswer(id, l, &reply, at)
		l.leasesEndBy = e.formerLeasesEndBy(l, at)
	}
	if !l.answered || reply.Incarnation != l.incarnation {
		restarted := l.answered
		l.restart(reply.Incarnation, reply.Clock, at)
		if restarted {
			// The next hold has a token that fences off orders from before the restart.
			if !e.plan.Busy(id) || l.holdPending {
				e.poll(id, l)
			}
			return
		}
	}
	l.updateClock(reply.Clock, at)
	l.answered = true
	if o.Token < e.token(l) {
		return // a list from before the worker has seen the raised token
	}
	l.noteAck(o.AckedEnd, reply.Ended)
	l.reported = true
	e.trackEnds(id, &reply)
	e.plan.HandlePollReply(id, &reply, poll)
}

// handleHoldError marks a worker as silent, or stops the executor if the worker has seen
// a higher fencing token from another host.
func (e *Executor) handleHoldError(id string, l *link, token uint64, err error) {
	l.retryAt = e.now.Add(holdRetryDelay)
	if !e.plan.Busy(id) {
		l.retryAt = e.now.Add(probeInterval)
	}
	if isOutdated(err) {
		e.handleOutdated(id, l, token)
		return
	}
	if !l.silent {
		l.silent = true
		e.plan.SetResponsive(id, false)
		e.log.Info("worker does not answer", zap.String("worker", id), zap.Error(err),
			zap.Int64("leases_end_ms", e.allLeasesEndBy(l).Sub(e.now).Milliseconds()))
	}
}

// handleOutdated handles the refusal of an order with that token by a worker that has seen a
// higher one. A later writer has sent that one, which ends the loop, unless this host has raised
// the token itself after a restart of the worker.
func (e *Executor) handleOutdated(id string, l *link, token uint64) {
	if token == e.token(l) && e.stopErr == nil {
		e.log.Warn("stopping, a worker has seen orders of a newer active host", zap.String("worker", id))
		e.stopErr = ErrNotActive
	}
}
