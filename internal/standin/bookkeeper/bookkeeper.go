// Package bookkeeper plays the platform's transactional store in memory, with
// faults that can be switched on.
package bookkeeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"yuccapaddle"
)

// Fault is a way in which the store misbehaves.
type Fault int

// Faults.
const (
	// FaultNone: the store works.
	FaultNone Fault = iota
	// FaultSilent: calls get no answer and do nothing.
	FaultSilent
	// FaultBusy: calls are refused.
	FaultBusy
	// FaultLost: calls are carried out and get no answer.
	FaultLost
)

// Bookkeeper implements yuccapaddle.Ledger. It is safe for concurrent use.
type Bookkeeper struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]stored
	leases   map[uint64]lease
	fault    Fault
	commits  int
}

type stored struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

var _ yuccapaddle.Ledger = (*Bookkeeper)(nil)

// New returns an empty store.
func New() *Bookkeeper {
	return &Bookkeeper{revision: 1, items: map[string]stored{}, leases: map[uint64]lease{}}
}

// SetFault switches a fault on, for all calls from now on.
func (b *Bookkeeper) SetFault(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// Commits is the number of transactions that were applied.
func (b *Bookkeeper) Commits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.commits
}

// Put sets a key without a condition, as operators and workers do.
func (b *Bookkeeper) Put(key string, value []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(yuccapaddle.Change{Key: key, Value: value})
}

// Drop removes a key.
func (b *Bookkeeper) Drop(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.items, key)
	b.revision++
}

func (b *Bookkeeper) set(c yuccapaddle.Change) {
	b.revision++
	b.items[c.Key] = stored{value: slices.Clone(c.Value), revision: b.revision, lease: c.Lease}
}

// call applies f unless a fault forbids it, and returns the error of the call.
func (b *Bookkeeper) call(ctx context.Context, f func() error) error {
	b.mu.Lock()
	b.expire()
	fault := b.fault
	var err error
	switch fault {
	case FaultBusy:
		err = yuccapaddle.ErrNotApplied
	case FaultNone, FaultLost:
		err = f()
	}
	b.mu.Unlock()
	if fault != FaultSilent && fault != FaultLost {
		return err
	}
	<-ctx.Done()
	return yuccapaddle.ErrUnknown
}

// expire removes the keys of leases that have ended.
func (b *Bookkeeper) expire() {
	now := time.Now()
	for id, l := range b.leases {
		if now.After(l.ends) {
			b.end(id)
		}
	}
}

func (b *Bookkeeper) end(id uint64) {
	delete(b.leases, id)
	for key, s := range b.items {
		if s.lease == id {
			delete(b.items, key)
			b.revision++
		}
	}
}

// Get implements yuccapaddle.Ledger.
func (b *Bookkeeper) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	var e yuccapaddle.Entry
	err := b.call(ctx, func() error {
		s := b.items[key]
		e = yuccapaddle.Entry{Key: key, Value: slices.Clone(s.value), Revision: s.revision}
		return nil
	})
	return e, err
}

// List implements yuccapaddle.Ledger.
func (b *Bookkeeper) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, uint64, error) {
	var list []yuccapaddle.Entry
	var at uint64
	err := b.call(ctx, func() error {
		at = b.revision
		for key, s := range b.items {
			if strings.HasPrefix(key, prefix) {
				list = append(list, yuccapaddle.Entry{Key: key, Value: slices.Clone(s.value), Revision: s.revision})
			}
		}
		slices.SortFunc(list, func(x, y yuccapaddle.Entry) int { return strings.Compare(x.Key, y.Key) })
		return nil
	})
	return list, at, err
}

// Commit implements yuccapaddle.Ledger.
func (b *Bookkeeper) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	var at uint64
	err := b.call(ctx, func() error {
		for _, c := range t.If {
			if b.items[c.Key].revision != c.Revision {
				return yuccapaddle.ErrConflict
			}
		}
		for _, c := range t.Set {
			if _, ok := b.leases[c.Lease]; c.Lease != 0 && !ok {
				return yuccapaddle.ErrNotApplied
			}
		}
		for _, c := range t.Set {
			b.set(c)
		}
		for _, key := range t.Remove {
			delete(b.items, key)
		}
		for _, c := range t.Set {
			s := b.items[c.Key]
			s.revision = b.revision
			b.items[c.Key] = s
		}
		b.commits++
		at = b.revision
		return nil
	})
	return at, err
}

// Grant implements yuccapaddle.Ledger.
func (b *Bookkeeper) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var id uint64
	err := b.call(ctx, func() error {
		b.revision++
		id = b.revision
		b.leases[id] = lease{ttl, time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// Renew implements yuccapaddle.Ledger.
func (b *Bookkeeper) Renew(ctx context.Context, id uint64) error {
	return b.call(ctx, func() error {
		l, ok := b.leases[id]
		if !ok {
			return yuccapaddle.ErrLeaseOver
		}
		l.ends = time.Now().Add(l.ttl)
		b.leases[id] = l
		return nil
	})
}

// Release implements yuccapaddle.Ledger.
func (b *Bookkeeper) Release(ctx context.Context, id uint64) error {
	return b.call(ctx, func() error {
		if _, ok := b.leases[id]; !ok {
			return yuccapaddle.ErrLeaseOver
		}
		b.end(id)
		return nil
	})
}
