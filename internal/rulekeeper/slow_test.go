package rulekeeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/sleeper"
)

// span is the time of a read.
type span struct{ from, to time.Time }

// slowRules is a RuleSource whose reads take their time. It is used in one goroutine after
// the other.
type slowRules struct {
	numberedRules
	// arriving is how long bytes of a read arrive, one each 20 ms; silent means that the
	// rest never does.
	arriving time.Duration
	silent   bool
	reads    []span
}

// Read implements yuccapaddle.RuleSource.
func (s *slowRules) Read(ctx context.Context) ([]byte, error) {
	from := time.Now()
	defer func() { s.reads = append(s.reads, span{from, time.Now()}) }()
	for time.Since(from) < s.arriving && sleeper.Sleep(ctx, 20*time.Millisecond) == nil {
		awaiter.From(ctx).Arrived(1)
	}
	if s.silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return s.numberedRules.Read(ctx)
}

// TestLargeRules: rules that take long to arrive are read, and do not make the host wait
// longer for a store that has gone silent.
func TestLargeRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, source := qt.New(t), &slowRules{numberedRules: numberedRules{version: 4}, arriving: 3 * time.Second}
		r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
		c.Assert(r.Refresh(t.Context()), qt.IsNil)
		source.arriving, source.silent = 0, true
		start := time.Now()
		c.Check(r.Refresh(t.Context()), qt.ErrorIs, awaiter.ErrSilent)
		c.Check(time.Since(start), qt.Equals, 250*time.Millisecond)
	})
}

// TestTrickle: a read whose bytes go on arriving ends at its bound.
func TestTrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, source := qt.New(t), &slowRules{arriving: time.Hour}
		r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
		start := time.Now()
		c.Check(r.Refresh(t.Context()), qt.ErrorIs, awaiter.ErrTooLong)
		c.Check(time.Since(start), qt.Equals, 10*time.Second)
	})
}

// TestReadLeavesLink: after a read that has used the link in vain, the host leaves the link
// to others for as long.
func TestReadLeavesLink(t *testing.T) {
	for _, active := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c, source := qt.New(t), &slowRules{arriving: 2 * time.Second, silent: true}
			r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.NewNop())
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			c.Assert(r.Run(ctx, func() bool { return true }, func() bool { return active }), qt.IsNil)
			c.Assert(len(source.reads) > 2, qt.IsTrue)
			for i, s := range source.reads[1:] {
				before := source.reads[i]
				c.Check(s.from.Sub(before.to) >= before.to.Sub(before.from), qt.IsTrue)
			}
		})
	}
}

// TestNeedlessReadEnds: a host that begins to read the rules itself, since nobody has
// confirmed them for a while, stops once the active host does.
func TestNeedlessReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, source := qt.New(t), &slowRules{arriving: 5 * time.Second}
		core, logs := observer.New(zap.InfoLevel)
		r := rulekeeper.New(source, 2500, yuccapaddle.SystemClock{}, zap.New(core))
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return r.Run(ctx, r.Stale, func() bool { return false }) })
		time.Sleep(time.Second)
		c.Assert(r.Offer([]byte("4"), "host"), qt.IsNil)
		confirmed := time.Now()
		r.Confirm(confirmed)
		time.Sleep(600 * time.Millisecond)
		cancel()
		c.Assert(g.Wait(), qt.IsNil)
		c.Assert(source.reads, qt.HasLen, 1)
		c.Check(source.reads[0].to.Sub(confirmed) <= 20*time.Millisecond, qt.IsTrue)
		c.Check(logs.FilterMessage("the rules cannot be read").Len(), qt.Equals, 0)
	})
}
