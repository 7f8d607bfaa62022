package scheduler

import (
	"time"

	"yuccapaddle"
)

const (
	// usageSkewMargin is the clock skew allowed for when the time of a usage report
	// is compared with that of a placement by this host.
	usageSkewMargin = time.Second
	// maxUsageAge is the age after which a usage report is disregarded.
	maxUsageAge = time.Minute
)

// noteUsageChange records that the usage of a gang's workers changes now.
func (s *Scheduler) noteUsageChange(g *yuccapaddle.Gang) {
	for _, m := range g.Members {
		s.usageChangedAt[m.Worker] = s.now
	}
}

// externalUsage returns the number of accelerators that a worker reports as busy
// beyond those that gangs hold on it. Reports lag, so one from before the last
// change by this host, or one older than maxUsageAge, is disregarded.
func (s *Scheduler) externalUsage(worker string) int {
	c, ok := s.conditions[worker]
	if !ok || !c.UsageAt.After(s.usageChangedAt[worker].Add(usageSkewMargin)) || s.now.Sub(c.UsageAt) > maxUsageAge {
		return 0
	}
	return max(c.Used-s.state.Used(worker), 0)
}
