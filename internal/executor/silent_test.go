package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// silencer is a Runner whose workers can be made to leave calls without an answer.
type silencer struct {
	*rig
	silent atomic.Bool
}

func (s *silencer) wait(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return yuccapaddle.ErrNoAnswer
}

// Start implements yuccapaddle.Runner.
func (s *silencer) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.rig.Start(ctx, w, o)
}

// Hold implements yuccapaddle.Runner.
func (s *silencer) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	if err := s.wait(ctx); err != nil {
		return yuccapaddle.HoldReply{}, err
	}
	return s.rig.Hold(ctx, w, o)
}

// TestSilentWorkerKeepsRun checks that the work of a worker that is silent for less than a
// lease, or is missing from the registrations, is neither started elsewhere nor given up.
func TestSilentWorkerKeepsRun(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
		for _, unregistered := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 8)
				r.taskTime.Store(int64(8 * time.Second))
				workers := &silencer{rig: r}
				r.runner = workers
				r.takeOver()
				defer r.close()
				r.submit("0000000000000001", "batch", yuccapaddle.Step{Count: 2, Gang: true, Need: oneGPU, Estimate: 8000})
				time.Sleep(2 * time.Second)
				workers.silent.Store(true)
				if unregistered {
					for id := range r.workers {
						r.unregistered.Store(id, true)
					}
				}
				time.Sleep(silence)
				workers.silent.Store(false)
				r.unregistered.Clear()
				r.waitForState("0000000000000001", "batch", yuccapaddle.JobCompleted, 10*time.Second)
				report, _, err := r.exec.Show(t.Context(), "0000000000000001", yuccapaddle.Caller{Queue: "batch"}, time.Time{})
				r.c.Assert(err, qt.IsNil)
				r.c.Check(report.Runs, qt.Equals, 1, qt.Commentf("silent for %v, unregistered: %v", silence, unregistered))
			})
		}
	}
}
