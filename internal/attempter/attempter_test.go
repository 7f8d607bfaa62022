package attempter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/attempter"
)

const (
	full  = 700 * time.Millisecond
	short = 150 * time.Millisecond
)

// TestNoAnswer checks the timeouts while a service does not answer, and that an answer
// begins the order anew.
func TestNoAnswer(t *testing.T) {
	c := qt.New(t)
	a := attempter.New(full, short)
	c.Check(a.Timeout(), qt.Equals, full, qt.Commentf("the latency is not known yet"))
	for range 2 {
		a.Note(true, 20*time.Millisecond)
		for i, want := range []time.Duration{160 * time.Millisecond, 320 * time.Millisecond, full, short, short, full, short} {
			c.Check(a.Timeout(), qt.Equals, want, qt.Commentf("attempt %d", i))
			a.Note(false, want)
		}
	}
}

// TestLatency checks that the timeout follows the latency, stays within its bounds and
// comes down again slowly.
func TestLatency(t *testing.T) {
	c := qt.New(t)
	a := attempter.New(full, short)
	a.Note(true, time.Millisecond)
	c.Check(a.Timeout(), qt.Equals, short)
	a.Note(true, 300*time.Millisecond)
	c.Check(a.Timeout(), qt.Equals, full)
	for range 20 {
		a.Note(true, time.Millisecond)
	}
	c.Check(a.Timeout() > short, qt.IsTrue)
	for range 80 {
		a.Note(true, time.Millisecond)
	}
	c.Check(a.Timeout(), qt.Equals, short)
}
