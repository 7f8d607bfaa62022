// Package storer is an in-memory stand-in for the platform's key-value service.
// Faults can be injected.
package storer

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

// Storer is an in-memory key-value service with compare-and-swap, leases and
// watches. It implements yuccapaddle.Store and is safe for concurrent use.
type Storer struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]*entry
	changed  chan struct{}
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   Counts
}

type entry struct {
	value    []byte
	revision uint64
	expiry   time.Time
	prev     yuccapaddle.Entry
}

// Faults are the injected faults. LoseAnswers and LoseWrites count down with each
// write that they affect; rates are calls per second, 0 for no limit.
type Faults struct {
	Down bool `json:"down"`
	// SlowMS is the delay of each call, in milliseconds.
	SlowMS int `json:"slowMs"`
	// LoseAnswers: writes take effect, but get no answer.
	LoseAnswers int `json:"loseAnswers"`
	// LoseWrites: writes other than deletions have no effect and get no answer.
	LoseWrites int `json:"loseWrites"`
	// StaleReads: reads return the value before the last write of a key.
	StaleReads bool `json:"staleReads"`
	// HangWatches: watches are not answered, even after their deadline.
	HangWatches bool `json:"hangWatches"`
	WriteRate   int  `json:"writeRate"`
	ReadRate    int  `json:"readRate"`
}

// Counts are the numbers of calls admitted and refused so far; a watch counts as one
// read.
type Counts struct {
	Writes  uint64 `json:"writes"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
}

var _ yuccapaddle.Store = (*Storer)(nil)

// New returns an empty store without faults.
func New() *Storer {
	return &Storer{entries: map[string]*entry{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults and wakes waiting watches.
func (s *Storer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writes = newLimiter(f.WriteRate)
	s.reads = newLimiter(f.ReadRate)
	s.notifyWatchers()
}

// Faults returns the current faults.
func (s *Storer) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *Storer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Get implements yuccapaddle.Store.
func (s *Storer) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	if err := s.admitRead(ctx); err != nil {
		return yuccapaddle.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key), nil
}

// List implements yuccapaddle.Store.
func (s *Storer) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []yuccapaddle.Entry
	for key := range s.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if e := s.read(key); e.Revision != 0 {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, nil
}

// Put implements yuccapaddle.Store.
func (s *Storer) Put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	if err := s.admitWrite(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		return 0, yuccapaddle.ErrUnknown
	}
	s.removeExpired()
	existing := s.current(w.Key)
	if existing.Revision != w.IfRevision {
		return 0, fmt.Errorf("key %q has revision %d, not %d: %w", w.Key, existing.Revision, w.IfRevision, yuccapaddle.ErrConflict)
	}
	s.revision++
	value := append([]byte(nil), w.Value...)
	s.entries[w.Key] = &entry{value: value, revision: s.revision, expiry: w.Expiry, prev: existing}
	s.notifyWatchers()
	return s.revision, s.loseAnswer()
}

// Delete implements yuccapaddle.Store.
func (s *Storer) Delete(ctx context.Context, key string, ifRevision uint64) error {
	if err := s.admitWrite(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if existing := s.current(key); existing.Revision != ifRevision {
		return fmt.Errorf("key %q has revision %d, not %d: %w", key, existing.Revision, ifRevision, yuccapaddle.ErrConflict)
	}
	s.revision++
	delete(s.entries, key)
	s.notifyWatchers()
	return s.loseAnswer()
}

// Watch implements yuccapaddle.Store.
func (s *Storer) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	if err := s.admitRead(ctx); err != nil {
		return yuccapaddle.Entry{}, err
	}
	timer := time.NewTimer(sleeper.TimerDuration(time.Until(deadline)))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.removeExpired()
		entry, changed, f := s.read(key), s.changed, s.faults
		s.mu.Unlock()
		if f.Down {
			return yuccapaddle.Entry{}, fmt.Errorf("watch %q: the service is down: %w", key, yuccapaddle.ErrNotApplied)
		}
		if entry.Revision != after && !f.HangWatches {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return yuccapaddle.Entry{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			if f.HangWatches {
				<-ctx.Done()
				return yuccapaddle.Entry{}, ctx.Err()
			}
			entry.Value = nil // an unchanged entry may be returned without its value
			return entry, nil
		}
	}
}

// read returns an entry as reads see it: with StaleReads, as it was before its last
// write.
func (s *Storer) read(key string) yuccapaddle.Entry {
	e := s.entries[key]
	if e != nil && s.faults.StaleReads {
		return e.prev
	}
	return s.current(key)
}

// current returns the entry with its last written value, with revision 0 if it is
// absent or expired.
func (s *Storer) current(key string) yuccapaddle.Entry {
	e := s.entries[key]
	if e == nil || (!e.expiry.IsZero() && !time.Now().Before(e.expiry)) {
		return yuccapaddle.Entry{Key: key}
	}
	return yuccapaddle.Entry{Key: key, Value: append([]byte(nil), e.value...), Revision: e.revision}
}

func (s *Storer) removeExpired() {
	for key, e := range s.entries {
		if !e.expiry.IsZero() && !time.Now().Before(e.expiry) {
			delete(s.entries, key)
		}
	}
}

// loseAnswer returns ErrUnknown if the reply to a write is to be lost.
func (s *Storer) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return yuccapaddle.ErrUnknown
}

func (s *Storer) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Storer) admitRead(ctx context.Context) error {
	return s.admit(ctx, func() (*rate.Limiter, *uint64) { return s.reads, &s.counts.Reads })
}

func (s *Storer) admitWrite(ctx context.Context) error {
	return s.admit(ctx, func() (*rate.Limiter, *uint64) { return s.writes, &s.counts.Writes })
}

// admit counts a call and refuses it if the service is down or over the rate of the
// limiter that pick returns; otherwise it applies the delay.
func (s *Storer) admit(ctx context.Context, pick func() (*rate.Limiter, *uint64)) error {
	s.mu.Lock()
	f := s.faults
	limit, count := pick()
	refused := f.Down || (limit != nil && !limit.Allow())
	if refused {
		s.counts.Refused++
	} else {
		*count++
	}
	s.mu.Unlock()
	if refused {
		return fmt.Errorf("the service is down or over its rate: %w", yuccapaddle.ErrNotApplied)
	}
	if f.SlowMS == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(sleeper.TimerDuration(time.Duration(f.SlowMS) * time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", yuccapaddle.ErrNotApplied, ctx.Err())
	case <-timer.C:
		return nil
	}
}
