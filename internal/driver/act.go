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
	permitEvery     = 800 * time.Millisecond
	permitRetry     = 100 * time.Millisecond
	messageTime     = 2 * time.Second
	syncSlack       = time.Second
	syncWaitShort   = 3 * time.Second
	syncWaitLong    = 9 * time.Second
	renewalsInLease = 3
	syncPause       = 5 * time.Millisecond
	silencePause    = 300 * time.Millisecond
)

func defaultPolicy() yuccapaddle.Policy {
	return placer.New()
}

// act carries out one action. Messages to workers go out in goroutines of the
// group; their answers come back as events.
func (d *Driver) act(ctx context.Context, a yuccapaddle.Action) error {
	switch a := a.(type) {
	case yuccapaddle.Reply:
		d.reply(a)
	case yuccapaddle.Announce:
		key := a.Outcome.Workspace + "/" + a.Outcome.ID
		d.early[key] = a.Outcome
		d.wake(key, a.Outcome)
	case yuccapaddle.ReserveAction:
		d.send(ctx, "reserve", func(ctx context.Context) { d.reserve(ctx, a.Reservation) })
	case yuccapaddle.StartAction:
		d.send(ctx, "start", func(ctx context.Context) { d.start(ctx, a.Command) })
	case yuccapaddle.CheckpointAction:
		d.send(ctx, "checkpoint", func(ctx context.Context) { d.checkpoint(ctx, a.Command) })
	case yuccapaddle.StopAction:
		d.send(ctx, "stop", func(ctx context.Context) { d.stop(ctx, a.Command) })
	case yuccapaddle.ForgetAction:
		d.send(ctx, "forget", func(ctx context.Context) { _ = d.worker.Forget(ctx, a.Command) })
	case yuccapaddle.Broken:
		return fmt.Errorf("broken invariant: %w", a.Err)
	}
	return nil
}

func (d *Driver) send(ctx context.Context, what string, f func(ctx context.Context)) {
	d.group.Go(what, func() error {
		ctx, cancel := context.WithTimeout(ctx, messageTime)
		defer cancel()
		f(ctx)
		return nil
	})
}

func (d *Driver) reserve(ctx context.Context, r yuccapaddle.Reservation) {
	err := d.late(r.NotAfter)
	if err == nil {
		err = d.worker.Reserve(ctx, r)
	}
	d.post(yuccapaddle.Reserved{Upstream: r.Upstream, Lease: r.Lease, Err: err})
}

func (d *Driver) start(ctx context.Context, c yuccapaddle.LeaseCommand) {
	err := d.late(c.NotAfter)
	if err == nil {
		err = d.worker.Start(ctx, c)
	}
	d.post(yuccapaddle.Started{Upstream: c.Upstream, Lease: c.Lease, Err: err})
}

// late refuses to send a message whose deadline has passed, as happens after
// the process was paused.
func (d *Driver) late(notAfter time.Time) error {
	if time.Now().Before(notAfter) {
		return nil
	}
	return &yuccapaddle.WorkerError{Reason: "the deadline of the message passed before it was sent"}
}

func (d *Driver) checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) {
	if err := d.worker.Checkpoint(ctx, c); err != nil {
		d.log.Info("checkpoint not taken", zap.String("lease", c.Lease), zap.String("upstream", c.Upstream), zap.Error(err))
	}
}

func (d *Driver) stop(ctx context.Context, c yuccapaddle.LeaseCommand) {
	reply, err := d.worker.Stop(ctx, c)
	d.post(yuccapaddle.Stopped{Upstream: c.Upstream, Lease: c.Lease, Reply: reply, Err: err})
}

// post hands an event to the loop, unless the loop has ended.
func (d *Driver) post(e yuccapaddle.Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// follow starts a sync loop for each declared upstream and ends those of
// upstreams that are no longer declared.
func (d *Driver) follow(ctx context.Context, cfg *yuccapaddle.Config) {
	declared := map[string]bool{}
	for _, dom := range cfg.Site.Domains {
		for _, u := range dom.Upstreams {
			declared[u.Name] = true
			if d.syncing[u.Name] != nil {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			d.syncing[u.Name] = cancel
			d.group.Go("sync "+u.Name, func() error { return d.syncLoop(loopCtx, u.Name) })
		}
	}
	d.upstreams.Store(int64(len(declared)))
	for name, cancel := range d.syncing {
		if !declared[name] {
			cancel()
			delete(d.syncing, name)
		}
	}
}

// syncLoop keeps one sync waiting at an upstream, and renews its leases.
func (d *Driver) syncLoop(ctx context.Context, upstream string) error {
	var boot string
	var seq uint64
	var renewAt time.Time
	explicit := false
	for ctx.Err() == nil {
		lease := scheduler.LeaseTime(int(d.upstreams.Load()))
		req := yuccapaddle.SyncRequest{Upstream: upstream, Token: d.core.Epoch(), Boot: boot, Seq: seq, Explicit: explicit}
		req.Renew = explicit || !time.Now().Before(renewAt)
		sentAt := time.Now()
		if req.Renew {
			leases, ok := d.leases(upstream)
			if !ok {
				return nil
			}
			sentAt = time.Now()
			req.Expiry = sentAt.Add(lease)
			req.Digest = digester.Digest(leases)
			if explicit {
				req.Leases = leases
			}
		}
		req.WaitUntil = sentAt.Add(syncWait(lease))
		report, err := d.sync(ctx, req)
		if err != nil {
			if d.deposed(err) {
				return journaler.ErrDeposed
			}
			d.post(yuccapaddle.Silent{Upstream: upstream})
			explicit, renewAt = true, time.Time{}
			_ = sleeper.Sleep(ctx, silencePause)
			continue
		}
		if req.Renew && !report.Mismatch {
			renewAt = sentAt.Add(lease / renewalsInLease)
		}
		boot, seq, explicit = report.Boot, report.Seq, report.Mismatch
		d.post(yuccapaddle.Reported{Report: report, SentAt: sentAt})
		_ = sleeper.Sleep(ctx, syncPause)
	}
	return nil
}

// syncWait is how long a sync waits for news. Each one costs a message and its
// answer, so that it is long where leases are long, as they are with many
// upstreams; a renewal that gets no answer can still be repeated in time.
func syncWait(lease time.Duration) time.Duration {
	if lease > 2*syncWaitLong {
		return syncWaitLong
	}
	return syncWaitShort
}

func (d *Driver) sync(ctx context.Context, req yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	ctx, cancel := context.WithDeadline(ctx, req.WaitUntil.Add(syncSlack))
	defer cancel()
	report, err := d.worker.Sync(ctx, req)
	if err == nil && report.Upstream != req.Upstream {
		return report, fmt.Errorf("%w: upstream %q answered in place of %q", yuccapaddle.ErrNoAnswer, report.Upstream, req.Upstream)
	}
	return report, err
}

// deposed reports whether an upstream has seen the token of a later host.
func (d *Driver) deposed(err error) bool {
	var we *yuccapaddle.WorkerError
	return errors.As(err, &we) && we.Outdated
}

// leases asks the loop for the leases to renew.
func (d *Driver) leases(upstream string) ([]string, bool) {
	out := make(chan []string, 1)
	if !d.call(func() { out <- d.core.Leases(upstream) }) {
		return nil, false
	}
	return <-out, true
}

// call runs f in the loop; false means that the loop has ended.
func (d *Driver) call(f func()) bool {
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
