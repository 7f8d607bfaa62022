package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
)

const (
	callTimeout    = 3 * time.Second
	submitInterval = 120 * time.Millisecond
	watchInterval  = 15 * time.Millisecond
	maxAttempts    = 4
	maxOfFormat    = 20
	// cancelGrace is how long tasks may still start after their job's
	// cancellation was acknowledged.
	cancelGrace = 3 * time.Second
)

// submittedJob is what the clients know about one job.
type submittedJob struct {
	id, queue        string
	tasks            int
	accepted         bool
	maybeAccepted    bool // an attempt without a clear answer may have been accepted
	crashes          bool // its tasks crash their workers
	cancelledAt      time.Time
	startsByGraceEnd int
}

// clients submits, cancels and queries jobs and requests at all hosts over
// persistent connections, and collects the violations it observes.
type clients struct {
	bed        *testbed
	seed       uint64
	client     *fasthttp.Client
	group      errgroup.Group
	done       chan struct{}
	mu         sync.Mutex
	jobs       []*submittedJob
	requests   []*request
	violations []string
	formats    map[string]int // how many violations were reported in each format

	crashingJobs int // how many jobs were submitted whose tasks crash their workers
}

func newClients(b *testbed, seed uint64) *clients {
	return &clients{bed: b, seed: seed, done: make(chan struct{}), formats: map[string]int{}, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// call sends a job call to a host, decodes a 200 response into out if that is
// not nil, and returns the HTTP status, or 0 without a response.
func (c *clients) call(h *host, method, path string, body any, out any) int {
	status, answer := c.send(method, "http://"+h.callersAddr+path, body)
	if out != nil && status == fasthttp.StatusOK {
		c.bed.c.Check(json.Unmarshal(answer, out), qt.IsNil)
	}
	return status
}

// send sends an HTTP request and returns the response's status and body; the
// status is 0 without a response.
func (c *clients) send(method, url string, body any) (status int, answer []byte) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(url)
	req.UseHostHeader = true
	req.Header.SetHost("h.example")
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer key")
	if body != nil {
		data, err := json.Marshal(body)
		c.bed.c.Check(err, qt.IsNil)
		req.SetBody(data)
	}
	if err := c.client.DoTimeout(req, res, callTimeout); err != nil {
		return 0, nil
	}
	return res.StatusCode(), bytes.Clone(res.Body())
}

func (c *clients) waitReady() {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		if c.call(c.bed.hosts[0], "GET", "/batch/", nil, nil) == fasthttp.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.bed.c.Fatalf("no host became ready")
}

// reportf records a violation. Only the first maxOfFormat of each format are kept.
func (c *clients) reportf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.formats[format]++
	if c.formats[format] <= maxOfFormat {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// startJobs submits a random job at every interval, cancels some of them, and
// watches for tasks that run on two workers.
func (c *clients) startJobs() {
	rng := rand.New(rand.NewPCG(c.seed, 2))
	c.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return nil
			case <-time.After(submitInterval):
			}
			j := &submittedJob{id: fmt.Sprintf("%08x%08x", rng.Uint32(), n), queue: []string{"quick", "batch"}[rng.IntN(2)], tasks: 1 + rng.IntN(4)}
			gang, ms, cancel, firstHost := rng.IntN(3) == 0, 200+rng.IntN(2500), rng.IntN(10) == 0, rng.IntN(len(c.bed.hosts))
			c.group.Go(func() error {
				c.submitJob(j, gang, ms, firstHost)
				if cancel {
					c.cancelJob(j, firstHost)
				}
				return nil
			})
		}
	})
	c.group.Go(func() error {
		for {
			select {
			case <-c.done:
				return nil
			case <-time.After(watchInterval):
			}
			for _, violation := range c.bed.duplicateRuns() {
				c.reportf("%s", violation)
			}
		}
	})
}

// submitJob tries the hosts in turn, beginning with firstHost, until one accepts
// the job.
func (c *clients) submitJob(j *submittedJob, gang bool, ms, firstHost int) {
	payload := fmt.Sprint(ms)
	if j.crashes {
		payload = crashPayload
	}
	body := map[string]any{"spec": payload, "steps": []any{map[string]any{
		"count": j.tasks, "cpu": 4000, "mem-mb": 1000, "gpu": 1, "est-runtime-ms": ms, "gang": gang,
	}}}
	for n := range maxAttempts {
		status := c.call(c.bed.hosts[(firstHost+n)%len(c.bed.hosts)], "POST", "/"+j.queue+"/"+j.id, body, nil)
		switch status {
		case fasthttp.StatusOK:
			j.accepted = true
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
		default:
			j.maybeAccepted = true
		}
		if j.accepted {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
}

// cancelJob cancels an accepted job and, after cancelGrace, notes how often its
// tasks have been started.
func (c *clients) cancelJob(j *submittedJob, firstHost int) {
	if !j.accepted {
		return
	}
	time.Sleep(200 * time.Millisecond)
	for n := range maxAttempts {
		if c.call(c.bed.hosts[(firstHost+n)%len(c.bed.hosts)], "DELETE", "/"+j.queue+"/"+j.id, nil, nil) == fasthttp.StatusOK {
			c.mu.Lock()
			j.cancelledAt = time.Now()
			c.mu.Unlock()
			break
		}
	}
	if j.cancelledAt.IsZero() {
		return
	}
	time.Sleep(cancelGrace)
	j.startsByGraceEnd = c.countStarts(j)
}

// countStarts counts the starts of all tasks of a job.
func (c *clients) countStarts(j *submittedJob) int {
	n := 0
	for i := range j.tasks {
		n += len(c.bed.startLog.Workers(yuccapaddle.TaskID{Job: j.id, Index: i}))
	}
	return n
}

func (c *clients) stop() {
	close(c.done)
	c.bed.c.Check(c.group.Wait(), qt.IsNil)
}

// jobState asks the hosts in turn for a job's state until one answers with 200,
// and returns the state and the last HTTP status.
func (c *clients) jobState(j *submittedJob) (string, int) {
	var out struct {
		State string `json:"state"`
	}
	status := 0
	for _, h := range c.bed.hosts {
		status = c.call(h, "GET", "/"+j.queue+"/"+j.id, nil, &out)
		if status == fasthttp.StatusOK {
			break
		}
	}
	return out.State, status
}

// awaitJobs waits until every accepted job has completed, or was canceled if
// its cancellation was acknowledged.
func (c *clients) awaitJobs(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, j := range c.jobs {
		if !j.accepted {
			continue
		}
		want := "completed"
		switch {
		case j.crashes:
			want = "failed"
		case !j.cancelledAt.IsZero():
			want = "canceled"
		}
		for {
			state, status := c.jobState(j)
			if state == want || state == "completed" && !j.crashes {
				break
			}
			if time.Now().After(deadline) {
				c.reportf("job %s of %s is %q (status %d) at the end, not %s", j.id, j.queue, state, status, want)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkJobs compares what the clients were told about jobs with the starts that
// the workers recorded.
func (c *clients) checkJobs() {
	accepted, refused := 0, 0
	for _, j := range c.jobs {
		switch {
		case j.accepted:
			accepted++
		case !j.maybeAccepted:
			refused++
			if n := c.countStarts(j); n > 0 {
				c.reportf("job %s was refused at every attempt, but its tasks were started %d times", j.id, n)
			}
		}
		if !j.cancelledAt.IsZero() && c.countStarts(j) > j.startsByGraceEnd {
			c.reportf("a task of job %s was started more than %v after the job was cancelled", j.id, cancelGrace)
		}
	}
	c.bed.c.Logf("%d jobs, %d accepted, %d refused", len(c.jobs), accepted, refused)
	c.bed.c.Check(c.violations, qt.HasLen, 0)
	c.bed.c.Check(accepted > 0, qt.IsTrue)
}
