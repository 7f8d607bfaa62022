package planner_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// submitGang submits a gang of two tasks, which may run only once if once is set, and
// returns its starts.
func (sim *simulation) submitGang(once bool, span yuccapaddle.Span) []yuccapaddle.RunStart {
	step := yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: span}
	sim.p.Submit(&yuccapaddle.Job{ID: "once", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{step}, Once: once})
	return sim.starts()
}

// starts plans and returns the starts that would be sent now.
func (sim *simulation) starts() []yuccapaddle.RunStart {
	sim.p.Plan()
	return slices.DeleteFunc(sim.p.TakeBatch().Starts, func(s yuccapaddle.RunStart) bool { return !sim.p.Startable(&s) })
}

// end reports to the planner that runs have ended on their workers.
func (sim *simulation) end(cause yuccapaddle.EndCause, runs ...yuccapaddle.RunStart) {
	for _, s := range runs {
		sim.endNumbers[s.Worker]++
		sim.p.HandlePollReply(s.Worker, &yuccapaddle.HoldReply{Incarnation: 1, Ended: []yuccapaddle.End{
			{Number: sim.endNumbers[s.Worker], Task: s.Task, Run: s.Run, Cause: cause},
		}}, sim.p.NextPoll())
	}
}

func (sim *simulation) onceReport() yuccapaddle.JobReport {
	report, _, ok := sim.p.Report("once")
	sim.c.Assert(ok, qt.IsTrue)
	return report
}

// TestOnce checks that a job which may run only once is placed again only if none of its
// tasks can have started.
func TestOnce(t *testing.T) {
	refusal := &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedCapacity}
	tests := []struct {
		name       string
		play       func(sim *simulation, starts []yuccapaddle.RunStart)
		state      yuccapaddle.JobState
		mayHaveRun bool
	}{
		{"refused", func(sim *simulation, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				sim.p.HandleStartReply(s.Worker, s.Task, s.Run, refusal)
			}
		}, yuccapaddle.JobQueued, false},
		{"one refused", func(sim *simulation, starts []yuccapaddle.RunStart) {
			sim.p.HandleStartReply(starts[0].Worker, starts[0].Task, starts[0].Run, nil)
			sim.p.HandleStartReply(starts[1].Worker, starts[1].Task, starts[1].Run, refusal)
			sim.end(yuccapaddle.EndStopped, starts[0])
		}, yuccapaddle.JobFailed, true},
		{"failed", func(sim *simulation, starts []yuccapaddle.RunStart) {
			sim.end(yuccapaddle.EndFailed, starts...)
		}, yuccapaddle.JobFailed, true},
		{"no answer, stop confirmed", func(sim *simulation, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				sim.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
			}
			sim.c.Check(sim.starts(), qt.HasLen, 0, qt.Commentf("a second start could reach the worker after a restart and run the task twice"))
			for _, s := range starts {
				sim.c.Check(sim.p.HandleStopConfirmed(s.Worker, s.Task, s.Run), qt.IsTrue)
				sim.p.HandlePollReply(s.Worker, &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
			}
		}, yuccapaddle.JobFailed, true},
		{"no answer, lease over", func(sim *simulation, starts []yuccapaddle.RunStart) {
			for _, s := range starts {
				sim.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
				sim.p.HandleLeaseExpiry(s.Worker)
			}
		}, yuccapaddle.JobFailed, true},
		{"done", func(sim *simulation, starts []yuccapaddle.RunStart) {
			sim.end(yuccapaddle.EndDone, starts...)
		}, yuccapaddle.JobCompleted, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 4)
			starts := sim.submitGang(true, "")
			sim.c.Assert(starts, qt.HasLen, 2)
			tt.play(sim, starts)
			sim.now = sim.now.Add(time.Second)
			sim.p.SetTime(sim.now, sim.now)
			again := len(sim.starts())
			report := sim.onceReport()
			sim.c.Check(report.State, qt.Equals, tt.state, qt.Commentf("%s", report.Reason))
			sim.c.Check(again > 0, qt.Equals, !tt.state.Final())
			if tt.state.Final() {
				sim.c.Check(report.MayHaveRun, qt.Equals, tt.mayHaveRun)
			}
		})
	}
}

// TestOnceAfterTakeover guards against a second run of a job that may run only once: the
// host fails after it has committed the end of the run and before it commits the end of
// the job.
func TestOnceAfterTakeover(t *testing.T) {
	sim := newSimulation(t, 4)
	job, state := []byte(`{"id":"once","q":"batch","v":"svc","once":true,"t":[{"n":1,"d":{"g":1}}]}`), []byte(`{"s":"running","o":1}`)
	sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: state, Parts: [][]byte{[]byte(`[{"r":1,"b":true}]`)}}), qt.IsNil)
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	sim.c.Check(sim.onceReport().State, qt.Equals, yuccapaddle.JobFailed)
}

// TestSpan checks that a gang stays within the span given by its caller, also when other
// tasks are preempted for it, and waits if no location can hold it.
func TestSpan(t *testing.T) {
	locationOf := map[yuccapaddle.Span]func(w *yuccapaddle.Worker) string{
		yuccapaddle.SpanWorker: func(w *yuccapaddle.Worker) string { return w.ID },
		yuccapaddle.SpanRack:   func(w *yuccapaddle.Worker) string { return w.Rack },
	}
	for span, location := range locationOf {
		t.Run(string(span), func(t *testing.T) {
			sim := newSimulation(t, 2*perRack)
			// Single tasks leave five accelerators free on each worker.
			for i := range 2 * perRack {
				sim.submit(string(rune('a'+i)), queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 40000, GPU: 3}, Estimate: 60000})
			}
			sim.advance(100 * time.Millisecond)
			step := yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: span, Estimate: 5000}
			sim.submit("gang", queueQuick, step)
			sim.advance(time.Second)
			locations := map[string]bool{}
			for task, r := range sim.runs {
				if task.Job == "gang" {
					w, _ := sim.p.Worker(r.worker)
					locations[location(&w)] = true
				}
			}
			sim.c.Check(locations, qt.HasLen, 1)
		})
	}
	sim := newSimulation(t, 2)
	sim.submit("wide", queueBatch, yuccapaddle.Step{Count: 3, Need: yuccapaddle.Need{GPU: 4}, Gang: true, Span: yuccapaddle.SpanWorker})
	sim.advance(time.Second)
	report, _, _ := sim.p.Report("wide")
	sim.c.Check(report.State, qt.Equals, yuccapaddle.JobQueued)
	view := sim.p.View("wide")
	sim.c.Check(view.Steps[0].Waits, qt.Equals, "for room on one worker: 3 tasks of 0 cpu, 0 MB, 4 gpu: 2 of 2 suited workers get new work")
}

// TestInfeasible checks that a job which the empty cluster could not hold is
// distinguished from one that only has to wait.
func TestInfeasible(t *testing.T) {
	sim := newSimulation(t, 2)
	ask := func(count int, span yuccapaddle.Span, need yuccapaddle.Need) string {
		step := yuccapaddle.Step{Count: count, Need: need, Gang: true, Span: span}
		return sim.p.Infeasible(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Steps: []yuccapaddle.Step{step}})
	}
	sim.submit("full", queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 8}, Estimate: 60000})
	sim.advance(time.Second)
	sim.c.Check(ask(2, "", yuccapaddle.Need{GPU: 8}), qt.Equals, "")
	sim.c.Check(ask(2, yuccapaddle.SpanWorker, yuccapaddle.Need{GPU: 8}), qt.Equals,
		"for room on one worker: 2 tasks of 0 cpu, 0 MB, 8 gpu; the registered workers hold 1 such tasks")
	sim.c.Check(ask(3, "", yuccapaddle.Need{GPU: 8}), qt.Not(qt.Equals), "")
	sim.c.Check(ask(1, "", yuccapaddle.Need{GPU: 9}), qt.Not(qt.Equals), "")
	empty := newSimulation(t, 0)
	sim.c.Check(empty.p.Infeasible(&yuccapaddle.Job{ID: "j", Steps: []yuccapaddle.Step{{Count: 1}}}), qt.Equals, "", qt.Commentf("no worker is known yet"))
}

// TestOvertakenList guards against ending a run because of an overtaken reply: the reply
// to the later of two polls lists the run and arrives first; the reply to the earlier
// one was made before the run started.
func TestOvertakenList(t *testing.T) {
	sim := newSimulation(t, 2)
	starts := sim.submitGang(false, "")
	sim.c.Assert(starts, qt.HasLen, 2)
	early, later := sim.p.NextPoll(), sim.p.NextPoll()
	var running []yuccapaddle.Run
	for _, s := range starts {
		running = append(running, yuccapaddle.Run{Task: s.Task, Run: s.Run})
	}
	sim.p.HandlePollReply(starts[0].Worker, &yuccapaddle.HoldReply{Incarnation: 1, Running: running}, later)
	sim.p.HandlePollReply(starts[0].Worker, &yuccapaddle.HoldReply{Incarnation: 1}, early)
	sim.c.Check(sim.starts(), qt.HasLen, 0, qt.Commentf("the runs were ended by an overtaken reply"))
}

// TestTakeoverOverfullWorker guards against starting more than a worker can hold: a host
// fails between the transactions of one batch, so that the records place a run on a
// worker and lack the end of the run that had its room before. The next host starts only
// the one that was accepted later.
func TestTakeoverOverfullWorker(t *testing.T) {
	sim := newSimulation(t, 1)
	for _, id := range []string{"old", "new"} {
		job := []byte(`{"id":"` + id + `","q":"batch","v":"svc","t":[{"n":1,"d":{"g":8}}],"ac":` + map[string]string{"old": "1", "new": "2"}[id] + `}`)
		part := []byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)
		sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"queued","o":1}`), Parts: [][]byte{part}}), qt.IsNil)
	}
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	starts := sim.starts()
	sim.c.Assert(starts, qt.HasLen, 1)
	sim.c.Check(starts[0].Task.Job, qt.Equals, "new")
}

// TestTakeoverUnopenedOccurrence guards against losing a job in a takeover: a host fails
// between the transactions of one batch, so that the records contain a run of an
// occurrence that the job's committed state has not opened yet.
func TestTakeoverUnopenedOccurrence(t *testing.T) {
	sim := newSimulation(t, 1)
	job := []byte(`{"id":"timed","q":"batch","v":"svc","t":[{"n":1,"d":{"g":1}}],"f":1,"ev":1000,"x":3}`)
	part := []byte(`[{"r":1,"s":2,"d":true},{"k":1,"r":1,"s":1,"m":[{"w":"w00"}]}]`)
	sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"running","o":1}`), Parts: [][]byte{part}}), qt.IsNil)
	view := sim.p.View("timed")
	sim.c.Assert(view, qt.IsNotNil)
	sim.c.Check(view.Steps[0].Done, qt.Equals, 1)
	sim.c.Check(view.Steps[1].Placed, qt.Equals, 1)
}

// TestOrphanKeepsRoom checks that a worker with an orphan run gets no new runs until a poll
// shows that the orphan has ended; the reply to an earlier poll does not show that.
func TestOrphanKeepsRoom(t *testing.T) {
	sim := newSimulation(t, 1)
	early := sim.p.NextPoll()
	stray := yuccapaddle.Run{Task: yuccapaddle.TaskID{Job: "stray"}, Run: 1}
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{stray}}, sim.p.NextPoll())
	sim.p.Submit(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: yuccapaddle.Need{GPU: 8}}}})
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, early)
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Check(sim.starts(), qt.HasLen, 1)
}

// TestOnceAdopted guards against a second run of a job that may run only once: a host fails
// after it has committed a placement, and the worker has restarted and lists nothing. The
// former host may have started the run before the worker's restart.
func TestOnceAdopted(t *testing.T) {
	sim := newSimulation(t, 1)
	job := []byte(`{"id":"once","q":"batch","v":"svc","once":true,"t":[{"n":1,"d":{"g":1}}]}`)
	sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"queued","o":1}`), Parts: [][]byte{[]byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)}}), qt.IsNil)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	sim.p.HandleStopConfirmed("w00", yuccapaddle.TaskID{Job: "once"}, 1)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	report := sim.onceReport()
	sim.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	sim.c.Check(report.MayHaveRun, qt.IsTrue)
}

// TestOrphanInUnreadableList guards against giving away the room of an orphan run that goes on:
// a list that is not complete may lack it.
func TestOrphanInUnreadableList(t *testing.T) {
	sim := newSimulation(t, 1)
	stray := yuccapaddle.Run{Task: yuccapaddle.TaskID{Job: "stray"}, Run: 1}
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{stray}}, sim.p.NextPoll())
	sim.p.Submit(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: yuccapaddle.Need{GPU: 8}}}})
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1, Truncated: true}, sim.p.NextPoll())
	sim.c.Check(sim.starts(), qt.HasLen, 0)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Check(sim.starts(), qt.HasLen, 1)
}

// TestPlacedBesideOrphan guards against a second run of a task that a worker lists already,
// though no unit expects it there: a late start that was carried out all the same.
func TestPlacedBesideOrphan(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim := newSimulation(t, 2)
		task := yuccapaddle.TaskID{Job: "j", Index: 1}
		late := yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{{Task: task, Run: 1}}}
		sim.p.HandlePollReply("w00", &late, sim.p.NextPoll())
		sim.p.Submit(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{{Count: 2, Gang: gang, Need: oneGPUTask}}})
		for _, st := range sim.starts() {
			sim.c.Check(!gang && st.Task != task, qt.IsTrue, qt.Commentf("gang %t: start of %s", gang, st.Task))
		}
		sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		started := map[yuccapaddle.TaskID]bool{}
		for _, st := range sim.starts() {
			started[st.Task] = true
		}
		sim.c.Check(started[task], qt.IsTrue)
	}
}
