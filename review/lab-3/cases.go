package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["crash"] = crash
	cases["avoid"] = avoid
	cases["long"] = long
	cases["upkeep"] = upkeep
	cases["gang"] = preempt
	cases["rack"] = rack
	cases["wide"] = wide
	cases["takeover"] = takeover
	cases["hosts"] = hostsLost
}

// deployment returns workers in three zones, some of them of kind b, 8 a rack.
func deployment(n, special int) []workerPlan {
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	var list []workerPlan
	for i := range n {
		kind := "a"
		if i%8 == 0 && i/8 < special {
			kind = "b"
		}
		list = append(list, workerPlan{zones[i/8%3], kind, fmt.Sprintf("r%d-1", 1+i/8)})
	}
	return list
}

// downTime is how long a worker that has crashed is down, see srv_crash.
const downTime = 4500 * time.Millisecond

// crash: the worker of a lasting task crashes one second after each of three starts.
func crash(l *lab, trouble bool) (bool, error) {
	const job, most = "aa00000000000001", 3
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	crashes, lastBack := 0, time.Now()
	l.mu.Lock()
	l.onStart = func(w *worker, r *run) {
		time.Sleep(time.Second)
		l.mu.Lock()
		crashes++
		late := crashes > most
		l.mu.Unlock()
		if late || !trouble {
			return
		}
		l.record("crash", w.id(), "under "+r.task, r.number)
		w.crash()
		time.Sleep(downTime)
		if err := w.start(); err != nil {
			l.say("%v", err)
		}
		l.mu.Lock()
		lastBack = time.Now()
		l.mu.Unlock()
	}
	l.mu.Unlock()
	if err := l.submit("proofs", job, spec{Lasts: true}, map[string]any{
		"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "long-running": true,
	}); err != nil {
		return false, err
	}
	waitFor(40*time.Second, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return crashes >= most || !trouble })
	time.Sleep(downTime)
	l.mu.Lock()
	calmFrom := lastBack
	l.mu.Unlock()
	idle := l.idle(job, calmFrom.Add(calmTime), restartTime, 30*time.Second)
	state := l.state("proofs", job)
	l.say("job %s is shown as %q; its task has ended failed %d times", job, state, l.ends(job, "failed"))
	return idle || state == "failed" && l.ends(job, "failed") == 0, nil
}

// Spans of the rule LOST: nothing of a job runs for idleTime; for a task that lasts from
// restartTime after its last run, with calmTime before; for other jobs from finishTime after the
// end of the traffic.
const (
	idleTime    = 3 * time.Second
	calmTime    = 4 * time.Second
	restartTime = 6 * time.Second
	finishTime  = 14 * time.Second // finish_s
)

// idle watches a job, and reports whether for idleTime nothing of it ran. A span counts from a
// time, and from grace after its begin.
func (l *lab) idle(job string, from time.Time, grace, watch time.Duration) bool {
	broken := false
	for _, s := range l.idleSpans(job, l.tasks(job), watch) {
		counts := s.from.Add(grace)
		if from.After(counts) {
			counts = from
		}
		counted := max(s.to.Sub(counts), 0)
		l.say("nothing of job %s ran for %.2f s, from %.2f to %.2f; %.2f s of it count", job, s.length().Seconds(),
			s.from.Sub(l.begun).Seconds(), s.to.Sub(l.begun).Seconds(), counted.Seconds())
		broken = broken || counted >= idleTime
	}
	return broken
}

// avoid: the three workers with the label that a lasting task requires fail what they start, for
// 6.5 s.
func avoid(l *lab, trouble bool) (bool, error) {
	const job = "bb00000000000001"
	if err := l.setUp(deployment(24, 3), 3); err != nil {
		return false, err
	}
	if trouble {
		l.fail(true)
		time.AfterFunc(6500*time.Millisecond, func() { l.fail(false) })
	}
	calmFrom := time.Now().Add(6500 * time.Millisecond)
	if err := l.submit("proofs", job, spec{Lasts: true}, map[string]any{
		"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "long-running": true, "required-label": "b",
	}); err != nil {
		return false, err
	}
	return l.idle(job, calmFrom.Add(calmTime), restartTime, 45*time.Second), nil
}

// fail has the workers of kind b fail all that they start, or not.
func (l *lab) fail(failing bool) {
	for _, w := range l.workers {
		if w.labels[0] == "b" {
			w.mu.Lock()
			w.failing = failing
			l.record("grey", w.id(), fmt.Sprint(failing), 0)
			w.mu.Unlock()
		}
	}
}

// long: a task takes ten minutes.
func long(l *lab, trouble bool) (bool, error) {
	const job = "cc00000000000001"
	if err := l.setUp(deployment(24, 3), 3); err != nil {
		return false, err
	}
	ms := int64(600_000)
	if !trouble {
		ms = 60_000
	}
	if err := l.submit("proofs", job, spec{MS: ms}, map[string]any{
		"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "est-runtime-ms": ms, "required-label": "b",
	}); err != nil {
		return false, err
	}
	broken := l.idle(job, time.Now().Add(finishTime), 0, 80*time.Second)
	l.say("its tasks were stopped %d times; it is shown as %q", l.ends(job, "stopped"), l.state("proofs", job))
	return broken, nil
}

// upkeep: two machines of a wave, of which two may be down at once, hold the two tasks of a step of
// which one may be missing.
func upkeep(l *lab, trouble bool) (bool, error) {
	const job = "dd00000000000001"
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	if err := l.submit("proofs", job, spec{Lasts: true}, map[string]any{
		"count": 2, "cpu": 16000, "mem-mb": 16384, "gpu": 8, "long-running": true, "may-miss": 1,
	}); err != nil {
		return false, err
	}
	if !waitFor(15*time.Second, func() bool { return l.atWork(job) == 2 }) {
		return false, fmt.Errorf("the tasks are not at work")
	}
	broken := l.watchEnds(job)
	if trouble {
		var machines []string
		for _, w := range l.where(job) {
			machines = append(machines, w.machine)
			l.cloud.wave[w.machine] = true
		}
		l.say("a wave of the machines %v", machines)
		l.store.put("op/wave/1", map[string]any{"wave": 1, "machines": machines, "duration-s": 20, "max-count": 2})
	}
	time.Sleep(40 * time.Second)
	l.say("status/wave/1 is %s", l.store.get("status/wave/1"))
	return broken(), nil
}

// watchEnds notes when the last task of a job that is at work is ended by an upkeep.
func (l *lab) watchEnds(job string) func() bool {
	broken := false
	l.cloud.onDown = func(w *worker) {
		here := 0
		w.mu.Lock()
		for t, r := range w.runs {
			if t[:16] == job && r.percent() == 100 {
				here++
			}
		}
		w.mu.Unlock()
		all := l.atWork(job)
		l.say("an upkeep ends %d tasks at work on %s; %d of 2 were at work", here, w.machine, all)
		broken = broken || here > 0 && 2-all >= 1
	}
	return func() bool { return broken }
}

// preempt: an urgent gang takes the room of both tasks of a step of which one may be missing.
func preempt(l *lab, trouble bool) (bool, error) {
	const job, urgent = "ee00000000000001", "ee00000000000002"
	if err := l.setUp(deployment(8, 0), 3); err != nil {
		return false, err
	}
	if err := l.submit("proofs", job, spec{Lasts: true}, map[string]any{
		"count": 8, "cpu": 16000, "mem-mb": 16384, "gpu": 8, "long-running": true, "may-miss": 1,
	}); err != nil {
		return false, err
	}
	if !waitFor(15*time.Second, func() bool { return l.atWork(job) == 8 }) {
		return false, fmt.Errorf("the tasks are not at work")
	}
	width := 2
	if !trouble {
		width = 1
	}
	if err := l.submit("urgent", urgent, spec{MS: 3000, Gang: width}, map[string]any{
		"count": width, "cpu": 16000, "mem-mb": 16384, "gpu": 8, "est-runtime-ms": 3000, "gang": true,
	}); err != nil {
		return false, err
	}
	least := 8
	waitFor(10*time.Second, func() bool { least = min(least, l.atWork(job)); return false })
	l.say("at least %d of 8 tasks were at work; 1 may be missing; %d were stopped", least, l.ends(job, "stopped"))
	return l.ends(job, "stopped") > 1 && least < 7, nil
}

// rack: lasting tasks fill the rack that holds the data of a job.
func rack(l *lab, trouble bool) (bool, error) {
	const filler, job = "ff00000000000001", "ff00000000000002"
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	if trouble {
		if err := l.submit("proofs", filler, spec{Lasts: true}, map[string]any{
			"count": 8, "cpu": 16000, "mem-mb": 16384, "gpu": 8, "long-running": true, "affinity": "r1-1",
		}); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
	}
	if err := l.submit("proofs", job, spec{MS: 40000}, map[string]any{
		"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "est-runtime-ms": 40000, "affinity": "r1-1",
	}); err != nil {
		return false, err
	}
	return l.idle(job, time.Now().Add(finishTime), 0, 60*time.Second), nil
}

// wide: one job of gangs of which the placement takes more than value-bytes to store.
func wide(l *lab, trouble bool) (bool, error) {
	const job, other = "ab00000000000001", "ab00000000000002"
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	l.store.onRefuse = func(why string) { l.record("store", "", "refuses a transaction: "+why, 0) }
	width := 4000
	if !trouble {
		width = 100
	}
	step := map[string]any{"count": width, "cpu": 10, "mem-mb": 1, "est-runtime-ms": 2000, "gang": true}
	if err := l.submit("proofs", job, spec{MS: 2000, Gang: width}, step, step, step, step); err != nil {
		l.say("%v", err)
	}
	time.Sleep(3 * time.Second)
	if err := l.submit("urgent", other, spec{MS: 2000}, map[string]any{"count": 1, "cpu": 10, "mem-mb": 1, "est-runtime-ms": 2000}); err != nil {
		l.say("%v", err)
	}
	broken := false
	for _, id := range []string{other, job} {
		broken = l.idle(id, time.Now().Add(finishTime), 0, 30*time.Second) || broken
	}
	l.say("the other job is shown as %q, the wide one as %q", l.state("urgent", other), l.state("proofs", job))
	l.say("the store has refused %d transactions", l.store.refused)
	return broken, nil
}

// active returns the host whose orders the workers have seen last: the one that holds the lock.
func (l *lab) active() *host {
	for _, h := range l.hosts {
		if strings.Contains(l.store.get("yp/head"), h.name) {
			return h
		}
	}
	return nil
}

// takeover: the active host is killed two seconds after the second step of a job has begun, and at
// the same moment the worker of that step is lost for good.
func takeover(l *lab, trouble bool) (bool, error) {
	const job = "ba00000000000001"
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "est-runtime-ms": 15000, "after": after}
	}
	if err := l.submit("proofs", job, spec{MS: 15000}, step(), step(0)); err != nil {
		return false, err
	}
	endOfTraffic := time.Now()
	if !waitFor(30*time.Second, func() bool { return l.where(job)[job+".0.1.0"] != nil }) {
		return false, fmt.Errorf("the second step has not begun")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		h := l.active()
		if h == nil {
			return false, fmt.Errorf("no host is active")
		}
		l.say("%s is killed", h.name)
		_ = h.cmd.Process.Kill()
		for _, w := range l.where(job) {
			l.record("crash", w.id(), "for good", 0)
			w.crash()
		}
		time.AfterFunc(time.Second, func() {
			if err := l.startHost(h); err != nil {
				l.say("%v", err)
			}
		})
	}
	l.say("finish_s after the end of the traffic is %.2f", endOfTraffic.Add(finishTime).Sub(l.begun).Seconds())
	return l.idle(job, time.Now().Add(leaseTime), 0, 40*time.Second), nil
}

// leaseTime is how long the run of a worker that is lost may go on for all that the system knows
// (hold-max-ms), with contact-ms for the loss of the host. The rule does not ask for it.
const leaseTime = 9 * time.Second

// hostsLost: two of three hosts, the active one among them, and the worker of a lasting task are
// lost for good.
func hostsLost(l *lab, trouble bool) (bool, error) {
	const job = "be00000000000001"
	if err := l.setUp(deployment(24, 0), 3); err != nil {
		return false, err
	}
	if err := l.submit("proofs", job, spec{Lasts: true}, map[string]any{
		"count": 1, "cpu": 16000, "mem-mb": 16384, "gpu": 4, "long-running": true,
	}); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	if trouble {
		active := l.active()
		if active == nil {
			return false, fmt.Errorf("no host is active")
		}
		lost := []*host{active}
		for _, h := range l.hosts {
			if h != active && len(lost) < 2 {
				lost = append(lost, h)
			}
		}
		for _, h := range lost {
			l.say("%s is removed for good", h.name)
			_ = h.cmd.Process.Kill()
		}
		for _, w := range l.where(job) {
			l.record("crash", w.id(), "for good", 0)
			w.crash()
		}
	}
	// The loss of the worker counts as a disruption for 6 s, longer than the site files have it.
	return l.idle(job, time.Now().Add(6*time.Second+calmTime), restartTime, 60*time.Second), nil
}
