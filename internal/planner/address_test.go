package planner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestAddressOfLife checks that the address of a worker that answers stays for its incarnation,
// and is replaced once the worker is silent or has another incarnation.
func TestAddressOfLife(t *testing.T) {
	sim := newSimulation(t, 2)
	address := func() string {
		w, ok := sim.p.Worker("w00")
		sim.c.Assert(ok, qt.IsTrue)
		return w.Address
	}
	sim.move("w00", "first")
	sim.c.Check(address(), qt.Equals, "first", qt.Commentf("nothing has answered yet"))
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.move("w00", "second")
	sim.c.Check(address(), qt.Equals, "first")
	sim.p.SetResponsive("w00", false)
	sim.move("w00", "second")
	sim.c.Check(address(), qt.Equals, "second", qt.Commentf("nobody answers at the first one"))
	sim.p.SetResponsive("w00", true)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	sim.move("w00", "third")
	sim.c.Check(address(), qt.Equals, "third", qt.Commentf("the registration is that of another incarnation"))
}

// TestAddressOfLifeAfterGap guards against a worker that answers and is asked at the address of
// another writer's entry, since its own one was missing, or named another start, in the read before.
func TestAddressOfLifeAfterGap(t *testing.T) {
	for name, gap := range map[string]func(list []yuccapaddle.Worker) []yuccapaddle.Worker{
		"missing":     func(list []yuccapaddle.Worker) []yuccapaddle.Worker { return list[1:] },
		"later start": func(list []yuccapaddle.Worker) []yuccapaddle.Worker { list[0].Incarnation = 99; return list },
	} {
		t.Run(name, func(t *testing.T) {
			entries := func() []yuccapaddle.Worker { return registrations(eighths(8), eighths(8)) }
			sim := newLimitedSimulation(t, limitsWithProof, entries())
			sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
			sim.p.SetRegistrations(gap(entries()), sim.now)
			odd := entries()
			odd[0].Address = "other"
			sim.p.SetRegistrations(odd, sim.now)
			w, _ := sim.p.Worker("w00")
			sim.c.Check(w.Address, qt.Equals, "a")
		})
	}
}
