package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/laborer"
)

var one = yuccapaddle.Need{CPU: 8000, Memory: 1000, GPU: 1}

func play(t *testing.T, workers int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, workers)
		r.takeOver()
		defer r.close()
		f(r)
	})
}

// holder is the worker that runs the job's first task.
func (r *rig) holder(id string) string {
	for name, w := range r.workers {
		for _, t := range w.Running() {
			if t.Job == id && t.Index == 0 {
				return name
			}
		}
	}
	return ""
}

// TestCompletes: a job of several steps is done and each task runs once.
func TestCompletes(t *testing.T) {
	play(t, 4, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 6, Need: one, Estimate: 2000})
		r.settles("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
		for i := range 6 {
			r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestServerGone: a worker is lost for good; its task runs elsewhere once its
// lease is certainly over, however often it was asked meanwhile.
func TestServerGone(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(4 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 4000})
		time.Sleep(time.Second)
		lost := r.holder("a")
		r.workers[lost].SetFault(laborer.FaultCut)
		r.hidden.Store(lost, true)
		r.settles("a", "batch", yuccapaddle.JobCompleted, 15*time.Second)
	})
}

// TestStopUnanswered: a worker answers neither starts nor stops and runs
// nothing; once it answers again the task is placed anew.
func TestStopUnanswered(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(laborer.FaultCut)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		time.Sleep(3 * time.Second)
		r.workers["w0"].SetFault(laborer.FaultNone)
		r.settles("a", "batch", yuccapaddle.JobCompleted, 8*time.Second)
	})
}

// TestTakeOver: another host takes over while tasks run; they run on.
func TestTakeOver(t *testing.T) {
	play(t, 4, func(r *rig) {
		r.took.Store(int64(5 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: one, Estimate: 5000})
		time.Sleep(2 * time.Second)
		r.takeOver()
		r.settles("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
		for i := range 4 {
			r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestStartUnsent: the host is lost between the commit of a placement and its
// order; the next one sends it.
func TestStartUnsent(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(laborer.FaultCut)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		r.workers["w0"].SetFault(laborer.FaultNone)
		r.takeOver()
		r.settles("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
	})
}

// TestGoneAtTakeOver: a worker that left while the role moved never registers
// with the new host; its task does not wait for it for ever.
func TestGoneAtTakeOver(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(4 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 4000})
		time.Sleep(time.Second)
		lost := r.holder("a")
		r.workers[lost].SetFault(laborer.FaultCut)
		r.hidden.Store(lost, true)
		r.takeOver()
		r.settles("a", "batch", yuccapaddle.JobCompleted, 15*time.Second)
	})
}

// TestLateStart: the first copy of a start gets no answer and is carried out
// seconds later; the task does not run on two workers.
func TestLateStart(t *testing.T) {
	play(t, 3, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(laborer.FaultLate)
		}
		r.took.Store(int64(5 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 3, Need: one, Estimate: 5000})
		time.Sleep(600 * time.Millisecond)
		for _, id := range []string{"w1", "w2"} {
			r.workers[id].SetFault(laborer.FaultNone)
		}
		r.settles("a", "batch", yuccapaddle.JobCompleted, 20*time.Second)
	})
}

// TestSilentRepeat: a worker carries a start out, answers nothing and is then
// not to be had for the repeat; the task does not start elsewhere meanwhile.
func TestSilentRepeat(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(8 * time.Second))
		r.submit("before", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 8000})
		time.Sleep(1800 * time.Millisecond)
		busy := r.holder("before")
		r.workers[busy].SetFault(laborer.FaultMute)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 8000})
		r.settles("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
	})
}

// TestStoreDown: nothing is accepted or started without the store, and what
// runs goes on.
func TestStoreDown(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(4 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: one, Estimate: 4000})
		time.Sleep(500 * time.Millisecond)
		r.store.SetFault(bookkeeper.FaultSilent)
		time.Sleep(8 * time.Second)
		r.c.Check(r.state("a", "batch"), qt.Equals, yuccapaddle.JobRunning)
		r.store.SetFault(bookkeeper.FaultNone)
		r.settles("a", "batch", yuccapaddle.JobCompleted, 2*time.Second)
		for i := range 2 {
			r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestAnswerLost: commits are carried out and not answered; nothing runs twice.
func TestAnswerLost(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: one, Estimate: 2000})
		time.Sleep(1500 * time.Millisecond)
		r.store.SetFault(bookkeeper.FaultLost)
		time.Sleep(3 * time.Second)
		r.store.SetFault(bookkeeper.FaultNone)
		r.settles("a", "batch", yuccapaddle.JobCompleted, 3*time.Second)
		for i := range 2 {
			r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestRestartSameID: a worker starts anew under its ID; its task runs again.
func TestRestartSameID(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		time.Sleep(time.Second)
		r.workers["w0"].Restart()
		r.settles("a", "batch", yuccapaddle.JobCompleted, 6*time.Second)
	})
}

// TestUrgentTakesRoom: an urgent job on a full cluster starts within the time in
// which a share has to be given back.
func TestUrgentTakesRoom(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(30 * time.Second))
		r.submit("long", "batch", yuccapaddle.Step{Count: 16, Need: one, Estimate: 30000})
		time.Sleep(time.Second)
		r.submit("now", "quick", yuccapaddle.Step{Count: 4, Need: one, Gang: true, Estimate: 2000})
		time.Sleep(time.Second)
		n := 0
		for _, w := range r.workers {
			for _, task := range w.Running() {
				if task.Job == "now" {
					n++
				}
			}
		}
		r.c.Check(n, qt.Equals, 4)
	})
}

// TestCancelStops: a cancelled job's tasks are stopped and not started again.
func TestCancelStops(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(30 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: one, Estimate: 30000})
		time.Sleep(time.Second)
		found, err := r.exec.Cancel(r.t.Context(), "a", "batch")
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsTrue)
		time.Sleep(time.Second)
		r.c.Check(r.holder("a"), qt.Equals, "")
		r.c.Check(r.state("a", "batch"), qt.Equals, yuccapaddle.JobCanceled)
	})
}

// TestRefusedWhileAway: with the store away, a job that is not part of a commit
// is refused at once and truly: it is not run later.
func TestRefusedWhileAway(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		r.store.SetFault(bookkeeper.FaultSilent)
		ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
		defer cancel()
		first := &yuccapaddle.Job{ID: "b", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: one}}}
		r.group.Go(func() error {
			_ = r.exec.Submit(ctx, first) // its commit hangs: what becomes of it is not known
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		late := &yuccapaddle.Job{ID: "c", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 1, Need: one}}}
		err := r.exec.Submit(ctx, late)
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotTaken)
		r.c.Check(time.Since(begun) < time.Second, qt.IsTrue)
		r.store.SetFault(bookkeeper.FaultNone)
		time.Sleep(5 * time.Second)
		r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "c"}), qt.HasLen, 0)
	})
}

// running counts the tasks of a job that are in work.
func (r *rig) running(id string) int {
	n := 0
	for _, w := range r.workers {
		for _, task := range w.Running() {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}

// TestAdvised: a job whose queue is advised runs where the advice allows it,
// with the ticket.
func TestAdvised(t *testing.T) {
	play(t, 3, func(r *rig) {
		for _, w := range r.workers {
			w.SetTicket("t")
		}
		r.submit("a", "advised", yuccapaddle.Step{Count: 3, Need: one, Estimate: 2000})
		r.settles("a", "advised", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a"}), qt.DeepEquals, []string{"w1"})
	})
}

// TestGuaranteeReclaims: a workspace gets its guarantee back from another that
// uses more than its own for urgent jobs, and not more than that.
func TestGuaranteeReclaims(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(30 * time.Second))
		r.submitFor("south", "big", "quick", yuccapaddle.Step{Count: 16, Need: one, Estimate: 30000})
		time.Sleep(time.Second)
		r.c.Assert(r.running("big"), qt.Equals, 16)
		r.submitFor("north", "own", "quick", yuccapaddle.Step{Count: 8, Need: one, Gang: true, Estimate: 30000})
		time.Sleep(2900 * time.Millisecond)
		r.c.Check(r.running("own"), qt.Equals, 8)
		r.c.Check(r.running("big"), qt.Equals, 8)
	})
}

// TestPace: what fills a worker is halted when a serving task nears its target,
// and goes on when it does not any more.
func TestPace(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.took.Store(int64(60 * time.Second))
		r.submit("serves", "batch", yuccapaddle.Step{Count: 1, Need: one, Endless: true, Target: 100})
		r.submit("fills", "batch", yuccapaddle.Step{Count: 1, Need: one, Spare: true, Estimate: 60000})
		pace := func() int { return r.workers["w0"].Paces()[yuccapaddle.TaskID{Job: "fills"}] }
		r.workers["w0"].SetGauge(95)
		time.Sleep(3 * time.Second)
		r.c.Check(pace(), qt.Equals, 0)
		r.workers["w0"].SetGauge(20)
		time.Sleep(5 * time.Second)
		r.c.Check(pace(), qt.Equals, 100)
	})
}

// TestKept: tasks of which none may be away are not stopped for urgent work.
func TestKept(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.took.Store(int64(60 * time.Second))
		r.submit("kept", "batch", yuccapaddle.Step{Count: 6, Need: one, Endless: true, Kept: true})
		time.Sleep(time.Second)
		r.submit("now", "quick", yuccapaddle.Step{Count: 4, Need: one, Gang: true, Estimate: 2000})
		time.Sleep(3 * time.Second)
		r.c.Check(r.running("kept"), qt.Equals, 6)
	})
}

// TestStartAfterRestart: a start is carried out by the next life of a worker
// before anybody knows of it; the run is not taken for one of the former life
// and started elsewhere while it goes on. Found by soak seeds 5 and 9.
func TestStartAfterRestart(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(6 * time.Second))
		r.submit("before", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 6000})
		time.Sleep(time.Second)
		r.workers[r.holder("before")].Restart()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 6000})
		r.settles("a", "batch", yuccapaddle.JobCompleted, 15*time.Second)
		r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
		r.settles("before", "batch", yuccapaddle.JobCompleted, 15*time.Second)
	})
}

// lossy loses the first start of a task on its way; everything else arrives.
type lossy struct {
	*rig
	lost atomic.Bool
}

// Start implements yuccapaddle.Runner.
func (l *lossy) Start(ctx context.Context, s *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if o.Task.Job == "a" && o.Task.Index == 0 && o.Run == 1 {
		l.lost.Store(true)
		return 0, yuccapaddle.ErrNoAnswer
	}
	return l.rig.Start(ctx, s, o)
}

// TestLostStartOfGang: a start is lost and the stop of the run is confirmed; the
// gang is placed anew as soon as that is known, not when a waiting list returns.
func TestLostStartOfGang(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(30 * time.Second))
		l := &lossy{rig: r}
		r.runner = l
		r.takeOver()
		r.submit("before", "batch", yuccapaddle.Step{Count: 2, Need: one, Estimate: 30000})
		time.Sleep(2500 * time.Millisecond)
		r.submit("a", "quick", yuccapaddle.Step{Count: 4, Need: one, Gang: true, Estimate: 2000})
		time.Sleep(1500 * time.Millisecond)
		r.c.Check(l.lost.Load(), qt.IsTrue)
		r.c.Check(r.running("a"), qt.Equals, 4)
	})
}

// TestDoneBeforeRepeat: a start is carried out and not answered, and the task is
// done before the start is sent again; the refusal of the repeat is no reason to
// run it a second time.
func TestDoneBeforeRepeat(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.took.Store(int64(300 * time.Millisecond))
		for _, w := range r.workers {
			w.SetFault(laborer.FaultMute)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 300})
		time.Sleep(400 * time.Millisecond)
		for _, w := range r.workers {
			w.SetFault(laborer.FaultNone)
		}
		r.settles("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.starts.Of(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}

// TestShowWaits: a caller who waits is answered when the job ends, or when its time
// is over, and leaves nothing behind.
func TestShowWaits(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: one, Estimate: 2000})
		begun := time.Now()
		report, found, err := r.exec.Show(r.t.Context(), "a", "", begun.Add(500*time.Millisecond))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsTrue)
		r.c.Check(report.State, qt.Equals, yuccapaddle.JobRunning)
		r.c.Check(time.Since(begun), qt.Equals, 500*time.Millisecond)
		report, _, err = r.exec.Show(r.t.Context(), "a", "", begun.Add(10*time.Second))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(report, qt.DeepEquals, yuccapaddle.JobReport{State: yuccapaddle.JobCompleted, Ran: true, Runs: 1})
		r.c.Check(time.Since(begun) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	})
}

// TestHopelessRefused: a strict job that no workers could hold is refused at once
// and leaves no record; another job of its size waits.
func TestHopelessRefused(t *testing.T) {
	play(t, 2, func(r *rig) {
		time.Sleep(100 * time.Millisecond) // until the workers are known
		wide := yuccapaddle.Step{Count: 3, Need: yuccapaddle.Need{GPU: 8}, Gang: true}
		job := &yuccapaddle.Job{ID: "a", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{wide}, Strict: true}
		err := r.exec.Submit(r.t.Context(), job)
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotTaken)
		_, found, err := r.exec.Show(r.t.Context(), "a", "", time.Time{})
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse)
		r.submit("b", "batch", wide)
		r.c.Check(r.state("b", "batch"), qt.Equals, yuccapaddle.JobQueued)
	})
}
