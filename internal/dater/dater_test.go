package dater_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/dater"
)

// TestReachedBy checks that a revision is never dated earlier than it was known to be reached,
// and that readings that are close together, go back or are old cost only precision.
func TestReachedBy(t *testing.T) {
	c := qt.New(t)
	d, start := dater.New(), time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c.Check(d.ReachedBy(1).IsZero(), qt.IsTrue)
	d.Note(10, at(0))
	d.Note(20, at(1000))
	d.Note(25, at(1100)) // too close to be kept beside a later one
	c.Check(d.ReachedBy(25), qt.Equals, at(1100))
	d.Note(15, at(1500)) // read by a host that is behind
	d.Note(30, at(2000))
	for revision, want := range map[uint64]time.Time{5: at(0), 10: at(0), 11: at(1000), 20: at(1000), 21: at(2000), 25: at(2000), 31: {}} {
		c.Check(d.ReachedBy(revision), qt.Equals, want, qt.Commentf("revision %d", revision))
	}
	d.Note(40, at(31500))
	c.Check(d.ReachedBy(5), qt.Equals, at(1000))
	c.Check(d.ReachedBy(30), qt.Equals, at(2000))
	c.Check(d.ReachedBy(40), qt.Equals, at(31500))
}
