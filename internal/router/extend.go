package router

import (
	"context"
	"time"
)

// livenessInterval is the time between two looks at whether the host that carries out a
// call is still the active one.
const livenessInterval = 60 * time.Millisecond

// extend returns a context for a call to the active host that lasts for at least min, and
// then for as long as alive returns true.
func extend(ctx context.Context, min time.Duration, alive func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	cancelUnlessAlive(ctx, cancel, min, alive)
	return ctx, cancel
}

func cancelUnlessAlive(ctx context.Context, cancel context.CancelFunc, after time.Duration, alive func() bool) {
	time.AfterFunc(after, func() {
		switch {
		case ctx.Err() != nil:
		case alive():
			cancelUnlessAlive(ctx, cancel, livenessInterval, alive)
		default:
			cancel()
		}
	})
}
