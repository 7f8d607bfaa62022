package claimer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/sleeper"
)

// claim tries to make this host active. seen is the revision of the lock.
// certain tells that the former host gives no orders any more.
func (c *Claimer) claim(ctx context.Context, seen uint64, certain bool) {
	callCtx, cancel := context.WithTimeout(ctx, 3*callTime)
	defer cancel()
	lease, err := c.ledger.Grant(callCtx, c.lease)
	if err != nil {
		c.log.Info("no lease to be had", zap.Error(err))
		return
	}
	rec, err := recorder.Claim(callCtx, c.ledger, c.host, c.address, c.nonce, yuccapaddle.Lock{
		Key: lockKey, Revision: seen, Lease: lease, Address: c.address,
	})
	if err != nil {
		c.log.Info("the claim did not succeed", zap.Error(err))
		c.release(ctx, lease)
		return
	}
	c.log.Info("this host is active", zap.Uint64("epoch", rec.Epoch()))
	var rival time.Time
	if !certain {
		rival = c.clock.Now().Add(rivalTime)
	}
	c.lead(ctx, rec, lease, rival)
}

func (c *Claimer) release(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
	defer cancel()
	if err := c.ledger.Release(ctx, lease); err != nil && !errors.Is(err, yuccapaddle.ErrLeaseOver) {
		c.log.Info("a lease was not given back and will run out", zap.Uint64("lease", lease), zap.Error(err))
	}
}

// lead runs the executor until the role is lost or given up. The lease is given
// back as soon as that is known: calls in work may take seconds to end.
// Until rival a former host may go on renewing the workers' leases.
func (c *Claimer) lead(ctx context.Context, rec *recorder.Recorder, lease uint64, rival time.Time) {
	lost, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.stop = cancel
	c.mu.Unlock()
	e, beside := c.build(rec, rival)
	c.renewed.Store(c.clock.Now().UnixNano())
	c.vouched.Store(0)
	c.ceded.Store(false)
	c.leader.Store(nil)
	c.local.Store(e)
	g, lost := guarder.New(lost, c.log)
	g.Go("executor", func() error {
		defer cancel()
		return e.Run(lost)
	})
	g.Go("renewal", func() error {
		defer cancel()
		return c.renew(lost, lease, rec.Epoch())
	})
	g.Go("beside", func() error {
		defer cancel()
		return beside(lost)
	})
	g.Go("counts", func() error { return c.count(lost, e) })
	g.Go("end", func() error {
		<-lost.Done()
		c.local.CompareAndSwap(e, nil)
		c.release(ctx, lease)
		c.log.Info("this host is active no more", zap.Uint64("epoch", rec.Epoch()))
		return nil
	})
	if c.yielding.Load() {
		cancel()
	}
	if err := g.Wait(); err != nil {
		c.log.Info("the role ends", zap.Error(err))
	}
}

// renew keeps the lease. While the ledger does not answer, the role is kept
// unless another host knows of a later writer.
func (c *Claimer) renew(ctx context.Context, lease, epoch uint64) error {
	renewed, refused := c.clock.Now(), 0
	for {
		c.renewed.Store(renewed.UnixNano())
		pause := renewEvery
		if refused > 0 {
			pause = renewAgain
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return nil
		}
		at := c.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		err := c.ledger.Renew(callCtx, lease)
		cancel()
		if refused++; !refusal(err) {
			refused = 0
		}
		switch {
		case err == nil:
			renewed = at
		case refused == refusals && c.refusedAlone(ctx):
			c.ceded.Store(true)
			return errCeded
		case errors.Is(err, yuccapaddle.ErrLeaseOver):
			return err
		case at.Sub(renewed) > c.lease && c.superseded(ctx, epoch):
			return recorder.ErrReplaced
		}
	}
}

// superseded reports whether another host knows of a later writer. If half of the
// others answer and know of none, they vouch for this one.
func (c *Claimer) superseded(ctx context.Context, epoch uint64) bool {
	at := c.clock.Now()
	others := c.others()
	var heard atomic.Int64
	var later atomic.Bool
	g, ctx := guarder.New(ctx, c.log)
	for _, address := range others {
		g.Go("who", func() error {
			reply, err := c.who(ctx, address, dialTime)
			if err != nil {
				return nil // it vouches for nobody
			}
			heard.Add(1)
			if reply.GetEpoch() > epoch {
				later.Store(true)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		c.log.Warn("the other hosts could not be asked", zap.Error(err))
	}
	if !later.Load() && 2*heard.Load() >= int64(len(others)) {
		c.vouched.Store(at.UnixNano())
	}
	return later.Load()
}

// Confirmed reports whether this host, if it is active, has been so until a moment
// ago: its lease was renewed, or half of the other hosts know of no later writer. One
// that is cut off together with some workers must let their leases run out.
func (c *Claimer) Confirmed() bool {
	return c.within(&c.renewed, confirmTime) || c.within(&c.vouched, vouchTime)
}

// within reports whether a time, in Unix nanoseconds of the steady clock, is less than
// d ago.
func (c *Claimer) within(at *atomic.Int64, d time.Duration) bool {
	return c.clock.Now().Sub(time.Unix(0, at.Load())) < d
}
