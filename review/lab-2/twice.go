package main

import (
	"fmt"
	"time"
)

func init() {
	cases["twice"] = playTwice
}

// playTwice runs short jobs while workers leave orders unanswered and carry them out late, and
// workers crash one at a time and start again under their IDs.
func playTwice(l *lab) ([]string, error) {
	const workers = 8
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			if err := l.addWorker(zones[i%3], "a", fmt.Sprintf("r1-%d", 1+i/4), 8, 0.5); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- l.submitUntil(stop) }()
	for cycle := range lateCycles {
		l.leaveUnanswered(lateTime)
		for i := range crashesPerCycle {
			time.Sleep(beforeCrash)
			if err := l.restartWorker(l.workers[(cycle*crashesPerCycle+i)%workers]); err != nil {
				return nil, err
			}
		}
		time.Sleep(afterCrash)
	}
	close(stop)
	if err := <-done; err != nil {
		return nil, err
	}
	time.Sleep(maxLate)
	return doubles(l.events()), nil
}

const (
	// lateTime is how long orders are left unanswered at a time.
	lateTime        = 5 * time.Second
	lateCycles      = 6
	crashesPerCycle = 3
	beforeCrash     = 2000 * time.Millisecond
	afterCrash      = 3 * time.Second
	downTime        = 300 * time.Millisecond
)

// submitUntil hands in short jobs until stop is closed.
func (l *lab) submitUntil(stop <-chan struct{}) error {
	for n := 1; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(400 * time.Millisecond):
		}
		if err := l.submit("plain", jobID(n), taskSpec{MS: 800}, step{Count: 16, CPU: 2000, MemoryMB: 4000, Estimate: 800}); err != nil {
			return err
		}
	}
}

// leaveUnanswered has the workers leave a share of the starts unanswered for a time, and carry
// them out late.
func (l *lab) leaveUnanswered(d time.Duration) {
	for _, w := range l.workers {
		w.proxy.late.Store(l.trouble)
	}
	time.Sleep(d)
	for _, w := range l.workers {
		w.proxy.late.Store(false)
	}
}

// restartWorker kills the process of a worker and starts it again under its ID.
func (l *lab) restartWorker(w *workerProc) error {
	if !l.trouble {
		return nil
	}
	l.crashWorker(w)
	time.Sleep(downTime)
	return l.startWorker(w)
}

// doubles returns the starts of tasks that had ended as done before, if that end was taken note
// of then or later, and runs of a task that
// were in progress at the same time on workers that were up.
func doubles(events []event) []string {
	type key struct {
		worker string
		born   int64
	}
	type open struct {
		key
		run int
	}
	noted := map[string]bool{}
	for _, e := range events {
		if e.What == "noted" && e.How == "done" {
			noted[fmt.Sprint(e.Task, e.Run, e.Worker, e.Born)] = true
		}
	}
	var broken []string
	done, running, up := map[string]event{}, map[string][]open{}, map[string]int64{}
	for _, e := range events {
		switch {
		case e.What == "boot":
			up[e.Worker] = e.Born
		case e.What == "start":
			if d, ok := done[e.Task]; ok {
				broken = append(broken, fmt.Sprintf("task %s run %d starts on %s (born %d), %d ms after its run %d has ended done on %s (born %d)",
					e.Task, e.Run, e.Worker, e.Born, e.MS-d.MS, d.Run, d.Worker, d.Born))
			}
			for _, o := range running[e.Task] {
				if up[o.worker] == o.born && (o.worker != e.Worker || o.born == e.Born) {
					broken = append(broken, fmt.Sprintf("task %s run %d starts on %s while its run %d is in progress on %s", e.Task, e.Run, e.Worker, o.run, o.worker))
				}
			}
			running[e.Task] = append(running[e.Task], open{key{e.Worker, e.Born}, e.Run})
		case e.What == "end":
			if e.How == "done" && noted[fmt.Sprint(e.Task, e.Run, e.Worker, e.Born)] {
				done[e.Task] = e
			}
			list := running[e.Task][:0]
			for _, o := range running[e.Task] {
				if o.worker != e.Worker || o.run != e.Run {
					list = append(list, o)
				}
			}
			running[e.Task] = list
		}
	}
	return broken
}
