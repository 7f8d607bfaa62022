package elector_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/standin/bookkeeper"
)

// refusingLedger is a host's view of the shared ledger, which can be made to refuse this
// host alone, or to leave its calls without an answer.
type refusingLedger struct {
	*bookkeeper.Bookkeeper
	refusing atomic.Bool
	silent   atomic.Bool
	latency  atomic.Int64 // of calls that are answered, in nanoseconds

	mu      sync.Mutex
	grants  []time.Time // when the host asked for a lease
	commits []appliedCommit
}

// appliedCommit is a transaction that was applied.
type appliedCommit struct {
	at time.Time
	yuccapaddle.Transaction
}

// fault returns the error of a call to a ledger that refuses this host, or leaves it
// without an answer. refusal is the error of a refused call.
func (l *refusingLedger) fault(ctx context.Context, refusal error) error {
	switch {
	case l.refusing.Load():
		return refusal
	case l.silent.Load():
		<-ctx.Done()
		return yuccapaddle.ErrUnknown
	}
	return l.delay(ctx)
}

// delay waits for half of the latency: the way there or back.
func (l *refusingLedger) delay(ctx context.Context) error {
	d := time.Duration(l.latency.Load()) / 2
	if d > 0 && sleeper.Sleep(ctx, d) != nil {
		return yuccapaddle.ErrUnknown
	}
	return nil
}

// reply returns the error of a call that was answered with err.
func (l *refusingLedger) reply(ctx context.Context, err error) error {
	if lost := l.delay(ctx); lost != nil {
		return lost
	}
	return err
}

// Get implements yuccapaddle.Ledger.
func (l *refusingLedger) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	if err := l.fault(ctx, yuccapaddle.ErrNotAccepted); err != nil {
		return yuccapaddle.Entry{}, err
	}
	entry, err := l.Bookkeeper.Get(ctx, key)
	return entry, l.reply(ctx, err)
}

// Commit implements yuccapaddle.Ledger.
func (l *refusingLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	if err := l.fault(ctx, yuccapaddle.ErrNotApplied); err != nil {
		return 0, err
	}
	rev, err := l.Bookkeeper.Commit(ctx, t)
	if err == nil {
		l.noteCommit(t)
	}
	return rev, l.reply(ctx, err)
}

func (l *refusingLedger) noteCommit(t yuccapaddle.Transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits = append(l.commits, appliedCommit{time.Now(), t})
}

// appliedCommits returns the transactions of the host that were applied, in their order.
func (l *refusingLedger) appliedCommits() []appliedCommit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commits[:len(l.commits):len(l.commits)]
}

// Grant implements yuccapaddle.Ledger.
func (l *refusingLedger) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	l.noteGrant()
	if err := l.fault(ctx, yuccapaddle.ErrNotAccepted); err != nil {
		return 0, err
	}
	id, err := l.Bookkeeper.Grant(ctx, ttl)
	return id, l.reply(ctx, err)
}

func (l *refusingLedger) noteGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants = append(l.grants, time.Now())
}

// grantAfter returns when the host first asked for a lease after a time, zero if it did not.
func (l *refusingLedger) grantAfter(after time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.grants {
		if at.After(after) {
			return at
		}
	}
	return time.Time{}
}

// Renew implements yuccapaddle.Ledger.
func (l *refusingLedger) Renew(ctx context.Context, lease uint64) error {
	if err := l.fault(ctx, yuccapaddle.ErrNotAccepted); err != nil {
		return err
	}
	return l.reply(ctx, l.Bookkeeper.Renew(ctx, lease))
}

// Release implements yuccapaddle.Ledger.
func (l *refusingLedger) Release(ctx context.Context, lease uint64) error {
	if l.silent.Load() {
		<-ctx.Done()
		return yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Release(ctx, lease)
}
