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

// oneGPUTask is a task that occupies one of a worker's accelerators.
var oneGPUTask = yuccapaddle.Need{CPU: 8000, Memory: 1000, GPU: 1}

// TestEqualCosts checks that the same jobs on the same workers lead to the same stops, in
// the same records, if several racks could be emptied at the same cost.
func TestEqualCosts(t *testing.T) {
	decide := func() string {
		sim := newSimulation(t, 4*perRack)
		for i := range 4 * perRack * gpus {
			sim.submit(fmt.Sprintf("b%03d", i), queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 60000})
		}
		sim.advance(time.Second)
		sim.submit("u", queueQuick, yuccapaddle.Step{Count: 4, Gang: true, OneRack: true, Need: yuccapaddle.Need{CPU: 8000, GPU: 8}, Estimate: 1000})
		sim.p.Plan()
		b := sim.p.TakeBatch()
		var stops []string
		for _, s := range b.Stops {
			stops = append(stops, s.Worker+" "+s.Task.String())
		}
		slices.Sort(stops)
		var records []string
		for _, r := range b.Records {
			records = append(records, r.ID)
		}
		return fmt.Sprint(stops, records)
	}
	first := decide()
	for range 20 {
		qt.Assert(t, decide(), qt.Equals, first)
	}
}

// TestFailedRestore checks that a job whose records cannot all be read leaves nothing
// behind: its runs hold no room on workers, and their workers report them as unexpected.
func TestFailedRestore(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 2)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 20, Need: oneGPUTask, Estimate: 60000})
	sim.p.Plan()
	records := sim.p.TakeBatch().Records
	c.Assert(records, qt.HasLen, 1)
	r := &records[0]
	c.Assert(r.Parts, qt.HasLen, 1)
	next := planner.New(yuccapaddle.PlanLimits{})
	next.SetTime(sim.now, sim.now)
	parts := [][]byte{r.Parts[0], []byte(`[{"i":19,"t":7}]`)}
	c.Assert(next.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: parts}), qt.ErrorMatches, `restore units of job "b": .*`)
	c.Check(next.BusyWorkers(), qt.HasLen, 0)
	c.Assert(next.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: parts[:1]}), qt.IsNil)
	c.Check(next.BusyWorkers(), qt.Not(qt.HasLen), 0)
}

// TestWaitForRackFraction guards against a slowdown that is cut to a whole number: at 1.5
// times, a task whose data is in a full rack would not wait for that rack at all.
func TestWaitForRackFraction(t *testing.T) {
	sim := newSimulation(t, 16)
	rules, registered := sim.p.Rules(), []yuccapaddle.Worker{}
	for _, id := range workerIDs(16) {
		w, _ := sim.p.Worker(id)
		registered = append(registered, w)
	}
	sim.p = planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 1.5, Retention: time.Hour})
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules)
	sim.p.SetRegistrations(registered, sim.now)
	sim.submit("b-full", queueBatch, yuccapaddle.Step{Count: 64, Need: yuccapaddle.Need{GPU: 1}, Estimate: 2000, DataRack: "r0"})
	sim.advance(time.Second)
	sim.submit("b-data", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 4000, DataRack: "r0"})
	sim.advance(1500 * time.Millisecond)
	run, ok := sim.runs[yuccapaddle.TaskID{Job: "b-data"}]
	sim.c.Assert(ok, qt.IsTrue)
	sim.c.Check(run.worker < "w08", qt.IsTrue, qt.Commentf("it runs on %s", run.worker))
}
