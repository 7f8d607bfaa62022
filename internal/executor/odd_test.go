package executor_test

import (
	"context"
	"fmt"
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

// strangers are workers that another writer has registered under IDs of their own, by what
// answers at their addresses.
type strangers struct {
	*rig
	entries map[string]func() (yuccapaddle.HoldReply, error)
	mu      sync.Mutex
	starts  []string // IDs of strangers that were sent a start
	polls   int      // of strangers
}

func newStrangers(r *rig) *strangers {
	answer := func(reply yuccapaddle.HoldReply, err error) func() (yuccapaddle.HoldReply, error) {
		return func() (yuccapaddle.HoldReply, error) { return reply, err }
	}
	refusal := func(reason yuccapaddle.Refusal) error { return &yuccapaddle.RefusalError{Reason: reason} }
	return &strangers{rig: r, entries: map[string]func() (yuccapaddle.HoldReply, error){
		"nobody":  answer(yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer),
		"another": answer(yuccapaddle.HoldReply{}, refusal(yuccapaddle.RefusedReplaced)),
		"no page": answer(yuccapaddle.HoldReply{}, refusal(yuccapaddle.RefusedInvalid)),
		"empty":   answer(yuccapaddle.HoldReply{}, nil),
		"older":   answer(yuccapaddle.HoldReply{Incarnation: 1, Clock: 1}, nil),
		"silent": func() (yuccapaddle.HoldReply, error) {
			time.Sleep(orderTimeout)
			return yuccapaddle.HoldReply{}, yuccapaddle.ErrNoAnswer
		},
	}}
}

// orderTimeout is what the executor allows for a call to a worker.
const orderTimeout = 500 * time.Millisecond

// callTime is how long a call to a stranger takes at least, so that calls without end take time.
const callTime = time.Millisecond

// odd adds the strangers to a list of registrations, with more room than any worker has.
func (s *strangers) odd(list []yuccapaddle.Worker) []yuccapaddle.Worker {
	for id := range s.entries {
		list = append(list, yuccapaddle.Worker{
			ID: id, Address: "10.0.0.1:1", Service: "svc", Domain: "z0", Rack: "r0", Labels: []string{"a", "r0"}, Incarnation: 77, Clock: 5,
			Capacity: yuccapaddle.Need{CPU: 1 << 30, Memory: 1 << 30, GPU: 1 << 30},
		})
	}
	return list
}

// Start implements yuccapaddle.Runner.
func (s *strangers) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	if s.entries[w.ID] == nil {
		return s.rig.Start(ctx, w, o)
	}
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, w.ID)
	return 0, yuccapaddle.ErrNoAnswer
}

// Hold implements yuccapaddle.Runner.
func (s *strangers) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	answer := s.entries[w.ID]
	if answer == nil {
		return s.rig.Hold(ctx, w, o)
	}
	s.mu.Lock()
	s.polls++
	s.mu.Unlock()
	time.Sleep(callTime)
	return answer()
}

// Stop implements yuccapaddle.Runner.
func (s *strangers) Stop(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StopOrder) (int64, error) {
	if s.entries[w.ID] == nil {
		return s.rig.Stop(ctx, w, o)
	}
	time.Sleep(callTime)
	return 0, yuccapaddle.ErrNoAnswer
}

// TestStrangersGetNothing guards against tasks that are placed on entries of another writer
// that look like workers: gangs that end with a member there, and jobs that may run only once
// and are shown as failed. The entries have the most room, so that they are chosen first.
func TestStrangersGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8)
		s := newStrangers(r)
		r.runner = s
		odd := oddEntries(s.odd)
		r.odd.Store(&odd)
		r.takeOver()
		defer func() { r.close() }()
		var jobs []string
		for i := range 12 {
			id := fmt.Sprintf("gang-%02d", i)
			j := &yuccapaddle.Job{
				ID: id, Queue: "batch", Service: "svc", Workspace: "north", Once: i%3 == 0,
				Steps: []yuccapaddle.Step{{Count: 4, Need: oneGPU, Gang: true, Estimate: 2000}},
			}
			r.c.Assert(r.exec.Submit(r.t.Context(), j), qt.IsNil)
			jobs = append(jobs, id)
		}
		r.submit("urgent", "quick", yuccapaddle.Step{Count: 6, Need: oneGPU, Estimate: 2000})
		r.submit("wide", "batch", yuccapaddle.Step{Count: 20, Need: oneGPU, Estimate: 2000})
		jobs = append(jobs, "urgent", "wide")
		time.Sleep(500 * time.Millisecond)
		r.takeOver()
		for _, id := range jobs {
			r.waitForState(id, "", yuccapaddle.JobCompleted, 20*time.Second)
			report, _, err := r.exec.Show(r.t.Context(), id, yuccapaddle.Caller{}, time.Time{})
			r.c.Assert(err, qt.IsNil)
			r.c.Check(report.Runs, qt.Equals, 1, qt.Commentf("job %s", id))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		r.c.Check(s.starts, qt.HasLen, 0)
		r.c.Check(s.polls > 0, qt.IsTrue)
	})
}

// TestWorkerProvesItself checks that a worker whose registration is late, or was that of
// another writer, gets runs as soon as it has answered as the one that is registered.
func TestWorkerProvesItself(t *testing.T) {
	for _, tt := range oddAtWorker {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				r.odd.Store(change("w0", tt.change))
				r.takeOver()
				defer r.close()
				r.submit("a", "batch", yuccapaddle.Step{Count: 2, Need: oneGPU, Estimate: 2000})
				time.Sleep(3 * time.Second)
				r.odd.Store(nil)
				r.waitForState("a", "batch", yuccapaddle.JobCompleted, 5*time.Second)
			})
		})
	}
}
