package executor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// pausedClock is a clock that jumps ahead when the process is paused.
type pausedClock struct {
	ahead atomic.Int64 // in nanoseconds
}

// Now implements yuccapaddle.Clock.
func (p *pausedClock) Now() time.Time {
	return time.Now().Add(time.Duration(p.ahead.Load()))
}

// pausingMeter pauses the process once, when the executor counts a placement that has been
// committed and whose start it is about to send.
type pausingMeter struct {
	yuccapaddle.NoMeter
	clock *pausedClock
	pause time.Duration
}

// Count implements yuccapaddle.Meter.
func (m *pausingMeter) Count(_, outcome string, _ int64) {
	if outcome == "placed" && m.pause > 0 {
		m.clock.ahead.Add(int64(m.pause))
		m.pause = 0
	}
}

// TestNoStartAfterPause checks that a host that was paused between its decision and the
// order does not send the order on registrations and rules that are out of date by then:
// the worker may have left, or its failure domain may have been closed.
func TestNoStartAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		clock := &pausedClock{}
		r.clock, r.meter = clock, &pausingMeter{clock: clock, pause: 4 * time.Second}
		r.takeOver()
		defer r.close()
		time.Sleep(100 * time.Millisecond) // for the first read of the registrations
		r.platformHangs.Store(true)        // nothing is read after the pause either
		r.submit("0000000000000001", "batch", yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 1000}})
		time.Sleep(time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "0000000000000001"}), qt.HasLen, 0)
		r.platformHangs.Store(false)
		r.waitForState("0000000000000001", "batch", yuccapaddle.JobCompleted, 10*time.Second)
	})
}
