// Package limiter bounds what a host takes in: requests of each caller a
// second, and requests in work at once.
package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limiter is safe for concurrent use.
type Limiter struct {
	rate     rate.Limit
	burst    int
	most     int64
	inFlight atomic.Int64
	callers  sync.Map // caller name to *rate.Limiter
}

// New returns a Limiter for perSecond requests of each caller with a burst, and
// for most requests in work.
func New(perSecond float64, burst, most int) *Limiter {
	return &Limiter{rate: rate.Limit(perSecond), burst: burst, most: int64(most)}
}

// Enter takes a request in. If it is refused, retryAfter tells when to come
// back; otherwise leave has to be called.
func (l *Limiter) Enter(caller string) (leave func(), retryAfter time.Time, reason string) {
	v, ok := l.callers.Load(caller)
	if !ok {
		v, _ = l.callers.LoadOrStore(caller, rate.NewLimiter(l.rate, l.burst))
	}
	r := v.(*rate.Limiter).Reserve()
	if d := r.Delay(); d > 0 {
		r.Cancel()
		return nil, time.Now().Add(d), "caller " + caller + " sends requests too fast"
	}
	if l.inFlight.Add(1) > l.most {
		l.inFlight.Add(-1)
		return nil, time.Now().Add(time.Second), "this host has too many requests in work"
	}
	return func() { l.inFlight.Add(-1) }, time.Time{}, ""
}

// InFlight is the number of requests in work.
func (l *Limiter) InFlight() int64 {
	return l.inFlight.Load()
}
