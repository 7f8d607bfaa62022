package main

import (
	"fmt"
	"time"
)

func init() {
	cases["refail"] = playRefail
}

const (
	// aloneAfter is how long after its last run a task that lasts may be without one, and
	// aloneFor for how long from then on it must be for the rule to be broken.
	aloneAfter = 6 * time.Second
	aloneFor   = 3 * time.Second
)

// playRefail runs a job that lasts and that only two of sixteen workers may run. Its first two
// runs fail, each on one of them, and no worker is disturbed.
func playRefail(l *lab) ([]string, error) {
	const workers = 16
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			kind := "a"
			if i >= workers-2 {
				kind = "b"
			}
			if err := l.addWorker(zones[i%3], kind, fmt.Sprintf("r1-%d", 1+i/4), 8, 0); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	spec := taskSpec{Lasts: true}
	if l.trouble {
		spec.FailUntil, spec.FailAfterMS = 2, 1500
	}
	if err := l.submit("plain", jobID(1), spec, step{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Label: "b", Lasts: true}); err != nil {
		return nil, err
	}
	time.Sleep(40 * time.Second)
	return l.idleTimes(jobID(1)+".0.0.0", 0), nil
}

// idleTimes returns the times in which a task that lasts had no run for too long. Its run was
// lost with its worker at lostAt, if that is not 0.
func (l *lab) idleTimes(task string, lostAt int64) []string {
	var broken []string
	var endedAt int64
	report := func(until int64) {
		if idle := time.Duration(until-endedAt) * time.Millisecond; endedAt != 0 && idle > aloneAfter+aloneFor {
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
	report(time.Now().UnixMilli())
	return broken
}
