package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["crash"] = playCrash
}

const (
	// crashPeriod is the time from one crash of the worker to the next, of which it is down for
	// crashDown.
	crashPeriod = 10 * time.Second
	crashDown   = time.Second
	crashes     = 7
	// calmTime is how long the job is watched after the last crash.
	calmTime = 20 * time.Second
)

// playCrash runs a job that lasts on the only one of ten workers that has the label which the
// job requires. That worker crashes and starts again some times, and then stays up.
func playCrash(l *lab) ([]string, error) {
	const workers = 10
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			kind := "a"
			if i == workers-1 {
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
	time.Sleep(4 * time.Second)
	if err := l.submit("plain", lasting, taskSpec{Lasts: true}, step{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Label: "b", Lasts: true}); err != nil {
		return nil, err
	}
	w := l.workers[workers-1]
	for range crashes {
		if b := l.watchState(crashPeriod - crashDown); b != "" {
			return []string{b}, nil
		}
		if l.trouble {
			l.crashWorker(w)
			time.Sleep(crashDown)
			if err := l.startWorker(w); err != nil {
				return nil, err
			}
		}
	}
	if b := l.watchState(calmTime); b != "" {
		return []string{b}, nil
	}
	return nil, nil
}

// lasting is the ID of the job that lasts.
var lasting = jobID(1)

// watchState asks for the state of the job that lasts for some time, and returns what is wrong
// with it: nobody has cancelled the job, and no run of it has ended as failed.
func (l *lab) watchState(d time.Duration) string {
	var last call
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		c := l.state("plain", lasting)
		if c.status != last.status || c.state != last.state {
			l.note("the job that lasts is shown as %d %s", c.status, c.state)
			last = c
		}
		failed := 0
		for _, e := range l.events() {
			if e.What == "end" && e.How == "failed" {
				failed++
			}
		}
		switch {
		case c.status == http.StatusGone:
			return "an accepted job that nobody has cancelled is answered with 410"
		case c.state == "failed" || c.state == "canceled" || c.state == "completed":
			return fmt.Sprintf("the job is shown as %s, though %d of its runs have ended as failed and nobody has cancelled it", c.state, failed)
		}
	}
	return ""
}
