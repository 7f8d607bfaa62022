// Package storer is a small stand-in for the platform's key-value service. It
// keeps everything in memory and can be told to fail.
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
// watches. It implements yuccapaddle.Store.
type Storer struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]*stored
	changed  chan struct{}
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   Counts
}

type stored struct {
	value    []byte
	revision uint64
	expiry   time.Time
	former   yuccapaddle.Entry
}

// Faults are the failures that can be switched on. Rates are calls per second,
// 0 for no limit.
type Faults struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slowMs"`
	LoseAnswers int  `json:"loseAnswers"`
	LoseWrites  int  `json:"loseWrites"`
	StaleReads  bool `json:"staleReads"`
	HangWatches bool `json:"hangWatches"`
	WriteRate   int  `json:"writeRate"`
	ReadRate    int  `json:"readRate"`
}

// Counts are the calls answered so far; a watch counts as one read.
type Counts struct {
	Writes  uint64 `json:"writes"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
}

var _ yuccapaddle.Store = (*Storer)(nil)

// New returns an empty service without faults.
func New() *Storer {
	return &Storer{entries: map[string]*stored{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Storer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writes = limiter(f.WriteRate)
	s.reads = limiter(f.ReadRate)
	s.wake()
}

// Faults returns the faults that are on.
func (s *Storer) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls answered so far.
func (s *Storer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func limiter(perSecond int) *rate.Limiter {
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
	s.expire()
	have := s.current(w.Key)
	if have.Revision != w.IfRevision {
		return 0, fmt.Errorf("key %q has revision %d, not %d: %w", w.Key, have.Revision, w.IfRevision, yuccapaddle.ErrConflict)
	}
	s.revision++
	value := append([]byte(nil), w.Value...)
	s.entries[w.Key] = &stored{value: value, revision: s.revision, expiry: w.Expiry, former: have}
	s.wake()
	return s.revision, s.loseAnswer()
}

// Delete implements yuccapaddle.Store.
func (s *Storer) Delete(ctx context.Context, key string, ifRevision uint64) error {
	if err := s.admitWrite(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if have := s.current(key); have.Revision != ifRevision {
		return fmt.Errorf("key %q has revision %d, not %d: %w", key, have.Revision, ifRevision, yuccapaddle.ErrConflict)
	}
	s.revision++
	delete(s.entries, key)
	s.wake()
	return s.loseAnswer()
}

// Watch implements yuccapaddle.Store.
func (s *Storer) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	if err := s.admitRead(ctx); err != nil {
		return yuccapaddle.Entry{}, err
	}
	timer := time.NewTimer(sleeper.Ahead(time.Until(deadline)))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
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
			entry.Value = nil // unchanged: the revision says it all
			return entry, nil
		}
	}
}

// read returns an entry as a reader sees it, under the fault of stale reads.
func (s *Storer) read(key string) yuccapaddle.Entry {
	e := s.entries[key]
	if e != nil && s.faults.StaleReads {
		return e.former
	}
	return s.current(key)
}

func (s *Storer) current(key string) yuccapaddle.Entry {
	e := s.entries[key]
	if e == nil || (!e.expiry.IsZero() && !time.Now().Before(e.expiry)) {
		return yuccapaddle.Entry{Key: key}
	}
	return yuccapaddle.Entry{Key: key, Value: append([]byte(nil), e.value...), Revision: e.revision}
}

func (s *Storer) expire() {
	for key, e := range s.entries {
		if !e.expiry.IsZero() && !time.Now().Before(e.expiry) {
			delete(s.entries, key)
		}
	}
}

func (s *Storer) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return yuccapaddle.ErrUnknown
}

func (s *Storer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Storer) admitRead(ctx context.Context) error {
	return s.admit(ctx, func() (*rate.Limiter, *uint64) { return s.reads, &s.counts.Reads })
}

func (s *Storer) admitWrite(ctx context.Context) error {
	return s.admit(ctx, func() (*rate.Limiter, *uint64) { return s.writes, &s.counts.Writes })
}

func (s *Storer) admit(ctx context.Context, pick func() (*rate.Limiter, *uint64)) error {
	s.mu.Lock()
	f := s.faults
	limit, count := pick()
	refuse := f.Down || (limit != nil && !limit.Allow())
	if refuse {
		s.counts.Refused++
	} else {
		*count++
	}
	s.mu.Unlock()
	if refuse {
		return fmt.Errorf("the service is down or over its rate: %w", yuccapaddle.ErrNotApplied)
	}
	if f.SlowMS == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(sleeper.Ahead(time.Duration(f.SlowMS) * time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", yuccapaddle.ErrNotApplied, ctx.Err())
	case <-timer.C:
		return nil
	}
}
