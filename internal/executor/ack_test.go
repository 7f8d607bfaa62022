package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

// lossyHolds is a Runner whose replies to holds overtake one another and get lost, decided by
// a seed, until calm is set. It counts the holds.
type lossyHolds struct {
	*rig
	mu    sync.Mutex
	rng   *rand.Rand
	calm  atomic.Bool
	count atomic.Int64
}

// Hold implements yuccapaddle.Runner.
func (l *lossyHolds) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	l.count.Add(1)
	l.mu.Lock()
	delay, lost := time.Millisecond+time.Duration(l.rng.Int64N(int64(400*time.Millisecond))), l.rng.IntN(5) == 0
	l.mu.Unlock()
	if l.calm.Load() {
		delay, lost = time.Millisecond, false
	}
	reply, err := l.rig.Hold(ctx, w, o)
	time.Sleep(delay)
	if lost || ctx.Err() != nil {
		return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
	}
	return reply, err
}

// TestEndsAcknowledged guards against ends that are never acknowledged, and against holds that
// go out without end, where replies overtake one another or are lost and workers restart.
func TestEndsAcknowledged(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				l := &lossyHolds{rig: r, rng: rand.New(rand.NewPCG(seed, 0))}
				r.runner = l
				r.taskTime.Store(int64(300 * time.Millisecond))
				r.takeOver()
				defer func() { r.close() }()
				for i := range 6 {
					r.submit(fmt.Sprintf("j%d", i), "batch", yuccapaddle.Step{Count: 40, Need: oneGPU, Estimate: 300})
					time.Sleep(time.Second)
					if (seed+uint64(i))%3 == 0 {
						r.workers["w0"].Restart()
					}
				}
				l.calm.Store(true)
				for i := range 6 {
					r.waitForState(fmt.Sprintf("j%d", i), "batch", yuccapaddle.JobCompleted, 60*time.Second)
				}
				time.Sleep(5 * time.Second)
				l.count.Store(0)
				time.Sleep(10 * time.Second)
				r.c.Check(l.count.Load(), qt.Equals, int64(0), qt.Commentf("holds to workers that run nothing"))
				for id, w := range r.workers {
					reply, err := w.Hold(r.t.Context(), yuccapaddle.HoldOrder{Token: 1 << 60})
					r.c.Assert(err, qt.IsNil)
					r.c.Check(reply.Ended, qt.HasLen, 0, qt.Commentf("worker %s", id))
				}
			})
		})
	}
}

// TestEndsAcknowledgedAfterCut guards against ends that are never acknowledged since their worker
// was cut off, until its leases were over, after it had listed them and before they were committed.
func TestEndsAcknowledgedAfterCut(t *testing.T) {
	withRig(t, 1, func(r *rig) {
		worker := r.workers["w0"]
		r.submit("a", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 2000})
		time.Sleep(1900 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		time.Sleep(300 * time.Millisecond) // the ends are listed
		worker.SetFault(taskrunner.FaultUnreachable)
		time.Sleep(12 * time.Second)
		r.ledger.SetFault(bookkeeper.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		worker.SetFault(taskrunner.FaultNone)
		time.Sleep(5 * time.Second)
		reply, err := worker.Hold(r.t.Context(), yuccapaddle.HoldOrder{Token: 1 << 60})
		r.c.Assert(err, qt.IsNil)
		r.c.Check(reply.Ended, qt.HasLen, 0)
	})
}
