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

// orderedSimulation returns a simulation that orders waiting jobs by the cost of a delay if
// that is set.
func orderedSimulation(t testing.TB, workers int, byDelayCost bool) *simulation {
	sim := newSimulation(t, workers)
	rules := sim.p.Rules()
	var list []yuccapaddle.Worker
	for _, id := range workerIDs(workers) {
		w, ok := sim.p.Worker(id)
		sim.c.Assert(ok, qt.IsTrue)
		list = append(list, w)
	}
	sim.p = planner.New(yuccapaddle.PlanLimits{
		RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond, OrderByDelayCost: byDelayCost,
	})
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules)
	sim.p.SetRegistrations(list, sim.now)
	return sim
}

// urgentOverload sends for some seconds more urgent gangs than the cluster holds, and then
// less, and returns how many are done within their objective of 4.15 s, and how many at all.
func urgentOverload(sim *simulation) (inTime, done int) {
	gang := yuccapaddle.Step{Count: 4, Need: yuccapaddle.Need{CPU: 15000, Memory: 30000, GPU: 2}, Estimate: 2500, Gang: true}
	const objective = 4150 * time.Millisecond
	open := map[string]time.Time{}
	check := func() {
		for id, at := range open {
			if r, _, _ := sim.p.Report(id); r.State == yuccapaddle.JobCompleted {
				done++
				if sim.now.Sub(at) <= objective {
					inTime++
				}
				delete(open, id)
			}
		}
	}
	for i := range 200 {
		if i < 50 || i%4 == 0 {
			id := fmt.Sprintf("u%03d", i)
			open[id] = sim.now
			sim.submit(id, queueQuick, gang)
		}
		sim.advance(100 * time.Millisecond)
		check()
	}
	for range 400 {
		sim.advance(100 * time.Millisecond)
		check()
	}
	return inTime, done
}

// TestUrgentOverload replays a burst of urgent gangs: in the order of acceptance the whole
// burst is late, and what comes after it waits behind it and is late as well.
func TestUrgentOverload(t *testing.T) {
	c := qt.New(t)
	before, all := urgentOverload(orderedSimulation(t, 8, false))
	after, same := urgentOverload(orderedSimulation(t, 8, true))
	t.Logf("in time: %d by the cost of a delay, %d by acceptance, of %d", after, before, all)
	c.Check(same, qt.Equals, all)
	c.Check(after >= before*5/4, qt.IsTrue)
}

// TestUnderstatedEstimate guards against callers that gain by understating their run times:
// the order rests on what runs of the queue have taken.
func TestUnderstatedEstimate(t *testing.T) {
	sim := orderedSimulation(t, 1, true)
	step := yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 3000}
	for i := range 8 { // enough to learn from
		sim.submit(fmt.Sprintf("b%d", i), queueBatch, step)
		sim.advance(3100 * time.Millisecond)
	}
	sim.submit("b-now", queueBatch, step)
	sim.advance(100 * time.Millisecond)
	var order []string
	for _, id := range []string{"b-first", "b-low", "b-last"} {
		j := &yuccapaddle.Job{ID: id, Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{step}, Payload: "3000"}
		if id == "b-low" {
			j.Steps[0].Estimate = 1
		}
		sim.p.Submit(j)
		order = append(order, id)
		sim.advance(20 * time.Millisecond)
	}
	var started []string
	for len(started) < len(order) {
		sim.advance(20 * time.Millisecond)
		for _, id := range order {
			if _, runs := sim.runs[yuccapaddle.TaskID{Job: id}]; runs && !slices.Contains(started, id) {
				started = append(started, id)
			}
		}
	}
	sim.c.Check(started, qt.DeepEquals, order)
}
