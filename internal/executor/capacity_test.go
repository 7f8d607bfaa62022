package executor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

// gaugedRunner is a Runner that records each start that a worker carries out while it uses
// more than its capacity. Every task is taken to occupy one accelerator.
type gaugedRunner struct {
	*rig
	mu   sync.Mutex
	over []string // a worker and a task each
}

// Start implements yuccapaddle.Runner.
func (g *gaugedRunner) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	clock, err := g.rig.Start(ctx, w, o)
	if worker := g.workers[w.ID]; len(worker.Running()) > worker.Worker().Capacity.GPU {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.over = append(g.over, w.ID+" "+o.Task.String())
	}
	return clock, err
}

// check fails the test if a start has brought a worker over its capacity.
func (g *gaugedRunner) check() {
	g.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.Check(g.over, qt.HasLen, 0, qt.Commentf("starts on workers over their capacity"))
}

// withGaugedRig runs f like withRig, and checks that no start brings a worker over its
// capacity.
func withGaugedRig(t *testing.T, workers int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, workers)
		g := &gaugedRunner{rig: r}
		r.runner = g
		r.takeOver()
		defer func() { r.close() }()
		f(r)
		g.check()
	})
}

// resize sets the number of accelerators that a worker registers.
func (r *rig) resize(id string, n int) {
	capacity := r.workers[id].Worker().Capacity
	capacity.GPU = n
	r.workers[id].SetCapacity(capacity)
}

// TestShrinkBehindCommit checks that starts which were decided before a worker shrank, and
// whose commit hangs until the registrations show it, are not sent there, and that the
// tasks run elsewhere at once when the ledger answers again.
func TestShrinkBehindCommit(t *testing.T) {
	for _, step := range []yuccapaddle.Step{
		{Count: 16, Need: oneGPU, Estimate: 20000},
		{Count: 16, Need: oneGPU, Estimate: 20000, Gang: true},
	} {
		withGaugedRig(t, 3, func(r *rig) {
			r.taskTime.Store(int64(20 * time.Second))
			time.Sleep(500 * time.Millisecond)
			r.ledger.SetFault(bookkeeper.FaultTimeout)
			r.group.Go(func() error {
				job := &yuccapaddle.Job{ID: "a", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{step}}
				r.c.Check(r.exec.Submit(r.t.Context(), job), qt.IsNil)
				return nil
			})
			time.Sleep(300 * time.Millisecond)
			r.resize("w0", 3)
			time.Sleep(2700 * time.Millisecond)
			r.ledger.SetFault(bookkeeper.FaultNone)
			time.Sleep(1500 * time.Millisecond)
			r.c.Check(r.running("a"), qt.Equals, 16)
			for i := range 16 {
				r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a", Index: i}), qt.HasLen, 1)
			}
		})
	}
}

// TestShrinkAndGrowthBehindCommit checks that tasks are started at once when a worker has
// shrunk and grown again while the commit hung.
func TestShrinkAndGrowthBehindCommit(t *testing.T) {
	withGaugedRig(t, 1, func(r *rig) {
		r.taskTime.Store(int64(20 * time.Second))
		time.Sleep(500 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		r.group.Go(func() error {
			job := &yuccapaddle.Job{ID: "a", Queue: "batch", Service: "svc", Steps: []yuccapaddle.Step{{Count: 8, Need: oneGPU, Estimate: 20000}}}
			r.c.Check(r.exec.Submit(r.t.Context(), job), qt.IsNil)
			return nil
		})
		time.Sleep(300 * time.Millisecond)
		r.resize("w0", 3)
		time.Sleep(1500 * time.Millisecond)
		r.resize("w0", 8)
		time.Sleep(1500 * time.Millisecond)
		r.ledger.SetFault(bookkeeper.FaultNone)
		time.Sleep(1500 * time.Millisecond)
		r.c.Check(r.running("a"), qt.Equals, 8)
	})
}

// TestShrunkWhileUnanswered checks that a start is not sent again to a worker that has
// shrunk since the first copy, and that the task runs elsewhere in the end.
func TestShrunkWhileUnanswered(t *testing.T) {
	withGaugedRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(2 * time.Second))
		time.Sleep(500 * time.Millisecond)
		r.resize("w1", 0)
		time.Sleep(time.Second)
		r.workers["w0"].SetFault(taskrunner.FaultUnreachable)
		r.submit("a", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		r.resize("w0", 0)
		r.resize("w1", 8)
		time.Sleep(800 * time.Millisecond)
		r.workers["w0"].SetFault(taskrunner.FaultNone)
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, lateOrder+10*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "a"}), qt.DeepEquals, []string{"w1"})
	})
}

// TestShrunkAtTakeOver checks that a host that takes over after a worker has shrunk neither
// starts nor sends again what the former host had placed there, and that what runs goes on.
func TestShrunkAtTakeOver(t *testing.T) {
	withGaugedRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(6 * time.Second))
		r.submit("there", "batch", yuccapaddle.Step{Count: 6, Need: oneGPU, Estimate: 6000})
		time.Sleep(time.Second)
		first := r.firstTaskWorker("there")
		r.workers[first].SetFault(taskrunner.FaultUnreachable)
		r.submit("unsent", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 6000})
		synctest.Wait() // until the starts are on the way to a worker that does not get them
		r.stop()
		synctest.Wait()
		r.workers[first].SetFault(taskrunner.FaultNone)
		r.resize(first, 6)
		time.Sleep(100 * time.Millisecond)
		takenOver := time.Now()
		r.takeOver()
		time.Sleep(2 * time.Second)
		r.c.Check(r.running("there"), qt.Equals, 6)
		r.c.Check(r.running("unsent"), qt.Equals, 0) // what was sent may be carried out late
		r.waitForState("there", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		time.Sleep(time.Until(takenOver.Add(lateOrder + 2*time.Second)))
		r.c.Check(r.running("unsent"), qt.Equals, 2)
		for i := range 6 {
			r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "there", Index: i}), qt.HasLen, 1)
		}
	})
}

// TestInvalidWhileRunning checks that the tasks of a worker whose registration cannot be
// used for a while go on, and that it gets no new ones meanwhile.
func TestInvalidWhileRunning(t *testing.T) {
	withGaugedRig(t, 2, func(r *rig) {
		r.taskTime.Store(int64(12 * time.Second))
		r.submit("there", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 12000})
		time.Sleep(time.Second)
		first := r.firstTaskWorker("there")
		r.unregistered.Store(first, true) // as platform/lister leaves it out
		time.Sleep(time.Second)
		r.submit("new", "batch", yuccapaddle.Step{Count: 8, Need: oneGPU, Estimate: 12000})
		time.Sleep(8 * time.Second)
		r.c.Check(len(r.workers[first].Running()), qt.Equals, 1)
		r.c.Check(r.running("new"), qt.Equals, 8)
		r.unregistered.Clear()
		r.waitForState("there", "batch", yuccapaddle.JobCompleted, 5*time.Second)
		r.c.Check(r.startLog.Workers(yuccapaddle.TaskID{Job: "there"}), qt.HasLen, 1)
	})
}

// TestRegistrationsAgeBounded checks that a start goes out only on a registration that was
// read soon before, and that the registrations are read often enough, also if the platform
// allows long times for workers that leave: a capacity may have shrunk since.
func TestRegistrationsAgeBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.leaveWithinMS = 20000
		g := &gaugedRunner{rig: r}
		r.runner = g
		r.takeOver()
		defer r.close()
		time.Sleep(6 * time.Second)
		r.resize("w0", 4)
		time.Sleep(2 * time.Second) // for a registration and its read
		r.submit("a", "batch", yuccapaddle.Step{Count: 8, Need: oneGPU, Estimate: 2000})
		time.Sleep(time.Second)
		r.c.Check(r.running("a"), qt.Equals, 4)
		g.check()
		r.waitForState("a", "batch", yuccapaddle.JobCompleted, 10*time.Second)
		r.platformHangs.Store(true)
		time.Sleep(4 * time.Second)
		r.submit("b", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
		time.Sleep(time.Second)
		r.c.Check(r.running("b"), qt.Equals, 0)
		r.platformHangs.Store(false)
		r.waitForState("b", "batch", yuccapaddle.JobCompleted, 10*time.Second)
	})
}
