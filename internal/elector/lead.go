package elector

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/supervisor"
)

// claim tries to make this host active. It returns if that fails, or once the active role
// has ended. lockRevision is the revision of the lock key that was read. predecessorStopped
// means that the previous active host certainly sends no further orders.
func (e *Elector) claim(ctx context.Context, lockRevision uint64, predecessorStopped bool) {
	callCtx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	leaseID, err := e.ledger.Grant(callCtx, e.leaseTTL)
	if err != nil {
		e.log.Info("cannot obtain a lease to claim the active role", zap.Error(err))
		return
	}
	rec, err := recorder.Claim(callCtx, e.ledger, e.host, e.address, e.nonce, yuccapaddle.Lock{
		Key: lockKey, Revision: lockRevision, Lease: leaseID, Address: e.address,
	})
	if err != nil {
		e.log.Info("cannot claim the active role", zap.Error(err))
		e.releaseLease(ctx, leaseID)
		return
	}
	// What this host answers from here on is no confirmation of its predecessor, so the time
	// that is read next is not before the last one that was.
	e.voter.NoteLatest(rec.Epoch())
	e.log.Info("this host is active", zap.Uint64("epoch", rec.Epoch()), zap.Bool("predecessor_stopped", predecessorStopped))
	var predecessorRenewsUntil time.Time
	if !predecessorStopped {
		predecessorRenewsUntil = e.clock.Now().Add(predecessorRenewPeriod)
	}
	e.lead(ctx, rec, leaseID, predecessorRenewsUntil)
}

func (e *Elector) releaseLease(ctx context.Context, leaseID uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.ledger.Release(ctx, leaseID); err != nil && !errors.Is(err, yuccapaddle.ErrLeaseOver) {
		e.log.Info("cannot release the lease, it will expire", zap.Uint64("lease", leaseID), zap.Error(err))
	}
}

// lead runs the executor until the role is lost or given up. It releases the lease as
// soon as that is known, without waiting for calls in progress, which may take seconds.
// Until predecessorRenewsUntil the previous active host may still renew workers' leases.
func (e *Elector) lead(ctx context.Context, rec *recorder.Recorder, leaseID uint64, predecessorRenewsUntil time.Time) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.stopLeading = cancel
	e.mu.Unlock()
	exec, background := e.build(rec, predecessorRenewsUntil)
	e.renewedAt.Store(e.clock.Now().UnixNano())
	e.peersConfirmedAt.Store(0)
	e.heldLease.Store(leaseID)
	e.hosts.clearConfirmations()
	e.handedOver.Store(false)
	e.leader.Store(nil)
	e.localExecutor.Store(exec)
	g, leadCtx := supervisor.New(leadCtx, e.log)
	g.Go("executor", func() error {
		defer cancel()
		return exec.Run(leadCtx)
	})
	g.Go("renewal", func() error {
		defer cancel()
		return e.keepLease(leadCtx, g, rec, leaseID)
	})
	g.Go("background", func() error {
		defer cancel()
		return background(leadCtx)
	})
	g.Go("counts", func() error { return e.refreshPending(leadCtx, exec) })
	g.Go("end", func() error {
		<-leadCtx.Done()
		e.localExecutor.CompareAndSwap(exec, nil)
		e.releaseLease(ctx, e.heldLease.Load())
		e.log.Info("this host is active no more", zap.Uint64("epoch", rec.Epoch()))
		return nil
	})
	if e.resigned.Load() {
		cancel()
	}
	if err := g.Wait(); err != nil {
		e.log.Info("the active role ended with an error", zap.Error(err))
	}
}

// ground is what confirms this host as the active one.
type ground int

const (
	byLease ground = iota
	byPeers
	byNothing
)

// String implements fmt.Stringer.
func (g ground) String() string {
	return [...]string{"lease", "peers", "nothing"}[g]
}

// confirmedBy returns what recently confirmed this host, if it is active: its lease was
// renewed, or at least half of the other hosts knew of no later active host.
func (e *Elector) confirmedBy() ground {
	switch {
	case e.isRecent(&e.renewedAt, renewalValidity):
		return byLease
	case e.isRecent(&e.peersConfirmedAt, peerConfirmValidity):
		return byPeers
	}
	return byNothing
}

// Confirmed reports whether this host, if it is active, recently had confirmation of it. A
// host that is partitioned off together with some workers has none, and must let their
// leases expire.
func (e *Elector) Confirmed() bool {
	return e.confirmedBy() != byNothing
}

// isRecent reports whether a time, given as UnixNano of the clock, is less than d ago.
func (e *Elector) isRecent(at *atomic.Int64, d time.Duration) bool {
	return e.clock.Now().Sub(time.Unix(0, at.Load())) < d
}
