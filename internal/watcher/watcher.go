// Package watcher follows the operators' configuration. It never goes back to a
// lower revision, whatever a read returns.
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
	// Key is where the configuration lives.
	Key        = "config"
	watchTime  = time.Second
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
)

// Watcher holds the latest configuration that this host has seen.
type Watcher struct {
	store   yuccapaddle.Store
	log     *zap.Logger
	current atomic.Pointer[yuccapaddle.Config]
	heard   atomic.Int64
	onNew   func(*yuccapaddle.Config)
	poke    chan struct{}
	wanted  atomic.Bool // read at once instead of watching
	stop    atomic.Pointer[context.CancelFunc]
}

// New returns a Watcher that calls onNew for every newer revision.
func New(store yuccapaddle.Store, log *zap.Logger, onNew func(*yuccapaddle.Config)) *Watcher {
	return &Watcher{store: store, log: log, onNew: onNew, poke: make(chan struct{}, 1)}
}

// Current returns the configuration in force here, nil if there is none yet.
func (w *Watcher) Current() *yuccapaddle.Config {
	return w.current.Load()
}

// Heard is when the platform's service last answered.
func (w *Watcher) Heard() time.Time {
	return time.Unix(0, w.heard.Load())
}

// Poke makes the watcher read now, after another host has told of a change.
func (w *Watcher) Poke() {
	w.wanted.Store(true)
	select {
	case w.poke <- struct{}{}:
	default:
	}
	if stop := w.stop.Load(); stop != nil {
		(*stop)() // the watch itself may hang
	}
}

// Offer applies a configuration if it is newer than the one in force.
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

// Run follows the key until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	revision := uint64(0)
	retry := retryFirst
	for ctx.Err() == nil {
		e, err := w.next(ctx, revision)
		if err != nil {
			w.pause(ctx, retry)
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryFirst
		w.heard.Store(time.Now().UnixNano())
		if e.Revision == revision {
			continue
		}
		if e.Revision < revision {
			w.pause(ctx, retryFirst) // an old value; the next answer may be one too
			continue
		}
		if err := w.take(e); err != nil {
			w.log.Error("the configuration cannot be read", zap.Error(err))
			w.pause(ctx, retryMost)
			continue
		}
		revision = e.Revision
	}
	return nil
}

// next waits for a change. It reads at once after a poke, and after a watch that
// failed, so that a host whose watch hangs still learns of changes.
func (w *Watcher) next(ctx context.Context, revision uint64) (yuccapaddle.Entry, error) {
	watchCtx, cancel := context.WithTimeout(ctx, 2*watchTime)
	defer cancel()
	w.stop.Store(&cancel)
	if w.wanted.Swap(false) {
		return w.store.Get(watchCtx, Key)
	}
	e, err := w.store.Watch(watchCtx, Key, revision, time.Now().Add(watchTime))
	if err != nil {
		w.wanted.Store(true)
	}
	return e, err
}

func (w *Watcher) take(e yuccapaddle.Entry) error {
	cfg, err := Decode(e.Value)
	if err != nil {
		return err
	}
	w.Offer(cfg)
	return nil
}

// Decode reads a stored configuration.
func Decode(value []byte) (*yuccapaddle.Config, error) {
	var cfg yuccapaddle.Config
	if err := json.Unmarshal(value, &cfg); err != nil {
		return nil, fmt.Errorf("stored configuration cannot be decoded: %w", err)
	}
	return &cfg, nil
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(sleeper.Ahead(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.poke:
	}
}
