package driver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

// Submit submits a request and returns once its acceptance is committed or it is
// refused. An error means that it is not known whether the request was accepted.
func (d *Driver) Submit(ctx context.Context, r *yuccapaddle.Request) (yuccapaddle.Outcome, error) {
	return d.submitEvent(ctx, func(ticket uint64) yuccapaddle.Event {
		return yuccapaddle.Submitted{Ticket: ticket, Request: r}
	})
}

// Cancel cancels a request and returns its outcome, or its progress, once the
// cancellation is committed. After an error the cancellation may have taken effect.
func (d *Driver) Cancel(ctx context.Context, key string) (yuccapaddle.Outcome, error) {
	return d.submitEvent(ctx, func(ticket uint64) yuccapaddle.Event {
		return yuccapaddle.Cancelled{Ticket: ticket, Key: key}
	})
}

// submitEvent posts an event with a new ticket and waits for the scheduler's reply to it.
func (d *Driver) submitEvent(ctx context.Context, event func(ticket uint64) yuccapaddle.Event) (yuccapaddle.Outcome, error) {
	if !d.running.Load() || d.closing.Load() {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	out := make(chan yuccapaddle.Outcome, 1)
	var ticket uint64
	ok := d.runInLoop(func() {
		d.lastTicket++
		ticket = d.lastTicket
		d.replies[ticket] = out
	})
	if !ok {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	d.post(event(ticket))
	select {
	case o := <-out:
		return o, nil
	case <-d.done:
		return yuccapaddle.Outcome{}, ErrInactive
	case <-ctx.Done():
		d.runInLoop(func() { delete(d.replies, ticket) })
		return yuccapaddle.Outcome{}, ctx.Err()
	}
}

// reply passes the scheduler's reply to the caller with its ticket.
func (d *Driver) reply(a yuccapaddle.Reply) {
	if out, ok := d.replies[a.Ticket]; ok {
		delete(d.replies, a.Ticket)
		out <- a.Outcome
	}
}

// Await returns the outcome of a request as soon as it is final. If the deadline
// passes or the context ends first, it returns what is known of the request then.
func (d *Driver) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	if !d.running.Load() {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	out := make(chan yuccapaddle.Outcome, 1)
	var known yuccapaddle.Outcome
	ok := d.runInLoop(func() {
		known = d.knownOutcome(key)
		if !known.Verdict.Final() && known.Verdict != yuccapaddle.VerdictNotFound {
			d.waiters[key] = append(d.waiters[key], out)
		}
	})
	if !ok {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	if known.Verdict.Final() || known.Verdict == yuccapaddle.VerdictNotFound {
		return known, nil
	}
	timer := time.NewTimer(sleeper.TimerDuration(time.Until(deadline)))
	defer timer.Stop()
	select {
	case o := <-out:
		return o, nil
	case <-d.done:
		return yuccapaddle.Outcome{}, ErrInactive
	case <-timer.C:
	case <-ctx.Done():
	}
	d.runInLoop(func() {
		d.removeWaiter(key, out)
		known = d.knownOutcome(key)
	})
	return known, nil
}

// knownOutcome returns the announced outcome of a request, or else the committed one.
// A request whose acceptance is not committed yet has an unknown outcome.
func (d *Driver) knownOutcome(key string) yuccapaddle.Outcome {
	if o, ok := d.announced[key]; ok {
		return o
	}
	o := d.committed.Outcome(key)
	if o.Verdict == yuccapaddle.VerdictNotFound && d.scheduler.State().Request(key) != nil {
		o = d.scheduler.State().Outcome(key)
		o.Verdict, o.Reason = yuccapaddle.VerdictUnknown, "its acceptance is not committed yet"
	}
	return o
}

// removeWaiter removes one waiter for a request.
func (d *Driver) removeWaiter(key string, out chan yuccapaddle.Outcome) {
	list := d.waiters[key]
	for i := range list {
		if list[i] == out {
			d.waiters[key] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(d.waiters[key]) == 0 {
		delete(d.waiters, key)
	}
}

// notifyCommitted passes a final outcome, now committed, to the callers that wait for
// it.
func (d *Driver) notifyCommitted(key string) {
	o := d.committed.Outcome(key)
	if o.Verdict.Final() {
		delete(d.announced, key)
		d.wakeWaiters(key, o)
	}
}

// wakeWaiters passes an outcome to all callers that wait for the request.
func (d *Driver) wakeWaiters(key string, o yuccapaddle.Outcome) {
	for _, out := range d.waiters[key] {
		out <- o
	}
	delete(d.waiters, key)
}

// Configure passes an accepted configuration to the scheduler.
func (d *Driver) Configure(cfg *yuccapaddle.Config) {
	if !d.running.Load() {
		return
	}
	d.post(yuccapaddle.Configured{Config: cfg})
}

// UpdateHosts passes the platform's host list to the scheduler.
func (d *Driver) UpdateHosts(hosts []yuccapaddle.Host) {
	if d.running.Load() {
		d.post(yuccapaddle.HostsListed{Hosts: hosts})
	}
}

// Close refuses further requests and waits until all records are committed, for
// closeTimeout at most.
func (d *Driver) Close() {
	d.closing.Store(true)
	if !d.running.Load() {
		return // the journal is not open yet: there are no records
	}
	deadline := time.Now().Add(closeTimeout)
	stalled := false
	for time.Now().Before(deadline) {
		idle := true
		d.runInLoop(func() { idle, stalled = d.commitSentAt.IsZero() && !d.scheduler.HasPending(), d.stalled })
		if idle {
			return
		}
		time.Sleep(tickInterval / 10)
	}
	d.log.Warn("stopping with uncommitted records", zap.Bool("stalled", stalled))
}

// Status returns a summary of the engine, false if this host is not active.
func (d *Driver) Status() (yuccapaddle.EngineStatus, bool) {
	var st yuccapaddle.EngineStatus
	if !d.running.Load() {
		return st, false
	}
	ok := d.runInLoop(func() {
		state := d.scheduler.State()
		st.Epoch, st.Journal = d.scheduler.Epoch(), d.journalSeq
		st.Jobs, st.Gangs = state.Counts()
		st.Waiting = len(state.Waiting())
		st.Stalled = d.stalled
		st.Quarantined = state.QuarantinedWorkers()
		st.Homes, st.Shortages = d.scheduler.Homes()
		st.Used, st.Unusable = d.scheduler.Usage()
		st.Commits, st.Records = d.counters.Commits, d.counters.Records
	})
	return st, ok
}
