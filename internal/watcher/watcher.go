// Package watcher follows the operators' configuration in the platform's key-value
// service. It never returns to a lower revision, whatever a read returns.
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	// Key is the key of the configuration in the store.
	Key = "config"

	watchDuration    = time.Second
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
)

// Watcher holds the latest configuration that this host has seen.
type Watcher struct {
	store       yuccapaddle.Store
	log         *zap.Logger
	current     atomic.Pointer[yuccapaddle.Config]
	lastReplyNS atomic.Int64 // Unix nanoseconds
	onNew       func(*yuccapaddle.Config)
	wakeup      chan struct{}
	readNext    atomic.Bool                        // read the key at once instead of watching it
	cancelCall  atomic.Pointer[context.CancelFunc] // cancels the last call to the store
}

// New returns a Watcher that calls onNew for every newer revision.
func New(store yuccapaddle.Store, log *zap.Logger, onNew func(*yuccapaddle.Config)) *Watcher {
	return &Watcher{store: store, log: log, onNew: onNew, wakeup: make(chan struct{}, 1)}
}

// Current returns the configuration in force on this host, nil if there is none yet.
func (w *Watcher) Current() *yuccapaddle.Config {
	return w.current.Load()
}

// LastReply returns when the platform's key-value service last answered, the Unix
// epoch if it never has.
func (w *Watcher) LastReply() time.Time {
	return time.Unix(0, w.lastReplyNS.Load())
}

// Refresh makes the watcher read the key at once, because there may be a newer
// revision.
func (w *Watcher) Refresh() {
	w.readNext.Store(true)
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	if cancel := w.cancelCall.Load(); cancel != nil {
		(*cancel)() // the current watch may hang
	}
}

// Offer applies a configuration if its revision is higher than that of the current
// one, and reports whether it did.
func (w *Watcher) Offer(cfg *yuccapaddle.Config) bool {
	for {
		old := w.current.Load()
		if old != nil && cfg.Revision <= old.Revision {
			return false
		}
		if w.current.CompareAndSwap(old, cfg) {
			w.onNew(cfg)
			return true
		}
	}
}

// Run follows the key until the context ends. It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	revision := uint64(0)
	retryInterval := minRetryInterval
	for ctx.Err() == nil {
		e, err := w.awaitChange(ctx, revision)
		if err != nil {
			w.sleep(ctx, retryInterval)
			retryInterval = min(2*retryInterval, maxRetryInterval)
			continue
		}
		retryInterval = minRetryInterval
		w.lastReplyNS.Store(time.Now().UnixNano())
		if e.Revision == revision {
			continue
		}
		if e.Revision < revision {
			w.sleep(ctx, minRetryInterval) // a stale value; the next one may be stale too
			continue
		}
		if err := w.apply(e); err != nil {
			w.log.Error("the configuration cannot be read", zap.Error(err))
			w.sleep(ctx, maxRetryInterval)
			continue
		}
		revision = e.Revision
	}
	return nil
}

// awaitChange waits for another revision of the key, for up to watchDuration. It reads
// the key at once after a call of Refresh and after a failed watch, so that a host whose
// watches hang still sees changes.
func (w *Watcher) awaitChange(ctx context.Context, revision uint64) (yuccapaddle.Entry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, 2*watchDuration)
	defer cancel()
	w.cancelCall.Store(&cancel)
	if w.readNext.Swap(false) {
		return w.store.Get(watchCtx, Key)
	}
	e, err := w.store.Watch(watchCtx, Key, revision, time.Now().Add(watchDuration))
	if err != nil {
		w.readNext.Store(true)
	}
	return e, err
}

func (w *Watcher) apply(e yuccapaddle.Entry) error {
	cfg, err := Decode(e.Value)
	if err != nil {
		return err
	}
	w.Offer(cfg)
	return nil
}

// Decode decodes a stored configuration.
func Decode(value []byte) (*yuccapaddle.Config, error) {
	var cfg yuccapaddle.Config
	if err := json.Unmarshal(value, &cfg); err != nil {
		return nil, fmt.Errorf("stored configuration cannot be decoded: %w", err)
	}
	return &cfg, nil
}

// sleep waits for d, a call of Refresh or the end of the context.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(sleeper.TimerDuration(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.wakeup:
	}
}
