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
	// readEvery is half of the shortest time in which operators ask changes to be
	// in force, less the time of a call.
	readEvery = 700 * time.Millisecond
	readTime  = 600 * time.Millisecond
)

// Ruler is safe for concurrent use.
type Ruler struct {
	book    yuccapaddle.Rulebook
	log     *zap.Logger
	clock   yuccapaddle.Clock
	current atomic.Pointer[state]
	freshAt atomic.Int64 // Unix nanoseconds of the steady clock
	away    bool
}

type state struct {
	rules *yuccapaddle.Rules
	data  []byte
}

// New returns a Ruler without rules.
func New(book yuccapaddle.Rulebook, clock yuccapaddle.Clock, log *zap.Logger) *Ruler {
	return &Ruler{book: book, clock: clock, log: log}
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

// Run reads the rules while wanted says so.
func (r *Ruler) Run(ctx context.Context, wanted func() bool) error {
	for {
		if wanted() {
			r.noteRead(r.Refresh(ctx))
		}
		if sleeper.Sleep(ctx, readEvery) != nil {
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
