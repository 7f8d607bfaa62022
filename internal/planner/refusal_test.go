package planner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var replaced = &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedReplaced}

// move registers one of two workers at another address, as another writer may for a moment.
func (sim *simulation) move(id, address string) {
	var list []yuccapaddle.Worker
	for _, other := range workerIDs(2) {
		w, ok := sim.p.Worker(other)
		sim.c.Assert(ok, qt.IsTrue)
		if other == id {
			w.Address = address
		}
		list = append(list, w)
	}
	sim.p.SetRegistrations(list, sim.now)
}

// sendUnanswered has a job of one task started on one of two workers, which leaves the start
// unanswered, and returns the start and its repeats that are to be sent.
func (sim *simulation) sendUnanswered() (st yuccapaddle.RunStart, resends []yuccapaddle.RunStart) {
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 8}})
	sent := sim.send(sim.plan().Starts)
	sim.c.Assert(sent, qt.HasLen, 1)
	st = sent[0]
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, yuccapaddle.ErrNoAnswer)
	resends = sim.plan().Starts
	sim.c.Assert(resends, qt.HasLen, 1)
	return st, resends
}

// TestRefusalOfAnotherProcess guards against two runs of a task at once: the first copy of its
// start has gone to the worker, which may still carry it out, and the second one to another
// process, since another writer has registered that address under the worker's ID.
func TestRefusalOfAnotherProcess(t *testing.T) {
	sim := newSimulation(t, 2)
	st, resends := sim.sendUnanswered()
	sim.move(st.Worker, "another")
	sim.c.Assert(sim.send(resends), qt.HasLen, 1)
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, replaced)
	b := sim.plan()
	sim.c.Check(b.Starts, qt.HasLen, 0, qt.Commentf("the worker may still carry out the first copy"))
	sim.c.Check(b.Stops, qt.HasLen, 1)
	sim.move(st.Worker, "a")
	sim.p.HandleStopConfirmed(st.Worker, st.Task, st.Run)
	sim.p.HandlePollReply(st.Worker, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Check(sim.plan().Starts, qt.HasLen, 0, qt.Commentf("the worker may restart and carry it out"))
	sim.passLateOrders(st.Worker)
	sim.c.Check(sim.send(sim.plan().Starts), qt.HasLen, 1)
}

// TestRefusalAfterConfirmation guards against a run that is taken for over, or stopped, since a
// repeat of its start was refused: the worker has answered for the run.
func TestRefusalAfterConfirmation(t *testing.T) {
	reasons := []yuccapaddle.Refusal{
		yuccapaddle.RefusedReplaced, yuccapaddle.RefusedUnhealthy, yuccapaddle.RefusedCapacity, yuccapaddle.RefusedLate,
		yuccapaddle.RefusedTicket, yuccapaddle.RefusedInvalid, yuccapaddle.RefusedUnsent,
	}
	for _, reason := range reasons {
		t.Run(string(reason), func(t *testing.T) {
			sim := newSimulation(t, 2)
			st, resends := sim.sendUnanswered()
			sim.c.Assert(sim.send(resends), qt.HasLen, 1)
			reply := &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{{Task: st.Task, Run: st.Run}}}
			sim.p.HandlePollReply(st.Worker, reply, sim.p.NextPoll())
			sim.p.HandleStartReply(st.Worker, st.Task, st.Run, &yuccapaddle.RefusalError{Reason: reason})
			b := sim.plan()
			sim.c.Check(b.Starts, qt.HasLen, 0)
			sim.c.Check(b.Stops, qt.HasLen, 0)
		})
	}
}

// TestRefusalAtSameAddress checks that a task is placed again at once if all copies of its
// start have gone to one address, and the process there says that it is another worker.
func TestRefusalAtSameAddress(t *testing.T) {
	sim := newSimulation(t, 2)
	st, resends := sim.sendUnanswered()
	sim.c.Assert(sim.send(resends), qt.HasLen, 1)
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, replaced)
	again := sim.send(sim.plan().Starts)
	sim.c.Assert(again, qt.HasLen, 1)
	sim.c.Check(again[0].Worker, qt.Not(qt.Equals), st.Worker)
}

// TestRefusalAfterTakeover guards against two runs of a task at once: it is not known to which
// addresses a former host has sent its copies of a start.
func TestRefusalAfterTakeover(t *testing.T) {
	sim := newSimulation(t, 2)
	job := []byte(`{"id":"b","q":"batch","v":"svc","t":[{"n":1,"d":{"g":1}}]}`)
	sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: []byte(`{"s":"queued","o":1}`), Parts: [][]byte{[]byte(`[{"r":1,"s":1,"m":[{"w":"w00"}]}]`)}}), qt.IsNil)
	sim.p.HandlePollReply("w00", &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sent := sim.send(sim.plan().Starts)
	sim.c.Assert(sent, qt.HasLen, 1)
	sim.p.HandleStartReply("w00", sent[0].Task, sent[0].Run, replaced)
	b := sim.plan()
	sim.c.Check(b.Starts, qt.HasLen, 0)
	sim.c.Check(b.Stops, qt.HasLen, 1)
}
