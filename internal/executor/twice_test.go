package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

const (
	// slots is the number of tasks that a worker of a slot rig has room for.
	slots = 4
	// clockGap is how far the clock of each worker of a slot rig is ahead of the next one's.
	clockGap = 20 * time.Second
	// laterByMS is how much later than the worker's own the start time is that another writer
	// registers, in milliseconds.
	laterByMS = 3_600_000
	// minLatency is the least time that an order takes to arrive. It takes less than twice
	// that, so that no order overtakes one whose reply the host has waited for.
	minLatency = 20 * time.Millisecond
	// sampleInterval is the time between two looks at what the workers run.
	sampleInterval = 10 * time.Millisecond
)

// addressedRunner is a Runner that delivers each order to the worker at the registered
// address, which refuses it if it is meant for another one.
type addressedRunner struct{ *rig }

// deliver returns the worker that carries out an order, once the order has arrived.
func (a addressedRunner) deliver(ctx context.Context, to *yuccapaddle.Worker) (*taskrunner.TaskRunner, error) {
	time.Sleep(minLatency + rand.N(minLatency))
	for id, w := range a.workers {
		self := w.Worker()
		switch {
		case self.Address != to.Address:
		case id != to.ID:
			return nil, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedReplaced, Clock: self.Clock}
		default:
			return w, nil
		}
	}
	<-ctx.Done()
	return nil, yuccapaddle.ErrNoAnswer
}

// Start implements yuccapaddle.Runner.
func (a addressedRunner) Start(ctx context.Context, to *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	w, err := a.deliver(ctx, to)
	if err != nil {
		return 0, err
	}
	return w.Start(ctx, o)
}

// Stop implements yuccapaddle.Runner.
func (a addressedRunner) Stop(ctx context.Context, to *yuccapaddle.Worker, o yuccapaddle.StopOrder) (int64, error) {
	w, err := a.deliver(ctx, to)
	if err != nil {
		return 0, err
	}
	return w.Stop(ctx, o)
}

// Hold implements yuccapaddle.Runner.
func (a addressedRunner) Hold(ctx context.Context, to *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	w, err := a.deliver(ctx, to)
	if err != nil {
		return yuccapaddle.HoldReply{}, err
	}
	return w.Hold(ctx, o)
}

// newSlotRig returns a rig with workers that do not guard their capacity of a few slots, that
// were started one after the other, and that get orders at their registered address.
func newSlotRig(t *testing.T, workers int) *rig {
	r := newRig(t, 0)
	r.runner = addressedRunner{r}
	need := func(yuccapaddle.TaskID, string) yuccapaddle.Need { return oneGPU }
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		self := yuccapaddle.Worker{
			ID: id, Address: id + ":1", Service: "svc", Domain: "z0", Rack: "r0", Labels: []string{"a", "r0"},
			Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: slots},
		}
		r.workers[id] = taskrunner.New(self, maxLeaseMS, r.taskResult, r.startLog, taskrunner.WithNeeds(need))
		time.Sleep(clockGap)
	}
	return r
}

// checkStarts fails the test if a start has brought a worker over its capacity, or has begun a
// run beside an earlier one of the same task.
func (r *rig) checkStarts() {
	r.t.Helper()
	r.c.Check(r.startLog.Beside(), qt.HasLen, 0)
	for _, w := range r.workers {
		r.c.Check(w.Overloads(0), qt.HasLen, 0)
	}
}

// laterStarts are registrations with a later start time that another writer has put under the
// ID of a sound worker.
var laterStarts = []struct {
	name   string
	change func(w *yuccapaddle.Worker)
}{
	{"alone", func(*yuccapaddle.Worker) {}},
	{"clock far ahead", func(w *yuccapaddle.Worker) { w.Clock = 1 << 52 }},
	{"clock anew", func(w *yuccapaddle.Worker) { w.Clock = 1 }},
	{"draining", func(w *yuccapaddle.Worker) { w.Draining = true }},
	{"twice the capacity", func(w *yuccapaddle.Worker) { w.Capacity = w.Capacity.Add(w.Capacity) }},
	{"address of nobody", func(w *yuccapaddle.Worker) { w.Address = "nobody:1" }},
}

// disturbance is what happens beside a registration of another writer.
type disturbance struct {
	name     string
	late     bool // the worker carries orders out late
	cut      bool // it gets no orders any more after that
	takeOver bool // another host takes over
}

var disturbances = []disturbance{
	{name: "nothing"},
	{name: "late orders", late: true},
	{name: "late orders, then a cut", late: true, cut: true},
	{name: "a takeover", takeOver: true},
	{name: "late orders and a takeover", late: true, takeOver: true},
	{name: "late orders, a takeover, then a cut", late: true, cut: true, takeOver: true},
}

// event is something that a scene does at its time.
type event struct {
	at time.Time
	do func()
}

// events returns the registration of another writer under the ID of w1, and the disturbance
// beside it, at times that the seed decides.
func (r *rig) events(seed uint64, change *oddEntries, d disturbance) []event {
	rng := rand.New(rand.NewPCG(seed, 0))
	between := func(from time.Time, least, most time.Duration) time.Time {
		return from.Add(least + time.Duration(rng.Int64N(int64(most-least))))
	}
	fault := func(f taskrunner.Fault) func() { return func() { r.workers["w1"].SetFault(f) } }
	begin := between(time.Now(), 500*time.Millisecond, 7*time.Second)
	end := between(begin, 300*time.Millisecond, 2500*time.Millisecond)
	list := []event{{begin, func() { r.odd.Store(change) }}, {end, func() { r.odd.Store(nil) }}}
	if d.late {
		lateFrom := between(begin, -400*time.Millisecond, 2*time.Second)
		lateUntil := between(lateFrom, 300*time.Millisecond, 2500*time.Millisecond)
		list = append(list, event{lateFrom, fault(taskrunner.FaultDelayed)})
		if d.cut {
			list = append(list, event{lateUntil, fault(taskrunner.FaultUnreachable)})
			lateUntil = lateUntil.Add(8 * time.Second)
		}
		list = append(list, event{lateUntil, fault(taskrunner.FaultNone)})
	}
	if d.takeOver {
		list = append(list, event{between(begin, -300*time.Millisecond, 1200*time.Millisecond), r.takeOver})
	}
	return list
}

// play does the events, and then goes on until the jobs are completed. It checks meanwhile
// that no task runs on two workers.
func (r *rig) play(list []event, within time.Duration, jobs ...string) {
	r.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(sampleInterval) {
		r.checkNoDuplicateRuns()
		var later []event
		for _, e := range list {
			if time.Now().Before(e.at) {
				later = append(later, e)
				continue
			}
			e.do()
		}
		if list = later; len(list) == 0 && r.completed(jobs) {
			return
		}
	}
	r.c.Fatalf("the jobs are not completed after %v", within)
}

// completed reports whether all of the jobs are.
func (r *rig) completed(jobs []string) bool {
	for _, id := range jobs {
		if r.state(id, "batch") != yuccapaddle.JobCompleted {
			return false
		}
	}
	return true
}

// laterStartSeeds is the number of courses of each case of TestLaterStart.
const laterStartSeeds = 3

// TestLaterStart guards against a worker over its capacity, and runs that are stopped and begun
// anew, since another writer had registered a later start time under the ID of a sound, busy
// worker for some reads of the registrations; and against two runs of one task.
func TestLaterStart(t *testing.T) {
	for _, tt := range laterStarts {
		for _, d := range disturbances {
			for seed := range uint64(laterStartSeeds) {
				t.Run(fmt.Sprintf("%s, %s, %d", tt.name, d.name, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playLaterStart(t, seed, tt.change, d) })
				})
			}
		}
	}
}

func playLaterStart(t *testing.T, seed uint64, f func(w *yuccapaddle.Worker), d disturbance) {
	const taskTime = 6 * time.Second
	r := newSlotRig(t, 3)
	r.taskTime.Store(int64(taskTime))
	r.takeOver()
	defer func() { r.close() }()
	tasks := 3*slots + slots/2 // so that some wait
	estimate := int(taskTime.Milliseconds())
	r.submit("single", "batch", yuccapaddle.Step{Count: tasks, Need: oneGPU, Estimate: estimate})
	r.submit("gang", "batch", yuccapaddle.Step{Count: slots, Need: oneGPU, Gang: true, Estimate: estimate})
	later := change("w1", func(w *yuccapaddle.Worker) {
		w.Incarnation += laterByMS
		f(w)
	})
	r.play(r.events(seed, later, d), time.Minute, "single", "gang")
	r.checkStarts()
	if d.late {
		return // what the worker did not confirm in time may have been begun anew
	}
	for i := range tasks {
		r.c.Check(r.startLog.Runs(yuccapaddle.TaskID{Job: "single", Index: i}), qt.Equals, 1)
	}
	for i := range slots {
		r.c.Check(r.startLog.Runs(yuccapaddle.TaskID{Job: "gang", Index: i}), qt.Equals, 1)
	}
}
