package taskrunner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

// TestOverloads checks that a start counts as one over the capacity only if the capacity
// was lowered longer ago than the notice, and has not grown since.
func TestOverloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const notice = 5 * time.Second
		c := qt.New(t)
		need := func(yuccapaddle.TaskID, string) yuccapaddle.Need { return yuccapaddle.Need{CPU: 1000, GPU: 1} }
		w, _ := newWorker(taskrunner.WithNeeds(need))
		full := w.Worker().Capacity
		c.Assert(start(w, "a", ""), qt.IsNil)
		time.Sleep(time.Second)
		w.SetCapacity(yuccapaddle.Need{CPU: 4000, Memory: 4000, GPU: 1})
		c.Check(w.Worker().Capacity.GPU, qt.Equals, 1)
		c.Check(w.Running(), qt.HasLen, 1)
		c.Assert(start(w, "b", ""), qt.IsNil)
		c.Check(w.Overloads(notice), qt.HasLen, 0)
		time.Sleep(notice)
		c.Assert(start(w, "c", ""), qt.IsNil)
		c.Check(w.Overloads(notice), qt.HasLen, 0)
		time.Sleep(time.Second)
		c.Assert(start(w, "d", ""), qt.IsNil)
		list := w.Overloads(notice)
		c.Assert(list, qt.HasLen, 1)
		c.Check(list[0].Task, qt.Equals, task("d"))
		c.Check(list[0].Used.GPU, qt.Equals, 2)
		c.Check(list[0].Capacity.GPU, qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		w.SetCapacity(full)
		c.Assert(start(w, "e", ""), qt.IsNil)
		c.Check(w.Overloads(notice), qt.HasLen, 1)
		c.Check(w.Overloads(0), qt.HasLen, 2)
		c.Check(w.LoweredStarts(), qt.Equals, 3)
	})
}
