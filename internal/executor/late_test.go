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

// lateOrder is how long after it was sent an order may be carried out.
const lateOrder = 12 * time.Second

// lateStarter is a Runner that leaves the first start of job "a" unanswered and carries it out
// lateOrder later. Calls whose worker restarts meanwhile have no answer.
type lateStarter struct {
	*rig
	worker atomic.Value // ID of the worker of that start
}

// Start implements yuccapaddle.Runner.
func (l *lateStarter) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if o.Task.Job != "a" || !l.worker.CompareAndSwap(nil, w.ID) {
		return l.rig.Start(ctx, w, o)
	}
	to := *w
	time.AfterFunc(lateOrder, func() { _, _ = l.workers[to.ID].Start(context.Background(), o) })
	<-ctx.Done()
	return 0, yuccapaddle.ErrNoAnswer
}

// Hold implements yuccapaddle.Runner.
func (l *lateStarter) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	before := l.workers[w.ID].Worker().Incarnation
	reply, err := l.rig.Hold(ctx, w, o)
	if err == nil && l.workers[w.ID].Worker().Incarnation != before {
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
	return reply, err
}

// TestAckOfFormerLife guards against a second run of a task that is done: a worker that has
// restarted carries out a start before the restart is noticed, and the next hold acknowledges
// the end of that run with the number of an end from before.
func TestAckOfFormerLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		l := &lateStarter{rig: r}
		r.runner = l
		l.worker.Store("none")
		r.takeOver()
		defer func() { r.close() }()
		r.taskTime.Store(int64(500 * time.Millisecond))
		r.submit("before", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 500})
		r.waitForState("before", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("long", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(3 * time.Second)
		r.workers["w0"].Restart()
		r.taskTime.Store(int64(50 * time.Millisecond))
		r.submit("b", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 50})
		r.waitForState("b", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "b"}), qt.HasLen, 1)
	})
}

// TestListBeforeFence guards against two runs of a task at once: of two holds under way when a
// worker restarts, the reply to the first one tells of the restart, and the other one's list,
// which the new life has given before it has seen the raised token, ends the run; a late copy
// of its start is then carried out.
func TestListBeforeFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		l := &lateStarter{rig: r}
		r.runner = &rawHolds{l}
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(2 * time.Second)
		restarted := r.workers[l.worker.Load().(string)]
		r.c.Assert(r.running("a"), qt.Equals, 1)
		restarted.Restart()
		restarted.Drain() // the task goes elsewhere
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 60*time.Second)
	})
}

// rawHolds is a lateStarter whose pending holds are answered by the next life of a worker that
// restarts quickly.
type rawHolds struct{ *lateStarter }

// Hold implements yuccapaddle.Runner.
func (r *rawHolds) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	return r.rig.Hold(ctx, w, o)
}

// TestLateStartInNextLife guards against two runs of a task at once: a worker crashes right
// after a start was sent, its leases end, the task runs elsewhere, and the worker, back under
// its ID and not reached yet, carries the start out: its deadline is a time of the former
// clock, and the worker has seen no token.
func TestLateStartInNextLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		l := &lateStarter{rig: r}
		r.runner = l
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		r.taskTime.Store(int64(20 * time.Second))
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 20000})
		time.Sleep(200 * time.Millisecond)
		crashed := r.workers[l.worker.Load().(string)]
		crashed.SetFault(taskrunner.FaultUnreachable)
		time.Sleep(lateOrder - 300*time.Millisecond)
		crashed.Restart()
		time.AfterFunc(50*time.Millisecond, func() { crashed.SetFault(taskrunner.FaultNone) })
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 60*time.Second)
	})
}
