package elector

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/supervisor"
)

// claim tries to make this host active. It returns if that fails, or once the active role
// has ended. lockRevision is the revision of the lock key that was read. handedOver is the epoch
// of the host that has handed its role over, 0 if none has; the claim fails if another host, or
// the same in another epoch, has been active since.
func (e *Elector) claim(ctx context.Context, lockRevision, handedOver uint64) {
	callCtx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	leaseID, err := e.ledger.Grant(callCtx, e.leaseTTL)
	if err != nil {
		e.log.Info("cannot obtain a lease to claim the active role", zap.Error(err))
		return
	}
	claimSentAt := e.clock.Now()
	e.claims++
	nonce := e.nonce + "-" + strconv.Itoa(e.claims) // a late copy of an earlier claim is another one
	rec, err := recorder.Claim(callCtx, e.ledger, e.host, e.address, nonce, yuccapaddle.Lock{
		Key: lockKey, Revision: lockRevision, Lease: leaseID, Address: e.address,
	}, claimOptions(handedOver)...)
	if err != nil {
		e.log.Info("cannot claim the active role", zap.Error(err))
		e.releaseLease(ctx, leaseID)
		return
	}
	// What this host answers from here on is no confirmation of its predecessor, so the time
	// that is read next is not before the last one that was.
	e.voter.NoteLatest(rec.Epoch())
	_, settledEpoch := rec.Hosts()
	e.predecessor.begin(e.clock.Now(), e.formerStopped(rec, handedOver), settledEpoch != 0, e.longestOutageMS)
	e.log.Info("this host is active", zap.Uint64("epoch", rec.Epoch()), zap.Int64("predecessor_renews_ms", e.PredecessorRenewsUntil().Sub(e.clock.Now()).Milliseconds()))
	e.lead(ctx, rec, leaseID, claimSentAt)
}

func claimOptions(handedOver uint64) []recorder.ClaimOption {
	if handedOver == 0 {
		return nil
	}
	return []recorder.ClaimOption{recorder.AfterEpoch(handedOver)}
}

// formerStopped reports whether all hosts that were active before have certainly stopped: there
// was none, or the last one was this host itself or has handed its role over, and had found
// those before it to be stopped.
func (e *Elector) formerStopped(rec *recorder.Recorder, handedOver uint64) bool {
	address, epoch := rec.Former()
	if epoch == 0 {
		return true
	}
	_, settledEpoch := rec.Hosts()
	return (address == e.address || epoch == handedOver) && epoch == settledEpoch
}

// PredecessorRenewsUntil returns until when the previous active host may still renew workers'
// leases, if this host is active. It may become earlier when other hosts follow this one.
func (e *Elector) PredecessorRenewsUntil() time.Time {
	return e.predecessor.renewsUntil()
}

// releaseLease ends a lease, and reports whether it has certainly ended.
func (e *Elector) releaseLease(ctx context.Context, leaseID uint64) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.ledger.Release(ctx, leaseID); err != nil && !errors.Is(err, yuccapaddle.ErrLeaseOver) {
		e.log.Info("cannot release the lease, it will expire", zap.Uint64("lease", leaseID), zap.Error(err))
		return false
	}
	return true
}

// lead runs the executor until the role is lost or given up. It releases the lease as
// soon as that is known, without waiting for calls in progress, which may take seconds.
// The claim was sent at claimSentAt.
func (e *Elector) lead(ctx context.Context, rec *recorder.Recorder, leaseID uint64, claimSentAt time.Time) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.stopLeading = cancel
	e.mu.Unlock()
	e.followedFrom, e.followedTo, e.refuser = time.Time{}, time.Time{}, ""
	exec, background := e.build(rec)
	e.renewedAt.Store(claimSentAt.UnixNano())
	e.provenAt.Store(claimSentAt.UnixNano())
	e.peersConfirmedAt.Store(0)
	e.heldLease.Store(leaseID)
	hosts, _ := rec.Hosts()
	e.registrar.Begin(rec.Epoch(), hosts)
	e.hosts.expect(hosts)
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
		return e.keepLease(leadCtx, g, rec, leaseID, claimSentAt)
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
// renewed, or a majority of the hosts knew of no later active host. The others may be followed
// by a host that has claimed the role, so a majority alone counts for a limited time after the
// last proof that none has: a renewal, or the confirmation of all hosts.
func (e *Elector) confirmedBy() ground {
	switch {
	case e.isRecent(&e.renewedAt, renewalValidity):
		return byLease
	case e.isRecent(&e.peersConfirmedAt, peerConfirmValidity) && e.isRecent(&e.provenAt, time.Duration(e.longestOutageMS)*time.Millisecond):
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
