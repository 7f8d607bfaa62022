package taskrunner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestBeside checks that a start counts as one beside an earlier run only while that is in
// progress, and that the repeat of an order does not count.
func TestBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, startLog := newWorker()
		run := func(n int) {
			_, err := w.Start(t.Context(), yuccapaddle.StartOrder{Task: task("a"), Run: n, Deadline: w.Worker().Clock + maxLeaseMS})
			c.Assert(err, qt.IsNil)
		}
		run(1)
		run(1)
		time.Sleep(3 * time.Second)
		run(2)
		c.Check(startLog.Beside(), qt.HasLen, 0)
		run(3)
		list := startLog.Beside()
		c.Assert(list, qt.HasLen, 1)
		c.Check(list[0].Run, qt.Equals, 3)
	})
}
