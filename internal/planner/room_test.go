package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

const (
	// heartbeat is the time between a worker's own registrations, and readInterval the one
	// between two reads of them.
	heartbeat    = 1500 * time.Millisecond
	readInterval = 700 * time.Millisecond
	// latestRegistration is how long after a heartbeat the next registration may come.
	latestRegistration = 500 * time.Millisecond
)

// limitsWithProof are the limits of a planner that is told the heartbeat and has workers prove
// themselves.
var limitsWithProof = yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, ProveWorkers: true, Heartbeat: heartbeat}

// newRegisteredSimulation returns a simulation of workers that register with the given
// capacities, w00 with the first one, and a long job of more tasks than they hold.
func newRegisteredSimulation(t testing.TB, capacities ...yuccapaddle.Need) *simulation {
	sim := newLimitedSimulation(t, yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Heartbeat: heartbeat}, registrations(capacities...))
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 60, Need: eighth, Estimate: 60000})
	sim.advance(100 * time.Millisecond)
	return sim
}

// newLimitedSimulation returns a simulation with the given limits and registrations.
func newLimitedSimulation(t testing.TB, limits yuccapaddle.PlanLimits, list []yuccapaddle.Worker) *simulation {
	sim := newSimulation(t, 0)
	rules := sim.p.Rules()
	sim.p = planner.New(limits)
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules)
	sim.p.SetRegistrations(list, sim.now)
	return sim
}

// eighth is what a task needs of which a worker with fullCapacity holds eight, by each resource.
var eighth = yuccapaddle.Need{CPU: workerCPU / 8, Memory: 262144 / 8, GPU: 1}

// eighths returns n times eighth.
func eighths(n int) yuccapaddle.Need {
	return yuccapaddle.Need{CPU: n * eighth.CPU, Memory: n * eighth.Memory, GPU: n * eighth.GPU}
}

// registrations returns those of workers of one kind with the given capacities.
func registrations(capacities ...yuccapaddle.Need) []yuccapaddle.Worker {
	var list []yuccapaddle.Worker
	for i, id := range workerIDs(len(capacities)) {
		list = append(list, yuccapaddle.Worker{
			ID: id, Address: "a", Service: "svc", Domain: "d", Rack: "r" + string(rune('0'+i)), Labels: []string{"a", "r" + string(rune('0'+i))}, Incarnation: 1, Capacity: capacities[i],
		})
	}
	return list
}

// read has a read of these registrations arrive, and plays the time until the next one.
func (sim *simulation) read(list []yuccapaddle.Worker) {
	sim.p.SetTime(sim.now, sim.now)
	sim.p.SetRegistrations(list, sim.now)
	sim.advance(readInterval)
}

// runsOn returns how many runs are in progress on a worker.
func (sim *simulation) runsOn(id string) int {
	n := 0
	for _, r := range sim.runs {
		if r.worker == id {
			n++
		}
	}
	return n
}

// TestGrowthFollowed checks that a capacity which has grown and stays so counts after a
// heartbeat and one more read.
func TestGrowthFollowed(t *testing.T) {
	sim := newRegisteredSimulation(t, eighths(4))
	sim.c.Assert(sim.runsOn("w00"), qt.Equals, 4)
	grownAt := sim.now
	for sim.runsOn("w00") < 8 && sim.now.Sub(grownAt) < time.Minute {
		sim.read(registrations(eighths(8)))
		if sim.now.Sub(grownAt) < heartbeat {
			sim.c.Check(sim.runsOn("w00"), qt.Equals, 4)
		}
	}
	within := heartbeat + latestRegistration + readInterval
	sim.c.Check(sim.now.Add(-readInterval).Sub(grownAt) <= within, qt.IsTrue, qt.Commentf("followed within %v", sim.now.Sub(grownAt)))
}

// TestGrowthInSteps checks that a capacity which grows with each read counts by and by, as far
// as it has stood for a heartbeat.
func TestGrowthInSteps(t *testing.T) {
	sim := newRegisteredSimulation(t, eighths(2))
	for n := 3; n <= 8; n++ {
		sim.read(registrations(eighths(n)))
		sim.c.Check(sim.runsOn("w00") <= max(n-3, 2)+1, qt.IsTrue, qt.Commentf("%d runs at %d", sim.runsOn("w00"), n))
	}
	for range 4 {
		sim.read(registrations(eighths(8)))
	}
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 8)
}

// TestShrinkCountsAtOnce checks that a resource that shrinks counts at once, whatever the others
// do, and that one which was about to grow has to stand anew.
func TestShrinkCountsAtOnce(t *testing.T) {
	sim := newRegisteredSimulation(t, eighths(4))
	sim.read(registrations(eighths(8)))
	sim.read(registrations(yuccapaddle.Need{CPU: 4 * eighth.CPU, Memory: 8 * eighth.Memory, GPU: 2}))
	sim.c.Check(sim.p.Status().Workers[0].Accelerators, qt.Equals, 2)
	sim.c.Check(sim.p.Status().Workers[0].State, qt.Equals, "over capacity")
	for range 2 {
		sim.read(registrations(eighths(8)))
		sim.c.Check(sim.runsOn("w00"), qt.Equals, 4)
	}
	for range 3 {
		sim.read(registrations(eighths(8)))
	}
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 8)
}

// TestGrowthInterrupted guards against a capacity that counts although a read did not show it:
// of a missing worker, or of another start time.
func TestGrowthInterrupted(t *testing.T) {
	restarted := registrations(eighths(16))
	restarted[0].Incarnation = 2
	for name, list := range map[string][]yuccapaddle.Worker{"missing": nil, "lower": registrations(eighths(4)), "another start time": restarted} {
		t.Run(name, func(t *testing.T) {
			sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(4)))
			sim.submit("b", queueBatch, yuccapaddle.Step{Count: 60, Need: eighth, Estimate: 60000})
			sim.prove(readInterval)
			for range 3 {
				sim.read(registrations(eighths(8)))
				sim.read(list)
				sim.read(list)
				sim.read(registrations(eighths(8)))
				sim.c.Check(sim.runsOn("w00"), qt.Equals, 4)
				sim.read(registrations(eighths(4)))
			}
		})
	}
}

// TestGrowthInSlowRead guards against a read that was sent before a heartbeat had passed and
// arrives after it.
func TestGrowthInSlowRead(t *testing.T) {
	sim := newRegisteredSimulation(t, eighths(4))
	sentAt := sim.now
	sim.read(registrations(eighths(8)))
	sim.advance(3 * heartbeat)
	sim.p.SetRegistrations(registrations(eighths(8)), sentAt.Add(100*time.Millisecond))
	sim.advance(readInterval)
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 4)
	sim.read(registrations(eighths(8)))
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 8)
}

// TestFirstCapacity checks that the first capacity of a worker counts at once up to what is
// usual among its peers, and the rest after a heartbeat.
func TestFirstCapacity(t *testing.T) {
	tests := []struct {
		name       string
		capacities []yuccapaddle.Need
		first      int // tasks that run on w00 at once
	}{
		{"alone", []yuccapaddle.Need{eighths(16)}, 16},
		{"two", []yuccapaddle.Need{eighths(16), eighths(8)}, 8},
		{"two, and one has shrunk", []yuccapaddle.Need{eighths(8), eighths(3)}, 3},
		{"most have the usual one", []yuccapaddle.Need{eighths(16), eighths(8), eighths(8), eighths(3), eighths(8)}, 8},
		{"all the same", []yuccapaddle.Need{eighths(8), eighths(8), eighths(8)}, 8},
		{"most have more", []yuccapaddle.Need{eighths(6), eighths(8), eighths(8)}, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newRegisteredSimulation(t, tt.capacities...)
			sim.c.Check(sim.runsOn("w00"), qt.Equals, tt.first)
			for range 5 {
				sim.read(registrations(tt.capacities...))
			}
			sim.c.Check(sim.runsOn("w00"), qt.Equals, tt.capacities[0].GPU)
		})
	}
}

// TestRestartWithLess guards against runs that are placed by the capacity that a worker had
// before it restarted, and against a worker that gets nothing since it had none before.
func TestRestartWithLess(t *testing.T) {
	for _, tt := range []struct{ before, after int }{{8, 3}, {0, 3}, {0, 8}} {
		sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(tt.before)))
		sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		list := registrations(eighths(tt.after))
		list[0].Incarnation = 2
		sim.p.SetRegistrations(list, sim.now)
		sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
		sim.submit("c", queueBatch, yuccapaddle.Step{Count: 20, Need: eighth, Estimate: 60000})
		sim.advance(stepTime)
		sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
		sim.c.Assert(sim.p.TakeProofRequests(), qt.DeepEquals, []string{"w00"})
		sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
		sim.advance(200 * time.Millisecond)
		sim.c.Check(sim.runsOn("w00"), qt.Equals, tt.after)
	}
}

// TestRestartWithOddCapacity guards against a worker that has just restarted and is brought over
// what its peers hold, before its next registration.
func TestRestartWithOddCapacity(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8), eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	list := registrations(eighths(16), eighths(8))
	list[0].Incarnation = 2
	sim.p.SetRegistrations(list, sim.now)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 40, Need: eighth, Estimate: 60000})
	sim.prove(200 * time.Millisecond)
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 8)
	sim.c.Check(sim.runsOn("w01"), qt.Equals, 8)
}

// TestShrinkBehindAnotherStart guards against starts that were decided before a worker shrank,
// and are sent since an entry with another start time tells more.
func TestShrinkBehindAnotherStart(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 8, Need: eighth, Estimate: 60000})
	starts := sim.plan().Starts
	sim.c.Assert(starts, qt.HasLen, 8)
	sim.p.SetRegistrations(registrations(eighths(4)), sim.now)
	other := registrations(eighths(16))
	other[0].Incarnation = 2
	sim.p.SetRegistrations(other, sim.now)
	sim.c.Check(sim.send(starts), qt.HasLen, 4)
}
