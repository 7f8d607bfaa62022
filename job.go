package yuccapaddle

import (
	"fmt"
	"strconv"
	"time"
)

// Need is what one task takes of a worker, or what a worker has. CPU is in
// thousandths of a core, Memory in megabytes, GPU in accelerators.
type Need struct {
	CPU    int `json:"c,omitempty"`
	Memory int `json:"m,omitempty"`
	GPU    int `json:"g,omitempty"`
}

// Add returns the sum of both.
func (n Need) Add(o Need) Need {
	return Need{CPU: n.CPU + o.CPU, Memory: n.Memory + o.Memory, GPU: n.GPU + o.GPU}
}

// Sub returns what is left of n without o.
func (n Need) Sub(o Need) Need {
	return Need{CPU: n.CPU - o.CPU, Memory: n.Memory - o.Memory, GPU: n.GPU - o.GPU}
}

// Times returns n for count tasks.
func (n Need) Times(count int) Need {
	return Need{CPU: n.CPU * count, Memory: n.Memory * count, GPU: n.GPU * count}
}

// Fits reports whether n fits into room.
func (n Need) Fits(room Need) bool {
	return n.CPU <= room.CPU && n.Memory <= room.Memory && n.GPU <= room.GPU
}

// Step is a part of a job: Count equal tasks.
type Step struct {
	Count int  `json:"n"`
	Need  Need `json:"d"`
	// Estimate is the caller's guess of a task's run time, in milliseconds.
	Estimate int `json:"e,omitempty"`
	// After lists the earlier steps that must be done before.
	After []int `json:"a,omitempty"`
	// Gang: the tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack: the tasks are slow unless all lie in one rack.
	OneRack bool `json:"rack,omitempty"`
	// Span is the widest unit of hardware over which a gang may be spread; empty
	// for any. Unlike OneRack, which a gang may do without, it always holds.
	Span Span `json:"span,omitempty"`
	// Label is one that the worker must have.
	Label string `json:"l,omitempty"`
	// DataRack is the rack where the data lies; other racks are slow.
	DataRack string `json:"at,omitempty"`
	// PerWorker is the most tasks of an occurrence on one worker, 0 for no limit.
	PerWorker int `json:"max,omitempty"`
	// Saves: the tasks write checkpoints.
	Saves bool `json:"s,omitempty"`
	// Endless tasks run until the job is cancelled.
	Endless bool `json:"on,omitempty"`
	// Spare tasks take only processor time that others leave unused.
	Spare bool `json:"sp,omitempty"`
	// Target is the time below which the tail of an endless task's answers should
	// stay, in milliseconds; 0 for none.
	Target int `json:"tg,omitempty"`
	// MayMiss is how many of the step's endless tasks the system may have away at
	// once; it is of weight only if Kept is set.
	MayMiss int  `json:"mm,omitempty"`
	Kept    bool `json:"k,omitempty"`
}

// Room is what a task of the step takes of a worker's capacity.
func (s *Step) Room() Need {
	n := s.Need
	if s.Spare {
		n.CPU = 0
	}
	return n
}

// Job is work handed in by a caller: steps of tasks, run once or on a timetable.
type Job struct {
	ID        string `json:"id"`
	Queue     string `json:"q"`
	Workspace string `json:"w,omitempty"`
	// Service names the workers that run the job; the queue may be gone later.
	Service string `json:"v,omitempty"`
	Payload string `json:"p,omitempty"`
	Steps   []Step `json:"t"`
	// Once: a task that may have started is not started again, other than from a
	// checkpoint of its own.
	Once bool `json:"once,omitempty"`
	// Strict: the job is refused if the registered workers could not hold it even if
	// they were empty. Otherwise it waits for workers that may come.
	Strict bool `json:"strict,omitempty"`
	// Key is the caller's name for the job, where the ID is made from it.
	Key string `json:"key,omitempty"`
	// First is the due time of occurrence 0 in Unix milliseconds, Every the time
	// between two in milliseconds and Times their number; 0 for a job that runs
	// once, at once.
	First int64 `json:"f,omitempty"`
	Every int64 `json:"ev,omitempty"`
	Times int   `json:"x,omitempty"`
	// Accepted is when the job was taken in, in Unix milliseconds.
	Accepted int64 `json:"ac"`
}

// Bounds of a job's shape, which keep a hostile submission from filling memory.
const (
	mostSteps       = 64
	mostStepTasks   = 4096
	mostOccurrences = 10000
)

// Check returns what is wrong with the job as its caller wrote it.
func (j *Job) Check() error {
	if len(j.Steps) < 1 || len(j.Steps) > mostSteps {
		return fmt.Errorf("a job has 1 to %d steps, this one has %d", mostSteps, len(j.Steps))
	}
	if j.Times < 0 || j.Times > mostOccurrences {
		return fmt.Errorf("a job has up to %d occurrences, this one has %d", mostOccurrences, j.Times)
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) check(position int) error {
	if s.Count < 1 || s.Count > mostStepTasks {
		return fmt.Errorf("a step has 1 to %d tasks, this one has %d", mostStepTasks, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 {
		return fmt.Errorf("a task cannot need less than nothing")
	}
	switch s.Span {
	case "", SpanWorker, SpanRack, SpanDomain:
	default:
		return fmt.Errorf("span %q is not one of worker, rack, domain", cut(string(s.Span)))
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			return fmt.Errorf("it waits for step %d, which does not come before it", a)
		}
	}
	return nil
}

// Occurrences is the number of times that the steps run.
func (j *Job) Occurrences() int {
	return max(j.Times, 1)
}

// Timed reports whether the job runs on a timetable.
func (j *Job) Timed() bool {
	return j.Times > 0
}

// Due returns the time of an occurrence; the zero time means at once.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Timed() {
		return time.Time{}
	}
	return time.UnixMilli(j.First + int64(occurrence)*j.Every)
}

// JobState is what a caller is told of a job.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCanceled  JobState = "canceled"
)

// Final reports whether the state will not change any more.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCanceled
}

// TaskID names one task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name of the task in logs and orders.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}
