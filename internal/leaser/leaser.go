// Package leaser decides by a lease in the platform's service which host is
// active. The lease only avoids conflicts; safety rests on the journal.
package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/sleeper"
)

const (
	key        = "leader"
	leaseTime  = 3 * time.Second
	renewEvery = 800 * time.Millisecond
	watchTime  = time.Second
	retryEvery = 200 * time.Millisecond
	yieldTime  = 2 * time.Second
)

// Leaser keeps the lease while it can, and knows who holds it.
type Leaser struct {
	store   yuccapaddle.Store
	self    Holder
	log     *zap.Logger
	holder  atomic.Pointer[Holder]
	yielded atomic.Bool
	away    bool // the service did not answer the last call
	hung    bool // read instead of watching: the last watch failed, or there was none
}

// Holder is the value of the lease.
type Holder struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
	Count   uint64 `json:"count"`
}

// New returns a Leaser for a host; address is where other hosts reach it, and
// nonce differs for every process.
func New(store yuccapaddle.Store, host, address, nonce string, log *zap.Logger) *Leaser {
	return &Leaser{store: store, self: Holder{Host: host, Address: address, Nonce: nonce}, log: log, hung: true}
}

// Holder returns the host that held the lease when last seen.
func (l *Leaser) Holder() (host, address string, ok bool) {
	h := l.holder.Load()
	if h == nil {
		return "", "", false
	}
	return h.Host, h.Address, true
}

// Yield makes the host give up the lease and not seek it again.
func (l *Leaser) Yield() {
	l.yielded.Store(true)
}

// Run seeks the lease and calls active each time this host has it. The context
// of active ends when another host has the lease, not when the service is down:
// while it is down no other host can get the lease.
func (l *Leaser) Run(ctx context.Context, active func(ctx context.Context) error) error {
	for ctx.Err() == nil {
		rev, err := l.acquire(ctx)
		if err != nil {
			return nil // only the context ends the search
		}
		l.log.Info("this host is active", zap.Uint64("revision", rev))
		if err := l.hold(ctx, rev, active); err != nil {
			return err
		}
		l.log.Info("this host is no longer active")
	}
	return nil
}

func (l *Leaser) acquire(ctx context.Context) (uint64, error) {
	after := uint64(0)
	for {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if l.away {
			// After an outage of the service the former holder goes first: a
			// change of the active host would cost what it has not committed.
			l.away = false
			_ = sleeper.Sleep(ctx, yieldTime)
			after = l.follow(ctx, after)
			continue
		}
		after = l.follow(ctx, after)
		switch {
		case l.away || l.yielded.Load():
			continue
		case after != 0 && l.mine():
			return after, nil // an earlier write whose answer was lost
		case after != 0:
			continue // another host has it; trying would only cost a write
		}
		rev, err := l.put(ctx, 0)
		if err == nil {
			return rev, nil
		}
		l.hung = true // read next, whatever became of the write
		_ = sleeper.Sleep(ctx, retryEvery)
	}
}

// follow waits for a change of the lease and notes the holder. After a watch
// that failed or hung it reads instead.
func (l *Leaser) follow(ctx context.Context, after uint64) uint64 {
	callCtx, cancel := context.WithTimeout(ctx, 2*watchTime)
	defer cancel()
	var e yuccapaddle.Entry
	var err error
	if l.hung {
		e, err = l.store.Get(callCtx, key)
	} else {
		e, err = l.store.Watch(callCtx, key, after, time.Now().Add(watchTime))
	}
	l.hung = err != nil && !l.hung
	if err != nil {
		l.away = true
		_ = sleeper.Sleep(ctx, retryEvery)
		return after
	}
	if e.Revision != after || e.Revision == 0 {
		l.note(e)
	}
	return e.Revision
}

func (l *Leaser) note(e yuccapaddle.Entry) {
	var h Holder
	if e.Revision == 0 || json.Unmarshal(e.Value, &h) != nil {
		l.holder.Store(nil)
		return
	}
	l.holder.Store(&h)
}

func (l *Leaser) mine() bool {
	h := l.holder.Load()
	return h != nil && h.Nonce == l.self.Nonce
}

func (l *Leaser) put(ctx context.Context, ifRevision uint64) (uint64, error) {
	h := l.self
	h.Count = ifRevision
	value, err := json.Marshal(h)
	if err != nil {
		return 0, fmt.Errorf("encode the lease: %w", err)
	}
	rev, err := l.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value, IfRevision: ifRevision, Expiry: time.Now().Add(leaseTime)})
	if err != nil {
		return 0, err
	}
	l.holder.Store(&h)
	return rev, nil
}

// hold runs active and renews the lease beside it.
func (l *Leaser) hold(ctx context.Context, rev uint64, active func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	g, _ := guarder.New(ctx, l.log)
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

// renew returns when the lease is lost or given up.
func (l *Leaser) renew(ctx context.Context, rev uint64) {
	for {
		_ = sleeper.Sleep(ctx, renewEvery)
		if ctx.Err() != nil || l.yielded.Load() {
			l.release(rev)
			return
		}
		next, err := l.put(ctx, rev)
		if err == nil {
			rev = next
			continue
		}
		e, readErr := l.store.Get(ctx, key)
		if readErr != nil {
			continue
		}
		l.note(e)
		switch {
		case e.Revision == 0:
			rev = 0 // it lapsed while the service was away, and nobody took it
		case l.mine():
			rev = e.Revision
		default:
			l.log.Warn("another host has the lease", zap.ByteString("holder", e.Value))
			return
		}
	}
}

// release frees the lease at once, so that another host need not wait for it
// to lapse.
func (l *Leaser) release(rev uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.store.Delete(ctx, key, rev); err != nil {
		l.log.Info("the lease could not be released and will lapse", zap.Error(err))
	}
	l.holder.Store(nil)
}
