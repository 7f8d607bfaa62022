package claimer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/supervisor"
)

// claim tries to make this host active, and returns when it is not, or no longer.
// lockRevision is the revision of the lock key that was read. predecessorStopped means
// that the previous active host certainly gives no more orders.
func (c *Claimer) claim(ctx context.Context, lockRevision uint64, predecessorStopped bool) {
	callCtx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	leaseID, err := c.ledger.Grant(callCtx, c.leaseTTL)
	if err != nil {
		c.log.Info("cannot obtain a lease to claim the active role", zap.Error(err))
		return
	}
	rec, err := recorder.Claim(callCtx, c.ledger, c.host, c.address, c.nonce, yuccapaddle.Lock{
		Key: lockKey, Revision: lockRevision, Lease: leaseID, Address: c.address,
	})
	if err != nil {
		c.log.Info("cannot claim the active role", zap.Error(err))
		c.releaseLease(ctx, leaseID)
		return
	}
	c.log.Info("this host is active", zap.Uint64("epoch", rec.Epoch()))
	var predecessorRenewsUntil time.Time
	if !predecessorStopped {
		predecessorRenewsUntil = c.clock.Now().Add(predecessorRenewPeriod)
	}
	c.lead(ctx, rec, leaseID, predecessorRenewsUntil)
}

func (c *Claimer) releaseLease(ctx context.Context, leaseID uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := c.ledger.Release(ctx, leaseID); err != nil && !errors.Is(err, yuccapaddle.ErrLeaseOver) {
		c.log.Info("cannot release the lease, it will expire", zap.Uint64("lease", leaseID), zap.Error(err))
	}
}

// lead runs the executor until the role is lost or given up. It releases the lease as
// soon as that is known, without waiting for calls in progress, which may take seconds.
// Until predecessorRenewsUntil the previous active host may still renew workers' leases.
func (c *Claimer) lead(ctx context.Context, rec *recorder.Recorder, leaseID uint64, predecessorRenewsUntil time.Time) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.stopLeading = cancel
	c.mu.Unlock()
	e, background := c.build(rec, predecessorRenewsUntil)
	c.renewedAt.Store(c.clock.Now().UnixNano())
	c.peersConfirmedAt.Store(0)
	c.handedOver.Store(false)
	c.leader.Store(nil)
	c.localExecutor.Store(e)
	g, leadCtx := supervisor.New(leadCtx, c.log)
	g.Go("executor", func() error {
		defer cancel()
		return e.Run(leadCtx)
	})
	g.Go("renewal", func() error {
		defer cancel()
		return c.renewLease(leadCtx, leaseID, rec.Epoch())
	})
	g.Go("beside", func() error {
		defer cancel()
		return background(leadCtx)
	})
	g.Go("counts", func() error { return c.refreshPending(leadCtx, e) })
	g.Go("end", func() error {
		<-leadCtx.Done()
		c.localExecutor.CompareAndSwap(e, nil)
		c.releaseLease(ctx, leaseID)
		c.log.Info("this host is active no more", zap.Uint64("epoch", rec.Epoch()))
		return nil
	})
	if c.yielding.Load() {
		cancel()
	}
	if err := g.Wait(); err != nil {
		c.log.Info("the active role ended with an error", zap.Error(err))
	}
}

// renewLease renews the lease until the context ends or the role is lost. While the
// ledger does not answer, this host keeps the role unless another host knows of a later
// active host.
func (c *Claimer) renewLease(ctx context.Context, leaseID, epoch uint64) error {
	renewedAt, refusals := c.clock.Now(), 0
	for {
		c.renewedAt.Store(renewedAt.UnixNano())
		delay := renewInterval
		if refusals > 0 {
			delay = renewRetryDelay
		}
		if sleeper.Sleep(ctx, delay) != nil {
			return nil
		}
		sentAt := c.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.ledger.Renew(callCtx, leaseID)
		cancel()
		if refusals++; !isRefusal(err) {
			refusals = 0
		}
		switch {
		case err == nil:
			renewedAt = sentAt
		case refusals == refusalsToHandOver && c.otherHostReachesLedger(ctx):
			c.handedOver.Store(true)
			return errHandedOver
		case errors.Is(err, yuccapaddle.ErrLeaseOver):
			return err
		case sentAt.Sub(renewedAt) > c.leaseTTL && c.superseded(ctx, epoch):
			return recorder.ErrReplaced
		}
	}
}

// superseded reports whether another host knows of an active host with a later epoch. If
// at least half of the other hosts answer and know of none, that confirms this one.
func (c *Claimer) superseded(ctx context.Context, epoch uint64) bool {
	askedAt := c.clock.Now()
	others := c.otherAddresses()
	var replies atomic.Int64
	var laterActive atomic.Bool
	g, ctx := supervisor.New(ctx, c.log)
	for _, address := range others {
		g.Go("who", func() error {
			reply, err := c.askHost(ctx, address, dialTimeout)
			if err != nil {
				return nil // a host that does not answer confirms nothing
			}
			replies.Add(1)
			if reply.GetEpoch() > epoch {
				laterActive.Store(true)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		c.log.Warn("cannot ask the other hosts which one is active", zap.Error(err))
	}
	if !laterActive.Load() && 2*replies.Load() >= int64(len(others)) {
		c.peersConfirmedAt.Store(askedAt.UnixNano())
	}
	return laterActive.Load()
}

// Confirmed reports whether this host, if it is active, recently had confirmation of it:
// its lease was renewed, or at least half of the other hosts knew of no later active
// host. A host that is partitioned off together with some workers gets neither, and must
// let their leases expire.
func (c *Claimer) Confirmed() bool {
	return c.isRecent(&c.renewedAt, renewalValidity) || c.isRecent(&c.peersConfirmedAt, peerConfirmValidity)
}

// isRecent reports whether a time, given as UnixNano of the clock, is less than d ago.
func (c *Claimer) isRecent(at *atomic.Int64, d time.Duration) bool {
	return c.clock.Now().Sub(time.Unix(0, at.Load())) < d
}
