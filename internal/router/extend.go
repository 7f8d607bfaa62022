package router

import (
	"context"
	"time"
)

// livenessInterval is the time between two checks whether the host that carries out a call
// is still the active one.
const livenessInterval = 60 * time.Millisecond

// extend returns a context for a call to the active host that lasts for the time first, and
// then for as long as alive returns true.
func extend(ctx context.Context, first time.Duration, alive func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	cancelUnlessAlive(ctx, cancel, first, alive)
	return ctx, cancel
}

// cancelUnlessAlive cancels the context once a check with alive returns false. The first
// check is after the given time, and there is none once the context has ended.
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
