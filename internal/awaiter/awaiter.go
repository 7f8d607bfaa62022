// Package awaiter bounds calls by their silence: a call ends when nothing of its response
// arrives for a while, and not when a large response or a slow link makes it long.
package awaiter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"yuccapaddle/internal/sleeper"
)

var (
	// ErrSilent is the cause of a context in which nothing has arrived for too long.
	ErrSilent = errors.New("nothing more has arrived")
	// ErrTooLong is the cause of a context in which bytes arrived until the bound.
	ErrTooLong = errors.New("the response has not arrived as a whole")
)

// Awaiter ends a context once nothing has arrived for its silence, and at its bound at the
// latest. It is safe for concurrent use.
type Awaiter struct {
	silence time.Duration
	started time.Time
	timer   *time.Timer
	bound   *time.Timer
	cancel  context.CancelCauseFunc
	mu      sync.Mutex
	latest  time.Time     // when bytes arrived last, or the start
	longest time.Duration // silence so far before bytes arrived
	bytes   int64         // arrived so far
}

type contextKey struct{}

// New returns a context for calls, which ends once nothing has arrived for silence, and
// after bound in any case, and its Awaiter, which has to be stopped.
func New(ctx context.Context, silence, bound time.Duration) (context.Context, *Awaiter) {
	now := time.Now()
	a := &Awaiter{silence: silence, started: now, latest: now}
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.timer = time.AfterFunc(sleeper.TimerDuration(silence), func() { a.end(ErrSilent, silence) })
	a.bound = time.AfterFunc(sleeper.TimerDuration(bound), func() { a.end(ErrTooLong, bound) })
	return context.WithValue(ctx, contextKey{}, a), a
}

// From returns the Awaiter of a context, nil if it has none.
func From(ctx context.Context) *Awaiter {
	a, _ := ctx.Value(contextKey{}).(*Awaiter)
	return a
}

func (a *Awaiter) end(cause error, after time.Duration) {
	a.cancel(fmt.Errorf("%w within %v, after %d bytes", cause, after, a.Bytes()))
}

// Arrived records that bytes of a response have arrived.
func (a *Awaiter) Arrived(n int) {
	if n <= 0 {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.longest = max(a.longest, now.Sub(a.latest))
	a.latest = now
	a.bytes += int64(n)
	if a.timer != nil {
		a.timer.Reset(sleeper.TimerDuration(a.silence))
	}
}

// Silence returns the time without a byte after which the context ends.
func (a *Awaiter) Silence() time.Duration {
	return a.silence
}

// Bytes returns how many bytes have arrived.
func (a *Awaiter) Bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Longest returns the longest time without a byte, which is the latency of the service
// however large its response is. If nothing has arrived, that is the whole time so far.
func (a *Awaiter) Longest() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes == 0 {
		return time.Since(a.started)
	}
	return a.longest
}

// Stop ends the context.
func (a *Awaiter) Stop() {
	a.mu.Lock()
	a.timer.Stop()
	a.timer = nil // bytes that arrive late must not set it again
	a.mu.Unlock()
	a.bound.Stop()
	a.cancel(context.Canceled)
}
