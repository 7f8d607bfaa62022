package stalldetector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/stalldetector"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// report is one report of a run: its percentage at a time in milliseconds after its start.
type report struct{ at, percent int }

const quick = 2500 * time.Millisecond

// TestStandsStill guards against stops of runs that are only slow or paused, and against
// runs that stand still and are found late.
func TestStandsStill(t *testing.T) {
	learned := stalldetector.WithRunTime(quick)
	for _, test := range []struct {
		name    string
		reports []report
		opts    []stalldetector.Option
		want    bool
	}{
		{"nothing learned", []report{{500, 0}, {3000, 0}, {9000, 0}}, nil, false},
		{"no report", nil, []stalldetector.Option{learned}, false},
		{"one report", []report{{3000, 0}}, []stalldetector.Option{learned}, false},
		{"two reports from the start", []report{{500, 0}, {760, 0}}, []stalldetector.Option{learned}, true},
		{"below the floor", []report{{400, 0}, {700, 0}}, []stalldetector.Option{learned}, false},
		{"two reports at once", []report{{1900, 0}, {1920, 0}}, []stalldetector.Option{learned}, false},
		{"stops halfway", []report{{500, 20}, {1000, 40}, {1500, 40}, {1760, 40}}, []stalldetector.Option{learned}, true},
		{"a pause of 0.5 s", []report{{500, 20}, {1000, 20}, {1260, 28}}, []stalldetector.Option{learned}, false},
		{"three times slower", []report{{500, 6}, {1000, 13}, {1500, 20}, {2000, 26}}, []stalldetector.Option{learned}, false},
		{"at its end", []report{{2000, 100}, {4000, 100}, {8000, 100}}, []stalldetector.Option{learned}, false},
		{"long by its queue", []report{{500, 5}, {1000, 5}, {1500, 5}}, []stalldetector.Option{stalldetector.WithRunTime(10 * time.Second)}, false},
		{"long by its queue, longer", []report{{500, 5}, {1000, 5}, {1800, 5}}, []stalldetector.Option{stalldetector.WithRunTime(10 * time.Second)}, true},
		{"longest", []report{{100, 1}, {1000, 1}, {3190, 1}}, []stalldetector.Option{stalldetector.WithRunTime(time.Hour)}, false},
		{"longest, at the ceiling", []report{{100, 1}, {1000, 1}, {3600, 1}}, []stalldetector.Option{stalldetector.WithRunTime(time.Hour)}, true},
		{"long by its own pace", []report{{500, 1}, {1000, 2}, {1500, 2}, {2500, 2}}, []stalldetector.Option{learned}, false},
		{"long by its own pace, longer", []report{{500, 1}, {1000, 2}, {1500, 2}, {4200, 2}}, []stalldetector.Option{learned}, true},
		{"overtaken reports", []report{{500, 20}, {900, 10}, {1300, 10}}, []stalldetector.Option{learned}, false},
		{"suspect worker", []report{{250, 0}, {400, 0}}, []stalldetector.Option{learned, stalldetector.WithSuspectWorker()}, true},
		{"suspect worker, with progress", []report{{250, 5}, {400, 9}}, []stalldetector.Option{learned, stalldetector.WithSuspectWorker()}, false},
		{"others there make progress", []report{{500, 0}, {1000, 0}, {3190, 0}}, []stalldetector.Option{learned, stalldetector.WithProgressBeside(ms(1000))}, false},
		{"others there made progress before", []report{{500, 0}, {1000, 0}}, []stalldetector.Option{learned, stalldetector.WithProgressBeside(ms(300))}, true},
		{"others there make progress, at the ceiling", []report{{500, 0}, {1000, 0}, {3600, 0}}, []stalldetector.Option{learned, stalldetector.WithProgressBeside(ms(3600))}, true},
		{"longest timeout", []report{{500, 0}, {3190, 0}}, []stalldetector.Option{learned, stalldetector.WithLongestTimeout()}, false},
		{"longest timeout, at the ceiling", []report{{500, 0}, {3200, 0}}, []stalldetector.Option{learned, stalldetector.WithLongestTimeout()}, true},
		{"the whole step waits", []report{{500, 0}, {1000, 0}, {2000, 0}}, []stalldetector.Option{learned, stalldetector.WithStep(2, time.Time{})}, false},
		{"the whole step waits, on a suspect worker", []report{{500, 0}, {1000, 0}}, []stalldetector.Option{learned, stalldetector.WithSuspectWorker(), stalldetector.WithStep(2, time.Time{})}, true},
		{"the rest of the step goes on", []report{{500, 0}, {1000, 0}}, []stalldetector.Option{learned, stalldetector.WithStep(2, ms(900))}, true},
		{"one other of the step stands still", []report{{500, 0}, {1000, 0}}, []stalldetector.Option{learned, stalldetector.WithStep(1, time.Time{})}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := stalldetector.New(start)
			for _, r := range test.reports {
				d.Observe(r.percent, ms(r.at))
			}
			qt.New(t).Assert(d.StandsStill(test.opts...), qt.Equals, test.want)
		})
	}
}

// TestResumed guards against stops while a run is restored, and before a host that has not
// seen its start has a percentage to compare with.
func TestResumed(t *testing.T) {
	c := qt.New(t)
	learned := stalldetector.WithRunTime(quick)
	d := stalldetector.NewResumed(ms(600))
	d.Observe(40, ms(300))
	d.Observe(40, ms(590))
	c.Check(d.Reports(), qt.Equals, 0)
	d.Observe(40, ms(1100))
	d.Observe(40, ms(1340))
	c.Check(d.StandsStill(learned), qt.IsFalse)
	d.Observe(40, ms(1400))
	c.Check(d.StandsStill(learned), qt.IsTrue)
	c.Check(d.Progress().IsZero(), qt.IsTrue)
	d.Observe(44, ms(1500))
	c.Check(d.StandsStill(learned), qt.IsFalse)
	c.Check(d.Progress(), qt.Equals, ms(1500))
}

// TestNextReport guards against looks that decide nothing, and against decisions that wait
// for a report.
func TestNextReport(t *testing.T) {
	c := qt.New(t)
	learned := stalldetector.WithRunTime(quick)
	d := stalldetector.New(start)
	c.Check(d.NextReport().IsZero(), qt.IsTrue, qt.Commentf("nothing is learned"))
	c.Check(d.Overdue(learned), qt.IsFalse)
	c.Check(d.NextReport(learned), qt.Equals, ms(500))
	d.Observe(0, ms(500))
	c.Check(d.NextReport(learned), qt.Equals, ms(750))
	c.Check(d.Overdue(learned), qt.IsTrue)
	c.Check(d.Overdue(), qt.IsFalse)
	c.Check(d.NextReport(), qt.Equals, ms(3200), qt.Commentf("nothing is learned"))
	d.Observe(0, ms(750))
	c.Check(d.StandsStill(learned), qt.IsTrue)
	d.Observe(10, ms(800))
	c.Check(d.NextReport(learned), qt.Equals, ms(1300))
	d.Observe(85, ms(2300))
	c.Check(d.NextReport(learned).IsZero(), qt.IsTrue, qt.Commentf("it ends before"))
	d.Observe(85, ms(4000))
	c.Check(d.NextReport(learned), qt.Equals, ms(4250))
	d.Observe(100, ms(4250))
	c.Check(d.NextReport(learned).IsZero(), qt.IsTrue)
}

// TestLateFirstReport guards against a second report that is due only after the fixed threshold
// of 3.5 s has decided without it: by then the worker may work again.
func TestLateFirstReport(t *testing.T) {
	c := qt.New(t)
	opts := []stalldetector.Option{stalldetector.WithRunTime(quick), stalldetector.WithLongestTimeout()}
	d := stalldetector.New(start)
	d.Observe(0, ms(2000))
	c.Check(d.NextReport(opts...), qt.Equals, ms(3200))
	d = stalldetector.New(start)
	d.Observe(0, ms(2500))
	c.Check(d.NextReport(opts...), qt.Equals, ms(3200))
	d.Observe(0, ms(3200))
	c.Check(d.StandsStill(opts...), qt.IsFalse, qt.Commentf("the reports are too close"))
	c.Check(d.NextReport(opts...).After(ms(3500)), qt.IsTrue, qt.Commentf("one look there is enough"))
}
