package router

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExtend checks that a call to a host that may hold it lasts for as long as the host is
// the active one, but that a host that is lost is noticed as soon as without that: after
// attemptTimeout, or livenessInterval after its heartbeats have lapsed.
func TestExtend(t *testing.T) {
	for _, lostAfter := range []time.Duration{0, time.Second, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ctx, cancel := extend(t.Context(), attemptTimeout, func() bool { return time.Since(start) < lostAfter })
			defer cancel()
			<-ctx.Done()
			qt.Check(t, time.Since(start) >= max(attemptTimeout, lostAfter), qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			qt.Check(t, time.Since(start) <= max(attemptTimeout, lostAfter+livenessInterval), qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		var looks atomic.Int64
		caller, stop := context.WithTimeout(t.Context(), 3*time.Second)
		defer stop()
		start := time.Now()
		ctx, cancel := extend(caller, attemptTimeout, func() bool { return looks.Add(1) > 0 })
		defer cancel()
		<-ctx.Done()
		qt.Check(t, time.Since(start), qt.Equals, 3*time.Second, qt.Commentf("the caller's deadline"))
		seen := looks.Load()
		time.Sleep(time.Second)
		qt.Check(t, looks.Load(), qt.Equals, seen, qt.Commentf("no looks after the call"))
	})
}
