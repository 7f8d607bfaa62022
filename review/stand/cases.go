package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

func oneTask() step {
	return step{"count": 1, "cpu": 8000, "mem-mb": 1024, "gpu": 1, "est-runtime-ms": 8000}
}

func starts(job string) func(e *event) bool {
	return func(e *event) bool { return e.what == "start" && strings.HasPrefix(e.task, job+".") }
}

func failures(job string) func(e *event) bool {
	return func(e *event) bool {
		return e.what == "end" && e.detail == "failed" && strings.HasPrefix(e.task, job+".")
	}
}

// crashes lets two workers crash, one after the other, each while it runs the same job's only
// task.
func crashes(b *bed, trouble bool) (string, error) {
	job := newID()
	path := "/proofs/" + job
	if err := b.submit(path, jobBody("10000", oneTask())); err != nil {
		return "", err
	}
	for n := 1; trouble && n <= 2; n++ {
		list := b.waitEvents(n, 25*time.Second, starts(job))
		if len(list) < n {
			break // the job has not been started again
		}
		time.Sleep(1500 * time.Millisecond)
		b.crash(b.slotOf(list[n-1].worker), 2*time.Second)
	}
	until := time.Now().Add(50 * time.Second)
	for time.Now().Before(until) {
		status, state := b.state(0, path)
		switch {
		case status == http.StatusOK && state == "completed":
			return "", nil
		case status == http.StatusOK && (state == "failed" || state == "canceled"):
			n := len(b.find(failures(job)))
			return fmt.Sprintf("LOST: job %s is shown as %s, nobody has cancelled it, and %d of its runs have ended failed", job, state, n), nil
		}
		time.Sleep(time.Second)
	}
	return "", errors.New("the job has not ended in time")
}

// rename replaces a route by one of another name at the same host and prefix while a job of
// it runs.
func rename(b *bed, trouble bool) (string, error) {
	job := newID()
	path := "/proofs/" + job
	if err := b.submit(path, jobBody("40000", oneTask())); err != nil {
		return "", err
	}
	if len(b.waitEvents(1, 10*time.Second, starts(job))) == 0 {
		return "", errors.New("the job was not started")
	}
	time.Sleep(4 * time.Second) // visible-ms is 3,000
	if trouble {
		b.apply(route{"proofs-b", "/proofs/", 1, 3}, route{"other", "/other/", 2, 3})
	}
	time.Sleep(6 * time.Second) // config-apply-ms is 2,500
	gone, lasting := 0, b.running(job)
	for h := range hostCount {
		if status, _ := b.state(h, path); status == http.StatusGone {
			gone++
		}
	}
	status, _ := b.call(0, http.MethodDelete, path, nil, deadlineMS*time.Millisecond)
	time.Sleep(8 * time.Second) // cancel_ms and stop-timeout-ms are 3,400 together
	b.note("8 s after the answer %d to the DELETE the task runs: %t", status, b.running(job))
	if gone > 0 {
		return fmt.Sprintf("LOST: %d of %d hosts answer 410 for accepted job %s, whose task runs: %t; the DELETE got %d, and 8 s later the task runs: %t",
			gone, hostCount, job, lasting, status, b.running(job)), nil
	}
	return "", nil
}

// cancelPending has consumers hand jobs in, leave and cancel them while the store is slow.
func cancelPending(b *bed, trouble bool) (string, error) {
	done := make(chan struct{})
	var traffic sync.WaitGroup
	for h := range hostCount { // the usual traffic
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(400 * time.Millisecond):
					b.call(h, http.MethodPost, "/other/"+newID(), jobBody("500", oneTask()), deadlineMS*time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		b.note("trouble: the store is slow")
		b.store.setLatency(slowLatency)
	}
	acked := map[string]time.Time{}
	for i := range 9 {
		job := newID()
		path := "/proofs/" + job
		b.call(i%hostCount, http.MethodPost, path, jobBody("60000", oneTask()), 200*time.Millisecond)
		status, _ := b.call((i+1)%hostCount, http.MethodDelete, path, nil, deadlineMS*time.Millisecond)
		if status == http.StatusOK || status == http.StatusGone {
			acked[job] = time.Now()
		}
	}
	b.note("trouble: the store is as fast as before")
	b.store.setLatency(4 * time.Millisecond)
	close(done)
	traffic.Wait()
	time.Sleep(12 * time.Second)
	for job, at := range acked {
		if b.running(job) {
			_, state := b.state(0, "/proofs/"+job)
			return fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged %.1f s ago, and its task runs; the job is shown as %q", job, time.Since(at).Seconds(), state), nil
		}
	}
	return "", nil
}

// slowLatency is that of the store while it is slow: 94 times the usual one, as on a day of
// the site file.
const slowLatency = 376 * time.Millisecond

// attempts is max-attempts of the route proofs.
const attempts = 3

// budget removes a route while a job of it is at its first run; all its runs fail.
func budget(b *bed, trouble bool) (string, error) {
	job := newID()
	path := "/proofs/" + job
	if err := b.submit(path, jobBody("6000 fail", oneTask())); err != nil {
		return "", err
	}
	if len(b.waitEvents(1, 10*time.Second, starts(job))) == 0 {
		return "", errors.New("the job was not started")
	}
	time.Sleep(time.Second)
	if trouble {
		b.apply(route{"other", "/other/", 2, 3})
	}
	b.waitEvents(5, 45*time.Second, starts(job))
	begun := b.find(starts(job))
	noted := b.find(func(e *event) bool {
		return e.what == "noted" && e.detail == "failed" && e.run <= attempts && strings.HasPrefix(e.task, job+".")
	})
	if len(begun) > attempts && len(noted) == attempts {
		return fmt.Sprintf("BUDGET: %d starts of the task, runs 1 to 3 have ended failed, all taken note of, and max-attempts is 3", len(begun)), nil
	}
	return "", nil
}

// upkeepWave orders the upkeep of the machines on which the tasks of a step run of which one
// may be unavailable.
func upkeepWave(b *bed, trouble bool) (string, error) {
	job := newID()
	path := "/proofs/" + job
	s := step{"count": 4, "cpu": 32000, "mem-mb": 1024, "gpu": 8, "est-runtime-ms": 1000, "long-running": true, "may-miss": 1}
	if err := b.submit(path, jobBody("0", s)); err != nil {
		return "", err
	}
	list := b.waitEvents(4, 15*time.Second, starts(job))
	if len(list) < 4 {
		return "", errors.New("the tasks were not started")
	}
	time.Sleep(5 * time.Second)
	var machines []string
	for _, e := range list {
		machines = append(machines, b.slotOf(e.worker).machine)
	}
	if trouble {
		data, _ := json.Marshal(map[string]any{"wave": 7, "machines": machines, "duration-s": 40.0, "max-count": 2})
		b.store.put("op/wave/7", data)
		b.note("operator: wave 7 of %s, 40 s, max-count 2", strings.Join(machines, ", "))
	}
	until := time.Now().Add(50 * time.Second)
	for trouble && time.Now().Before(until) && !strings.Contains(string(b.store.get("status/wave/7")), "completed") {
		time.Sleep(200 * time.Millisecond)
	}
	if !trouble {
		time.Sleep(20 * time.Second)
	}
	b.note("status of the wave: %s", b.store.get("status/wave/7"))
	return b.missing(job), nil
}

// missing returns the first upkeep that has ended a task at work while as many others as
// may-miss, one, were away because of an earlier upkeep.
func (b *bed) missing(job string) string {
	b.mu.Lock()
	ordered := append([]upkeep{}, b.upkeeps...)
	b.mu.Unlock()
	tasks := b.find(starts(job))
	for i, u := range ordered {
		ended := ""
		for _, e := range tasks {
			if e.worker == u.worker && e.at.Add(startup).Before(u.at) {
				ended = e.task
			}
		}
		if ended == "" {
			continue
		}
		for _, earlier := range ordered[:i] {
			away := ""
			for _, e := range tasks {
				if e.worker == earlier.worker && e.at.Before(earlier.at) {
					away = e.task
				}
			}
			for _, e := range tasks {
				if e.task == away && e.at.After(earlier.at) && e.at.Add(startup).Before(u.at) {
					away = "" // it is at work again
				}
			}
			if away != "" && away != ended {
				return fmt.Sprintf("AVAIL: the upkeep of %s ends %s %.1f s after that of %s has ended %s, which is not at work yet; may-miss is 1",
					u.machine, ended, u.at.Sub(earlier.at).Seconds(), earlier.machine, away)
			}
		}
	}
	return ""
}

// frozen is how long the active host stands still.
const frozen = 4 * time.Second

// staleCancel freezes the active host. A job is accepted at another one, and its consumer's
// cancelling reaches the frozen host, which answers it when it wakes.
func staleCancel(b *bed, trouble bool) (string, error) {
	active := b.active()
	if active < 0 {
		return "", errors.New("no host is active")
	}
	process := b.hosts[active].cmd.Process
	begun := time.Now()
	if trouble {
		b.note("trouble: %s, the active host, stands still for %s", b.hosts[active].name, frozen)
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			return "", err
		}
		time.AfterFunc(frozen, func() {
			b.note("trouble: %s goes on", b.hosts[active].name)
			_ = process.Signal(syscall.SIGCONT)
		})
	}
	job := newID()
	path := "/proofs/" + job
	accepted := false
	for n := 1; !accepted && time.Since(begun) < frozen-time.Second; n++ {
		status, _ := b.call((active+1+n%2)%hostCount, http.MethodPost, path, jobBody("60000", oneTask()), deadlineMS*time.Millisecond)
		accepted = status == http.StatusOK
	}
	if !accepted {
		return "", errors.New("the job was not accepted")
	}
	b.waitEvents(1, time.Second, starts(job))
	status, _ := b.call(active, http.MethodDelete, path, nil, deadlineMS*time.Millisecond)
	at := time.Now()
	time.Sleep(12 * time.Second)
	_, state := b.state((active+1)%hostCount, path)
	if (status == http.StatusOK || status == http.StatusGone) && b.running(job) {
		return fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged with %d %.1f s ago, and its task runs; the job is shown as %q", job, status, time.Since(at).Seconds(), state), nil
	}
	return "", nil
}

const (
	// finish is finish_s, and idle the 3 s for which a job may have nothing running.
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// oneRack is the rack of the first machines.
	oneRack = "rack-1"
)

// waveAgain kills the active host some time after a wave of maintenance is completed, and
// hands in a job that needs the rack of the wave.
func waveAgain(b *bed, trouble bool) (string, error) {
	var machines []string
	for _, s := range b.slots {
		if s.rack == oneRack {
			machines = append(machines, s.machine)
		}
	}
	data, _ := json.Marshal(map[string]any{"wave": 7, "machines": machines, "duration-s": 90.0, "max-count": len(machines)})
	b.store.put("op/wave/7", data)
	b.note("operator: wave 7 of %s, 90 s, max-count %d", strings.Join(machines, ", "), len(machines))
	until := time.Now().Add(30 * time.Second)
	for !strings.Contains(string(b.store.get("status/wave/7")), "completed") {
		if time.Now().After(until) {
			return "", errors.New("the wave is not completed")
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.note("the wave is completed")
	lasting := newID()
	tasks := step{"count": len(machines), "cpu": 4000, "mem-mb": 1024, "gpu": 1, "est-runtime-ms": 1000, "long-running": true, "max-per-server": 1, "required-label": oneRack}
	if err := b.submit("/proofs/"+lasting, jobBody("0", tasks)); err != nil {
		return "", err
	}
	if len(b.waitEvents(len(machines), 15*time.Second, starts(lasting))) < len(machines) {
		return "", errors.New("the tasks that last were not started")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b.kill(b.hosts[max(b.active(), 0)]) // the active host
	}
	time.Sleep(5 * time.Second) // contact-ms is 3,000
	job := newID()
	s := oneTask()
	s["required-label"] = oneRack
	if err := b.submit("/proofs/"+job, jobBody("2000", s)); err != nil {
		return "", err
	}
	b.waitEvents(1, finish+idle, starts(job))
	if len(b.find(starts(job))) > 0 {
		return "", nil
	}
	found := fmt.Sprintf("LOST: job %s has had nothing running for %s since it was accepted, and its rack has room for 56 such tasks; the wave is shown as %s",
		job, finish+idle, b.store.get("status/wave/7"))
	b.waitEvents(1, 25*time.Second, starts(job))
	b.note("25 s later the job has been started: %t", len(b.find(starts(job))) > 0)
	return found, nil
}

// active returns the index of the active host, -1 if there is none.
func (b *bed) active() int {
	for i, h := range b.hosts {
		if string(b.store.get("yp/lock")) == h.peers {
			return i
		}
	}
	return -1
}

// afterRun is how long after its last run a task that lasts may have none, before idle counts.
const afterRun = 6 * time.Second

// lastingTask runs a task that lasts, of a kind of worker of which there are two, and that
// fails in its first two runs.
func lastingTask(b *bed, trouble bool) (string, error) {
	job := newID()
	s := step{"count": 1, "cpu": 8000, "mem-mb": 1024, "gpu": 1, "est-runtime-ms": 1000, "long-running": true, "required-label": "b"}
	spec := "0"
	if trouble {
		spec = "4000 twice"
	}
	if err := b.submit("/proofs/"+job, jobBody(spec, s)); err != nil {
		return "", err
	}
	if len(b.waitEvents(1, 10*time.Second, starts(job))) == 0 {
		return "", errors.New("the task was not started")
	}
	if !trouble {
		time.Sleep(15 * time.Second)
		if !b.running(job) {
			return "", errors.New("the task does not last")
		}
		return "", nil
	}
	if len(b.waitEvents(2, 30*time.Second, failures(job))) < 2 {
		return "", errors.New("the task has not failed twice")
	}
	failed := b.find(failures(job))
	again := b.waitEvents(3, 40*time.Second, starts(job))
	gap := time.Since(failed[1].at)
	if len(again) > 2 {
		gap = again[2].at.Sub(failed[1].at)
	}
	if gap > afterRun+idle {
		return fmt.Sprintf("LOST: a task that lasts has had no run for %.1f s after its last one, and two workers that may run it had nothing to do", gap.Seconds()), nil
	}
	return "", nil
}
