package taskrunner_test

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

const (
	maxLeaseMS   = 6000
	crashPayload = "crash"
)

func newWorker(opts ...taskrunner.Option) (*taskrunner.TaskRunner, *taskrunner.StartLog) {
	work := func(yuccapaddle.TaskID, string) (time.Duration, bool) { return 2 * time.Second, false }
	crashes := func(_ yuccapaddle.TaskID, payload string) bool { return payload == crashPayload }
	startLog := taskrunner.NewStartLog()
	registration := yuccapaddle.Worker{ID: "w", Capacity: yuccapaddle.Need{CPU: 4000, Memory: 4000, GPU: 4}}
	return taskrunner.New(registration, maxLeaseMS, work, startLog, append(opts, taskrunner.WithCrashes(crashes))...), startLog
}

func task(name string) yuccapaddle.TaskID {
	return yuccapaddle.TaskID{Job: name}
}

// start orders the first run of a task.
func start(w *taskrunner.TaskRunner, name, payload string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := w.Start(ctx, yuccapaddle.StartOrder{Task: task(name), Run: 1, Payload: payload, Deadline: w.Worker().Clock + maxLeaseMS})
	return err
}

// TestCrash checks that a task that crashes its worker takes its neighbours with it, and
// that the worker comes back under its ID, knowing nothing.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, startLog := newWorker(taskrunner.WithReturn(false))
		born := w.Worker().Incarnation
		c.Assert(start(w, "neighbour", ""), qt.IsNil)
		c.Assert(start(w, "deadly", crashPayload), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		c.Assert(w.Running(), qt.HasLen, 2)
		time.Sleep(20 * time.Millisecond)
		c.Check(w.Running(), qt.HasLen, 0)
		c.Check(w.Up(), qt.IsFalse)
		c.Check(start(w, "next", ""), qt.ErrorIs, yuccapaddle.ErrNoAnswer)
		time.Sleep(4 * time.Second)
		c.Check(w.Up(), qt.IsTrue)
		c.Check(w.Crashes(), qt.Equals, 1)
		c.Check(w.Worker().ID, qt.Equals, "w")
		c.Check(w.Worker().Incarnation > born, qt.IsTrue)
		reply, err := w.Hold(t.Context(), yuccapaddle.HoldOrder{})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Running, qt.HasLen, 0)
		c.Check(reply.Ended, qt.HasLen, 0)
		c.Check(start(w, "deadly", crashPayload), qt.IsNil)
		c.Check(startLog.Workers(task("deadly")), qt.HasLen, 2)
		c.Check(startLog.Runs(task("deadly")), qt.Equals, 1)
	})
}

// TestReplacement checks that another worker takes the place of one that crashed, and
// that an order to the former one does not reach it.
func TestReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, startLog := newWorker(taskrunner.WithReturn(true))
		w.SetFault(taskrunner.FaultDelayed)
		c.Check(start(w, "late", ""), qt.ErrorIs, yuccapaddle.ErrNoAnswer)
		w.SetFault(taskrunner.FaultNone)
		w.Crash()
		time.Sleep(5 * time.Second)
		c.Check(w.Worker().ID, qt.Equals, "w-1")
		c.Check(startLog.Workers(task("late")), qt.HasLen, 0)
		w.Crash()
		time.Sleep(4 * time.Second)
		c.Check(w.Worker().ID, qt.Equals, "w-2")
	})
}

// TestHoldAcrossCrash checks that a hold that waits gets no answer once the worker has
// crashed.
func TestHoldAcrossCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newWorker()
		time.AfterFunc(100*time.Millisecond, w.Crash)
		begin := time.Now()
		_, err := w.Hold(t.Context(), yuccapaddle.HoldOrder{WaitMS: 2000})
		qt.Check(t, err, qt.ErrorIs, yuccapaddle.ErrNoAnswer)
		qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue)
	})
}

// TestCrashOn checks that a worker that does not return by itself is away until its restart.
func TestCrashOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, _ := newWorker()
		var crashed atomic.Int32
		w.CrashOn("bad", func() { crashed.Add(1) })
		c.Assert(start(w, "good", ""), qt.IsNil)
		c.Assert(start(w, "bad", ""), qt.IsNil)
		time.Sleep(time.Minute)
		c.Check(crashed.Load(), qt.Equals, int32(1))
		c.Check(w.Up(), qt.IsFalse)
		c.Check(start(w, "good", ""), qt.ErrorIs, yuccapaddle.ErrNoAnswer)
		w.Restart()
		c.Check(w.Up(), qt.IsTrue)
		c.Check(start(w, "good", ""), qt.IsNil)
	})
}
