// Package sleeper provides sleeps that end early with a context.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// minTimer is the shortest duration that a timer is set to.
const minTimer = time.Nanosecond

// TimerDuration returns d, or the shortest positive duration if d is not positive. In
// Go 1.26 the race detector loses track of timers that are already due when they are
// set in a synctest bubble, and crashes after some thousands of them.
func TimerDuration(d time.Duration) time.Duration {
	return max(d, minTimer)
}

// Sleep sleeps for d and returns nil, or the context's error if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(TimerDuration(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// SleepJittered sleeps for between half of d and d, chosen at random, so that hosts
// that failed at the same time do not retry at the same time. Errors are those of
// Sleep.
func SleepJittered(ctx context.Context, d time.Duration) error {
	return Sleep(ctx, d/2+rand.N(d/2+1))
}
