// Package bookkeeper is an in-memory stand-in for the platform's transactional
// store. Faults can be injected into its calls.
package bookkeeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"yuccapaddle"
)

// Fault is a way in which the store fails.
type Fault int

// Faults of the store.
const (
	// FaultNone: calls succeed.
	FaultNone Fault = iota
	// FaultTimeout: calls have no effect and time out.
	FaultTimeout
	// FaultRefused: calls are refused with yuccapaddle.ErrNotApplied.
	FaultRefused
	// FaultLostReply: calls take effect, but the reply is lost and they time out.
	FaultLostReply
)

// Bookkeeper implements yuccapaddle.Ledger. It is safe for concurrent use.
type Bookkeeper struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[uint64]lease
	fault    Fault
	commits  int
}

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ yuccapaddle.Ledger = (*Bookkeeper)(nil)

// New returns an empty store.
func New() *Bookkeeper {
	return &Bookkeeper{revision: 1, entries: map[string]entry{}, leases: map[uint64]lease{}}
}

// SetFault sets the fault of all calls from now on.
func (b *Bookkeeper) SetFault(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// Commits returns the number of transactions that were applied.
func (b *Bookkeeper) Commits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.commits
}

// Put writes a key unconditionally, as operators and workers do.
func (b *Bookkeeper) Put(key string, value []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(yuccapaddle.Change{Key: key, Value: value})
}

// Delete deletes a key unconditionally.
func (b *Bookkeeper) Delete(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, key)
	b.revision++
}

// set writes a key at a new revision.
func (b *Bookkeeper) set(c yuccapaddle.Change) {
	b.revision++
	b.entries[c.Key] = entry{value: slices.Clone(c.Value), revision: b.revision, lease: c.Lease}
}

// apply runs op under the lock, subject to the current fault, and returns the error
// of the call.
func (b *Bookkeeper) apply(ctx context.Context, op func() error) error {
	b.mu.Lock()
	b.expireLeases()
	fault := b.fault
	var err error
	switch fault {
	case FaultRefused:
		err = yuccapaddle.ErrNotApplied
	case FaultNone, FaultLostReply:
		err = op()
	}
	b.mu.Unlock()
	if fault != FaultTimeout && fault != FaultLostReply {
		return err
	}
	<-ctx.Done()
	return yuccapaddle.ErrUnknown
}

// expireLeases ends the leases that have expired and removes their keys.
func (b *Bookkeeper) expireLeases() {
	now := time.Now()
	for id, l := range b.leases {
		if now.After(l.expiresAt) {
			b.removeLease(id)
		}
	}
}

// removeLease ends a lease and removes its keys.
func (b *Bookkeeper) removeLease(id uint64) {
	delete(b.leases, id)
	for key, e := range b.entries {
		if e.lease == id {
			delete(b.entries, key)
			b.revision++
		}
	}
}

// Get implements yuccapaddle.Ledger.
func (b *Bookkeeper) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	var found yuccapaddle.Entry
	err := b.apply(ctx, func() error {
		e := b.entries[key]
		found = yuccapaddle.Entry{Key: key, Value: slices.Clone(e.value), Revision: e.revision, Lease: e.lease}
		return nil
	})
	return found, err
}

// Revision returns the latest revision.
func (b *Bookkeeper) Revision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}

// Advance raises the revision, as a change of a key that nobody reads does.
func (b *Bookkeeper) Advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision++
}

// List implements yuccapaddle.Ledger.
func (b *Bookkeeper) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, uint64, error) {
	var list []yuccapaddle.Entry
	var rev uint64
	err := b.apply(ctx, func() error {
		rev = b.revision
		for key, e := range b.entries {
			if strings.HasPrefix(key, prefix) {
				list = append(list, yuccapaddle.Entry{Key: key, Value: slices.Clone(e.value), Revision: e.revision, Lease: e.lease})
			}
		}
		slices.SortFunc(list, func(x, y yuccapaddle.Entry) int { return strings.Compare(x.Key, y.Key) })
		return nil
	})
	return list, rev, err
}

// Commit implements yuccapaddle.Ledger.
func (b *Bookkeeper) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	var rev uint64
	err := b.apply(ctx, func() error {
		for _, c := range t.If {
			if b.entries[c.Key].revision != c.Revision {
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
			delete(b.entries, key)
		}
		for _, c := range t.Set {
			e := b.entries[c.Key]
			e.revision = b.revision
			b.entries[c.Key] = e
		}
		b.commits++
		rev = b.revision
		return nil
	})
	return rev, err
}

// Grant implements yuccapaddle.Ledger.
func (b *Bookkeeper) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var id uint64
	err := b.apply(ctx, func() error {
		b.revision++
		id = b.revision
		b.leases[id] = lease{ttl, time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// Renew implements yuccapaddle.Ledger.
func (b *Bookkeeper) Renew(ctx context.Context, id uint64) error {
	return b.apply(ctx, func() error {
		l, ok := b.leases[id]
		if !ok {
			return yuccapaddle.ErrLeaseOver
		}
		l.expiresAt = time.Now().Add(l.ttl)
		b.leases[id] = l
		return nil
	})
}

// Release implements yuccapaddle.Ledger.
func (b *Bookkeeper) Release(ctx context.Context, id uint64) error {
	return b.apply(ctx, func() error {
		if _, ok := b.leases[id]; !ok {
			return yuccapaddle.ErrLeaseOver
		}
		b.removeLease(id)
		return nil
	})
}
