package yuccapaddle

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Need is an amount of resources: what a task requires, or what a worker has. CPU
// is in thousandths of a core, Memory in megabytes, GPU in accelerators.
type Need struct {
	CPU    int `json:"c,omitempty"`
	Memory int `json:"m,omitempty"`
	GPU    int `json:"g,omitempty"`
}

// Add returns n plus o.
func (n Need) Add(o Need) Need {
	return Need{CPU: n.CPU + o.CPU, Memory: n.Memory + o.Memory, GPU: n.GPU + o.GPU}
}

// Sub returns n minus o.
func (n Need) Sub(o Need) Need {
	return Need{CPU: n.CPU - o.CPU, Memory: n.Memory - o.Memory, GPU: n.GPU - o.GPU}
}

// Times returns n multiplied by count.
func (n Need) Times(count int) Need {
	return Need{CPU: n.CPU * count, Memory: n.Memory * count, GPU: n.GPU * count}
}

// Negative reports whether n is below zero in any resource.
func (n Need) Negative() bool {
	return n.CPU < 0 || n.Memory < 0 || n.GPU < 0
}

// Fits reports whether n fits into room.
func (n Need) Fits(room Need) bool {
	return n.CPU <= room.CPU && n.Memory <= room.Memory && n.GPU <= room.GPU
}

// Step is one stage of a job: Count identical tasks.
type Step struct {
	Count int  `json:"n"`
	Need  Need `json:"d"`
	// Estimate is the caller's estimate of a task's run time, in milliseconds.
	Estimate int `json:"e,omitempty"`
	// After lists the indexes of the earlier steps that must be done first.
	After []int `json:"a,omitempty"`
	// Gang means that the tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack means that the tasks run slowly unless all are in one rack.
	OneRack bool `json:"rack,omitempty"`
	// Span is the widest unit of hardware over which a gang may be spread; empty
	// for any. It is a hard constraint, unlike the preference OneRack.
	Span Span `json:"span,omitempty"`
	// Label is a label that the worker must have, if set.
	Label string `json:"l,omitempty"`
	// DataRack is the rack that holds the data; the tasks run slowly in others.
	DataRack string `json:"at,omitempty"`
	// PerWorker is the maximum number of tasks of an occurrence on one worker, 0
	// for no limit.
	PerWorker int `json:"max,omitempty"`
	// WritesCheckpoints means that the tasks write checkpoints.
	WritesCheckpoints bool `json:"s,omitempty"`
	// Endless means that the tasks run until the job is cancelled.
	Endless bool `json:"on,omitempty"`
	// Spare means that the tasks use only processor time that others leave idle.
	Spare bool `json:"sp,omitempty"`
	// TargetMS is the target tail latency of an endless task's answers, in
	// milliseconds; 0 for none.
	TargetMS int `json:"tg,omitempty"`
	// MaxUnavailable is how many of the step's endless tasks may be unavailable at
	// once. It applies only if LimitsUnavailable is set.
	MaxUnavailable    int  `json:"mm,omitempty"`
	LimitsUnavailable bool `json:"k,omitempty"`
}

// Room returns what a task of the step occupies of a worker's capacity: Need, but
// no CPU for spare tasks.
func (s *Step) Room() Need {
	n := s.Need
	if s.Spare {
		n.CPU = 0
	}
	return n
}

// Job is work submitted by a caller: steps of tasks, run once or on a schedule.
type Job struct {
	ID        string `json:"id"`
	Queue     string `json:"q"`
	Workspace string `json:"w,omitempty"`
	// Service is the service of the workers that run the job, and Terms what its queue gives
	// to it. Both are copied from the queue, which may be removed later. Terms is nil in
	// records of earlier versions.
	Service string `json:"v,omitempty"`
	Terms   *Terms `json:"terms,omitempty"`
	// Origin is how the job was handed in, nil if a host of an earlier version accepted it
	// or if the project's own interface did. By it callers find the job after its queue has
	// been renamed.
	Origin  *Origin `json:"from,omitempty"`
	Payload string  `json:"p,omitempty"`
	Steps   []Step  `json:"t"`
	// Once means that a task that may have started is not started again, except
	// from its own checkpoint.
	Once bool `json:"once,omitempty"`
	// Strict means that the job is refused if it would not fit on the registered
	// workers even if they were idle. Otherwise it waits for more workers.
	Strict bool `json:"strict,omitempty"`
	// Key is the caller's name for the job, if the ID is derived from it.
	Key string `json:"key,omitempty"`
	// First is the due time of occurrence 0 in Unix milliseconds, Every the interval
	// between occurrences in milliseconds and Times their number, 0 for a job that
	// runs once and immediately.
	First int64 `json:"f,omitempty"`
	Every int64 `json:"ev,omitempty"`
	Times int   `json:"x,omitempty"`
	// Accepted is when the job was accepted, in Unix milliseconds.
	Accepted int64 `json:"ac"`
}

// Limits on a job's size, so that a hostile submission cannot exhaust memory.
const (
	// MaxSteps is the most steps that a job may have.
	MaxSteps        = 64
	maxTasksPerStep = 4096
	maxOccurrences  = 10000
	// maxTasks bounds the tasks of all steps and occurrences, which may be due at once.
	maxTasks = 1 << 18
)

// Check validates the job as its caller wrote it. The error says what is wrong.
func (j *Job) Check() error {
	if len(j.Steps) < 1 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	if j.Times < 0 || j.Times > maxOccurrences {
		return fmt.Errorf("a job has up to %d occurrences, this one has %d", maxOccurrences, j.Times)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += j.Steps[i].Count
	}
	if total := tasks * j.Occurrences(); total > maxTasks {
		return fmt.Errorf("a job has up to %d tasks in all its occurrences, this one has %d", maxTasks, total)
	}
	return nil
}

const (
	// maxJobBytes is the size of the largest job as it is stored. The store takes more in a
	// value, but one that it refuses would end the role of the active host.
	maxJobBytes = 256 << 10
	// maxEscape is how many bytes a byte that a caller sends may take when it is stored.
	maxEscape = 6
)

// CheckSize returns an error if the job is too large to be stored. received is the number of
// bytes in which its caller has sent it; a small job is not encoded.
func (j *Job) CheckSize(received int) error {
	if received <= maxJobBytes/(2*maxEscape) {
		return nil
	}
	size := j.textBytes() // a text takes as many bytes as it has at least
	if size <= maxJobBytes {
		data, err := json.Marshal(j)
		if err != nil {
			return fmt.Errorf("encode the job: %w", err)
		}
		size = len(data)
	}
	if size > maxJobBytes {
		return fmt.Errorf("a job takes up to %d bytes when it is stored, this one takes %d", maxJobBytes, size)
	}
	return nil
}

// textBytes returns the size of the job's texts in bytes.
func (j *Job) textBytes() int {
	n := len(j.Payload) + len(j.Key)
	for i := range j.Steps {
		n += len(j.Steps[i].Label) + len(j.Steps[i].DataRack)
	}
	return n
}

func (s *Step) check(position int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return fmt.Errorf("a step has 1 to %d tasks, this one has %d", maxTasksPerStep, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 {
		return fmt.Errorf("a task cannot need less than nothing")
	}
	switch s.Span {
	case "", SpanWorker, SpanRack, SpanDomain:
	default:
		return fmt.Errorf("span %q is not one of worker, rack, domain", truncate(string(s.Span)))
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			return fmt.Errorf("it waits for step %d, which does not come before it", a)
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int {
	return max(j.Times, 1)
}

// Timed reports whether the job runs on a schedule.
func (j *Job) Timed() bool {
	return j.Times > 0
}

// Due returns the due time of an occurrence; the zero time means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Timed() {
		return time.Time{}
	}
	return time.UnixMilli(j.First + int64(occurrence)*j.Every)
}

// JobState is the state of a job as callers see it.
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

// TaskID identifies one task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task's name in logs and orders.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}
