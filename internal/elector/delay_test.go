package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDelayMeter checks that heartbeats that waited while this process was paused count as
// sent before the pause, whatever the clock of the sender shows.
func TestDelayMeter(t *testing.T) {
	c := qt.New(t)
	const (
		network = 9 * time.Millisecond
		pause   = 10 * time.Second
	)
	start := time.Unix(1000, 0)
	skew := -77 * time.Hour // of the sender's clock
	d := &delayMeter{openedAt: start}
	sent := start
	for range 3 * delayWindow {
		sent = sent.Add(heartbeatInterval)
		at := d.sentAt(sent.Add(network), sent.Add(skew).UnixNano())
		c.Assert(!at.After(sent.Add(network)), qt.IsTrue)
		c.Assert(sent.Sub(at) <= heartbeatInterval, qt.IsTrue, qt.Commentf("sent %v earlier", sent.Sub(at)))
	}
	resumed := sent.Add(pause)
	for range 8 { // read one after another once the process runs again
		sent = sent.Add(heartbeatInterval)
		at := d.sentAt(resumed, sent.Add(skew).UnixNano())
		c.Check(at.Sub(sent) <= network, qt.IsTrue, qt.Commentf("counts as sent %v later than it was", at.Sub(sent)))
	}
	c.Check(d.sentAt(resumed, 0), qt.Equals, resumed, qt.Commentf("a host of an earlier version"))
}

// TestDelayMeterFirst checks that a first heartbeat that was read after a pause does not
// count as sent after the pause.
func TestDelayMeterFirst(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	d := &delayMeter{openedAt: start}
	c.Check(d.sentAt(start.Add(time.Minute), 1), qt.Equals, start)
}
