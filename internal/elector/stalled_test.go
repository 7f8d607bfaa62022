package elector_test

import (
	"errors"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stallingClock is a Clock that can pause a goroutine right after one of its readings.
type stallingClock struct {
	stall atomic.Pointer[stall]
}

// stall is a pause of the next goroutine that reads the clock in a function.
type stall struct {
	function string
	length   time.Duration
}

// Now implements yuccapaddle.Clock.
func (s *stallingClock) Now() time.Time {
	now := time.Now()
	if st := s.stall.Load(); st != nil && calledBy(st.function) && s.stall.CompareAndSwap(st, nil) {
		time.Sleep(st.length)
	}
	return now
}

// calledBy reports whether the caller of the caller is a function.
func calledBy(function string) bool {
	pc, _, _, ok := runtime.Caller(2)
	return ok && strings.HasSuffix(runtime.FuncForPC(pc).Name(), "."+function)
}

// TestPausedBeforeOutvote guards against a successor that is paused between the reading of its
// clock and its count of the hosts that follow it: the hosts that it finds have confirmed the
// former host until later.
func TestPausedBeforeOutvote(t *testing.T) {
	withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
		former, follower, successor := v.nodes[0], v.nodes[1], v.nodes[2]
		v.cut(cutSilent, []*node{former}, []*node{successor})
		v.cut(cutSilent, []*node{successor}, []*node{former})
		former.ledger.silent.Store(true)
		follower.ledger.silent.Store(true)
		v.c.Assert(v.runUntil(recoveryTime, func() error {
			if !successor.Active() {
				return errors.New("the successor is not active")
			}
			return nil
		}), qt.IsNil)
		successor.clock.stall.Store(&stall{"(*roleLease).countConfirmations", 10 * time.Second})
		v.run(7 * time.Second)
		v.c.Assert(former.Confirmed(), qt.IsTrue)
		confirmedAt := time.Now()
		v.isolate(cutReset, former)
		v.run(partitionTime)
		v.c.Check(successor.clock.stall.Load(), qt.IsNil, qt.Commentf("it was paused"))
		v.c.Check(successor.renewsUntil()().Before(confirmedAt), qt.IsFalse, qt.Commentf("the former host was confirmed after the time that the successor counts on"))
		v.c.Check(v.check(), qt.IsNil)
	})
}
