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
	requestInterval = 400 * time.Millisecond
	workspace       = "t"
)

// request is a submission to the project's own request API, as opposed to the
// platform's job API, with the last outcome that a caller was told.
type request struct {
	responder.Submission
	lastOutcome yuccapaddle.Outcome
}

// startRequests submits a non-repeatable request to a random host at every
// interval.
func (c *clients) startRequests() {
	rng := rand.New(rand.NewPCG(c.seed, 3))
	c.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return nil
			case <-time.After(requestInterval):
			}
			r := &request{Submission: responder.Submission{
				ID: fmt.Sprintf("once-%d", n), Class: []string{"quick", "batch"}[rng.IntN(2)], Tasks: 1 + rng.IntN(3), Accelerators: 1,
				Span: []string{"worker", "rack", "domain"}[rng.IntN(3)], Payload: json.RawMessage(fmt.Sprint(200 + rng.IntN(2500))),
			}}
			firstHost := rng.IntN(len(c.bed.hosts))
			c.group.Go(func() error {
				c.submitRequest(r, firstHost)
				return nil
			})
		}
	})
}

// submitRequest tries the hosts in turn, beginning with firstHost, until the
// request is accepted, its outcome is unknown or the attempts are used up.
func (c *clients) submitRequest(r *request, firstHost int) {
	for n := range maxAttempts {
		o, ok := c.callRequests(c.bed.hosts[(firstHost+n)%len(c.bed.hosts)], "POST", "", r.Submission)
		if ok {
			r.lastOutcome = o
		}
		if ok && o.Verdict != yuccapaddle.VerdictRefused && o.Verdict != yuccapaddle.VerdictUnknown {
			break
		}
		if !ok || o.Verdict == yuccapaddle.VerdictUnknown {
			r.lastOutcome.Verdict = yuccapaddle.VerdictUnknown // a later refusal would say nothing about this attempt
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// callRequests calls a host's request API; ok is false without a valid outcome.
func (c *clients) callRequests(h *host, method, path string, body any) (o yuccapaddle.Outcome, ok bool) {
	_, answer := c.send(method, "http://"+h.requestsAddr+"/v1/requests"+path, body)
	return o, json.Unmarshal(answer, &o) == nil && o.Verdict != ""
}

// countRequestStarts returns the most starts of any one task of a request and
// the starts of all its tasks.
func (c *clients) countRequestStarts(r *request) (maxPerTask, total int) {
	job := jobmaker.JobID(workspace + "/" + r.ID)
	for i := range r.Tasks {
		n := len(c.bed.startLog.Workers(yuccapaddle.TaskID{Job: job, Index: i}))
		maxPerTask, total = max(maxPerTask, n), total+n
	}
	return maxPerTask, total
}

// awaitRequests waits until every request has a final outcome; those refused at
// every attempt have one already.
func (c *clients) awaitRequests(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, r := range c.requests {
		for r.lastOutcome.Verdict == yuccapaddle.VerdictWaiting || r.lastOutcome.Verdict == yuccapaddle.VerdictRunning || r.lastOutcome.Verdict == yuccapaddle.VerdictUnknown {
			for _, h := range c.bed.hosts {
				if o, ok := c.callRequests(h, "GET", "/"+r.ID+"?wait=1s", nil); ok {
					r.lastOutcome = o
					break
				}
			}
			if time.Now().After(deadline) {
				c.reportf("request %s is %q at the end", r.ID, r.lastOutcome.Verdict)
				break
			}
		}
	}
}

// checkRequests compares what the callers were told about requests with the
// starts that the workers recorded.
func (c *clients) checkRequests() {
	verdicts := map[yuccapaddle.Verdict]int{}
	for _, r := range c.requests {
		verdicts[r.lastOutcome.Verdict]++
		maxPerTask, total := c.countRequestStarts(r)
		switch {
		case maxPerTask > 1:
			c.reportf("a task of request %s, which may run once, was started %d times", r.ID, maxPerTask)
		case total > 0 && !r.lastOutcome.MayHaveRun:
			c.reportf("request %s was reported as %s and not run, but its tasks were started %d times", r.ID, r.lastOutcome.Verdict, total)
		case r.lastOutcome.Verdict == yuccapaddle.VerdictDone && r.Tasks == 1 && total != 1, r.lastOutcome.Verdict == yuccapaddle.VerdictDone && total == 0:
			// The end of one member as done completes a whole gang, and the
			// stand-ins let a member that starts first end without the others.
			c.reportf("request %s was reported as done, but %d starts were recorded for its %d tasks", r.ID, total, r.Tasks)
		}
	}
	c.bed.c.Logf("%d requests: %v", len(c.requests), verdicts)
}
