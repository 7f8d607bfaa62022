package awaiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/awaiter"
)

const (
	silence = 600 * time.Millisecond
	bound   = 10 * time.Second
)

// wait returns how long a context lasts while a byte arrives after each interval, and its
// cause.
func wait(ctx context.Context, interval time.Duration) (time.Duration, error) {
	start := time.Now()
	ctx, a := awaiter.New(ctx, silence, bound)
	defer a.Stop()
	for {
		select {
		case <-ctx.Done():
			return time.Since(start), context.Cause(ctx)
		case <-time.After(interval):
			awaiter.From(ctx).Arrived(1)
		}
	}
}

// TestSilence checks that a silent call ends after its silence, a trickle at the bound, and
// both with their caller's context.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		took, err := wait(t.Context(), time.Hour)
		c.Check(took, qt.Equals, silence)
		c.Check(err, qt.ErrorIs, awaiter.ErrSilent)
		c.Check(err, qt.ErrorMatches, "nothing more has arrived within 600ms, after 0 bytes")
		took, err = wait(t.Context(), 500*time.Millisecond)
		c.Check(took, qt.Equals, bound)
		c.Check(err, qt.ErrorIs, awaiter.ErrTooLong)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		took, err = wait(ctx, 500*time.Millisecond)
		c.Check(took, qt.Equals, 2*time.Second)
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
	})
}

// TestLongest checks that the latency of a call is its longest silence, however long the
// whole response takes, and that nothing happens after its end.
func TestLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, a := awaiter.New(t.Context(), silence, bound)
		time.Sleep(20 * time.Millisecond)
		c.Check(a.Longest(), qt.Equals, 20*time.Millisecond)
		a.Arrived(0)
		c.Check(a.Bytes(), qt.Equals, int64(0))
		for range 100 {
			a.Arrived(10)
			time.Sleep(30 * time.Millisecond)
		}
		c.Check(a.Longest(), qt.Equals, 30*time.Millisecond)
		c.Check(a.Bytes(), qt.Equals, int64(1000))
		c.Check(ctx.Err(), qt.IsNil)
		a.Stop()
		a.Arrived(1)
		time.Sleep(2 * bound)
		c.Check(context.Cause(ctx), qt.Equals, context.Canceled)
		c.Check(awaiter.From(t.Context()), qt.IsNil)
	})
}
