// Package limiter limits the requests that a host admits: the rate of each caller,
// and the total number in flight.
package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limiter admits or refuses requests. It is safe for concurrent use.
type Limiter struct {
	callerRate  rate.Limit
	callerBurst int
	maxInFlight int64
	inFlight    atomic.Int64
	callers     sync.Map // caller name to *rate.Limiter
}

// New returns a Limiter that admits perSecond requests a second of each caller, with
// bursts of burst requests, and up to maxInFlight requests at once.
func New(perSecond float64, burst, maxInFlight int) *Limiter {
	return &Limiter{callerRate: rate.Limit(perSecond), callerBurst: burst, maxInFlight: int64(maxInFlight)}
}

// Admit admits a request, in which case release must be called at its end. If it is
// refused, release is nil, retryAfter is when to retry and reason says why.
func (l *Limiter) Admit(caller string) (release func(), retryAfter time.Time, reason string) {
	v, ok := l.callers.Load(caller)
	if !ok {
		v, _ = l.callers.LoadOrStore(caller, rate.NewLimiter(l.callerRate, l.callerBurst))
	}
	r := v.(*rate.Limiter).Reserve()
	if d := r.Delay(); d > 0 {
		r.Cancel()
		return nil, time.Now().Add(d), "caller " + caller + " sends requests too fast"
	}
	if l.inFlight.Add(1) > l.maxInFlight {
		l.inFlight.Add(-1)
		return nil, time.Now().Add(time.Second), "this host has too many requests in work"
	}
	return func() { l.inFlight.Add(-1) }, time.Time{}, ""
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int64 {
	return l.inFlight.Load()
}
