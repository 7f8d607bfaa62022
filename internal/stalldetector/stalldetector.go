// Package stalldetector tells runs that stand still from runs that are slow, from the
// reports of their worker. It does no I/O and reads no clock.
package stalldetector

import "time"

const (
	// plentyShare is the share of the learned run time that a run may spend without progress.
	// The reports count whole percents, so a run that takes twelve times as long still shows
	// progress within it.
	plentyShare = 0.12
	// minTimeout is the least time without progress. It is longer than a pause of 0.5 s,
	// after which a run goes on by itself.
	minTimeout = 750 * time.Millisecond
	// maxTimeout is the longest time without progress. It is shorter than the fixed
	// threshold of 3.5 s for runs about which nothing is learned, so that a report decides
	// about the run before, and not the lack of one.
	maxTimeout = 3200 * time.Millisecond
	// suspectFraction is the factor on the timeout on a worker where another run stands
	// still.
	suspectFraction = 0.5
	// percentFactor is the lower limit of the timeout, as a multiple of the average time that
	// the run has taken for one percent so far.
	percentFactor = 6
	// confirmFraction is the minimum time between the first and the last report without
	// progress, as a share of the timeout. It requires at least two reports.
	confirmFraction = 1.0 / 3
	// minStanding is how many runs of a step have to stand still elsewhere, while none
	// moves, for the cause to lie in the step.
	minStanding = 2
	// unknown is the percentage of a resumed run before its first report.
	unknown = -1
)

// StallDetector judges one run. Its reports are those of the run's worker, in the order of
// their arrival. It is not safe for concurrent use.
type StallDetector struct {
	progressAt  time.Time // time without progress counts from here
	progressed  bool      // progress has been seen
	percent     int       // the highest reported, unknown before the first report of a resumed run
	basePercent int
	baseAt      time.Time // when the run was at basePercent
	reports     int       // without progress
	firstAt     time.Time // of these
	lastAt      time.Time // of these
}

// New returns a StallDetector for a run that has started at 0 percent.
func New(startedAt time.Time) *StallDetector {
	return &StallDetector{progressAt: startedAt, baseAt: startedAt}
}

// NewResumed returns a StallDetector for a run that goes on at an unknown percentage, and makes
// no progress before readyAt.
func NewResumed(readyAt time.Time) *StallDetector {
	return &StallDetector{progressAt: readyAt, percent: unknown, basePercent: unknown}
}

// Observe records a report. One with a lower percentage than an earlier report has been
// overtaken by it and proves nothing.
func (d *StallDetector) Observe(percent int, at time.Time) {
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
func (d *StallDetector) Progress() time.Time {
	if !d.progressed {
		return time.Time{}
	}
	return d.progressAt
}

// Reports returns the number of reports without progress since the latest progress.
func (d *StallDetector) Reports() int {
	return d.reports
}

// Option describes the circumstances of a run.
type Option func(*circumstances)

type circumstances struct {
	runTime          time.Duration
	suspectWorker    bool
	longestTimeout   bool
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

// WithLongestTimeout sets the timeout to the longest one, whatever the learned run time.
func WithLongestTimeout() Option {
	return func(c *circumstances) { c.longestTimeout = true }
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
func (d *StallDetector) StandsStill(opts ...Option) bool {
	c := collect(opts)
	timeout := d.timeout(c)
	return c.runTime > 0 && d.percent < 100 && d.reports > 0 &&
		d.lastAt.Sub(d.progressAt) >= timeout && d.lastAt.Sub(d.firstAt) >= confirmTime(timeout)
}

// Overdue reports whether the latest report shows no progress although it should, so that
// another report is worth a call: a sound run has made some progress in a third of the
// time after which it would stand still.
func (d *StallDetector) Overdue(opts ...Option) bool {
	timeout := d.timeout(collect(opts))
	return d.percent < 100 && d.reports > 0 && d.lastAt.Sub(d.progressAt) >= confirmTime(timeout)
}

// NextReport returns when the next report decides something about the run, the zero time
// if there is no such time. A run that has not been reported without progress needs none
// if it should end before, or if nothing is learned about it.
func (d *StallDetector) NextReport(opts ...Option) time.Time {
	c := collect(opts)
	timeout := d.timeout(c)
	if d.percent >= 100 {
		return time.Time{}
	}
	confirm := confirmTime(timeout)
	if d.reports > 0 {
		return d.beforeThreshold(later(d.progressAt.Add(timeout), d.lastAt.Add(confirm)))
	}
	if left := time.Duration(float64(c.runTime) * float64(100-max(d.percent, 0)) / 100); left < timeout-confirm {
		return time.Time{}
	}
	return d.progressAt.Add(timeout - confirm)
}

// beforeThreshold returns the time of the next report, maxTimeout after the latest progress if
// it would be later than that: a report has to come before the fixed threshold decides.
func (d *StallDetector) beforeThreshold(next time.Time) time.Time {
	ceiling := d.progressAt.Add(maxTimeout)
	if next.After(ceiling) && d.lastAt.Before(ceiling) {
		return ceiling
	}
	return next
}

func confirmTime(timeout time.Duration) time.Duration {
	return time.Duration(confirmFraction * float64(timeout))
}

func collect(opts []Option) *circumstances {
	c := &circumstances{}
	for _, o := range opts {
		o(c)
	}
	return c
}

// timeout returns the time without progress after which the run counts as standing still, or
// after which a report is due if there is no learned run time.
func (d *StallDetector) timeout(c *circumstances) time.Duration {
	if c.runTime <= 0 || c.longestTimeout || d.slowByItself(c) {
		return maxTimeout
	}
	timeout := max(time.Duration(plentyShare*float64(c.runTime)), minTimeout)
	if c.suspectWorker {
		timeout = time.Duration(suspectFraction * float64(timeout))
	}
	return min(max(timeout, percentFactor*d.percentTime()), maxTimeout)
}

// slowByItself reports whether the worker is not the cause: another run there has made
// progress since this one was first reported without any, or no run of the step makes
// progress anywhere, so that all of them may wait for something.
func (d *StallDetector) slowByItself(c *circumstances) bool {
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
func (d *StallDetector) percentTime() time.Duration {
	if made := d.percent - d.basePercent; made > 0 {
		return d.progressAt.Sub(d.baseAt) / time.Duration(made)
	}
	return 0
}
