package accepter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/accepter"
)

// fill adds jobs of a workspace until no more are accepted, and returns their bytes.
func fill(a *accepter.Accepter, workspace string, n int64) int64 {
	var sum int64
	for a.Accepts(workspace, n) {
		a.Add(workspace, n)
		sum += n
	}
	return sum
}

// TestShares checks that each workspace that comes later still gets room, and that what was
// removed can be used again.
func TestShares(t *testing.T) {
	c, a := qt.New(t), accepter.New(1200)
	c.Check(fill(a, "a", 10), qt.Equals, int64(600))
	c.Check(fill(a, "b", 10), qt.Equals, int64(300))
	c.Check(fill(a, "c", 10), qt.Equals, int64(150))
	c.Check(a.Accepts("a", 1), qt.IsFalse)
	c.Check(a.Total(), qt.Equals, int64(1050))
	for range 60 {
		a.Remove("a", 10)
	}
	c.Check(fill(a, "b", 10) > 0, qt.IsTrue)
}

// TestNoLimit checks that everything is accepted without a limit, and that jobs which are there
// already count whatever the limit.
func TestNoLimit(t *testing.T) {
	c, a := qt.New(t), accepter.New(0)
	a.Add("a", 1<<40)
	c.Check(a.Accepts("a", 1<<40), qt.IsTrue)
	a = accepter.New(100)
	a.Add("a", 1000)
	c.Check(a.Accepts("b", 1), qt.IsFalse)
	a.Remove("a", 1000)
	c.Check(a.Accepts("b", 1), qt.IsTrue)
}
