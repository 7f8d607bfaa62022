package executor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestLeaveTime guards against a deadline after the time at which a worker may leave: its
// registration has aged in the store, the read was slow, or the worker has restarted.
func TestLeaveTime(t *testing.T) {
	sent := time.Unix(1000, 0)
	arrived := sent.Add(200 * time.Millisecond)
	known := func(clock int64, ago time.Duration, incarnation int64) *link {
		return &link{clock: clock, clockAt: arrived.Add(-ago), incarnation: incarnation}
	}
	tests := []struct {
		name string
		link *link
		want time.Duration // from sent on
	}{
		{"no link", nil, 5500 * time.Millisecond},
		{"clock unknown", &link{incarnation: 7}, 5500 * time.Millisecond},
		{"registered during the read", known(10000, 0, 7), 5500 * time.Millisecond},
		{"registered 1 s ago by a hold's clock", known(11000, 0, 7), 4700 * time.Millisecond},
		{"the hold was a second ago, the clock slow", known(11000, time.Second, 7), 3720 * time.Millisecond},
		{"registration newer than the clock", known(9000, 0, 7), 5500 * time.Millisecond},
		{"clock of a former incarnation", known(99000, 0, 6), 5500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &yuccapaddle.Worker{ID: "w", Incarnation: 7, Clock: 10000, Draining: true, RemainingMS: 5500}
			got := tt.link.leaveTime(w, &registryRead{sentAt: sent, arrivedAt: arrived})
			qt.Assert(t, got.Sub(sent), qt.Equals, tt.want)
		})
	}
}

// TestSetLeaveTimes guards against deadlines of workers that do not drain or do not tell
// the time left.
func TestSetLeaveTimes(t *testing.T) {
	sent := time.Unix(1000, 0)
	r := &registryRead{sentAt: sent, arrivedAt: sent, workers: []yuccapaddle.Worker{
		{ID: "ready", RemainingMS: 5500},
		{ID: "unknown", Draining: true},
		{ID: "known", Draining: true, RemainingMS: 5500},
	}}
	(&Executor{links: map[string]*link{}}).setLeaveTimes(r)
	qt.Check(t, r.workers[0].LeavesAt.IsZero(), qt.IsTrue)
	qt.Check(t, r.workers[1].LeavesAt.IsZero(), qt.IsTrue)
	qt.Check(t, r.workers[2].LeavesAt, qt.Equals, sent.Add(5500*time.Millisecond))
}
