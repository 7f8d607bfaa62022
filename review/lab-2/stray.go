package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["stray"] = playStray
}

const (
	// jobsBefore is how many jobs are accepted before the entry is there, of strayChain steps
	// that follow one another.
	jobsBefore = 8
	strayChain = 4
	// trafficTime is how long jobs are handed in from then on, and finishTime how long after
	// the end of the traffic the jobs are asked for.
	trafficTime = 20 * time.Second
	finishTime  = 14 * time.Second
	// strayToken is the highest fencing token that the other system's worker has seen.
	strayToken = 900_000_000_000
)

// playStray has another writer register a worker of a service that the config does not name,
// which takes orders of another system, while jobs run.
func playStray(l *lab) ([]string, error) {
	const workers = 10
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			if err := l.addWorker(zones[i%3], "a", fmt.Sprintf("r1-%d", 1+i/4), 8, 0); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	var accepted []string
	for n := range jobsBefore {
		if err := l.submit("plain", jobID(n+1), taskSpec{MS: 2000}, chain(strayChain)...); err != nil {
			return nil, err
		}
		accepted = append(accepted, jobID(n+1))
	}
	if l.trouble {
		if err := l.addStray(); err != nil {
			return nil, err
		}
	}
	payload, err := json.Marshal(&taskSpec{MS: 2000})
	if err != nil {
		return nil, err
	}
	began, refused := time.Now(), 0
	for n := jobsBefore + 1; time.Since(began) < trafficTime; n++ {
		c := l.call(n%3, http.MethodPost, "/plain/"+jobID(n), map[string]any{"spec": string(payload), "steps": chain(1)})
		if c.status == http.StatusOK {
			accepted = append(accepted, jobID(n))
		} else {
			refused++
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.note("of the jobs handed in meanwhile %d were accepted, %d were not", len(accepted)-jobsBefore, refused)
	time.Sleep(finishTime)
	return l.unfinished(accepted), nil
}

// chain returns steps of one task that follow one another.
func chain(n int) []step {
	list := []step{{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Estimate: 2000}}
	for i := 1; i < n; i++ {
		next := list[0]
		next.After = []int{i - 1}
		list = append(list, next)
	}
	return list
}

// unfinished asks for the accepted jobs, and returns those that get no answer, and those that
// are not completed and have nothing running for 3 s although the workers are idle.
func (l *lab) unfinished(accepted []string) []string {
	const idle = 3 * time.Second
	var broken []string
	for _, id := range accepted {
		c := l.state("plain", id)
		l.note("job %s is shown as %d %s", id, c.status, c.state)
		if c.status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("the accepted job %s gets no answer: %d at each host", id, c.status))
			continue
		}
		if c.state == "completed" {
			continue
		}
		running, last := 0, int64(0)
		for _, e := range l.events() {
			if !strings.HasPrefix(e.Task, id+".") {
				continue
			}
			switch e.What {
			case "start":
				running++
			case "end":
				running--
				last = e.MS
			}
		}
		if since := time.Since(time.UnixMilli(last)); running == 0 && since > idle {
			broken = append(broken, fmt.Sprintf("the accepted job %s is shown as %s and has nothing running, since %.0f s or since it was accepted", id, c.state, min(since, time.Since(l.began)).Seconds()))
		}
	}
	return broken
}

// addStray registers a worker of another system. It has seen that system's fencing tokens.
func (l *lab) addStray() error {
	began := time.Now()
	address, err := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o order
		_ = json.NewDecoder(r.Body).Decode(&o)
		l.note("the worker of another system is sent %s %s with token %d", r.Method, r.URL.Path, o.Token)
		body := map[string]any{"clock-ms": time.Since(began).Milliseconds() + 3_600_000, "born": began.UnixMilli() - 3_600_000}
		if o.Token < strayToken {
			body["reason"] = "fence"
			reply(w, http.StatusConflict, body)
			return
		}
		reply(w, http.StatusOK, body)
	}))
	if err != nil {
		return err
	}
	entry, err := json.Marshal(map[string]any{
		"service": "press-room", "address": address, "zone": "vl-gent", "state": "ready",
		"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8}, "labels": []string{"a", "r9-1"}, "born": began.UnixMilli() - 3_600_000,
	})
	if err != nil {
		return err
	}
	l.note("another writer writes servers/p-77: %s", entry)
	l.store.put("servers/p-77", entry, 0)
	return nil
}
