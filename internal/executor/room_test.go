package executor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// heartbeat is the time between a worker's own registrations in the rig.
const heartbeat = 1500 * time.Millisecond

// oddWrite is an entry that another writer puts under the ID of a worker, some time after one
// of the worker's own registrations.
type oddWrite struct {
	after  time.Duration
	change func(w *yuccapaddle.Worker)
}

// overwritten returns odd entries under the ID of a worker, which writes its own registration
// now and after each heartbeat: an odd entry stands until then, or until the next odd one.
func overwritten(id string, writes ...oddWrite) *oddEntries {
	start := time.Now()
	odd := oddEntries(func(list []yuccapaddle.Worker) []yuccapaddle.Worker {
		now := time.Since(start)
		var latest *oddWrite
		for i := range writes {
			if writes[i].after <= now && writes[i].after >= now.Truncate(heartbeat) {
				latest = &writes[i]
			}
		}
		if latest == nil {
			return list
		}
		return (*change(id, latest.change))(list)
	})
	return &odd
}

// eighthOfWorker is what a task needs of which a worker of the rig holds eight, by each
// resource.
var eighthOfWorker = yuccapaddle.Need{CPU: 8000, Memory: 32768, GPU: 1}

// multiplied returns a change of a registration to n times the capacity.
func multiplied(n int) func(w *yuccapaddle.Worker) {
	return func(w *yuccapaddle.Worker) {
		w.Capacity = yuccapaddle.Need{CPU: n * w.Capacity.CPU, Memory: n * w.Capacity.Memory, GPU: n * w.Capacity.GPU}
	}
}

// laterStart returns a change of a registration to a later start time and n times the capacity.
func laterStart(n int) func(w *yuccapaddle.Worker) {
	return func(w *yuccapaddle.Worker) {
		multiplied(n)(w)
		w.Incarnation += 3_600_000
	}
}

// oddCapacities are registrations with more capacity that another writer puts under the ID of
// a sound worker.
var oddCapacities = []struct {
	name   string
	writes []oddWrite
}{
	{"once", []oddWrite{{100 * time.Millisecond, multiplied(2)}}},
	{"the highest", []oddWrite{{100 * time.Millisecond, func(w *yuccapaddle.Worker) {
		w.Capacity = yuccapaddle.Need{CPU: 1 << 30, Memory: 1 << 30, GPU: 1 << 30}
	}}}},
	{"two in turn", []oddWrite{
		{100 * time.Millisecond, multiplied(2)},
		{800 * time.Millisecond, multiplied(3)},
		{3*heartbeat + 100*time.Millisecond, multiplied(3)},
		{3*heartbeat + 800*time.Millisecond, multiplied(2)},
	}},
	{"resources in turn", []oddWrite{
		{100 * time.Millisecond, func(w *yuccapaddle.Worker) { w.Capacity.CPU *= 2 }},
		{500 * time.Millisecond, func(w *yuccapaddle.Worker) { w.Capacity.Memory *= 2 }},
		{900 * time.Millisecond, func(w *yuccapaddle.Worker) { w.Capacity.GPU *= 2 }},
		{2*heartbeat + 100*time.Millisecond, multiplied(2)},
	}},
	{"after another start time", []oddWrite{
		{100 * time.Millisecond, laterStart(2)},
		{800 * time.Millisecond, multiplied(2)},
	}},
	{"around another start time", []oddWrite{
		{100 * time.Millisecond, multiplied(2)},
		{2*heartbeat + 100*time.Millisecond, laterStart(2)},
		{2*heartbeat + 800*time.Millisecond, multiplied(2)},
	}},
}

// submitMany submits a job of more tasks than three workers hold.
func (r *rig) submitMany() {
	r.submit("many", "batch", yuccapaddle.Step{Count: 60, Need: eighthOfWorker, Estimate: 20000})
}

// TestOddCapacity guards against a worker that is brought over its capacity since another
// writer had registered more under its ID.
func TestOddCapacity(t *testing.T) {
	for _, tt := range oddCapacities {
		t.Run(tt.name, func(t *testing.T) {
			withGaugedRig(t, 3, func(r *rig) {
				r.taskTime.Store(int64(20 * time.Second))
				time.Sleep(2 * time.Second)
				r.submitMany()
				time.Sleep(2 * time.Second)
				r.odd.Store(overwritten("w0", tt.writes...))
				time.Sleep(8 * time.Second)
				r.c.Check(r.running("many"), qt.Equals, 24)
			})
		})
	}
}

// TestOddCapacityAtTakeOver guards against the same at a host that has taken over while the
// entry stands, on a worker with runs of the former host and on one without.
func TestOddCapacityAtTakeOver(t *testing.T) {
	for _, busy := range []bool{true, false} {
		for _, tt := range oddCapacities {
			name := tt.name + " on an idle worker"
			if busy {
				name = tt.name + " on a busy worker"
			}
			t.Run(name, func(t *testing.T) {
				withGaugedRig(t, 3, func(r *rig) {
					r.taskTime.Store(int64(20 * time.Second))
					time.Sleep(2 * time.Second)
					if busy {
						r.submitMany()
					}
					time.Sleep(2 * time.Second)
					r.odd.Store(overwritten("w0", tt.writes...))
					time.Sleep(200 * time.Millisecond)
					r.takeOver()
					if !busy {
						r.submitMany()
					}
					time.Sleep(8 * time.Second)
					r.c.Check(r.running("many"), qt.Equals, 24)
				})
			})
		}
	}
}

// takeOverBesideOddKind has another host take over while an entry with twice the capacity and
// other labels stands for a worker, which makes it the only one of its kind, and checks that it
// is not brought over its capacity. If busy is set, tasks wait for room at the former host.
func takeOverBesideOddKind(t *testing.T, workers int, busy bool) {
	withGaugedRig(t, workers, func(r *rig) {
		r.taskTime.Store(int64(20 * time.Second))
		time.Sleep(2 * time.Second)
		if busy {
			r.submitMany()
		}
		time.Sleep(2 * time.Second)
		r.odd.Store(overwritten("w0", oddWrite{100 * time.Millisecond, func(w *yuccapaddle.Worker) {
			multiplied(2)(w)
			w.Labels = []string{"b", "r0"}
		}}))
		time.Sleep(200 * time.Millisecond)
		r.takeOver()
		if !busy {
			r.submitMany()
		}
		time.Sleep(8 * time.Second)
		r.c.Check(r.running("many"), qt.Equals, 8*workers)
	})
}

// TestOddKindAtTakeOver guards against a worker with runs of the former host that is brought over
// its capacity since it is the only one of its kind, or seems to be, when another host takes over.
func TestOddKindAtTakeOver(t *testing.T) {
	for _, workers := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			takeOverBesideOddKind(t, workers, true)
		})
	}
}

// TestOddKindOfIdleWorkerAtTakeOver guards against the same on a worker without runs.
func TestOddKindOfIdleWorkerAtTakeOver(t *testing.T) {
	for _, workers := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			takeOverBesideOddKind(t, workers, false)
		})
	}
}

// TestOnlyWorkerPlacesAtOnceAfterTakeOver guards against a host that takes over and fills a worker
// with runs of the former host, the only one of its kind, only once it has registered again.
func TestOnlyWorkerPlacesAtOnceAfterTakeOver(t *testing.T) {
	for _, before := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d runs before", before), func(t *testing.T) {
			withGaugedRig(t, 1, func(r *rig) {
				r.taskTime.Store(int64(20 * time.Second))
				time.Sleep(2 * time.Second)
				if before > 0 {
					r.submit("before", "batch", yuccapaddle.Step{Count: before, Need: eighthOfWorker, Estimate: 20000})
				}
				time.Sleep(time.Second)
				r.takeOver()
				r.submitMany()
				time.Sleep(300 * time.Millisecond)
				r.c.Check(r.running("many"), qt.Equals, 8-before)
			})
		})
	}
}

// TestGrownWorkerAtTakeOver checks that the capacity by which a worker has grown since its runs
// were placed counts at another host once it has stood for a heartbeat there.
func TestGrownWorkerAtTakeOver(t *testing.T) {
	withGaugedRig(t, 1, func(r *rig) {
		r.taskTime.Store(int64(20 * time.Second))
		time.Sleep(500 * time.Millisecond)
		r.resize("w0", 4)
		time.Sleep(2 * time.Second)
		r.submit("before", "batch", yuccapaddle.Step{Count: 4, Need: eighthOfWorker, Estimate: 20000})
		time.Sleep(time.Second)
		r.resize("w0", 8)
		r.takeOver()
		r.submitMany()
		time.Sleep(heartbeat)
		r.c.Check(r.running("many"), qt.Equals, 0)
		time.Sleep(2 * time.Second)
		r.c.Check(r.running("many"), qt.Equals, 4)
	})
}

// TestTakeOverPlacesAtOnce guards against a host that takes over and places nothing until the
// workers have registered again.
func TestTakeOverPlacesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.takeOver()
		defer func() { r.close() }()
		time.Sleep(2 * time.Second)
		r.takeOver()
		r.submitMany()
		time.Sleep(300 * time.Millisecond)
		r.c.Check(r.running("many"), qt.Equals, 24)
	})
}

// TestOddPlace guards against a task on a worker of another service, without the label that it
// requires or in another rack than its data, since another writer had registered that under the
// ID of the worker.
func TestOddPlace(t *testing.T) {
	service := func(w *yuccapaddle.Worker) { w.Service = "other" }
	label := func(w *yuccapaddle.Worker) { w.Labels = []string{"b", "r0"} }
	later := func(w *yuccapaddle.Worker) { w.Incarnation += 3_600_000 }
	tests := []struct {
		name   string
		queue  string
		label  string
		writes []oddWrite
	}{
		{"service", "elsewhere", "", []oddWrite{{100 * time.Millisecond, service}}},
		{"label", "batch", "b", []oddWrite{{100 * time.Millisecond, label}}},
		{"service after another start time", "elsewhere", "", []oddWrite{{100 * time.Millisecond, later}, {800 * time.Millisecond, service}}},
		{"label after another start time", "batch", "b", []oddWrite{{100 * time.Millisecond, later}, {800 * time.Millisecond, label}}},
		{"service and label in turn", "elsewhere", "", []oddWrite{
			{100 * time.Millisecond, service},
			{800 * time.Millisecond, label},
			{2*heartbeat + 100*time.Millisecond, label},
			{2*heartbeat + 800*time.Millisecond, service},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withGaugedRig(t, 1, func(r *rig) {
				r.setQueues(yuccapaddle.Queue{Name: "batch", Service: "svc", Attempts: 3}, yuccapaddle.Queue{Name: "elsewhere", Service: "other", Attempts: 3})
				time.Sleep(2 * time.Second)
				r.submit("odd", tt.queue, yuccapaddle.Step{Count: 1, Need: oneGPU, Label: tt.label, Estimate: 2000})
				r.odd.Store(overwritten("w0", tt.writes...))
				time.Sleep(8 * time.Second)
				r.c.Check(r.workers["w0"].Starts(), qt.HasLen, 0)
				r.submit("sound", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
				r.waitForState("sound", "batch", yuccapaddle.JobCompleted, 3*time.Second)
			})
		})
	}
}

// TestOddEntryThroughOutage guards against a task on a worker without room or of another service,
// since an entry of another writer stood while neither its worker nor this host reached the store.
func TestOddEntryThroughOutage(t *testing.T) {
	odd := func(w *yuccapaddle.Worker) {
		multiplied(2)(w)
		w.Labels = []string{"b", "r0"}
	}
	withGaugedRig(t, 3, func(r *rig) {
		r.taskTime.Store(int64(20 * time.Second))
		time.Sleep(2 * time.Second)
		r.submitMany()
		r.submit("odd", "batch", yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 1}, Label: "b", Estimate: 2000})
		time.Sleep(2 * time.Second)
		r.odd.Store(change("w0", odd))
		time.Sleep(800 * time.Millisecond)
		r.platformHangs.Store(true)
		time.Sleep(3 * time.Second)
		r.platformHangs.Store(false)
		time.Sleep(heartbeat)
		r.odd.Store(nil)
		time.Sleep(3 * time.Second)
		r.c.Check(r.running("many"), qt.Equals, 24)
		r.c.Check(r.running("odd"), qt.Equals, 0)
	})
}
