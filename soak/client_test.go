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
	callTime    = 3 * time.Second
	submitEvery = 120 * time.Millisecond
	watchEvery  = 15 * time.Millisecond
	tries       = 4
	// cancelTime is how long after the acknowledged cancelling a task may still start.
	cancelTime = 3 * time.Second
)

// submitted is what a client knows of one job.
type submitted struct {
	id, queue  string
	tasks      int
	accepted   bool
	unknown    bool // a try may have been taken
	cancelled  time.Time
	startsThen int
}

// clients submit, cancel and ask over open connections at all hosts.
type clients struct {
	b        *bed
	seed     uint64
	client   *fasthttp.Client
	group    errgroup.Group
	done     chan struct{}
	mu       sync.Mutex
	jobs     []*submitted
	requests []*request
	faults   []string
}

func newClients(b *bed, seed uint64) *clients {
	return &clients{b: b, seed: seed, done: make(chan struct{}), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// call asks for a job and returns the status, 0 for no answer.
func (c *clients) call(h *host, method, path string, body any, out any) int {
	status, answer := c.send(method, "http://"+h.callers+path, body)
	if out != nil && status == fasthttp.StatusOK {
		c.b.c.Check(json.Unmarshal(answer, out), qt.IsNil)
	}
	return status
}

// send returns the status and the body of an answer, 0 for none.
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
		c.b.c.Check(err, qt.IsNil)
		req.SetBody(data)
	}
	if err := c.client.DoTimeout(req, res, callTime); err != nil {
		return 0, nil
	}
	return res.StatusCode(), bytes.Clone(res.Body())
}

func (c *clients) waitReady() {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		if c.call(c.b.hosts[0], "GET", "/batch/", nil, nil) == fasthttp.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.b.c.Fatalf("no host has become ready")
}

func (c *clients) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.faults) < 20 {
		c.faults = append(c.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (c *clients) start() {
	rng := rand.New(rand.NewPCG(c.seed, 2))
	c.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-c.done:
				return nil
			case <-time.After(submitEvery):
			}
			j := &submitted{id: fmt.Sprintf("%08x%08x", rng.Uint32(), n), queue: []string{"quick", "batch"}[rng.IntN(2)], tasks: 1 + rng.IntN(4)}
			gang, ms, cancel, first := rng.IntN(3) == 0, 200+rng.IntN(2500), rng.IntN(10) == 0, rng.IntN(len(c.b.hosts))
			c.group.Go(func() error {
				c.submit(j, gang, ms, first)
				if cancel {
					c.cancel(j, first)
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
			case <-time.After(watchEvery):
			}
			for _, text := range c.b.twice() {
				c.fault("%s", text)
			}
		}
	})
}

func (c *clients) submit(j *submitted, gang bool, ms, first int) {
	body := map[string]any{"spec": fmt.Sprint(ms), "steps": []any{map[string]any{
		"count": j.tasks, "cpu": 4000, "mem-mb": 1000, "gpu": 1, "est-runtime-ms": ms, "gang": gang,
	}}}
	for n := range tries {
		status := c.call(c.b.hosts[(first+n)%len(c.b.hosts)], "POST", "/"+j.queue+"/"+j.id, body, nil)
		switch status {
		case fasthttp.StatusOK:
			j.accepted = true
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
		default:
			j.unknown = true
		}
		if j.accepted {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
}

func (c *clients) cancel(j *submitted, first int) {
	if !j.accepted {
		return
	}
	time.Sleep(200 * time.Millisecond)
	for n := range tries {
		if c.call(c.b.hosts[(first+n)%len(c.b.hosts)], "DELETE", "/"+j.queue+"/"+j.id, nil, nil) == fasthttp.StatusOK {
			c.mu.Lock()
			j.cancelled = time.Now()
			c.mu.Unlock()
			break
		}
	}
	if j.cancelled.IsZero() {
		return
	}
	time.Sleep(cancelTime)
	j.startsThen = c.starts(j)
}

func (c *clients) starts(j *submitted) int {
	n := 0
	for i := range j.tasks {
		n += len(c.b.starts.Of(yuccapaddle.TaskID{Job: j.id, Index: i}))
	}
	return n
}

func (c *clients) stop() {
	close(c.done)
	c.b.c.Check(c.group.Wait(), qt.IsNil)
}

// state is what any host shows of a job.
func (c *clients) state(j *submitted) (string, int) {
	var out struct {
		State string `json:"state"`
	}
	status := 0
	for _, h := range c.b.hosts {
		status = c.call(h, "GET", "/"+j.queue+"/"+j.id, nil, &out)
		if status == fasthttp.StatusOK {
			break
		}
	}
	return out.State, status
}

// settle waits until every accepted job has ended.
func (c *clients) settle(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, j := range c.jobs {
		if !j.accepted {
			continue
		}
		want := "completed"
		if !j.cancelled.IsZero() {
			want = "canceled"
		}
		for {
			state, status := c.state(j)
			if state == want || state == "completed" {
				break
			}
			if time.Now().After(deadline) {
				c.fault("job %s of %s is %q (status %d) at the end, not %s", j.id, j.queue, state, status, want)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// check looks at what callers were told against what workers have seen.
func (c *clients) check() {
	accepted, refused := 0, 0
	for _, j := range c.jobs {
		switch {
		case j.accepted:
			accepted++
		case !j.unknown:
			refused++
			if n := c.starts(j); n > 0 {
				c.fault("job %s was refused at every try and its tasks were started %d times", j.id, n)
			}
		}
		if !j.cancelled.IsZero() && c.starts(j) > j.startsThen {
			c.fault("job %s was started %v after its cancelling", j.id, cancelTime)
		}
	}
	c.b.c.Logf("%d jobs, %d accepted, %d refused", len(c.jobs), accepted, refused)
	c.b.c.Check(c.faults, qt.HasLen, 0)
	c.b.c.Check(accepted > 0, qt.IsTrue)
}
