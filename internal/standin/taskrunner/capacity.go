package taskrunner

import (
	"time"

	"yuccapaddle"
)

// Overload is a start that brought a worker over its capacity.
type Overload struct {
	Worker   string
	Task     yuccapaddle.TaskID
	Ordered  time.Time // when the order arrived
	Used     yuccapaddle.Need
	Capacity yuccapaddle.Need
}

// capacityChange is a capacity that the worker has had from a moment on.
type capacityChange struct {
	capacity yuccapaddle.Need
	since    time.Time
}

// load is what was in use on the worker after a start.
type load struct {
	worker  string
	task    yuccapaddle.TaskID
	ordered time.Time
	used    yuccapaddle.Need
}

// WithNeeds tells the worker what each task takes of its capacity. The worker starts
// tasks beyond its capacity too; Overloads returns these.
func WithNeeds(need func(t yuccapaddle.TaskID, payload string) yuccapaddle.Need) Option {
	return func(tr *TaskRunner) { tr.need = need }
}

// SetCapacity changes the registered capacity. What runs already runs on.
func (tr *TaskRunner) SetCapacity(n yuccapaddle.Need) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.registration.Capacity = n
	tr.capacities = append(tr.capacities, capacityChange{n, time.Now()})
}

// Overloads returns the starts after which more was in use than any capacity that the
// worker has had within the notice before the order. What is being stopped is in use.
func (tr *TaskRunner) Overloads(notice time.Duration) []Overload {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []Overload
	for _, l := range tr.loads {
		capacity := tr.mostCapacity(l.ordered.Add(-notice), l.ordered)
		if !l.used.Fits(capacity) {
			list = append(list, Overload{Worker: l.worker, Task: l.task, Ordered: l.ordered, Used: l.used, Capacity: capacity})
		}
	}
	return list
}

// mostCapacity returns the most of each resource that the worker has had in a period.
func (tr *TaskRunner) mostCapacity(from, to time.Time) yuccapaddle.Need {
	var most yuccapaddle.Need
	for i, c := range tr.capacities {
		replaced := i+1 < len(tr.capacities) && !tr.capacities[i+1].since.After(from)
		if replaced || c.since.After(to) {
			continue
		}
		most.CPU = max(most.CPU, c.capacity.CPU)
		most.Memory = max(most.Memory, c.capacity.Memory)
		most.GPU = max(most.GPU, c.capacity.GPU)
	}
	return most
}

// recordLoad records what is in use after the start of a task.
func (tr *TaskRunner) recordLoad(t yuccapaddle.TaskID, ordered time.Time) {
	if tr.need == nil {
		return
	}
	var used yuccapaddle.Need
	for task, r := range tr.runs {
		used = used.Add(tr.need(task, r.order.Payload))
	}
	tr.loads = append(tr.loads, load{tr.registration.ID, t, ordered, used})
}

// LoweredStarts returns how many starts came while the capacity was not the first one.
func (tr *TaskRunner) LoweredStarts() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, l := range tr.loads {
		if tr.mostCapacity(l.ordered, l.ordered) != tr.capacities[0].capacity {
			n++
		}
	}
	return n
}
