package holder_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/holder"
)

const margin = 200 * time.Millisecond

var start = time.Unix(1000, 0)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// TestOrder checks that all calls are taken at once, urgent ones first, and of the same
// priority in the order of their deadlines.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	h := holder.New[string](10, 1000, margin)
	for _, x := range []struct {
		id       string
		deadline int
		priority int
	}{{"late", 3000, 2}, {"early", 2000, 2}, {"urgent", 3000, 0}, {"urgent early", 2500, 0}} {
		_, held := h.Add(x.id, x.id, at(x.deadline), x.priority, 1, start)
		c.Check(held, qt.IsTrue)
	}
	c.Check(h.TakeAll(), qt.DeepEquals, []string{"urgent early", "urgent", "early", "late"})
	c.Check(h.TakeAll(), qt.HasLen, 0)
	_, ok := h.NextDue()
	c.Check(ok, qt.IsFalse)
}

// TestDue checks that calls are due the margin before their deadline, so that the refusal
// reaches the caller in time, and that one whose deadline is nearer is not held.
func TestDue(t *testing.T) {
	c := qt.New(t)
	h := holder.New[string](10, 1000, margin)
	h.Add("b", "b", at(3000), 0, 1, start)
	h.Add("a", "a", at(2000), 0, 1, start)
	next, ok := h.NextDue()
	c.Check(ok, qt.IsTrue)
	c.Check(next.Equal(at(1800)), qt.IsTrue)
	c.Check(h.TakeDue(at(1799)), qt.HasLen, 0)
	c.Check(h.TakeDue(at(1800)), qt.DeepEquals, []string{"a"})
	_, held := h.Add("c", "c", at(2000), 0, 1, at(1800))
	c.Check(held, qt.IsFalse)
	due := h.TakeDue(at(4000))
	c.Check(due, qt.DeepEquals, []string{"b"})
}

// TestReplace checks that a call replaces the earlier one with its ID, also if there is no
// room for it: the earlier one must not be carried out after the later one was refused.
func TestReplace(t *testing.T) {
	c := qt.New(t)
	h := holder.New[string](2, 100, margin)
	h.Add("a", "first", at(3000), 0, 60, start)
	replaced, held := h.Add("a", "second", at(4000), 0, 90, start)
	c.Check(replaced, qt.DeepEquals, []string{"first"})
	c.Check(held, qt.IsTrue)
	c.Check(h.Withdraw("a", "first"), qt.IsFalse, qt.Commentf("the later call stays"))
	replaced, held = h.Add("a", "third", at(4000), 0, 101, start)
	c.Check(replaced, qt.DeepEquals, []string{"second"})
	c.Check(held, qt.IsFalse)
	c.Check(h.Len(), qt.Equals, 0)
}

// TestBounds checks the limits on the number of calls and their bytes, and that calls that
// are removed make room again.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	h := holder.New[string](2, 100, margin)
	add := func(id string, bytes int) bool {
		_, held := h.Add(id, id, at(3000), 0, bytes, start)
		return held
	}
	c.Check(add("a", 60), qt.IsTrue)
	c.Check(add("b", 41), qt.IsFalse)
	c.Check(add("b", 40), qt.IsTrue)
	c.Check(h.Withdraw("a", "a"), qt.IsTrue)
	c.Check(h.Withdraw("a", "a"), qt.IsFalse)
	c.Check(add("c", 10), qt.IsTrue)
	c.Check(add("d", 10), qt.IsFalse, qt.Commentf("two are held"))
	value, ok := h.Get("c")
	c.Check(value, qt.Equals, "c")
	c.Check(ok, qt.IsTrue)
	c.Check(h.Withdraw("c", "c"), qt.IsTrue)
	_, ok = h.Get("c")
	c.Check(ok, qt.IsFalse)
	c.Check(add("d", 60), qt.IsTrue)
	all := h.TakeAll()
	slices.Sort(all)
	c.Check(all, qt.DeepEquals, []string{"b", "d"})
	c.Check(add("e", 100), qt.IsTrue, qt.Commentf("all room is free again"))
}
