// Package ruler keeps the operators' rules that are in force on this host. They
// never go back to an older version.
package ruler

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	// readShare is the part of the time within which a change has to be in force
	// after which the rules are read again.
	readShare = 0.28
	// freshShare is the part of it for which the active host vouches for the rules
	// it has read, and staleShare the part after which a host that nobody vouches
	// to reads for itself. With the pause they add up to less than the whole.
	freshShare = 0.4
	staleShare = 0.28
	idlePause  = 150 * time.Millisecond
	readTime   = 600 * time.Millisecond
)

// Ruler is safe for concurrent use.
type Ruler struct {
	book    yuccapaddle.Rulebook
	log     *zap.Logger
	clock   yuccapaddle.Clock
	current atomic.Pointer[state]
	freshAt atomic.Int64 // Unix nanoseconds of the steady clock
	away    bool
	within  int64
}

type state struct {
	rules *yuccapaddle.Rules
	data  []byte
}

// New returns a Ruler without rules. A change has to be in force within that many
// milliseconds.
func New(book yuccapaddle.Rulebook, within int64, clock yuccapaddle.Clock, log *zap.Logger) *Ruler {
	return &Ruler{book: book, within: within, clock: clock, log: log}
}

// Current returns the rules in force, nil if there are none yet.
func (r *Ruler) Current() *yuccapaddle.Rules {
	if s := r.current.Load(); s != nil {
		return s.rules
	}
	return nil
}

// Data returns the rules as they are passed between hosts, and their revision.
func (r *Ruler) Data() ([]byte, uint64) {
	if s := r.current.Load(); s != nil {
		return s.data, s.rules.Revision
	}
	return nil, 0
}

// FreshAt is when the rules in force were known to be the latest.
func (r *Ruler) FreshAt() time.Time {
	return time.Unix(0, r.freshAt.Load())
}

// Confirm notes that the rules in force were the latest at that time.
func (r *Ruler) Confirm(at time.Time) {
	n := at.UnixNano()
	for {
		old := r.freshAt.Load()
		if old >= n || r.freshAt.CompareAndSwap(old, n) {
			return
		}
	}
}

// Offer puts rules into force unless they are older than those in force.
func (r *Ruler) Offer(data []byte, source string) error {
	rules, err := r.book.Decode(data)
	if err != nil {
		return err
	}
	next := &state{rules: rules, data: data}
	for {
		old := r.current.Load()
		if old != nil && !newer(rules, old.rules) {
			return nil
		}
		if r.current.CompareAndSwap(old, next) {
			r.noteChange(rules, source)
			return nil
		}
	}
}

func newer(rules, old *yuccapaddle.Rules) bool {
	if rules.Version < old.Version || rules.Digest == old.Digest {
		return false
	}
	return rules.Revision > old.Revision
}

func (r *Ruler) noteChange(rules *yuccapaddle.Rules, source string) {
	r.log.Info("rules in force", zap.Int64("version", rules.Version), zap.Uint64("revision", rules.Revision),
		zap.Int("closed", len(rules.Closed)), zap.String("source", source))
}

// Refresh reads the rules once.
func (r *Ruler) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	at := r.clock.Now()
	data, err := r.book.Read(ctx)
	if err != nil {
		return err
	}
	if err := r.Offer(data, "ledger"); err != nil {
		return err
	}
	r.Confirm(at)
	return nil
}

// Fresh reports whether the rules in force were read so lately that others may go
// by them.
func (r *Ruler) Fresh() bool {
	return r.age() < r.part(freshShare)
}

// Stale reports whether this host should read the rules itself.
func (r *Ruler) Stale() bool {
	return r.age() > r.part(staleShare)
}

func (r *Ruler) age() time.Duration {
	return r.clock.Now().Sub(r.FreshAt())
}

func (r *Ruler) part(share float64) time.Duration {
	return time.Duration(share * float64(r.within) * float64(time.Millisecond))
}

// Run reads the rules while wanted says so.
func (r *Ruler) Run(ctx context.Context, wanted func() bool) error {
	for {
		pause := idlePause
		if wanted() {
			r.noteRead(r.Refresh(ctx))
			pause = r.part(readShare)
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return nil
		}
	}
}

func (r *Ruler) noteRead(err error) {
	if err != nil && !r.away {
		r.log.Warn("the rules cannot be read", zap.Error(err))
	}
	if err == nil && r.away {
		r.log.Info("the rules can be read again")
	}
	r.away = err != nil
}
