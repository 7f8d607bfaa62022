package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/digester"
	"yuccapaddle/internal/journaler"
	"yuccapaddle/internal/placer"
	"yuccapaddle/internal/scheduler"
	"yuccapaddle/internal/sleeper"
)

const (
	permitInterval      = 800 * time.Millisecond
	permitRetryInterval = 100 * time.Millisecond
	messageTimeout      = 2 * time.Second
	syncTimeoutMargin   = time.Second
	shortSyncWait       = 3 * time.Second
	longSyncWait        = 9 * time.Second
	renewalsPerLease    = 3
	syncPause           = 5 * time.Millisecond
	syncRetryPause      = 300 * time.Millisecond
)

// defaultPolicy returns the placement policy used without WithPolicy.
func defaultPolicy() yuccapaddle.Policy {
	return placer.New()
}

// act executes an action. Messages to workers are sent by goroutines of the group;
// their answers are posted as events.
func (d *Driver) act(ctx context.Context, a yuccapaddle.Action) error {
	switch a := a.(type) {
	case yuccapaddle.Reply:
		d.reply(a)
	case yuccapaddle.Announce:
		key := a.Outcome.Workspace + "/" + a.Outcome.ID
		d.announced[key] = a.Outcome
		d.wakeWaiters(key, a.Outcome)
	case yuccapaddle.ReserveAction:
		d.sendAsync(ctx, "reserve", func(ctx context.Context) { d.reserve(ctx, a.Reservation) })
	case yuccapaddle.StartAction:
		d.sendAsync(ctx, "start", func(ctx context.Context) { d.start(ctx, a.Command) })
	case yuccapaddle.CheckpointAction:
		d.sendAsync(ctx, "checkpoint", func(ctx context.Context) { d.checkpoint(ctx, a.Command) })
	case yuccapaddle.StopAction:
		d.sendAsync(ctx, "stop", func(ctx context.Context) { d.stop(ctx, a.Command) })
	case yuccapaddle.ForgetAction:
		d.sendAsync(ctx, "forget", func(ctx context.Context) { _ = d.worker.Forget(ctx, a.Command) })
	case yuccapaddle.InvariantViolation:
		return fmt.Errorf("broken invariant: %w", a.Err)
	}
	return nil
}

// sendAsync runs f in a goroutine of the group, with messageTimeout.
func (d *Driver) sendAsync(ctx context.Context, what string, f func(ctx context.Context)) {
	d.group.Go(what, func() error {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		f(ctx)
		return nil
	})
}

func (d *Driver) reserve(ctx context.Context, r yuccapaddle.Reservation) {
	err := d.checkDeadline(r.NotAfter)
	if err == nil {
		err = d.worker.Reserve(ctx, r)
	}
	d.post(yuccapaddle.Reserved{Upstream: r.Upstream, Lease: r.Lease, Err: err})
}

func (d *Driver) start(ctx context.Context, c yuccapaddle.LeaseCommand) {
	err := d.checkDeadline(c.NotAfter)
	if err == nil {
		err = d.worker.Start(ctx, c)
	}
	d.post(yuccapaddle.Started{Upstream: c.Upstream, Lease: c.Lease, Err: err})
}

// checkDeadline returns an error if the deadline of a message has passed, which
// happens when the process was paused. The message must not be sent then.
func (d *Driver) checkDeadline(notAfter time.Time) error {
	if time.Now().Before(notAfter) {
		return nil
	}
	return &yuccapaddle.WorkerError{Reason: "the deadline of the message passed before it was sent"}
}

func (d *Driver) checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) {
	if err := d.worker.Checkpoint(ctx, c); err != nil {
		d.log.Info("checkpoint request failed", zap.String("lease", c.Lease), zap.String("upstream", c.Upstream), zap.Error(err))
	}
}

func (d *Driver) stop(ctx context.Context, c yuccapaddle.LeaseCommand) {
	reply, err := d.worker.Stop(ctx, c)
	d.post(yuccapaddle.Stopped{Upstream: c.Upstream, Lease: c.Lease, Reply: reply, Err: err})
}

// post sends an event to the loop, or drops it if the loop has ended.
func (d *Driver) post(e yuccapaddle.Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// updateSyncLoops starts a sync loop for each newly declared upstream and ends those
// of upstreams that are no longer declared.
func (d *Driver) updateSyncLoops(ctx context.Context, cfg *yuccapaddle.Config) {
	declared := map[string]bool{}
	for _, dom := range cfg.Site.Domains {
		for _, u := range dom.Upstreams {
			declared[u.Name] = true
			if d.cancelSync[u.Name] != nil {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			d.cancelSync[u.Name] = cancel
			d.group.Go("sync "+u.Name, func() error { return d.syncLoop(loopCtx, u.Name) })
		}
	}
	d.upstreams.Store(int64(len(declared)))
	for name, cancel := range d.cancelSync {
		if !declared[name] {
			cancel()
			delete(d.cancelSync, name)
		}
	}
}

// syncLoop long-polls an upstream for news of its tasks and workers, and renews the
// leases there. It returns ErrDeposed if the upstream has seen a higher token.
func (d *Driver) syncLoop(ctx context.Context, upstream string) error {
	var boot string
	var seq uint64
	var renewAt time.Time
	explicit := false
	for ctx.Err() == nil {
		leaseTTL := scheduler.LeaseTTL(int(d.upstreams.Load()))
		req := yuccapaddle.SyncRequest{Upstream: upstream, Token: d.scheduler.Epoch(), Boot: boot, Seq: seq, Explicit: explicit}
		req.Renew = explicit || !time.Now().Before(renewAt)
		sentAt := time.Now()
		if req.Renew {
			leases, ok := d.renewableLeases(upstream)
			if !ok {
				return nil
			}
			sentAt = time.Now()
			req.Expiry = sentAt.Add(leaseTTL)
			req.Digest = digester.Digest(leases)
			if explicit {
				req.Leases = leases
			}
		}
		req.WaitUntil = sentAt.Add(syncWait(leaseTTL))
		report, err := d.sync(ctx, req)
		if err != nil {
			if d.isDeposed(err) {
				return journaler.ErrDeposed
			}
			d.post(yuccapaddle.SyncFailed{Upstream: upstream})
			explicit, renewAt = true, time.Time{}
			_ = sleeper.Sleep(ctx, syncRetryPause)
			continue
		}
		if req.Renew && !report.Mismatch {
			renewAt = sentAt.Add(leaseTTL / renewalsPerLease)
		}
		boot, seq, explicit = report.Boot, report.Seq, report.Mismatch
		d.post(yuccapaddle.Reported{Report: report, SentAt: sentAt})
		_ = sleeper.Sleep(ctx, syncPause)
	}
	return nil
}

// syncWait returns how long a sync waits for news. Each sync costs a message and its
// answer, so the wait is long if leases are long, which they are with many upstreams.
// Even then an unanswered renewal can be retried before the lease expires.
func syncWait(leaseTTL time.Duration) time.Duration {
	if leaseTTL > 2*longSyncWait {
		return longSyncWait
	}
	return shortSyncWait
}

// sync sends one sync request. A report of another upstream counts as no answer.
func (d *Driver) sync(ctx context.Context, req yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	ctx, cancel := context.WithDeadline(ctx, req.WaitUntil.Add(syncTimeoutMargin))
	defer cancel()
	report, err := d.worker.Sync(ctx, req)
	if err == nil && report.Upstream != req.Upstream {
		return report, fmt.Errorf("%w: upstream %q answered in place of %q", yuccapaddle.ErrNoAnswer, report.Upstream, req.Upstream)
	}
	return report, err
}

// isDeposed reports whether an upstream refused this host's token because it has
// seen a higher one.
func (d *Driver) isDeposed(err error) bool {
	var we *yuccapaddle.WorkerError
	return errors.As(err, &we) && we.Outdated
}

// renewableLeases returns the leases to renew at an upstream, false if the loop
// has ended.
func (d *Driver) renewableLeases(upstream string) ([]string, bool) {
	out := make(chan []string, 1)
	if !d.runInLoop(func() { out <- d.scheduler.RenewableLeases(upstream) }) {
		return nil, false
	}
	return <-out, true
}

// runInLoop runs f in the loop and waits for it. It returns false if the loop has
// ended; f may or may not have run then.
func (d *Driver) runInLoop(f func()) bool {
	ran := make(chan struct{})
	select {
	case d.calls <- func() { f(); close(ran) }:
	case <-d.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-d.done:
		return false
	}
}
