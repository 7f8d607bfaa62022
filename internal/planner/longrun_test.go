package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLongRunInShortQueue guards against an urgent run that takes much longer than its queue
// usually does: before its first percent it is taken for one that stands still, stopped and
// started elsewhere, without end.
func TestLongRunInShortQueue(t *testing.T) {
	sim := newStallSim(t, 12, true, 1)
	for i := range 20 {
		sim.submit(fmt.Sprintf("u-%03d", i), queueQuick, quickTask)
		sim.play(300 * time.Millisecond)
	}
	sim.play(4 * time.Second)
	long := quickTask
	long.Need.GPU, long.Estimate = gpus, 200000
	sim.submit("u-long", queueQuick, long)
	sim.play(60 * time.Second)
	report, _, ok := sim.p.Report("u-long")
	sim.c.Assert(ok, qt.IsTrue)
	sim.c.Check(report.Runs, qt.Equals, 1)
}
