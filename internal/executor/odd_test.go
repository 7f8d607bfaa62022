package executor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// change returns odd entries under the ID of a worker.
func change(id string, f func(w *yuccapaddle.Worker)) *oddEntries {
	odd := oddEntries(func(list []yuccapaddle.Worker) []yuccapaddle.Worker {
		for i := range list {
			if list[i].ID == id {
				f(&list[i])
			}
		}
		return list
	})
	return &odd
}

// oddAtWorker are registrations that another writer has put under the ID of a worker.
var oddAtWorker = []struct {
	name   string
	change func(w *yuccapaddle.Worker)
}{
	{"clock far ahead", func(w *yuccapaddle.Worker) { w.Clock = 1<<53 - 1 }},
	{"clock at the highest", func(w *yuccapaddle.Worker) { w.Clock = 1<<63 - 1 }},
	{"clock at the lowest", func(w *yuccapaddle.Worker) { w.Clock = -1 << 63 }},
	{"clock 0", func(w *yuccapaddle.Worker) { w.Clock = 0 }},
	{"later start", func(w *yuccapaddle.Worker) { w.Incarnation += 3_600_000 }},
	{"start at the highest", func(w *yuccapaddle.Worker) { w.Incarnation, w.Clock = 1<<63-1, 1 }},
	{"earlier start", func(w *yuccapaddle.Worker) { w.Incarnation, w.Clock = 1, 1<<53-1 }},
	{"later start and draining", func(w *yuccapaddle.Worker) { w.Incarnation, w.Draining = w.Incarnation+3_600_000, true }},
}

// deadlines is a Runner that notes by how much the deadlines of starts are ahead of the
// workers' clocks.
type deadlines struct {
	*rig
	mu    sync.Mutex
	ahead []int64
}

// Start implements yuccapaddle.Runner.
func (d *deadlines) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	d.mu.Lock()
	d.ahead = append(d.ahead, o.Deadline-d.workers[w.ID].Worker().Clock)
	d.mu.Unlock()
	return d.rig.Start(ctx, w, o)
}

// TestOddEntryOfIdleWorker guards against a worker that is shut out for good, or gets orders
// that are never too late, since another writer had registered something under its ID.
func TestOddEntryOfIdleWorker(t *testing.T) {
	for _, tt := range oddAtWorker {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				d := &deadlines{rig: r}
				r.runner = d
				r.takeOver()
				defer r.close()
				time.Sleep(2 * time.Second)
				r.odd.Store(change("w0", tt.change))
				time.Sleep(2 * time.Second)
				r.odd.Store(nil)
				time.Sleep(2 * time.Second)
				r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 2000})
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
				d.mu.Lock()
				defer d.mu.Unlock()
				r.c.Check(len(d.ahead), qt.Equals, 2)
				for _, ms := range d.ahead {
					r.c.Check(ms > 0 && ms <= maxLeaseMS, qt.IsTrue, qt.Commentf("a start may be late by %d ms", ms))
				}
			})
		})
	}
}

// TestOddEntryOfBusyWorker guards against runs that end, or are started anew, since another
// writer had registered something under the ID of their worker, and against a worker that gets
// nothing more afterwards.
func TestOddEntryOfBusyWorker(t *testing.T) {
	for _, tt := range oddAtWorker {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				d := &deadlines{rig: r}
				r.runner = d
				r.taskTime.Store(int64(20 * time.Second))
				r.takeOver()
				defer r.close()
				r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 20000})
				time.Sleep(3 * time.Second)
				for range 3 {
					r.odd.Store(change("w0", tt.change))
					time.Sleep(time.Second)
					r.odd.Store(nil)
					time.Sleep(time.Second)
				}
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 14*time.Second)
				report, _, err := r.exec.Show(r.t.Context(), "a", yuccapaddle.Caller{}, time.Time{})
				r.c.Assert(err, qt.IsNil)
				r.c.Check(report.Runs, qt.Equals, 1)
				r.submit("b", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 20000})
				r.waitForState("b", "batch", yuccapaddle.JobCompleted, 23*time.Second)
				d.mu.Lock()
				defer d.mu.Unlock()
				for _, ms := range d.ahead {
					r.c.Check(ms > 0 && ms <= maxLeaseMS, qt.IsTrue, qt.Commentf("a start may be late by %d ms", ms))
				}
			})
		})
	}
}
