package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

// newProvingSimulation returns a simulation of which the workers have to prove themselves. They
// answer in the next step.
func newProvingSimulation(t testing.TB, workers int) *simulation {
	sim := newSimulation(t, workers)
	rules := sim.p.Rules()
	var list []yuccapaddle.Worker
	for _, id := range workerIDs(workers) {
		w, ok := sim.p.Worker(id)
		sim.c.Assert(ok, qt.IsTrue)
		list = append(list, w)
	}
	sim.p = planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond, ProveWorkers: true})
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules)
	sim.p.SetRegistrations(list, sim.now)
	return sim
}

// prove plays the time, with the answers of the workers that have to prove themselves, and
// returns how many were asked.
func (sim *simulation) prove(d time.Duration) (asked int) {
	for until := sim.now.Add(d); sim.now.Before(until); {
		sim.advance(stepTime)
		for _, id := range sim.p.TakeProofRequests() {
			asked++
			sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		}
	}
	return asked
}

// TestProofKeepsPerWorker guards against more tasks of a step on a worker than the step allows,
// since several of its tasks waited for the same worker to prove itself.
func TestProofKeepsPerWorker(t *testing.T) {
	for _, queue := range []string{queueQuick, queueBatch} {
		for _, gang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gang %t", queue, gang), func(t *testing.T) {
				sim := newProvingSimulation(t, 6)
				sim.submit("limited", queue, yuccapaddle.Step{Count: 6, Need: oneGPUTask, PerWorker: 1, Gang: gang, Estimate: 60000})
				sim.submit("other", queue, yuccapaddle.Step{Count: 10, Need: oneGPUTask, Estimate: 60000})
				sim.prove(time.Second)
				on := map[string]int{}
				for task, r := range sim.runs {
					if task.Job == "limited" {
						on[r.worker]++
						sim.c.Check(on[r.worker], qt.Equals, 1, qt.Commentf("worker %s", r.worker))
					}
				}
				sim.c.Check(on, qt.HasLen, 6)
				sim.c.Check(sim.runs, qt.HasLen, 16)
			})
		}
	}
}

// TestProofOnlyWhereChosen checks that only workers that were chosen are asked, each once.
func TestProofOnlyWhereChosen(t *testing.T) {
	sim := newProvingSimulation(t, 6)
	sim.submit("a", queueBatch, yuccapaddle.Step{Count: 10, Need: oneGPUTask, Estimate: 60000})
	sim.c.Check(sim.prove(time.Second), qt.Equals, 2)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 4, Need: oneGPUTask, Estimate: 60000})
	sim.c.Check(sim.prove(time.Second), qt.Equals, 0)
	sim.c.Check(sim.runs, qt.HasLen, 14)
}

// TestStrangerAtLostAddress guards against a crash that counts against a task since another
// writer has registered an entry at the address of a worker that was only cut off.
func TestStrangerAtLostAddress(t *testing.T) {
	sim := newProvingSimulation(t, 4)
	sim.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 600000})
	sim.prove(time.Second)
	task := yuccapaddle.TaskID{Job: "a"}
	for range 6 {
		lost := sim.runs[task].worker
		delete(sim.runs, task)
		var list []yuccapaddle.Worker
		for _, id := range workerIDs(4) {
			if w, ok := sim.p.Worker(id); ok && id != lost {
				list = append(list, w)
			}
		}
		gone, _ := sim.p.Worker(lost)
		stranger := gone
		stranger.ID, stranger.Incarnation = "stranger", 1<<52
		sim.p.SetResponsive(lost, false)
		sim.p.SetRegistrations(append(slices.Clone(list), stranger), sim.now)
		sim.p.SetResponsive("stranger", false)
		sim.p.HandleLeaseExpiry(lost)
		sim.prove(5 * time.Second)
		sim.p.SetRegistrations(append(list, gone), sim.now)
		sim.p.SetResponsive(lost, true)
		sim.p.HandlePollReply(lost, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		sim.prove(5 * time.Second)
	}
	report, _, _ := sim.p.Report("a")
	sim.c.Check(report.State, qt.Equals, yuccapaddle.JobRunning, qt.Commentf("%s", report.Reason))
}
