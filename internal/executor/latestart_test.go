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

// copyTime is when a late copy is carried out, after it was sent: shortly before the last
// moment at which it can be.
const copyTime = lateOrder - 100*time.Millisecond

// lateCopy is a Runner that leaves the first start of job "a" unanswered. Its worker carries it
// out when deliver is called, whether hosts reach it or not.
type lateCopy struct {
	*rig
	order  atomic.Pointer[sentStart]
	sent   chan struct{} // closed once it was sent
	cutOff atomic.Bool   // no host reaches its worker
}

// sentStart is a start that was sent to a worker.
type sentStart struct {
	worker string // its ID
	order  yuccapaddle.StartOrder
}

func newLateCopy(r *rig) *lateCopy {
	l := &lateCopy{rig: r, sent: make(chan struct{})}
	r.runner = l
	return l
}

// Start implements yuccapaddle.Runner.
func (l *lateCopy) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if o.Task.Job == "a" && l.order.CompareAndSwap(nil, &sentStart{w.ID, o}) {
		close(l.sent)
		<-ctx.Done()
	}
	if ctx.Err() != nil || l.isCutOff(ctx, w) {
		return 0, yuccapaddle.ErrNoAnswer
	}
	return l.rig.Start(ctx, w, o)
}

// Stop implements yuccapaddle.Runner.
func (l *lateCopy) Stop(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StopOrder) (int64, error) {
	if l.isCutOff(ctx, w) {
		return 0, yuccapaddle.ErrNoAnswer
	}
	return l.rig.Stop(ctx, w, o)
}

// Hold implements yuccapaddle.Runner.
func (l *lateCopy) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	if l.isCutOff(ctx, w) {
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
	before := l.workers[w.ID].Worker().Incarnation
	reply, err := l.rig.Hold(ctx, w, o)
	if err == nil && (l.workers[w.ID].Worker().Incarnation != before || l.isCutOff(ctx, w)) {
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
	return reply, err
}

// isCutOff waits for the end of a call to a worker that is cut off.
func (l *lateCopy) isCutOff(ctx context.Context, w *yuccapaddle.Worker) bool {
	if s := l.order.Load(); s == nil || w.ID != s.worker || !l.cutOff.Load() {
		return false
	}
	<-ctx.Done()
	return true
}

// lateWorker returns the worker of the late copy.
func (l *lateCopy) lateWorker() *taskrunner.TaskRunner { return l.workers[l.order.Load().worker] }

// deliver has the worker of the late copy carry it out.
func (l *lateCopy) deliver() { _, _ = l.lateWorker().Start(context.Background(), l.order.Load().order) }

// crash restarts the worker of the late copy. No host reaches it for the given time from now.
func (l *lateCopy) crash(cutOffTime time.Duration) {
	l.cutOff.Store(true)
	l.lateWorker().Restart()
	time.AfterFunc(cutOffTime, func() { l.cutOff.Store(false) })
}

// TestLeaseOfLateStart guards against two runs of a task at once: the worker of a start without
// an answer restarts under its ID, stays out of reach, and carries the start out shortly before
// that is no longer possible. The run has a lease from then on.
func TestLeaseOfLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		l := newLateCopy(r)
		r.taskTime.Store(int64(40 * time.Second))
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(20 * time.Second)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 40000})
		<-l.sent
		time.AfterFunc(copyTime, l.deliver)
		time.AfterFunc(5*time.Second, func() { l.crash(time.Minute) })
		l.cutOff.Store(true)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 90*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.HasLen, 2)
	})
}
