// Package stalldetector tells runs that stand still from runs that are slow, from the
// reports of their worker. It does no I/O and reads no clock.
package stalldetector

import "time"

const (
	// plentyShare is the share of the learned run time after which a sound run has made
	// plenty of progress. The reports count whole percents, so a run that takes twelve
	// times as long still shows some.
	plentyShare = 0.12
	// minPatience is the least time without progress. It is longer than a pause of 0.5 s,
	// after which a run goes on by itself.
	minPatience = 750 * time.Millisecond
	// maxPatience is the longest time without progress. It is shorter than the fixed
	// threshold of 3.5 s for runs about which nothing is learned, so that a report decides
	// about the run before, and not the lack of one.
	maxPatience = 3200 * time.Millisecond
	// suspectFraction of the patience is enough on a worker where another run stands still.
	suspectFraction = 0.5
	// percentFactor is for how many percents, each at the average pace of the run so far,
	// a report without progress is expected.
	percentFactor = 6
	// confirmFraction of the patience lies at least between the first and the last report
	// without progress, so that there are two.
	confirmFraction = 1.0 / 3
	// minStanding is how many runs of a step have to stand still elsewhere, while none
	// moves, for the cause to lie in the step.
	minStanding = 2
	unknown     = -1
)

// Detector judges one run. Its reports are those of the run's worker, in the order of
// their arrival. It is not safe for concurrent use.
type Detector struct {
	progressAt  time.Time // time without progress counts from here
	progressed  bool      // progress has been seen
	percent     int       // the highest reported, unknown before the first report of a resumed run
	basePercent int
	baseAt      time.Time // when the run was at basePercent
	reports     int       // without progress
	firstAt     time.Time // of these
	lastAt      time.Time // of these
}

// New returns a Detector of a run that has started at 0 percent.
func New(startedAt time.Time) *Detector {
	return &Detector{progressAt: startedAt, baseAt: startedAt}
}

// NewResumed returns a Detector of a run that goes on at an unknown percentage, and makes
// no progress before readyAt.
func NewResumed(readyAt time.Time) *Detector {
	return &Detector{progressAt: readyAt, percent: unknown, basePercent: unknown}
}

// Observe records a report. One with a lower percentage than an earlier report has been
// overtaken by it and proves nothing.
func (d *Detector) Observe(percent int, at time.Time) {
	switch {
	case d.percent == unknown:
		d.percent, d.basePercent, d.baseAt = percent, percent, at
		d.progressAt = later(d.progressAt, at)
	case percent > d.percent:
		d.percent, d.progressed, d.reports = percent, true, 0
		d.progressAt = later(d.progressAt, at)
	case percent == d.percent && at.After(d.progressAt):
		if d.reports == 0 {
			d.firstAt = at
		}
		d.reports++
		d.lastAt = at
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Progress returns when the latest progress was seen, the zero time if none was.
func (d *Detector) Progress() time.Time {
	if !d.progressed {
		return time.Time{}
	}
	return d.progressAt
}

// Reports returns the number of reports without progress since the latest progress.
func (d *Detector) Reports() int {
	return d.reports
}

// Option describes the circumstances of a run.
type Option func(*circumstances)

type circumstances struct {
	runTime          time.Duration
	suspectWorker    bool
	fullPatience     bool
	besideProgressAt time.Time
	stepStanding     int
	stepProgressAt   time.Time
}

// WithRunTime sets the learned run time of the run's queue and step, at a high quantile.
// Without it a run never counts as standing still, and needs a report only before the
// fixed threshold for such runs.
func WithRunTime(took time.Duration) Option {
	return func(c *circumstances) { c.runTime = took }
}

// WithSuspectWorker says that another run on the same worker stands still.
func WithSuspectWorker() Option {
	return func(c *circumstances) { c.suspectWorker = true }
}

// WithFullPatience gives the run the longest time.
func WithFullPatience() Option {
	return func(c *circumstances) { c.fullPatience = true }
}

// WithProgressBeside sets when another run on the same worker was last seen to make
// progress.
func WithProgressBeside(at time.Time) Option {
	return func(c *circumstances) { c.besideProgressAt = at }
}

// WithStep sets how many runs of the same step on other workers were reported without
// progress since their latest one, and when any run there last was seen to make progress.
func WithStep(standing int, progressAt time.Time) Option {
	return func(c *circumstances) { c.stepStanding, c.stepProgressAt = standing, progressAt }
}

// StandsStill reports whether the run stands still: at least two reports, apart from each
// other, show no progress over a time in which it should have made plenty.
func (d *Detector) StandsStill(opts ...Option) bool {
	c := collect(opts)
	patience := d.patience(c)
	return c.runTime > 0 && d.percent < 100 && d.reports > 0 &&
		d.lastAt.Sub(d.progressAt) >= patience && d.lastAt.Sub(d.firstAt) >= confirmTime(patience)
}

// Overdue reports whether the latest report shows no progress although it should, so that
// another report is worth a call: a sound run has made some progress in a third of the
// time after which it would stand still.
func (d *Detector) Overdue(opts ...Option) bool {
	patience := d.patience(collect(opts))
	return d.percent < 100 && d.reports > 0 && d.lastAt.Sub(d.progressAt) >= confirmTime(patience)
}

// NextReport returns when the next report decides something about the run, the zero time
// if there is no such time. A run that has not been reported without progress needs none
// if it should end before, or if nothing is learned about it.
func (d *Detector) NextReport(opts ...Option) time.Time {
	c := collect(opts)
	patience := d.patience(c)
	if d.percent >= 100 {
		return time.Time{}
	}
	confirm := confirmTime(patience)
	if d.reports > 0 {
		return later(d.progressAt.Add(patience), d.lastAt.Add(confirm))
	}
	if left := time.Duration(float64(c.runTime) * float64(100-max(d.percent, 0)) / 100); left < patience-confirm {
		return time.Time{}
	}
	return d.progressAt.Add(patience - confirm)
}

func confirmTime(patience time.Duration) time.Duration {
	return time.Duration(confirmFraction * float64(patience))
}

func collect(opts []Option) *circumstances {
	c := &circumstances{}
	for _, o := range opts {
		o(c)
	}
	return c
}

// patience returns the time without progress after which the run stands still, or after
// which a report is due if nothing is learned about it.
func (d *Detector) patience(c *circumstances) time.Duration {
	if c.runTime <= 0 || c.fullPatience || d.slowByItself(c) {
		return maxPatience
	}
	patience := max(time.Duration(plentyShare*float64(c.runTime)), minPatience)
	if c.suspectWorker {
		patience = time.Duration(suspectFraction * float64(patience))
	}
	return min(max(patience, percentFactor*d.percentTime()), maxPatience)
}

// slowByItself reports whether the worker is not the cause: another run there has made
// progress since this one was first reported without any, or no run of the step makes
// progress anywhere, so that all of them may wait for something.
func (d *Detector) slowByItself(c *circumstances) bool {
	if d.reports == 0 {
		return false
	}
	if c.besideProgressAt.After(d.firstAt) {
		return true
	}
	return !c.suspectWorker && c.stepStanding >= minStanding && !c.stepProgressAt.After(d.progressAt)
}

// percentTime returns the time that the run has taken for one percent so far, 0 if it is
// not known.
func (d *Detector) percentTime() time.Duration {
	if made := d.percent - d.basePercent; made > 0 {
		return d.progressAt.Sub(d.baseAt) / time.Duration(made)
	}
	return 0
}
