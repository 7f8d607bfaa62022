package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

// fullCapacity is the capacity of a simulated worker before it changes.
var fullCapacity = yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: gpus}

// withGPUs returns fullCapacity with another number of accelerators.
func withGPUs(n int) yuccapaddle.Need {
	return yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: n}
}

// resize registers a worker with another capacity.
func (sim *simulation) resize(id string, capacity yuccapaddle.Need) {
	var list []yuccapaddle.Worker
	for i := 0; ; i++ {
		w, ok := sim.p.Worker(fmt.Sprintf("w%02d", i))
		if !ok {
			break
		}
		if w.ID == id {
			w.Capacity = capacity
		}
		list = append(list, w)
	}
	sim.p.SetRegistrations(list, sim.now)
}

// send treats starts as the executor does right before it sends them, and returns those
// that are sent.
func (sim *simulation) send(starts []yuccapaddle.RunStart) []yuccapaddle.RunStart {
	var sent []yuccapaddle.RunStart
	for _, s := range starts {
		if !sim.p.Startable(&s) {
			sim.p.HandleStartReply(s.Worker, s.Task, s.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
			continue
		}
		sim.p.NoteStartSent(&s)
		sent = append(sent, s)
	}
	return sent
}

// plan plans and returns the batch.
func (sim *simulation) plan() yuccapaddle.Batch {
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Plan()
	return sim.p.TakeBatch()
}

// countByWorker counts starts by their worker.
func countByWorker(starts []yuccapaddle.RunStart) map[string]int {
	count := map[string]int{}
	for _, s := range starts {
		count[s.Worker]++
	}
	return count
}

// TestShrunkWorkerGetsNothing checks that nothing is placed on a worker whose room is too
// small after its capacity has shrunk. What is being stopped counts.
func TestShrunkWorkerGetsNothing(t *testing.T) {
	running := yuccapaddle.Step{Count: 6, Need: yuccapaddle.Need{CPU: 8000, Memory: 32000, GPU: 1}, Estimate: 60000}
	tests := []struct {
		name     string
		capacity yuccapaddle.Need
		before   func(sim *simulation)
		step     yuccapaddle.Step
	}{
		{"too little room", withGPUs(7), nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 2}}},
		{"less than in use", withGPUs(3), nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}}},
		{"less memory than in use", yuccapaddle.Need{CPU: workerCPU, Memory: 131072, GPU: gpus}, nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}}},
		{"less memory, spare task", yuccapaddle.Need{CPU: workerCPU, Memory: 131072, GPU: gpus}, nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 1000}, Spare: true}},
		{"less processor time, spare task", yuccapaddle.Need{CPU: 24000, Memory: 262144, GPU: gpus}, nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 1000, Memory: 1000}, Spare: true}},
		{"being stopped", withGPUs(6), func(sim *simulation) { sim.p.Cancel("b") }, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}}},
		{"nothing at all", yuccapaddle.Need{}, nil, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.submit("b", queueBatch, running)
			sim.advance(100 * time.Millisecond)
			sim.c.Assert(sim.runs, qt.HasLen, 6)
			sim.resize("w00", tt.capacity)
			if tt.before != nil {
				tt.before(sim)
			}
			sim.submit("b-more", queueBatch, tt.step)
			sim.c.Check(sim.plan().Starts, qt.HasLen, 0)
		})
	}
}

// TestShrinkBeforeStart checks that a start is not sent if the worker has shrunk since it
// was decided; that only as many are held back as it takes, and that they are placed
// elsewhere at once, as runs that have certainly not started.
func TestShrinkBeforeStart(t *testing.T) {
	sim := newSimulation(t, 2)
	for i := range 4 {
		job := &yuccapaddle.Job{ID: fmt.Sprintf("b%d", i), Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: yuccapaddle.Need{GPU: 2}}}, Once: true}
		sim.p.Submit(job)
	}
	starts := sim.plan().Starts
	sim.c.Assert(countByWorker(starts), qt.DeepEquals, map[string]int{"w00": 4})
	sim.resize("w00", withGPUs(5))
	sent := sim.send(starts)
	sim.c.Check(countByWorker(sent), qt.DeepEquals, map[string]int{"w00": 2})
	for i := range 4 {
		report, _, _ := sim.p.Report(fmt.Sprintf("b%d", i))
		sim.c.Check(report.State.Final(), qt.IsFalse, qt.Commentf("%s", report.Reason))
	}
	sim.c.Check(countByWorker(sim.send(sim.plan().Starts)), qt.DeepEquals, map[string]int{"w01": 2})
}

// TestShrinkBeforeGang checks that no member of a gang is started if one of its workers has
// shrunk since the decision, and that the gang is placed elsewhere at once.
func TestShrinkBeforeGang(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.submit("gang", queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 8}, Gang: true})
	starts := sim.plan().Starts
	sim.c.Assert(starts, qt.HasLen, 2)
	sim.resize(starts[1].Worker, withGPUs(7))
	sim.c.Check(sim.send(starts), qt.HasLen, 0)
	again := sim.send(sim.plan().Starts)
	sim.c.Check(again, qt.HasLen, 2)
	sim.c.Check(countByWorker(again)[starts[1].Worker], qt.Equals, 0)
	report, _, _ := sim.p.Report("gang")
	sim.c.Check(report.Runs, qt.Equals, 2)
}

// TestShrinkBeforeResend checks that an unanswered start is not sent again to a worker that
// has shrunk: the first copy may be under way, so the run is stopped, and it is placed
// elsewhere only when it is certainly over.
func TestShrinkBeforeResend(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 8}})
	first := sim.send(sim.plan().Starts)
	sim.c.Assert(first, qt.HasLen, 1)
	st := first[0]
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, yuccapaddle.ErrNoAnswer)
	sim.resize(st.Worker, withGPUs(7))
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 0)
	b := sim.plan()
	sim.c.Check(b.Stops, qt.HasLen, 1)
	sim.c.Check(b.Starts, qt.HasLen, 0, qt.Commentf("the first copy may still be carried out"))
	sim.p.HandleStopConfirmed(st.Worker, st.Task, st.Run)
	sim.p.HandlePollReply(st.Worker, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Check(sim.plan().Starts, qt.HasLen, 0, qt.Commentf("the worker may restart and carry it out"))
	sim.passLateOrders(st.Worker)
	again := sim.send(sim.plan().Starts)
	sim.c.Assert(again, qt.HasLen, 1)
	sim.c.Check(again[0].Worker, qt.Not(qt.Equals), st.Worker)
}

// TestShrinkBeforeGangResend checks that no unanswered start of a gang is sent again if one of
// them may not be, since a worker has shrunk.
func TestShrinkBeforeGangResend(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.submit("gang", queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 8}, Gang: true})
	starts := sim.send(sim.plan().Starts)
	sim.c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		sim.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
	}
	sim.resize(starts[1].Worker, withGPUs(7))
	resends := sim.plan().Starts
	sim.c.Assert(resends, qt.HasLen, 2)
	sim.c.Check(sim.send(resends), qt.HasLen, 0)
	sim.c.Check(sim.plan().Stops, qt.Not(qt.HasLen), 0)
}

// TestNeedlessResend checks that a run which is known to be there goes on if its start was to
// be sent again and is held back.
func TestNeedlessResend(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 8}})
	sent := sim.send(sim.plan().Starts)
	sim.c.Assert(sent, qt.HasLen, 1)
	st := sent[0]
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, yuccapaddle.ErrNoAnswer)
	resends := sim.plan().Starts
	sim.c.Assert(resends, qt.HasLen, 1)
	reply := &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{{Task: st.Task, Run: st.Run}}}
	sim.p.HandlePollReply(st.Worker, reply, sim.p.NextPoll())
	sim.resize(st.Worker, withGPUs(7))
	sim.c.Check(sim.send(resends), qt.HasLen, 0)
	sim.c.Check(sim.plan().Stops, qt.HasLen, 0)
}

// TestShrunkAtTakeover checks that a host that has just become active starts nothing above
// the capacities that it knows, whichever of records and registrations it reads first: run
// "there" is in progress, the start of "unsent" may never have been sent.
func TestShrunkAtTakeover(t *testing.T) {
	for _, recordsFirst := range []bool{false, true} {
		t.Run(fmt.Sprint(recordsFirst), func(t *testing.T) {
			sim := newSimulation(t, 2)
			var list []yuccapaddle.Worker
			for _, id := range []string{"w00", "w01"} {
				w, _ := sim.p.Worker(id)
				list = append(list, w)
			}
			list[0].Capacity = withGPUs(6)
			rules := sim.p.Rules()
			sim.p = planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour})
			sim.p.SetTime(sim.now, sim.now)
			sim.p.Configure(rules)
			if !recordsFirst {
				sim.p.SetRegistrations(list, sim.now)
			}
			for id, part := range map[string]string{"there": `[{"r":1,"s":1,"m":[{"w":"w00"}]}]`, "unsent": `[{"r":1,"s":1,"m":[{"w":"w00"}]}]`} {
				job := []byte(`{"id":"` + id + `","q":"batch","v":"svc","t":[{"n":1,"d":{"g":4}}]}`)
				sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"queued","o":1}`), Parts: [][]byte{[]byte(part)}}), qt.IsNil)
			}
			if recordsFirst {
				sim.p.SetRegistrations(list, sim.now)
			}
			sim.submit("new", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}})
			sim.c.Check(countByWorker(sim.send(sim.plan().Starts)), qt.DeepEquals, map[string]int{"w01": 1})
			there := yuccapaddle.Run{Task: yuccapaddle.TaskID{Job: "there"}, Run: 1}
			reply := &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{there}}
			sim.p.HandlePollReply("w00", reply, sim.p.NextPoll())
			sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 0)
			sim.p.HandleStopConfirmed("w00", yuccapaddle.TaskID{Job: "unsent"}, 1)
			sim.p.HandlePollReply("w00", reply, sim.p.NextPoll())
			sim.c.Check(countByWorker(sim.send(sim.plan().Starts)), qt.DeepEquals, map[string]int{"w01": 1})
		})
	}
}

// TestShrunkGangAtTakeover checks that a host that has just become active sends no start of
// a gang that is missing on one worker, if another of its workers has shrunk.
func TestShrunkGangAtTakeover(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.resize("w01", withGPUs(6))
	job := []byte(`{"id":"gang","q":"batch","v":"svc","t":[{"n":2,"d":{"g":8},"gang":true}]}`)
	part := []byte(`[{"r":1,"s":1,"m":[{"w":"w00"},{"w":"w01"}]}]`)
	sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"queued","o":1}`), Parts: [][]byte{part}}), qt.IsNil)
	for _, id := range []string{"w00", "w01"} {
		sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 0)
	}
}

// TestPreemptOverCapacity checks that preemption on a worker that is over its capacity also
// stops what is over, and that the urgent task starts once the worker holds it.
func TestPreemptOverCapacity(t *testing.T) {
	tests := []struct {
		name     string
		capacity yuccapaddle.Need
		need     yuccapaddle.Need
	}{
		{"accelerators", withGPUs(4), yuccapaddle.Need{GPU: 2}},
		{"memory that the urgent task does not need", yuccapaddle.Need{CPU: workerCPU, Memory: 64000, GPU: gpus}, yuccapaddle.Need{CPU: 1000}},
		{"memory, and accelerators for the urgent task", yuccapaddle.Need{CPU: workerCPU, Memory: 64000, GPU: gpus}, yuccapaddle.Need{GPU: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.submit("b", queueBatch, yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 5600, Memory: 16000, GPU: 1}, Estimate: 60000})
			sim.advance(time.Second)
			sim.c.Assert(sim.runs, qt.HasLen, 8)
			sim.resize("w00", tt.capacity)
			sim.submit("u", queueQuick, yuccapaddle.Step{Count: 1, Need: tt.need, Estimate: 10000})
			for len(sim.startDelays) == 0 && sim.now.Sub(sim.submittedAt["u"]) < time.Second {
				sim.advance(stepTime)
			}
			sim.c.Check(sim.startDelays, qt.HasLen, 1)
			used := tt.need.Add(yuccapaddle.Need{CPU: 5600, Memory: 16000, GPU: 1}.Times(len(sim.runs) - 1))
			sim.c.Check(used.Fits(tt.capacity), qt.IsTrue, qt.Commentf("%d runs use %+v", len(sim.runs), used))
		})
	}
}

// TestShrunkClaim checks that an urgent task whose room is being freed on a worker is placed
// elsewhere at once when that worker shrinks below its need.
func TestShrunkClaim(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 16, Need: oneGPUTask, Estimate: 60000})
	sim.advance(time.Second)
	sim.submit("u", queueQuick, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 8}, Estimate: 1000})
	sim.advance(100 * time.Millisecond)
	claimed := ""
	for _, r := range sim.runs {
		if r.stopped {
			claimed = r.worker
		}
	}
	sim.c.Assert(claimed, qt.Not(qt.Equals), "")
	sim.resize(claimed, withGPUs(6))
	sim.advance(800 * time.Millisecond)
	sim.c.Check(sim.startDelays, qt.HasLen, 1)
}

// TestGrowthPlacesAtOnce checks that waiting work is placed as soon as the capacity has
// grown, also if the worker has shrunk and grown since the planner last decided.
func TestGrowthPlacesAtOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.resize("w00", withGPUs(2))
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 4}})
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 0)
	sim.resize("w00", withGPUs(4))
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 1)
	sim.submit("b2", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 4}})
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 0)
	sim.resize("w00", withGPUs(0))
	sim.resize("w00", withGPUs(8))
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 1)
}

// TestNothingStoppedForShrink checks that tasks which make progress are not stopped since
// their worker's capacity has shrunk, and that they hold their room.
func TestNothingStoppedForShrink(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 8, Need: oneGPUTask, Estimate: 5000})
	sim.advance(time.Second)
	sim.resize("w00", withGPUs(2))
	sim.advance(5 * time.Second)
	report, _, _ := sim.p.Report("b")
	sim.c.Check(report, qt.DeepEquals, yuccapaddle.JobReport{State: yuccapaddle.JobCompleted, MayHaveRun: true, Runs: 1})
	sim.c.Check(sim.stoppedSeconds, qt.Equals, 0.0)
}

// TestNoCapacityLeft checks that the reserve and the placing go on when all workers have
// shrunk to nothing, and that the work is done when they have grown again.
func TestNoCapacityLeft(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.submit("u", queueQuick, yuccapaddle.Step{Count: 8, Need: oneGPUTask, Estimate: 500})
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 8, Need: oneGPUTask, Estimate: 500})
	sim.advance(100 * time.Millisecond)
	sim.resize("w00", yuccapaddle.Need{})
	sim.resize("w01", yuccapaddle.Need{})
	sim.submit("b2", queueBatch, yuccapaddle.Step{Count: 2, Need: oneGPUTask, Estimate: 500, Gang: true, OneRack: true})
	sim.advance(time.Second)
	sim.c.Check(sim.runs, qt.HasLen, 0)
	sim.resize("w00", fullCapacity)
	sim.advance(time.Second)
	for _, id := range []string{"u", "b", "b2"} {
		report, _, _ := sim.p.Report(id)
		sim.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted)
	}
}

// TestInfeasibleWhileShrunk checks that the refusal of a strict job says so if the job
// would fit the capacities that the workers have had before.
func TestInfeasibleWhileShrunk(t *testing.T) {
	sim := newSimulation(t, 2)
	ask := func(count int) string {
		step := yuccapaddle.Step{Count: count, Need: yuccapaddle.Need{GPU: 8}, Gang: true}
		return sim.p.Infeasible(&yuccapaddle.Job{ID: "j", Queue: queueBatch, Steps: []yuccapaddle.Step{step}})
	}
	sim.resize("w01", withGPUs(7))
	sim.c.Check(ask(2), qt.Equals, "for room: 2 tasks of 0 cpu, 0 MB, 8 gpu; the registered workers hold 1 such tasks at present, and 2 with the capacity that they have had")
	sim.c.Check(ask(3), qt.Equals, "for room: 3 tasks of 0 cpu, 0 MB, 8 gpu; the registered workers hold 1 such tasks")
	sim.resize("w01", fullCapacity)
	sim.c.Check(ask(2), qt.Equals, "")
}

// TestCapacityShown checks what operators see of a change: the old and the new capacity in
// the log, the present one in the status, and that a worker is over its capacity.
func TestCapacityShown(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 8, Need: oneGPUTask, Estimate: 60000})
	sim.advance(100 * time.Millisecond)
	sim.resize("w00", withGPUs(3))
	var details []string
	for _, d := range sim.plan().Decisions {
		if d.Event == "worker listed" {
			details = append(details, d.Detail)
		}
	}
	sim.c.Check(details, qt.DeepEquals, []string{"d r0 capacity 64000 cpu, 262144 MB, 3 gpu, before 64000 cpu, 262144 MB, 8 gpu, over capacity"})
	st := sim.p.Status()
	sim.c.Assert(st.Workers, qt.HasLen, 1)
	sim.c.Check(st.Workers[0].Accelerators, qt.Equals, 3)
	sim.c.Check(st.Workers[0].Used, qt.Equals, 8)
	sim.c.Check(st.Workers[0].State, qt.Equals, "over capacity")
	sim.submit("b2", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask})
	sim.c.Check(strings.HasSuffix(sim.p.View("b2").Steps[0].Waits, ": 0 of 1 suited workers get new work"), qt.IsTrue, qt.Commentf("%s", sim.p.View("b2").Steps[0].Waits))
}
