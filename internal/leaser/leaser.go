// Package leaser elects the active host by a lease in the platform's key-value
// service. The lease only avoids conflicts between hosts: correctness depends on the
// journal, which admits one writer.
package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/supervisor"
)

const (
	leaseKey          = "leader"
	leaseDuration     = 3 * time.Second
	renewInterval     = 800 * time.Millisecond
	watchDuration     = time.Second
	retryInterval     = 200 * time.Millisecond
	formerHolderPause = 2 * time.Second
)

// Leaser acquires and renews the lease, and tracks its holder.
type Leaser struct {
	store       yuccapaddle.Store
	self        leaseHolder
	log         *zap.Logger
	holder      atomic.Pointer[leaseHolder]
	resigned    atomic.Bool
	storeFailed bool // awaitChange failed: acquire pauses before it goes on
	readNext    bool // read the lease instead of watching it: the last watch or write failed, or there was none
}

// leaseHolder is the value of the lease's key. Nonce differs for every process, and
// PrevRevision is the revision that the write replaced, 0 for a new lease.
type leaseHolder struct {
	Host         string `json:"host"`
	Address      string `json:"address"`
	Nonce        string `json:"nonce"`
	PrevRevision uint64 `json:"count"`
}

// New returns a Leaser for a host. Other hosts reach it at address; nonce must differ
// for every process.
func New(store yuccapaddle.Store, host, address, nonce string, log *zap.Logger) *Leaser {
	return &Leaser{store: store, self: leaseHolder{Host: host, Address: address, Nonce: nonce}, log: log, readNext: true}
}

// Holder returns the name and address of the last known holder of the lease. ok is
// false if there is none.
func (l *Leaser) Holder() (host, address string, ok bool) {
	h := l.holder.Load()
	if h == nil {
		return "", "", false
	}
	return h.Host, h.Address, true
}

// Resign makes the host release the lease and never acquire it again.
func (l *Leaser) Resign() {
	l.resigned.Store(true)
}

// Run acquires the lease and calls active each time this host holds it. The context
// of active ends when another host holds the lease or after Resign, but not while the
// service is down: no other host can acquire the lease then. Run returns nil when
// ctx ends, or the error of active.
func (l *Leaser) Run(ctx context.Context, active func(ctx context.Context) error) error {
	for ctx.Err() == nil {
		rev, err := l.acquire(ctx)
		if err != nil {
			return nil // acquire fails only when the context ends
		}
		l.log.Info("this host is active", zap.Uint64("revision", rev))
		if err := l.runActive(ctx, rev, active); err != nil {
			return err
		}
		l.log.Info("this host is no longer active")
	}
	return nil
}

// acquire waits until this host holds the lease and returns its revision.
func (l *Leaser) acquire(ctx context.Context) (uint64, error) {
	after := uint64(0)
	for {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if l.storeFailed {
			// After an outage of the service the former holder may acquire the lease
			// first: a change of the active host would lose its uncommitted records.
			l.storeFailed = false
			_ = sleeper.Sleep(ctx, formerHolderPause)
			after = l.awaitChange(ctx, after)
			continue
		}
		after = l.awaitChange(ctx, after)
		switch {
		case l.storeFailed || l.resigned.Load():
			continue
		case after != 0 && l.isHolder():
			return after, nil // an earlier write was applied, but its answer was lost
		case after != 0:
			continue // another host holds the lease; a write would fail
		}
		rev, err := l.put(ctx, 0)
		if err == nil {
			return rev, nil
		}
		l.readNext = true // find out whether the write was applied
		_ = sleeper.Sleep(ctx, retryInterval)
	}
}

// awaitChange waits until the revision of the lease differs from after, or for
// watchDuration, and updates the holder. It returns the lease's revision, 0 if nobody
// holds it, or after on an error. If readNext is set, it reads the lease at once
// instead of watching it.
func (l *Leaser) awaitChange(ctx context.Context, after uint64) uint64 {
	callCtx, cancel := context.WithTimeout(ctx, 2*watchDuration)
	defer cancel()
	var e yuccapaddle.Entry
	var err error
	if l.readNext {
		e, err = l.store.Get(callCtx, leaseKey)
	} else {
		e, err = l.store.Watch(callCtx, leaseKey, after, time.Now().Add(watchDuration))
	}
	l.readNext = err != nil && !l.readNext
	if err != nil {
		l.storeFailed = true
		_ = sleeper.Sleep(ctx, retryInterval)
		return after
	}
	if e.Revision != after || e.Revision == 0 {
		l.noteHolder(e)
	}
	return e.Revision
}

// noteHolder updates the holder from the value of the lease's key.
func (l *Leaser) noteHolder(e yuccapaddle.Entry) {
	var h leaseHolder
	if e.Revision == 0 || json.Unmarshal(e.Value, &h) != nil {
		l.holder.Store(nil)
		return
	}
	l.holder.Store(&h)
}

// isHolder reports whether this process is the last known holder of the lease.
func (l *Leaser) isHolder() bool {
	h := l.holder.Load()
	return h != nil && h.Nonce == l.self.Nonce
}

// put writes the lease with this process as its holder, and returns its revision.
func (l *Leaser) put(ctx context.Context, ifRevision uint64) (uint64, error) {
	h := l.self
	h.PrevRevision = ifRevision
	value, err := json.Marshal(h)
	if err != nil {
		return 0, fmt.Errorf("encode the lease: %w", err)
	}
	rev, err := l.store.Put(ctx, yuccapaddle.Write{Key: leaseKey, Value: value, IfRevision: ifRevision, Expiry: time.Now().Add(leaseDuration)})
	if err != nil {
		return 0, err
	}
	l.holder.Store(&h)
	return rev, nil
}

// runActive runs active while it renews the lease, until either ends.
func (l *Leaser) runActive(ctx context.Context, rev uint64, active func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	g, _ := supervisor.New(ctx, l.log)
	g.Go("lease renewal", func() error {
		l.renew(ctx, rev)
		cancel()
		return nil
	})
	g.Go("active host", func() error {
		done <- active(ctx)
		cancel()
		return nil
	})
	if err := g.Wait(); err != nil {
		return err
	}
	return <-done
}

// renew renews the lease until another host holds it, the context ends or the host
// resigns; in the last two cases it releases the lease.
func (l *Leaser) renew(ctx context.Context, rev uint64) {
	for {
		_ = sleeper.Sleep(ctx, renewInterval)
		if ctx.Err() != nil || l.resigned.Load() {
			l.release(rev)
			return
		}
		next, err := l.put(ctx, rev)
		if err == nil {
			rev = next
			continue
		}
		e, readErr := l.store.Get(ctx, leaseKey)
		if readErr != nil {
			continue
		}
		l.noteHolder(e)
		switch {
		case e.Revision == 0:
			rev = 0 // it expired during an outage of the service, and nobody acquired it
		case l.isHolder():
			rev = e.Revision
		default:
			l.log.Warn("another host holds the lease", zap.ByteString("holder", e.Value))
			return
		}
	}
}

// release deletes the lease, so that other hosts need not wait until it expires.
func (l *Leaser) release(rev uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.store.Delete(ctx, leaseKey, rev); err != nil {
		l.log.Info("releasing the lease failed; it will expire", zap.Error(err))
	}
	l.holder.Store(nil)
}
