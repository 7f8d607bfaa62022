package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

var oneGPU = yuccapaddle.Need{CPU: 8000, Memory: 1000, GPU: 1}

// withRig runs f in virtual time on a rig with an active host.
func withRig(t *testing.T, workers int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, workers)
		r.takeOver()
		defer r.close()
		f(r)
	})
}

// firstTaskWorker returns the ID of the worker that runs the job's first task, "" if
// none does.
func (r *rig) firstTaskWorker(id string) string {
	for name, w := range r.workers {
		for _, t := range w.Running() {
			if t.Job == id && t.Index == 0 {
				return name
			}
		}
	}
	return ""
}

// TestCompletes checks that a job completes and each of its tasks runs once.
func TestCompletes(t *testing.T) {
	withRig(t, 4, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 6, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
		for i := range 6 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestWorkerLost checks that the task of a worker that is lost for good runs elsewhere
// once its lease has certainly ended, and that probing the worker does not postpone that.
func TestWorkerLost(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(4 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 4000})
		time.Sleep(time.Second)
		lost := r.firstTaskWorker("a")
		r.workers[lost].SetFault(taskrunner.FaultUnreachable)
		r.unregistered.Store(lost, true)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 15*time.Second)
	})
}

// TestStopUnanswered checks that a task is placed again after its worker answered
// neither the start nor the stop, never ran it, and then answers again.
func TestStopUnanswered(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(taskrunner.FaultUnreachable)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		time.Sleep(3 * time.Second)
		r.workers["w0"].SetFault(taskrunner.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 8*time.Second)
	})
}

// TestTakeOver checks that running tasks continue when another host takes over.
func TestTakeOver(t *testing.T) {
	withRig(t, 4, func(r *rig) {
		r.taskTime.Store(int64(5 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 5000})
		time.Sleep(2 * time.Second)
		r.takeOver()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
		for i := range 4 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestStartUnsent checks that the next host sends a start whose placement was committed
// by a host that was lost before it sent the order.
func TestStartUnsent(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.workers["w0"].SetFault(taskrunner.FaultUnreachable)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.workers["w0"].SetFault(taskrunner.FaultNone)
		r.takeOver()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 4*time.Second)
	})
}

// TestGoneAtTakeOver checks that the task of a worker that was lost just before another
// host took over, and is never registered since, runs elsewhere in the end.
func TestGoneAtTakeOver(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(25 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 25000})
		r.follow()
		time.Sleep(oldRun)
		lost := r.firstTaskWorker("a")
		r.workers[lost].SetFault(taskrunner.FaultUnreachable)
		r.unregistered.Store(lost, true)
		r.takeOver()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 36*time.Second)
	})
}

// TestLateStart checks that a task does not run on two workers when the first copy of
// its start gets no reply and is executed seconds later.
func TestLateStart(t *testing.T) {
	withRig(t, 3, func(r *rig) {
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultDelayed)
		}
		r.taskTime.Store(int64(5 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 3, Need: oneGPU, Estimate: 5000})
		time.Sleep(600 * time.Millisecond)
		for _, id := range []string{"w1", "w2"} {
			r.workers[id].SetFault(taskrunner.FaultNone)
		}
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 20*time.Second)
	})
}

// TestStartReplyLost checks that a task does not start on a second worker while the first
// one, which executes all orders but replies to none, may run it.
func TestStartReplyLost(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(8 * time.Second))
		r.submit("before", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 8000})
		time.Sleep(1800 * time.Millisecond)
		busy := r.firstTaskWorker("before")
		r.workers[busy].SetFault(taskrunner.FaultLostReply)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 8000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 30*time.Second)
	})
}

// TestRestartSameID checks that a task runs again after its worker restarted under the
// same ID.
func TestRestartSameID(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		time.Sleep(time.Second)
		r.workers["w0"].Restart()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 6*time.Second)
	})
}

// TestUrgentPreempts checks that an urgent job on a full cluster starts within the time
// limit for reclaiming a share.
func TestUrgentPreempts(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(30 * time.Second))
		r.submit("long", "batch", yuccapaddle.Step{Count: 16, Need: oneGPU, Estimate: 30000})
		time.Sleep(time.Second)
		r.submit("now", "quick", yuccapaddle.Step{Count: 4, Need: oneGPU, Gang: true, Estimate: 2000})
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

// TestCancelStops checks that a cancelled job's tasks are stopped and not started again.
func TestCancelStops(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(30 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 30000})
		time.Sleep(time.Second)
		found, err := r.exec.Cancel(r.t.Context(), "a", yuccapaddle.Caller{Queue: "batch"})
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsTrue)
		time.Sleep(time.Second)
		r.c.Check(r.firstTaskWorker("a"), qt.Equals, "")
		r.c.Check(r.state("a", "batch"), qt.Equals, yuccapaddle.JobCanceled)
	})
}

// running returns the number of running tasks of a job.
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

// TestAdvised checks that a job of an advised queue runs only on a worker for which the
// advice service issued a ticket, and that its start carries the ticket.
func TestAdvised(t *testing.T) {
	withRig(t, 3, func(r *rig) {
		for _, w := range r.workers {
			w.SetTicket("t")
		}
		r.submit("a", "advised", yuccapaddle.Step{Count: 3, Need: oneGPU, Estimate: 2000})
		r.waitForState("a", "advised", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.DeepEquals, []string{"w1"})
	})
}

// TestGuaranteeReclaims checks that a workspace reclaims exactly its guarantee from
// another one whose urgent jobs use more than theirs.
func TestGuaranteeReclaims(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(30 * time.Second))
		r.submitFor("south", "big", "quick", yuccapaddle.Step{Count: 16, Need: oneGPU, Estimate: 30000})
		time.Sleep(time.Second)
		r.c.Assert(r.running("big"), qt.Equals, 16)
		r.submitFor("north", "own", "quick", yuccapaddle.Step{Count: 8, Need: oneGPU, Gang: true, Estimate: 30000})
		time.Sleep(2900 * time.Millisecond)
		r.c.Check(r.running("own"), qt.Equals, 8)
		r.c.Check(r.running("big"), qt.Equals, 8)
	})
}

// TestPace checks that a spare task is halted when the latency of a serving task on the
// same worker nears its target, and resumed when it has dropped.
func TestPace(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.taskTime.Store(int64(60 * time.Second))
		r.submit("serves", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Endless: true, TargetMS: 100})
		r.submit("fills", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Spare: true, Estimate: 60000})
		pace := func() int { return r.workers["w0"].Paces()[yuccapaddle.TaskID{Job: "fills"}] }
		r.workers["w0"].SetGauge(95)
		time.Sleep(3 * time.Second)
		r.c.Check(pace(), qt.Equals, 0)
		r.workers["w0"].SetGauge(20)
		time.Sleep(5 * time.Second)
		r.c.Check(pace(), qt.Equals, 100)
	})
}

// TestLimitsUnavailableNotPreempted checks that the tasks of a step that
// allows none to be down are not preempted by an urgent job.
func TestLimitsUnavailableNotPreempted(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		r.taskTime.Store(int64(60 * time.Second))
		r.submit("kept", "batch", yuccapaddle.Step{Count: 6, Need: oneGPU, Endless: true, LimitsUnavailable: true})
		time.Sleep(time.Second)
		r.submit("now", "quick", yuccapaddle.Step{Count: 4, Need: oneGPU, Gang: true, Estimate: 2000})
		time.Sleep(3 * time.Second)
		r.c.Check(r.running("kept"), qt.Equals, 6)
	})
}

// TestStartAfterRestart checks that a start that a worker executes right after a restart
// that the host has not noticed yet is not taken for a run from before the restart, and
// started elsewhere while it goes on. Soak seeds 5 and 9 found this.
func TestStartAfterRestart(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(6 * time.Second))
		r.submit("before", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 6000})
		time.Sleep(time.Second)
		r.workers[r.firstTaskWorker("before")].Restart()
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 6000})
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 15*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
		r.waitForState("before", "batch", yuccapaddle.JobCompleted, 15*time.Second)
	})
}

// startDropper is a Runner that drops the first start of the first task of job "a".
type startDropper struct {
	*rig
	dropped atomic.Bool
}

// Start implements yuccapaddle.Runner.
func (d *startDropper) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if o.Task.Job == "a" && o.Task.Index == 0 && o.Run == 1 {
		d.dropped.Store(true)
		return 0, yuccapaddle.ErrNoAnswer
	}
	return d.rig.Start(ctx, w, o)
}

// TestLostStartOfGang checks that a gang with a lost start is placed again as soon as that can
// no longer be carried out, not only when the pending hold returns.
func TestLostStartOfGang(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(30 * time.Second))
		dropper := &startDropper{rig: r}
		r.runner = dropper
		r.takeOver()
		r.submit("before", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 30000})
		time.Sleep(2500 * time.Millisecond)
		r.submit("a", "quick", yuccapaddle.Step{Count: 4, Need: oneGPU, Gang: true, Estimate: 2000})
		time.Sleep(1500 * time.Millisecond)
		r.c.Check(dropper.dropped.Load(), qt.IsTrue)
		r.c.Check(r.running("a"), qt.Equals, 0)
		time.Sleep(lateOrder - time.Second)
		r.c.Check(r.running("a"), qt.Equals, 4)
	})
}

// TestDoneBeforeRepeat checks that a task runs once when its start is executed without a
// reply and the task is done before the start is sent again: the worker refuses the
// repeated start, which must not lead to a second run.
func TestDoneBeforeRepeat(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(300 * time.Millisecond))
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultLostReply)
		}
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 300})
		time.Sleep(400 * time.Millisecond)
		for _, w := range r.workers {
			w.SetFault(taskrunner.FaultNone)
		}
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 1)
	})
}

// TestShowWaits checks that Show returns when the job ends, or at the given time.
func TestShowWaits(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		start := time.Now()
		report, found, err := r.exec.Show(r.t.Context(), "a", yuccapaddle.Caller{}, start.Add(500*time.Millisecond))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsTrue)
		r.c.Check(report.State, qt.Equals, yuccapaddle.JobRunning)
		r.c.Check(time.Since(start), qt.Equals, 500*time.Millisecond)
		report, _, err = r.exec.Show(r.t.Context(), "a", yuccapaddle.Caller{}, start.Add(10*time.Second))
		r.c.Assert(err, qt.IsNil)
		r.c.Check(report, qt.DeepEquals, yuccapaddle.JobReport{State: yuccapaddle.JobCompleted, MayHaveRun: true, Runs: 1})
		r.c.Check(time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	})
}

// TestInfeasibleRefused checks that a strict job that the registered workers could not
// hold is refused at once and leaves no record, while a job of the same size that is not
// strict waits.
func TestInfeasibleRefused(t *testing.T) {
	withRig(t, 2, func(r *rig) {
		time.Sleep(100 * time.Millisecond) // until the registrations have been read
		wide := yuccapaddle.Step{Count: 3, Need: yuccapaddle.Need{GPU: 8}, Gang: true}
		job := &yuccapaddle.Job{ID: "a", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{wide}, Strict: true}
		err := r.exec.Submit(r.t.Context(), job)
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		_, found, err := r.exec.Show(r.t.Context(), "a", yuccapaddle.Caller{}, time.Time{})
		r.c.Assert(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse)
		r.submit("b", "batch", wide)
		r.c.Check(r.state("b", "batch"), qt.Equals, yuccapaddle.JobQueued)
	})
}
