package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// restartedAs returns the registrations with another start time of w00.
func restartedAs(incarnation int64, list []yuccapaddle.Worker) []yuccapaddle.Worker {
	list[0].Incarnation = incarnation
	return list
}

// changed returns the registrations of a worker with a change.
func changed(f func(w *yuccapaddle.Worker)) []yuccapaddle.Worker {
	list := registrations(eighths(8))
	f(&list[0])
	return list
}

func inAnotherDomain(w *yuccapaddle.Worker) { w.Domain = "e" }

func drains(w *yuccapaddle.Worker) { w.Draining = true }

// TestOddDomain guards against a start in a closed failure domain, since another writer has
// registered another one under the ID of a worker there.
func TestOddDomain(t *testing.T) {
	for name, between := range map[string][]yuccapaddle.Worker{
		"as before":            registrations(eighths(8)),
		"yet another":          changed(func(w *yuccapaddle.Worker) { w.Domain = "f" }),
		"another start time":   restartedAs(2, registrations(eighths(8))),
		"missing":              nil,
		"another and draining": changed(func(w *yuccapaddle.Worker) { w.Domain, w.Draining = "e", true }),
	} {
		t.Run(name, func(t *testing.T) {
			sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
			sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
			rules := *sim.p.Rules()
			rules.Closed = map[string]bool{"d": true}
			sim.p.Configure(&rules)
			sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
			for range 3 {
				sim.read(changed(inAnotherDomain))
				sim.read(between)
				sim.read(between)
				sim.read(changed(inAnotherDomain))
				sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
				sim.read(registrations(eighths(8)))
			}
			sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
		})
	}
}

// TestOddDomainAfterRestart guards against the same on a worker that has restarted, from its first
// answer on.
func TestOddDomainAfterRestart(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.p.SetRegistrations(restartedAs(2, registrations(eighths(8))), sim.now)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	rules := *sim.p.Rules()
	rules.Closed = map[string]bool{"d": true}
	sim.p.Configure(&rules)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
	sim.read(restartedAs(2, changed(inAnotherDomain)))
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
}

// TestNothingWhileDiffering checks that a worker gets nothing while it is unknown which of two
// registrations is its own.
func TestNothingWhileDiffering(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.p.SetRegistrations(changed(inAnotherDomain), sim.now)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
	sim.read(changed(inAnotherDomain))
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
	sim.c.Check(sim.p.Status().Workers[0].State, qt.Equals, "registered otherwise than before")
	sim.c.Check(sim.p.Status().Workers[0].Domain, qt.Equals, "d")
	sim.read(registrations(eighths(8)))
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 1)
}

// TestOddReady guards against a start on a draining worker, since another writer has registered
// it as ready.
func TestOddReady(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.read(changed(drains))
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
	for range 3 {
		sim.read(registrations(eighths(8)))
		sim.read(registrations(eighths(8)))
		sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
		sim.c.Check(sim.p.Status().Workers[0].State, qt.Equals, "draining")
		sim.read(changed(drains))
	}
}

// TestDrainCountsAtOnce checks that nothing is placed on a worker that is registered as draining,
// also with other fields than before.
func TestDrainCountsAtOnce(t *testing.T) {
	for _, f := range []func(w *yuccapaddle.Worker){drains, func(w *yuccapaddle.Worker) { w.Domain, w.Draining = "e", true }} {
		sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
		sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
		sim.p.SetRegistrations(changed(f), sim.now)
		sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
		sim.advance(readInterval)
		sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
		sim.c.Check(sim.p.Status().Workers[0].State, qt.Equals, "draining")
	}
}

// TestChangeThatStands checks that other fields of a worker count once they have stood for a
// heartbeat, and at once after a restart or if they are as before.
func TestChangeThatStands(t *testing.T) {
	const afterHeartbeat = heartbeat + latestRegistration + 2*readInterval
	same := registrations(eighths(8))
	label := func(w *yuccapaddle.Worker) { w.Labels = []string{"b", w.Rack} }
	tests := []struct {
		name          string
		before, after []yuccapaddle.Worker
		label         string // that the task requires
		within        time.Duration
	}{
		{"another label", same, changed(label), "b", afterHeartbeat},
		{"another label, restarted", same, restartedAs(2, changed(label)), "b", readInterval},
		{"ready again", changed(drains), same, "", afterHeartbeat},
		{"ready, restarted", changed(drains), restartedAs(2, registrations(eighths(8))), "", readInterval},
		{"as before", same, same, "", readInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newLimitedSimulation(t, limitsWithProof, tt.before)
			sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
			sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Label: tt.label, Estimate: 60000})
			start := sim.now
			for until := start.Add(time.Minute); sim.runsOn("w00") == 0 && sim.now.Before(until); {
				sim.p.SetRegistrations(tt.after, sim.now)
				sim.proveAs(tt.after[0].Incarnation, readInterval)
			}
			took := sim.now.Sub(start)
			sim.c.Check(took <= tt.within, qt.IsTrue, qt.Commentf("took %v", took))
		})
	}
}

// proveAs plays the time, with the answers of the workers that have to prove themselves as this
// incarnation.
func (sim *simulation) proveAs(incarnation int64, d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); {
		sim.advance(stepTime)
		for _, id := range sim.p.TakeProofRequests() {
			sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: incarnation}, sim.p.NextPoll())
		}
	}
}

// TestSettledAfterFailedRead checks that a worker gets work again as soon as a read after a
// failed one shows it as before.
func TestSettledAfterFailedRead(t *testing.T) {
	sim := newLimitedSimulation(t, limitsWithProof, registrations(eighths(8)))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: eighth, Estimate: 60000})
	sim.p.SetRegistrations(changed(inAnotherDomain), sim.now)
	sim.advance(readInterval)
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 0)
	sim.p.NoteFailedRead()
	sim.read(registrations(eighths(8)))
	sim.c.Check(sim.runsOn("w00"), qt.Equals, 1)
}
