package planner_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

const (
	lateOrder    = 12 * time.Second
	sendTime     = 5 * time.Second
	longestLease = 6 * time.Second
	// placedRevision is the revision of the commit of the first placement, and laterRevision one
	// that the ledger has not reached by any time that is known.
	placedRevision = 100
	laterRevision  = 500
)

// passLateOrders lets the time pass in which what was sent to a worker may be carried out, and has
// the worker answer that it runs nothing.
func (sim *simulation) passLateOrders(id string) {
	asked := sim.p.NextPoll()
	sim.now = sim.now.Add(lateOrder)
	sim.p.SetTime(sim.now, sim.now)
	sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: 1}, asked)
	sim.c.Check(sim.plan().Starts, qt.HasLen, 0, qt.Commentf("the list may be from before"))
	sim.c.Check(sim.p.TakeProofRequests(), qt.DeepEquals, []string{id})
	sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
}

// takeOver returns the planner of a host that takes over and finds the record of a job, of which
// the part was last changed at a revision. It knows that the ledger had reached placedRevision at
// knownAt, if that is not zero.
func (sim *simulation) takeOver(job yuccapaddle.JobRecord, revision uint64, knownAt, now, wall time.Time) *planner.Planner {
	committedBy := func(revision uint64) time.Time {
		if revision > placedRevision {
			return time.Time{}
		}
		return knownAt
	}
	p := planner.New(yuccapaddle.PlanLimits{Retention: time.Hour, LongestLease: longestLease}, planner.WithCommitTimes(committedBy))
	p.SetTime(now, wall)
	p.SetPredecessorEnd(now)
	stored := &yuccapaddle.StoredJob{Job: job.Job, State: job.State, Parts: slices.Collect(maps.Values(job.Parts)), PartRevisions: []uint64{revision}}
	sim.c.Assert(p.Restore(stored), qt.IsNil)
	return p
}

// keptFor returns how long a planner keeps the runs of silent workers whose leases are over.
func (sim *simulation) keptFor(p *planner.Planner, now time.Time) time.Duration {
	for kept := time.Duration(0); kept < time.Minute; kept += stepTime {
		p.SetTime(now.Add(kept), now)
		for _, id := range p.BusyWorkers() {
			p.HandleLeaseExpiry(id)
		}
		if len(p.BusyWorkers()) == 0 {
			return kept
		}
	}
	sim.c.Fatal("the runs are kept")
	return 0
}

// TestStartOfFormerHostKept checks how long the runs of a former host on silent workers are kept:
// until no copy of their starts can be carried out late. What a host knows of the age of a run
// does not rest on the time of day, which steps.
func TestStartOfFormerHostKept(t *testing.T) {
	const everything = lateOrder + longestLease
	tests := []struct {
		name  string
		age   time.Duration // of the placement at the takeover
		known bool          // when the placement was committed
		again bool          // another run of the same part has changed since
		steps time.Duration // by which the time of day is ahead at the takeover
		want  time.Duration
	}{
		{"new", 0, true, false, 0, everything},
		{"new, clock ahead", 0, true, false, time.Minute, everything},
		{"new, clock behind", 0, true, false, -time.Minute, everything},
		{"some seconds old", 10 * time.Second, true, false, 0, sendTime + everything - 10*time.Second},
		{"old", sendTime + everything, true, false, 0, 0},
		{"old, clock behind", sendTime + everything, true, false, -time.Minute, 0},
		{"old, part changed", sendTime + everything, true, true, 0, 0},
		{"old, not known to be", time.Hour, false, false, time.Minute, everything},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.submit("a", queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{GPU: 1}, Estimate: 60000})
			sim.p.Plan()
			b := sim.p.TakeBatch()
			sim.p.NoteCommitted(placedRevision)
			sim.c.Assert(b.Starts, qt.HasLen, 2)
			job, revision := b.Records[0], uint64(placedRevision)
			if tt.again {
				sim.end(yuccapaddle.EndDone, b.Starts[1])
				job.Parts = sim.p.TakeBatch().Records[0].Parts
				revision = laterRevision
			}
			var knownAt time.Time
			if tt.known {
				knownAt = sim.now
			}
			now := sim.now.Add(tt.age)
			next := sim.takeOver(job, revision, knownAt, now, now.Add(tt.steps))
			kept := sim.keptFor(next, now)
			sim.c.Check(kept >= tt.want && kept <= tt.want+stepTime, qt.IsTrue, qt.Commentf("kept for %v, want %v", kept, tt.want))
		})
	}
}

// TestStartOfFormerHostSettled checks that a run that its worker lists is over with its leases,
// unless a former host has sent its start more than once: a copy may be under way still.
func TestStartOfFormerHostSettled(t *testing.T) {
	for resent, want := range map[bool]time.Duration{false: 0, true: lateOrder + longestLease} {
		sim := newSimulation(t, 1)
		sim.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 60000})
		sim.p.Plan()
		b := sim.p.TakeBatch()
		job, s := b.Records[0], b.Starts[0]
		if resent {
			sim.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
			b = sim.p.TakeBatch()
			sim.c.Assert(b.Starts, qt.HasLen, 1)
			job.Parts = b.Records[0].Parts
		}
		next := sim.takeOver(job, laterRevision, time.Time{}, sim.now, sim.now)
		next.HandlePollReply(s.Worker, &yuccapaddle.HoldReply{Incarnation: 1, Running: []yuccapaddle.Run{{Task: s.Task, Run: s.Run}}}, next.NextPoll())
		kept := sim.keptFor(next, sim.now)
		sim.c.Check(kept >= want && kept <= want+stepTime, qt.IsTrue, qt.Commentf("kept for %v, want %v", kept, want))
	}
}

// TestStartsNotSentLate checks that no copy of a start is sent later after the placement than a
// later host counts on, and that a start which is sent for a former host is permitted anew.
func TestStartsNotSentLate(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 60000})
	sim.p.Plan()
	b := sim.p.TakeBatch()
	sim.p.NoteCommitted(placedRevision)
	sim.c.Assert(b.Starts, qt.HasLen, 1)
	at := func(d time.Duration) { sim.p.SetTime(sim.now.Add(d), sim.now) }
	at(sendTime - time.Millisecond)
	sim.c.Check(sim.p.Startable(&b.Starts[0]), qt.IsTrue)
	at(sendTime)
	sim.c.Check(sim.p.Startable(&b.Starts[0]), qt.IsFalse)
	sim.c.Check(sim.p.SendBy(&b.Starts[0]), qt.Equals, sim.now.Add(sendTime))

	now := sim.now.Add(time.Hour)
	next := sim.takeOver(b.Records[0], placedRevision, sim.now, now, now)
	w := registrations(yuccapaddle.Need{CPU: workerCPU, Memory: 1000, GPU: gpus})[0]
	w.ID = b.Starts[0].Worker
	next.SetRegistrations([]yuccapaddle.Worker{w}, now)
	next.HandlePollReply(w.ID, &yuccapaddle.HoldReply{Incarnation: 1}, next.NextPoll())
	again := next.TakeBatch()
	sim.c.Assert(again.Starts, qt.HasLen, 1)
	sim.c.Check(next.SendBy(&again.Starts[0]), qt.Equals, now.Add(sendTime))
	third := sim.takeOver(yuccapaddle.JobRecord{Job: b.Records[0].Job, State: again.Records[0].State, Parts: again.Records[0].Parts}, laterRevision, sim.now, now, now)
	kept := sim.keptFor(third, now)
	sim.c.Check(kept >= lateOrder+longestLease, qt.IsTrue, qt.Commentf("kept for %v", kept))
}

// TestRoomKeptForLateStart guards against a worker over its capacity: the run of a job that may
// run only once is stopped after a start without an answer, its room is given away, and the
// worker restarts and carries that start out. The job fails without waiting for that.
func TestRoomKeptForLateStart(t *testing.T) {
	sim := newSimulation(t, 1)
	step := yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: gpus}}
	sim.p.Submit(&yuccapaddle.Job{ID: "once", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{step}, Once: true})
	sent := sim.send(sim.plan().Starts)
	sim.c.Assert(sent, qt.HasLen, 1)
	sim.submit("next", queueBatch, step)
	st := sent[0]
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, yuccapaddle.ErrNoAnswer)
	sim.p.HandleStopConfirmed(st.Worker, st.Task, st.Run)
	sim.p.HandlePollReply(st.Worker, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Check(sim.onceReport().State, qt.Equals, yuccapaddle.JobFailed)
	sim.c.Check(sim.plan().Starts, qt.HasLen, 0)
	sim.passLateOrders(st.Worker)
	sim.c.Check(sim.plan().Starts, qt.HasLen, 1)
}

// TestEndOfFormerHostsRun guards against a wait for the start of a run that a former host has sent
// only once, and that has ended.
func TestEndOfFormerHostsRun(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 60000})
	sim.p.Plan()
	b := sim.p.TakeBatch()
	s := b.Starts[0]
	next := sim.takeOver(b.Records[0], placedRevision, sim.now, sim.now, sim.now)
	next.HandlePollReply(s.Worker, &yuccapaddle.HoldReply{Incarnation: 1, Ended: []yuccapaddle.End{
		{Number: 1, Task: s.Task, Run: s.Run, Cause: yuccapaddle.EndFailed},
	}}, next.NextPoll())
	sim.c.Check(next.BusyWorkers(), qt.HasLen, 0)
}

// TestKeptRunNotLost guards against a crash that is counted for a task which had ended: its run is
// kept since its start may come late, and its worker restarts.
func TestKeptRunNotLost(t *testing.T) {
	sim := newSimulation(t, 1)
	st, _ := sim.sendUnanswered()
	sim.p.HandleStartReply(st.Worker, st.Task, st.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
	sim.p.HandleStopConfirmed(st.Worker, st.Task, st.Run)
	sim.p.HandlePollReply(st.Worker, &yuccapaddle.HoldReply{Incarnation: 1}, sim.p.NextPoll())
	sim.c.Assert(sim.p.Busy(st.Worker), qt.IsTrue)
	sim.p.TakeBatch()
	sim.p.HandlePollReply(st.Worker, &yuccapaddle.HoldReply{Incarnation: 2}, sim.p.NextPoll())
	sim.c.Check(sim.p.Busy(st.Worker), qt.IsFalse)
	for _, part := range sim.p.TakeBatch().Records[0].Parts {
		sim.c.Check(string(part), qt.Not(qt.Contains), `"l":`)
	}
}
