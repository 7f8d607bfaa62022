package driver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

// Submit takes a request in and returns once that is committed, or refused. An
// error means that it is not known whether the request was accepted.
func (d *Driver) Submit(ctx context.Context, r *yuccapaddle.Request) (yuccapaddle.Outcome, error) {
	return d.ask(ctx, func(ticket uint64) yuccapaddle.Event {
		return yuccapaddle.Submitted{Ticket: ticket, Request: r}
	})
}

// Cancel asks for a cancellation and returns what is known once that is
// committed.
func (d *Driver) Cancel(ctx context.Context, key string) (yuccapaddle.Outcome, error) {
	return d.ask(ctx, func(ticket uint64) yuccapaddle.Event {
		return yuccapaddle.Cancelled{Ticket: ticket, Key: key}
	})
}

func (d *Driver) ask(ctx context.Context, event func(ticket uint64) yuccapaddle.Event) (yuccapaddle.Outcome, error) {
	if !d.running.Load() || d.closing.Load() {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	out := make(chan yuccapaddle.Outcome, 1)
	var ticket uint64
	ok := d.call(func() {
		d.tickets++
		ticket = d.tickets
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
		d.call(func() { delete(d.replies, ticket) })
		return yuccapaddle.Outcome{}, ctx.Err()
	}
}

func (d *Driver) reply(a yuccapaddle.Reply) {
	if out, ok := d.replies[a.Ticket]; ok {
		delete(d.replies, a.Ticket)
		out <- a.Outcome
	}
}

// Await returns the outcome of a request as soon as it is final, or what is
// known of it when the deadline has passed.
func (d *Driver) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	if !d.running.Load() {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	out := make(chan yuccapaddle.Outcome, 1)
	var now yuccapaddle.Outcome
	ok := d.call(func() {
		now = d.known(key)
		if !now.Verdict.Final() && now.Verdict != yuccapaddle.VerdictNotFound {
			d.waiters[key] = append(d.waiters[key], out)
		}
	})
	if !ok {
		return yuccapaddle.Outcome{}, ErrInactive
	}
	if now.Verdict.Final() || now.Verdict == yuccapaddle.VerdictNotFound {
		return now, nil
	}
	timer := time.NewTimer(sleeper.Ahead(time.Until(deadline)))
	defer timer.Stop()
	select {
	case o := <-out:
		return o, nil
	case <-d.done:
		return yuccapaddle.Outcome{}, ErrInactive
	case <-timer.C:
	case <-ctx.Done():
	}
	d.call(func() {
		d.leave(key, out)
		now = d.known(key)
	})
	return now, nil
}

// known is what is committed of a request, or a whole answer on its way there.
func (d *Driver) known(key string) yuccapaddle.Outcome {
	if o, ok := d.early[key]; ok {
		return o
	}
	o := d.committed.Outcome(key)
	if o.Verdict == yuccapaddle.VerdictNotFound && d.core.State().Request(key) != nil {
		o = d.core.State().Outcome(key)
		o.Verdict, o.Reason = yuccapaddle.VerdictUnknown, "its acceptance is not committed yet"
	}
	return o
}

func (d *Driver) leave(key string, out chan yuccapaddle.Outcome) {
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

// notify tells waiting callers of a committed final outcome.
func (d *Driver) notify(key string) {
	o := d.committed.Outcome(key)
	if o.Verdict.Final() {
		delete(d.early, key)
		d.wake(key, o)
	}
}

func (d *Driver) wake(key string, o yuccapaddle.Outcome) {
	for _, out := range d.waiters[key] {
		out <- o
	}
	delete(d.waiters, key)
}

// Configure hands an accepted configuration to the core.
func (d *Driver) Configure(cfg *yuccapaddle.Config) {
	if !d.running.Load() {
		return
	}
	d.post(yuccapaddle.Configured{Config: cfg})
}

// List hands the host list to the core.
func (d *Driver) List(hosts []yuccapaddle.Host) {
	if d.running.Load() {
		d.post(yuccapaddle.Listed{Hosts: hosts})
	}
}

// Close stops taking requests and waits, for a short while at most, until what
// has been decided is committed.
func (d *Driver) Close() {
	d.closing.Store(true)
	if !d.running.Load() {
		return // the journal is not open yet: nothing has been decided
	}
	deadline := time.Now().Add(closeTime)
	stalled := false
	for time.Now().Before(deadline) {
		idle := true
		d.call(func() { idle, stalled = d.sentAt.IsZero() && !d.core.Pending(), d.stalled })
		if idle {
			return
		}
		time.Sleep(tickEvery / 10)
	}
	d.log.Warn("records were not committed before the stop", zap.Bool("stalled", stalled))
}

// Status returns the summary, false if this host is not active.
func (d *Driver) Status() (yuccapaddle.EngineStatus, bool) {
	var st yuccapaddle.EngineStatus
	if !d.running.Load() {
		return st, false
	}
	ok := d.call(func() {
		state := d.core.State()
		st.Epoch, st.Journal = d.core.Epoch(), d.seq
		st.Jobs, st.Gangs = state.Len()
		st.Waiting = len(state.Waiting())
		st.Stalled = d.stalled
		st.Quarantined = state.QuarantineList()
		st.Homes, st.Shortages = d.core.Homes()
		st.Used, st.Unusable = d.core.Usage()
		st.Commits, st.Records = d.counters.Commits, d.counters.Records
	})
	return st, ok
}
