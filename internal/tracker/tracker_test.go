package tracker_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/tracker"
)

// TestListed checks that a job counts as listed only if no worker is missing that holds an
// uncommitted end of it: a later active host would run that task again.
func TestListed(t *testing.T) {
	c := qt.New(t)
	tr := tracker.New()
	present := map[string]int64{"w0": 7, "w1": 7}
	lists := func(worker string, incarnation int64) bool { return present[worker] == incarnation }
	tr.Add("a", "w0", 7)
	tr.Add("b", "w0", 7)
	tr.Add("b", "w1", 7)
	c.Check(tr.Listed("a", lists), qt.IsTrue)
	c.Check(tr.Listed("b", lists), qt.IsTrue)
	present["w1"] = 8 // restarted: the new incarnation does not list the end
	c.Check(tr.Listed("a", lists), qt.IsTrue)
	c.Check(tr.Listed("b", lists), qt.IsFalse)
	delete(present, "w0")
	c.Check(tr.Listed("a", lists), qt.IsFalse)
}

// TestCommit checks that a commit covers the ends from before its mark and no later ones:
// those that are applied while the commit is in progress are not part of it.
func TestCommit(t *testing.T) {
	c := qt.New(t)
	tr := tracker.New()
	nowhere := func(string, int64) bool { return false }
	tr.Add("a", "w0", 1)
	tr.Add("b", "w0", 1)
	mark := tr.Mark()
	tr.Add("b", "w1", 1)
	tr.Commit(mark)
	c.Check(tr.Listed("a", nowhere), qt.IsTrue)
	c.Check(tr.Listed("b", nowhere), qt.IsFalse)
	tr.Commit(tr.Mark())
	c.Check(tr.Listed("b", nowhere), qt.IsTrue)
}
