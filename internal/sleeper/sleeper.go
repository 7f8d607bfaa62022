// Package sleeper waits, unless the context ends first.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// least is the shortest time that a timer is set to.
const least = time.Nanosecond

// Ahead returns d, or a moment if that is over. Go 1.26's race detector loses
// track of timers that are due when they are set inside a synctest bubble, and
// dies of it after some thousands.
func Ahead(d time.Duration) time.Duration {
	return max(d, least)
}

// Sleep waits for d and returns nil, or the error of the context if that ends
// first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(Ahead(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Jitter waits for half of d and a random part of the other half, so that hosts
// which failed together do not try again together.
func Jitter(ctx context.Context, d time.Duration) error {
	return Sleep(ctx, d/2+rand.N(d/2+1))
}
