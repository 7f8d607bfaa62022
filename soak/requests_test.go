package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/jobmaker"
	"yuccapaddle/internal/responder"
)

const (
	requestEvery = 400 * time.Millisecond
	workspace    = "t"
)

// request is what a caller of the project's own interface knows of one request.
type request struct {
	responder.Submission
	told yuccapaddle.Outcome
}

// startRequests hands in requests that may run only once, at any host.
func (c *clients) startRequests() {
	rng := rand.New(rand.NewPCG(c.seed, 3))
	c.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return nil
			case <-time.After(requestEvery):
			}
			r := &request{Submission: responder.Submission{
				ID: fmt.Sprintf("once-%d", n), Class: []string{"quick", "batch"}[rng.IntN(2)], Tasks: 1 + rng.IntN(3), Accelerators: 1,
				Span: []string{"worker", "rack", "domain"}[rng.IntN(3)], Payload: json.RawMessage(fmt.Sprint(200 + rng.IntN(2500))),
			}}
			first := rng.IntN(len(c.b.hosts))
			c.group.Go(func() error {
				c.submitRequest(r, first)
				return nil
			})
		}
	})
}

// submitRequest sends a request again until it is known to be taken or refused.
func (c *clients) submitRequest(r *request, first int) {
	for n := range tries {
		o, ok := c.outcome(c.b.hosts[(first+n)%len(c.b.hosts)], "POST", "", r.Submission)
		if ok {
			r.told = o
		}
		if ok && o.Verdict != yuccapaddle.VerdictRefused && o.Verdict != yuccapaddle.VerdictUnknown {
			break
		}
		if !ok || o.Verdict == yuccapaddle.VerdictUnknown {
			r.told.Verdict = yuccapaddle.VerdictUnknown // from here on a refusal says nothing of earlier tries
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// outcome calls the project's own interface of a host; ok is false for no answer.
func (c *clients) outcome(h *host, method, path string, body any) (o yuccapaddle.Outcome, ok bool) {
	_, answer := c.send(method, "http://"+h.requests+"/v1/requests"+path, body)
	return o, json.Unmarshal(answer, &o) == nil && o.Verdict != ""
}

// startsOf counts the starts of each task of a request.
func (c *clients) startsOf(r *request) (most, all int) {
	job := jobmaker.JobID(workspace + "/" + r.ID)
	for i := range r.Tasks {
		n := len(c.b.starts.Of(yuccapaddle.TaskID{Job: job, Index: i}))
		most, all = max(most, n), all+n
	}
	return most, all
}

// settleRequests waits until every request that was taken has a final outcome.
func (c *clients) settleRequests(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, r := range c.requests {
		for r.told.Verdict == yuccapaddle.VerdictWaiting || r.told.Verdict == yuccapaddle.VerdictRunning || r.told.Verdict == yuccapaddle.VerdictUnknown {
			for _, h := range c.b.hosts {
				if o, ok := c.outcome(h, "GET", "/"+r.ID+"?wait=1s", nil); ok {
					r.told = o
					break
				}
			}
			if time.Now().After(deadline) {
				c.fault("request %s is %q at the end", r.ID, r.told.Verdict)
				break
			}
		}
	}
}

// checkRequests looks at what callers were told against what workers have seen.
func (c *clients) checkRequests() {
	verdicts := map[yuccapaddle.Verdict]int{}
	for _, r := range c.requests {
		verdicts[r.told.Verdict]++
		most, all := c.startsOf(r)
		switch {
		case most > 1:
			c.fault("a task of request %s, which may run once, was started %d times", r.ID, most)
		case all > 0 && !r.told.Ran:
			c.fault("request %s was told as %s and not run, and its tasks were started %d times", r.ID, r.told.Verdict, all)
		case r.told.Verdict == yuccapaddle.VerdictDone && r.Tasks == 1 && all != 1, r.told.Verdict == yuccapaddle.VerdictDone && all == 0:
			// One end as done stands for a whole gang, and the stand-ins let a member
			// that is there first end by itself.
			c.fault("request %s was told as done with %d of %d tasks started", r.ID, all, r.Tasks)
		}
	}
	c.b.c.Logf("%d requests: %v", len(c.requests), verdicts)
}
