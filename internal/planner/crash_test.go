package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

const badJob = "bad"

// trustTime is how long a suspect has to run before it is none any more.
const trustTime = 3 * time.Second

// badTask is the task of a job with one task that crashes its workers.
var badTask = yuccapaddle.TaskID{Job: badJob}

// returns are the ways in which a crashed worker is registered again.
var returns = map[string]comeback{"other ID": backAsOther, "same ID": backAsSame}

// shortTask is a step of one task that takes one accelerator for two seconds.
var shortTask = yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 2000}

// submitBad submits a job whose tasks crash their workers.
func (cl *cluster) submitBad(id string, s yuccapaddle.Step) {
	cl.crashing[id] = true
	cl.submit(id, queueBatch, s)
}

// fill submits jobs of one long task each and returns their IDs.
func (cl *cluster) fill(tasks int) []string {
	ids := make([]string, tasks)
	for i := range ids {
		ids[i] = fmt.Sprintf("n%03d", i)
		cl.submit(ids[i], queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 20000})
	}
	return ids
}

// checkCompleted checks that the jobs complete within the time.
func (cl *cluster) checkCompleted(within time.Duration, ids ...string) {
	for until := cl.now.Add(within); cl.now.Before(until); {
		cl.play(100 * time.Millisecond)
	}
	for _, id := range ids {
		report := cl.report(id)
		cl.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted, qt.Commentf("%s: %s", id, report.Reason))
	}
}

// TestCrashingTask checks that a task under which its workers crash is given up when the
// second one has crashed while nothing else ran there, however the workers come back.
func TestCrashingTask(t *testing.T) {
	for name, how := range returns {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, 2*perRack)
			cl.comeback = how
			cl.submitBad(badJob, shortTask)
			report := cl.playUntilFinal(badJob, time.Minute)
			cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
			cl.c.Check(report.Reason, qt.Equals, "2 workers have crashed under task bad.0.0.0, the last while nothing else ran there")
			cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
		})
	}
}

// TestCrashedForGood checks that a worker that does not come back counts as crashed in the
// end, but proves nothing: it may be cut off and live.
func TestCrashedForGood(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.comeback = backNever
	cl.submitBad(badJob, shortTask)
	report := cl.playUntilFinal(badJob, 2*time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(report.Reason, qt.Equals, "3 workers have crashed under task bad.0.0.0")
	cl.c.Check(len(cl.crashed) <= 8, qt.IsTrue, qt.Commentf("%d workers were lost", len(cl.crashed)))
}

// TestSilentNotCrashed checks that workers that are cut off, and answer again with the
// incarnation they had, do not count as crashed.
func TestSilentNotCrashed(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
	task := yuccapaddle.TaskID{Job: "a"}
	for n := 1; n <= 5; n++ {
		cl.play(time.Second)
		cl.c.Assert(cl.startedOn[task], qt.HasLen, n)
		cl.crash(cl.startedOn[task][n-1], backSurvived)
		cl.play(leaseTime + 3*time.Second)
	}
	cl.checkCompleted(20*time.Second, "a")
}

// TestLeavingNotCrashed checks that workers that were draining, or were taken down for
// maintenance, do not count as crashed.
func TestLeavingNotCrashed(t *testing.T) {
	leave := map[string]func(cl *cluster, id string){
		"draining": func(cl *cluster, id string) {
			w := cl.registered[id]
			w.Draining = true
			cl.registered[id] = w
			cl.register()
		},
		"maintenance": func(cl *cluster, id string) { cl.p.SetMaintenance(id, true) },
		"short maintenance": func(cl *cluster, id string) {
			cl.p.SetMaintenance(id, true)
			cl.after(absence+time.Second, func() { cl.p.SetMaintenance(id, false) })
		},
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, 2*perRack)
			cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
			task := yuccapaddle.TaskID{Job: "a"}
			for n := 1; n <= 4; n++ {
				cl.play(time.Second)
				cl.c.Assert(cl.startedOn[task], qt.HasLen, n)
				id := cl.startedOn[task][n-1]
				f(cl, id)
				cl.play(200 * time.Millisecond)
				cl.crash(id, backAsOther)
				cl.play(leaseTime + 3*time.Second)
			}
			cl.checkCompleted(20*time.Second, "a")
		})
	}
}

// TestRackNotCrashed checks that workers lost with all others of their rack or failure
// domain do not count as crashed under their tasks, and that they do if others live on: six
// such losses, each some seconds after the start, are too many.
func TestRackNotCrashed(t *testing.T) {
	tests := []struct {
		name     string
		spare    int // workers of the rack that live on
		byDomain bool
		state    yuccapaddle.JobState
	}{
		{"whole rack", 0, false, yuccapaddle.JobCompleted},
		{"whole failure domain", 0, true, yuccapaddle.JobCompleted},
		{"one lives on", 1, false, yuccapaddle.JobFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 3*perRack)
			if tt.byDomain {
				cl.oneRackEach()
			}
			cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
			task := yuccapaddle.TaskID{Job: "a"}
			for n := 1; n <= 7 && !cl.report("a").State.Final(); n++ {
				cl.play(time.Second)
				cl.c.Assert(cl.startedOn[task], qt.HasLen, n)
				cl.crashPlace(cl.startedOn[task][n-1], tt.spare, tt.byDomain)
				cl.play(leaseTime + 3*time.Second)
			}
			report := cl.playUntilFinal("a", 20*time.Second)
			cl.c.Check(report.State, qt.Equals, tt.state, qt.Commentf("%s", report.Reason))
		})
	}
}

// oneRackEach puts each worker into a rack of its own, and each eight into a failure
// domain.
func (cl *cluster) oneRackEach() {
	for i, id := range workerIDs(len(cl.registered)) {
		w := cl.registered[id]
		w.Rack, w.Domain = fmt.Sprint("r", i), fmt.Sprint("d", i/perRack)
		cl.registered[id] = w
	}
	cl.register()
}

// crashPlace crashes a worker and all but some others of its rack, or of its failure domain.
func (cl *cluster) crashPlace(id string, spare int, domain bool) {
	first := cl.registered[id]
	for _, other := range cl.sortedWorkers() {
		w := cl.registered[other]
		if other == id || w.Domain != first.Domain || !domain && w.Rack != first.Rack {
			continue
		}
		if spare > 0 {
			spare--
			continue
		}
		cl.crash(other, backAsOther)
	}
	cl.crash(id, backAsOther)
}

func (cl *cluster) sortedWorkers() []string {
	var list []string
	for id := range cl.registered {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// TestNeighbours checks that only the task to blame is given up, and not the single tasks
// and the gang that ran beside it; and that it takes no more than three workers with it.
func TestNeighbours(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	innocent := cl.fill(12 * gpus)
	cl.submit("gang", queueBatch, yuccapaddle.Step{Count: 4, Gang: true, Need: oneGPUTask, Estimate: 12000})
	cl.submitBad(badJob, shortTask)
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(len(cl.crashed) <= 3, qt.IsTrue, qt.Commentf("crashed: %v", cl.crashed))
	cl.checkCompleted(2*time.Minute, append(innocent, "gang")...)
}

// TestFullCluster checks the same on a cluster without an empty worker, where the task has
// to be placed beside others.
func TestFullCluster(t *testing.T) {
	cl := newCluster(t, perRack)
	innocent := cl.fill(perRack*gpus - 1)
	cl.submitBad(badJob, shortTask)
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(len(cl.crashed) <= 3, qt.IsTrue, qt.Commentf("crashed: %v", cl.crashed))
	cl.checkCompleted(3*time.Minute, innocent...)
}

// TestSeveralCrashingTasks checks that several such tasks at once are all given up, and
// nothing else is.
func TestSeveralCrashingTasks(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	innocent := cl.fill(14 * gpus)
	bad := []string{"bad0", "bad1", "bad2", "bad3"}
	for _, id := range bad {
		cl.submitBad(id, shortTask)
	}
	cl.play(time.Minute)
	for _, id := range bad {
		cl.c.Check(cl.report(id).State, qt.Equals, yuccapaddle.JobFailed)
		task := yuccapaddle.TaskID{Job: id}
		cl.c.Check(len(cl.startedOn[task]) <= 4, qt.IsTrue, qt.Commentf("%s started on %v", id, cl.startedOn[task]))
	}
	cl.checkCompleted(2*time.Minute, innocent...)
}

// TestCrashingGang checks that a gang that crashes the workers of all its members at once
// counts one crash for each of its runs, although it fills its rack.
func TestCrashingGang(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submitBad(badJob, yuccapaddle.Step{Count: perRack, Gang: true, OneRack: true, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 2000})
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
	cl.c.Check(cl.crashed, qt.HasLen, 2*perRack)
}

// TestStaggeredLeases checks the same for a gang of which the workers' leases end one after
// the other, so that a part of its losses is judged before the others are known.
func TestStaggeredLeases(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.leaseStep = 100 * time.Millisecond
	cl.submitBad(badJob, yuccapaddle.Step{Count: perRack, Gang: true, OneRack: true, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 2000})
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
}

// TestUnluckyGang checks that a wide gang is not given up since the workers of its tasks
// crash now and then: each time under another task.
func TestUnluckyGang(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	const width = 6
	cl.submit("gang", queueBatch, yuccapaddle.Step{Count: width, Gang: true, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 12000})
	for member := range width {
		cl.play(time.Second)
		on := cl.startedOn[yuccapaddle.TaskID{Job: "gang", Index: member}]
		cl.c.Assert(on, qt.HasLen, member+1)
		cl.crash(on[member], backAsOther)
		cl.play(leaseTime + 3*time.Second)
	}
	cl.checkCompleted(30*time.Second, "gang")
}

// TestCrashKinds checks that tasks of all kinds are given up, and that the other tasks of
// their jobs stop.
func TestCrashKinds(t *testing.T) {
	one := yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 2000}
	endless, checkpointing := one, one
	endless.Endless, checkpointing.WritesCheckpoints = true, true
	long := yuccapaddle.Step{Count: 5, Need: oneGPUTask, Estimate: 60000, Label: "r0"}
	first := yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 100}
	then := one
	then.After = []int{0}
	jobs := map[string]yuccapaddle.Job{
		"endless":      {Steps: []yuccapaddle.Step{endless}},
		"checkpoints":  {Steps: []yuccapaddle.Step{checkpointing}},
		"steps":        {Steps: []yuccapaddle.Step{first, long, then}},
		"occurrences":  {Steps: []yuccapaddle.Step{one}, First: 1000_000, Every: 60_000, Times: 3},
		"another step": {Steps: []yuccapaddle.Step{long, one}},
	}
	for name, j := range jobs {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, 3*perRack)
			j.ID, j.Queue, j.Service, j.Payload = badJob, queueBatch, "svc", "60000"
			last := len(j.Steps) - 1
			cl.crashingStep = &last
			cl.crashing[badJob] = true
			cl.p.Submit(&j)
			if name == "steps" {
				cl.play(time.Second)
				cl.endRun(yuccapaddle.TaskID{Job: badJob})
			}
			report := cl.playUntilFinal(badJob, time.Minute)
			cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
			cl.c.Check(report.Reason, qt.Matches, `2 workers have crashed under task bad\.0\.\d\.0.*`)
			cl.play(time.Second)
			cl.c.Check(cl.runs, qt.HasLen, 0)
			starts := len(cl.startedOn[yuccapaddle.TaskID{Job: badJob, Step: last}])
			cl.play(10 * time.Second)
			cl.c.Check(cl.startedOn[yuccapaddle.TaskID{Job: badJob, Step: last}], qt.HasLen, starts)
		})
	}
}

// endRun lets the task's present run end as done.
func (cl *cluster) endRun(task yuccapaddle.TaskID) {
	r, ok := cl.runs[task]
	cl.c.Assert(ok, qt.IsTrue)
	r.endsAt = cl.now
	cl.runs[task] = r
}

// TestCrashOnce checks that a job that may run only once fails after the first crash.
func TestCrashOnce(t *testing.T) {
	cl := newCluster(t, perRack)
	cl.crashing["once"] = true
	cl.p.Submit(&yuccapaddle.Job{ID: "once", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{shortTask}, Payload: "2000", Once: true})
	report := cl.playUntilFinal("once", time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(report.MayHaveRun, qt.IsTrue)
	cl.c.Check(cl.crashed, qt.HasLen, 1)
}

// TestCrashesSurviveTakeover checks that a change of the active host neither forgets a
// crash nor counts one twice, whenever it happens.
func TestCrashesSurviveTakeover(t *testing.T) {
	takeOvers := map[string]time.Duration{ // after the first crash
		"at once":                    stepTime,
		"before the worker is back":  2 * time.Second,
		"after the worker is back":   absence + time.Second,
		"when the loss is committed": leaseTime + 2*stepTime,
		"after the next placement":   leaseTime + time.Second,
	}
	for name, delay := range takeOvers {
		for back, how := range returns {
			for _, half := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, last batch lost %t", name, back, half), func(t *testing.T) {
					cl := newCluster(t, 2*perRack)
					cl.comeback = how
					cl.submitBad(badJob, shortTask)
					cl.waitForCrashes(1)
					cl.play(delay)
					if half { // what the host decides last is not committed
						cl.p.SetTime(cl.now, cl.now)
						cl.doDue()
						cl.p.Plan()
					}
					cl.takeOver()
					report := cl.playUntilFinal(badJob, time.Minute)
					cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
					cl.c.Check(report.Reason, qt.Matches, "2 workers have crashed under task bad.0.0.0.*")
					cl.c.Check(cl.crashed, qt.HasLen, 2)
				})
			}
		}
	}
}

// TestFormerRecords checks that records of the version before are read: their runs are not
// counted as crashes, since they lack the incarnation, and later ones are.
func TestFormerRecords(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	job := []byte(`{"id":"bad","q":"batch","v":"svc","p":"2000","t":[{"n":1,"d":{"g":1},"e":2000}]}`)
	part := []byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)
	cl.records[badJob] = &yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"running","o":1}`)}
	cl.parts[badJob] = map[int][]byte{0: part}
	cl.crashing[badJob] = true
	cl.takeOver()
	cl.crash("w00", backAsOther)
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
}

// TestOddDrainForgotten guards against crashes that do not count any more at a worker under
// whose ID another writer has once registered that a later incarnation drains.
func TestOddDrainForgotten(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	for id, w := range cl.registered {
		sound := w
		w.Incarnation, w.Draining = w.Incarnation+3_600_000_000_000, true
		cl.registered[id] = w
		cl.register()
		cl.registered[id] = sound
	}
	cl.register()
	for id := range cl.registered {
		cl.answer(id)
	}
	cl.submitBad(badJob, shortTask)
	report := cl.playUntilFinal(badJob, time.Minute)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
}
