package elector

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/supervisor"
)

const (
	renewInterval = 250 * time.Millisecond
	// renewRetryInterval is the time between renewals while the last one has failed.
	renewRetryInterval = 120 * time.Millisecond
	// maxRenewals is how many renewals wait for a reply at once, so that one that hangs
	// does not delay the next.
	maxRenewals = 4
	// isolationCheckAfter is how long after the last successful renewal was sent the active host
	// asks others whether the ledger answers them.
	isolationCheckAfter = 600 * time.Millisecond
	// askInterval is the minimum time between two rounds of calls that ask other hosts.
	askInterval = 900 * time.Millisecond
	// handoverDelay is how long the active host retries after it has learned that the
	// ledger answers another host.
	handoverDelay = 350 * time.Millisecond
	// pendingResults is the capacity of the queue of replies to the loop.
	pendingResults = 16
	// recordInterval is the minimum time between two records of the hosts that count.
	recordInterval = time.Second
)

// roleLease keeps the lease of the lock key while this host is active. If the lease ends
// because the ledger was unavailable, it sets the lock again: safety depends on the commits
// only, and no other host needs the role. All fields are confined to the loop in run.
type roleLease struct {
	e   *Elector
	rec *recorder.Recorder
	log *zap.Logger

	id               uint64    // of the lease
	renewedAt        time.Time // when the last renewal that succeeded was sent
	ended            bool      // the ledger has answered that the lease has ended
	renewals         int       // that wait for a reply
	relocking        bool      // the lock is being set again
	asking           bool      // other hosts are being asked
	askAt            time.Time // when other hosts may be asked again
	refusals         int       // of renewals since the last success
	othersAnsweredAt time.Time // since when the ledger is known to answer another host, zero if it is not
	ground           ground    // as last logged
	counted          []string  // the hosts that are to count for majorities
	recording        bool      // they are being recorded
	recorded         bool      // some have been in this epoch
	recordAt         time.Time // when they may be recorded again
	results          chan func() error
}

// keepLease renews the lease until the context ends or the role is lost. While the ledger
// does not answer, this host keeps the role unless another host knows of a later active
// host or gets answers from the ledger.
//
// Its calls run in the group, so that one that hangs does not delay the end of the role.
func (e *Elector) keepLease(ctx context.Context, g *supervisor.Supervisor, rec *recorder.Recorder, leaseID uint64, claimSentAt time.Time) error {
	_, settledEpoch := rec.Hosts()
	l := &roleLease{
		e: e, rec: rec, id: leaseID, log: e.log.With(zap.Uint64("epoch", rec.Epoch())), renewedAt: claimSentAt,
		results: make(chan func() error, pendingResults), recorded: settledEpoch == rec.Epoch(),
	}
	return l.run(ctx, g)
}

// run handles ticks and replies until the context ends or the role is lost.
func (l *roleLease) run(ctx context.Context, g *supervisor.Supervisor) error {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case handle := <-l.results:
			err = handle()
		case <-timer.C:
			err = l.tick(ctx, g)
			timer.Reset(l.interval())
		}
		if err != nil {
			return err
		}
	}
}

func (l *roleLease) age() time.Duration {
	return l.e.clock.Now().Sub(l.renewedAt)
}

// mayBeIsolated reports whether this host alone may be without answers from the ledger.
func (l *roleLease) mayBeIsolated() bool {
	return l.refusals >= refusalsToHandOver || l.age() > isolationCheckAfter
}

func (l *roleLease) interval() time.Duration {
	if l.ended || l.refusals > 0 || l.age() > isolationCheckAfter {
		return renewRetryInterval
	}
	return renewInterval
}

// tick sends the calls that are due, and hands the role over if only this host gets no
// answers from the ledger.
func (l *roleLease) tick(ctx context.Context, g *supervisor.Supervisor) error {
	switch {
	case l.ended && !l.relocking:
		l.relock(ctx, g)
	case !l.ended && l.renewals < maxRenewals:
		l.renew(ctx, g)
	}
	l.countConfirmations()
	l.recordHosts(ctx, g)
	l.logGround()
	if l.mayBeIsolated() && !l.asking && !l.e.clock.Now().Before(l.askAt) {
		l.ask(ctx, g)
	}
	if !l.othersAnsweredAt.IsZero() && l.e.clock.Now().Sub(l.othersAnsweredAt) > handoverDelay {
		return l.handOver("no answer")
	}
	return nil
}

// logGround logs on which ground this host is confirmed as the active one, if that has changed.
func (l *roleLease) logGround() {
	g := l.e.confirmedBy()
	if g == l.ground {
		return
	}
	l.log.Info("the active role is confirmed", zap.Stringer("by", g), zap.Stringer("before", l.ground),
		zap.Int64("renewed_ms_ago", l.age().Milliseconds()))
	l.ground = g
}

// countConfirmations takes note of what the other hosts have confirmed.
func (l *roleLease) countConfirmations() {
	e := l.e
	l.countHosts()
	// The clock is read after the count: the hosts may have confirmed the former one until then.
	if e.registrar.PredecessorOutvoted() && e.predecessor.outvote(e.clock.Now()) {
		l.log.Info("the former host has no majority any more", zap.Int64("renews_ms", e.PredecessorRenewsUntil().Sub(e.clock.Now()).Milliseconds()))
	}
	now := e.clock.Now()
	if l.age() <= e.leaseTTL {
		return
	}
	storeLater(&e.peersConfirmedAt, e.registrar.MajorityConfirmedAt(now))
	if !e.hosts.anyAbsent() {
		storeLater(&e.provenAt, e.registrar.AllConfirmedAt(now))
	}
}

// storeLater stores a time as UnixNano if it is later than the stored one.
func storeLater(stored *atomic.Int64, at time.Time) {
	if !at.IsZero() && at.UnixNano() > stored.Load() {
		stored.Store(at.UnixNano())
	}
}

// countHosts updates which hosts count for majorities. While the ledger does not answer none is
// left out: a host that cannot be reached may have claimed the role.
func (l *roleLease) countHosts() {
	hosts := l.e.hosts.members(l.e.registrar.Members())
	if l.age() > l.e.leaseTTL {
		hosts = append(hosts, l.counted...)
		slices.Sort(hosts)
		hosts = slices.Compact(hosts)
	}
	l.counted = hosts
	l.e.registrar.Know(hosts)
}

// recordHosts records the hosts that count if they have changed, and once in each epoch, which
// tells the next host that the former ones have stopped. While one of them may still be
// confirmed it does neither: that host counts by the list of before.
func (l *roleLease) recordHosts(ctx context.Context, g *supervisor.Supervisor) {
	e, now := l.e, l.e.clock.Now()
	if l.recording || now.Before(l.recordAt) || l.age() > e.leaseTTL || now.Before(e.PredecessorRenewsUntil()) {
		return
	}
	list := e.registrar.Propose()
	switch {
	case list == nil && l.recorded:
		return
	case list == nil:
		list = e.registrar.Members()
	}
	l.recording, l.recordAt = true, now.Add(recordInterval)
	l.call(ctx, g, "hosts", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, relockTimeout)
		defer cancel()
		return l.rec.SaveHosts(ctx, list)
	}, func(err error) error {
		l.recording = false
		switch {
		case err == nil:
			l.recorded = true
			e.registrar.Adopt()
		case errors.Is(err, recorder.ErrReplaced):
			return err
		default:
			l.log.Info("cannot record the hosts that count", zap.Error(err))
		}
		return nil
	})
}

// call runs f in the group, and then handle on the loop with its error.
func (l *roleLease) call(ctx context.Context, g *supervisor.Supervisor, name string, f func(ctx context.Context) error, handle func(error) error) {
	g.Go(name, func() error {
		err := f(ctx)
		select {
		case l.results <- func() error { return handle(err) }:
		case <-ctx.Done():
		}
		return nil
	})
}

func (l *roleLease) renew(ctx context.Context, g *supervisor.Supervisor) {
	l.renewals++
	sentAt, id := l.e.clock.Now(), l.id
	l.call(ctx, g, "renewal", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return l.e.ledger.Renew(ctx, id)
	}, func(err error) error {
		l.renewals--
		if id != l.id {
			return nil
		}
		if errors.Is(err, yuccapaddle.ErrLeaseOver) {
			l.handleLeaseEnd()
			return nil
		}
		return l.handleReply(sentAt, err)
	})
}

func (l *roleLease) handleLeaseEnd() {
	if l.ended {
		return
	}
	l.ended = true
	l.log.Info("the lease of the active role has ended", zap.Int64("renewed_ms_ago", l.age().Milliseconds()))
}

// handleReply handles the reply to a renewal, or to the attempt to set the lock again.
func (l *roleLease) handleReply(sentAt time.Time, err error) error {
	switch {
	case err == nil:
		if sentAt.After(l.renewedAt) {
			l.renewedAt = sentAt
			l.e.renewedAt.Store(sentAt.UnixNano())
			storeLater(&l.e.provenAt, sentAt)
		}
		l.refusals, l.othersAnsweredAt = 0, time.Time{}
	case isRefusal(err):
		l.refusals++
		if !l.othersAnsweredAt.IsZero() && sentAt.After(l.othersAnsweredAt) {
			return l.handOver("refused")
		}
	}
	return nil
}

// handOver ends the active role because the ledger answers others and not this host.
func (l *roleLease) handOver(reason string) error {
	l.log.Info("the ledger answers another host and not this one", zap.String("detail", reason),
		zap.Int64("renewed_ms_ago", l.age().Milliseconds()), zap.Int("refusals", l.refusals))
	l.e.handedOver.Store(true)
	return errHandedOver
}

// relock sets the lock again under a new lease.
func (l *roleLease) relock(ctx context.Context, g *supervisor.Supervisor) {
	l.relocking = true
	sentAt := l.e.clock.Now()
	var id uint64
	l.call(ctx, g, "relock", func(ctx context.Context) error {
		var err error
		id, err = l.e.relock(ctx, l.rec)
		return err
	}, func(err error) error {
		l.relocking = false
		switch {
		case err == nil:
			l.id, l.ended = id, false
			l.e.heldLease.Store(id)
			l.log.Info("the lock is held again", zap.Int64("took_ms", l.e.clock.Now().Sub(sentAt).Milliseconds()))
		case errors.Is(err, recorder.ErrReplaced), errors.Is(err, errLockTaken):
			return recorder.ErrReplaced
		}
		return l.handleReply(sentAt, err)
	})
}

// errLockTaken means that another host holds the lock.
var errLockTaken = errors.New("another host holds the lock")

// relock sets the lock key under a new lease, which it returns, if no other host holds it
// and this host is still the writer of the records.
func (e *Elector) relock(ctx context.Context, rec *recorder.Recorder) (lease uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, relockTimeout)
	defer cancel()
	lock, err := e.ledger.Get(ctx, lockKey)
	if err != nil {
		return 0, err
	}
	if lock.Revision != 0 && string(lock.Value) != e.address {
		return 0, errLockTaken
	}
	lease, err = e.ledger.Grant(ctx, e.leaseTTL)
	if err != nil {
		return 0, err
	}
	return lease, rec.Relock(ctx, yuccapaddle.Lock{Key: lockKey, Revision: lock.Revision, Lease: lease, Address: e.address})
}

// ask asks other hosts whether the ledger answers them and, once the lease may have ended,
// whether they know of a later active host.
func (l *roleLease) ask(ctx context.Context, g *supervisor.Supervisor) {
	l.asking = true
	askedAt := l.e.clock.Now()
	l.askAt = askedAt.Add(askInterval)
	lapsed := l.age() > l.e.leaseTTL
	var reached, replaced bool
	l.call(ctx, g, "queries", func(ctx context.Context) error {
		reached = l.e.otherHostReachesLedger(ctx)
		if lapsed {
			replaced = l.e.laterActive(ctx, l.rec.Epoch(), askedAt)
		}
		return nil
	}, func(error) error {
		l.asking = false
		switch {
		case replaced:
			return recorder.ErrReplaced
		case !reached:
			l.othersAnsweredAt = time.Time{}
		case l.mayBeIsolated() && l.othersAnsweredAt.IsZero():
			l.othersAnsweredAt = l.e.clock.Now()
		}
		return nil
	})
}

// laterActive asks the hosts that have not confirmed this one recently, and reports whether
// one of them knows of a later active host. The answer of a host that knows this epoch, and
// certainly none later, counts as its confirmation.
func (e *Elector) laterActive(ctx context.Context, epoch uint64, now time.Time) bool {
	later := false
	e.askHosts(ctx, e.unconfirmedSince(now.Add(-peerConfirmValidity/2)), dialTimeout, func(address string, reply *peer.WhoReply) {
		e.voter.Note(reply.GetEpoch())
		switch {
		case reply.GetEpoch() > epoch:
			later = true
		case reply.GetConfirms() && reply.GetEpoch() == epoch:
			e.registrar.Confirm(address, epoch, now)
		}
	})
	return later
}

// unconfirmedSince returns the addresses of the other hosts that are known, or that count for
// majorities, and have not confirmed this one since a time.
func (e *Elector) unconfirmedSince(since time.Time) []string {
	list := append(e.hosts.addresses(), e.registrar.Members()...)
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(address string) bool {
		return address == e.address || e.registrar.ConfirmedSince(address, since)
	})
}
