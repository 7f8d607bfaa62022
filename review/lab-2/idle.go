package main

import (
	"fmt"
	"time"
)

const (
	// aloneAfter is how long after its last run a task that lasts may be without one, and
	// aloneFor for how long from then on it must be for the rule to be broken. These seconds
	// have to be calm, and so have the calmBefore before them.
	aloneAfter = 6 * time.Second
	aloneFor   = 3 * time.Second
	calmBefore = 4 * time.Second
	// lossTime is how long the loss of a worker counts as a disruption, more than the 4.5 s
	// that the site files give for one.
	lossTime = 5810 * time.Millisecond
)

// idleTimes returns the times in which a task that lasts had no run for too long. Its run was
// lost with its worker at lostAt, if that is not 0.
func (l *lab) idleTimes(task string, lostAt int64) []string {
	var broken []string
	var endedAt int64
	report := func(until int64) {
		if idle := time.Duration(until-endedAt) * time.Millisecond; endedAt != 0 && idle > max(aloneAfter, lossTime+calmBefore)+aloneFor {
			broken = append(broken, fmt.Sprintf("the task that lasts had no run for %.1f s, while two workers or more that may run it were idle", idle.Seconds()))
		}
	}
	for _, e := range l.events() {
		if lostAt != 0 && e.MS >= lostAt && endedAt == 0 {
			endedAt, lostAt = lostAt, 0
		}
		switch {
		case e.Task != task:
		case e.What == "start":
			report(e.MS)
			endedAt = 0
		case e.What == "end":
			endedAt = e.MS
		}
	}
	if lostAt != 0 && endedAt == 0 {
		endedAt = lostAt
	}
	report(time.Now().UnixMilli())
	return broken
}
