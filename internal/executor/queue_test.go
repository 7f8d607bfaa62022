package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// rulesTime is longer than the rig takes to put changed rules into force.
const rulesTime = 2 * time.Second

// printsQueue is a queue that renamed gives another name.
var (
	printsQueue = yuccapaddle.Queue{Name: "prints", Authority: "h", Prefix: "/prints/", Service: "svc", Priority: 2, Attempts: 3}
	renamed     = yuccapaddle.Queue{Name: "prints-b", Authority: "h", Prefix: "/prints/", Service: "svc", Priority: 2, Attempts: 3}
)

// callerOf returns a caller of a workspace through a queue.
func callerOf(q *yuccapaddle.Queue, workspace string) yuccapaddle.Caller {
	return yuccapaddle.Caller{Queue: q.Name, Workspace: workspace, Origin: yuccapaddle.Origin{Authority: q.Authority, Prefix: q.Prefix}}
}

// printsJob returns a job of workspace north in printsQueue.
func (r *rig) printsJob(id string) *yuccapaddle.Job {
	j := r.smallJob(id)
	c := callerOf(&printsQueue, "north")
	j.Queue, j.Workspace, j.Origin = c.Queue, c.Workspace, &c.Origin
	return j
}

// sees reports whether a caller is told that there is a job.
func (r *rig) sees(id string, c yuccapaddle.Caller) bool {
	r.t.Helper()
	_, found, err := r.exec.Show(r.t.Context(), id, c, time.Time{})
	r.c.Assert(err, qt.IsNil)
	return found
}

// checkRenamed checks who may see a job of printsQueue after it was renamed.
func (r *rig) checkRenamed(id string) {
	r.t.Helper()
	r.c.Check(r.sees(id, callerOf(&renamed, "north")), qt.IsTrue)
	r.c.Check(r.sees(id, callerOf(&renamed, "south")), qt.IsFalse)
}

// TestRenamedQueue guards against a running job that nobody can query or cancel any more once
// its queue was renamed, before and after the role has moved.
func TestRenamedQueue(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(time.Minute))
		r.setQueues(printsQueue)
		time.Sleep(rulesTime)
		r.c.Assert(r.exec.Submit(r.t.Context(), r.printsJob("a")), qt.IsNil)
		time.Sleep(time.Second)
		r.setQueues(renamed)
		time.Sleep(rulesTime)
		r.checkRenamed("a")
		r.takeOver()
		r.checkRenamed("a")
		time.Sleep(rulesTime)
		found, err := r.exec.Cancel(r.t.Context(), "a", callerOf(&renamed, "south"))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse)
		r.c.Check(r.running("a"), qt.Equals, 1)
		found, err = r.exec.Cancel(r.t.Context(), "a", callerOf(&renamed, "north"))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsTrue)
		time.Sleep(time.Second)
		r.c.Check(r.running("a"), qt.Equals, 0)
	})
}

// TestRenamedWhileCommitting guards against a job that its caller cannot see after a rename
// while the job waits for its commit.
func TestRenamedWhileCommitting(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.setQueues(printsQueue)
		time.Sleep(rulesTime)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		accepted := r.callFor(10*time.Second, r.printsJob("a"))
		time.Sleep(100 * time.Millisecond)
		r.setQueues(renamed)
		time.Sleep(rulesTime)
		r.c.Check(r.sees("a", callerOf(&renamed, "north")), qt.IsTrue)
		r.ledger.SetFault(bookkeeper.FaultNone)
		<-accepted.done
		r.c.Check(accepted.err, qt.IsNil)
		r.checkRenamed("a")
	})
}

// TestRenamedWhileHeld guards against a held submission that is admitted although its caller
// has cancelled the job, through the queue under its new name, and against one that a caller
// of another workspace cancels.
func TestRenamedWhileHeld(t *testing.T) {
	withStalledCommit(t, 10, func(r *rig, _ *call) {
		held := r.callFor(10*time.Second, r.printsJob("1"))
		time.Sleep(time.Second)
		cancel := func(workspace string) {
			ctx, stop := context.WithTimeout(r.t.Context(), 100*time.Millisecond)
			defer stop()
			_, err := r.exec.Cancel(ctx, "1", callerOf(&renamed, workspace))
			r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrUnknown) // the commit hangs
		}
		cancel("south")
		select {
		case <-held.done:
			r.c.Fatal("another workspace has cancelled it")
		default:
		}
		cancel("north")
		<-held.done
		r.c.Check(held.err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
	})
}

// TestRenamedEarlierRecord guards against a job that nobody can query any more, if a host of
// an earlier version accepted it, which did not record how it was handed in.
func TestRenamedEarlierRecord(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		j := r.printsJob("a")
		j.Origin = nil
		r.c.Assert(r.exec.Submit(r.t.Context(), j), qt.IsNil)
		r.setQueues(renamed)
		r.takeOver()
		r.checkRenamed("a")
	})
}

// TestCallerOfLaterRules guards against a caller that is told that its job does not exist by
// an active host that has not read the version of the rules by which the caller was
// identified.
func TestCallerOfLaterRules(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		elsewhere := yuccapaddle.Queue{Name: "elsewhere", Authority: "h", Prefix: "/elsewhere/", Service: "svc"}
		r.setQueues(printsQueue)
		time.Sleep(rulesTime)
		r.c.Assert(r.exec.Submit(r.t.Context(), r.printsJob("a")), qt.IsNil)
		caller := callerOf(&elsewhere, "north")
		r.c.Check(r.sees("a", caller), qt.IsFalse)
		caller.Version = r.rulesVersion.Load() + 1
		_, _, err := r.exec.Show(r.t.Context(), "a", caller, time.Time{})
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		_, err = r.exec.Cancel(r.t.Context(), "a", caller)
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		r.setQueues(elsewhere)
		time.Sleep(rulesTime)
		r.c.Check(r.sees("a", caller), qt.IsTrue)
	})
}
