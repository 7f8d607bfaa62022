package scheduler

import (
	"time"

	"yuccapaddle"
)

const (
	// usageMargin allows for the clocks of workers when their reports are put in
	// order with what was placed here.
	usageMargin = time.Second
	// usageOld is the age at which a usage report says nothing any more.
	usageOld = time.Minute
)

// touch notes that what is held on a gang's workers changes now.
func (s *Scheduler) touch(g *yuccapaddle.Gang) {
	for _, m := range g.Members {
		s.touched[m.Worker] = s.now
	}
}

// foreign is the number of accelerators that a worker reports as busy beyond
// what is held there. Reports lag: one from before the last change here, or an
// old one, does not count.
func (s *Scheduler) foreign(worker string) int {
	c, ok := s.conditions[worker]
	if !ok || !c.UsageAt.After(s.touched[worker].Add(usageMargin)) || s.now.Sub(c.UsageAt) > usageOld {
		return 0
	}
	return max(c.Used-s.state.Used(worker), 0)
}
