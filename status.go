package yuccapaddle

import "time"

// HostStatus is what a host tells operators of itself.
type HostStatus struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Active bool   `json:"active"`
	// Leader names the active host, or its address, as far as this host knows.
	Leader string `json:"leader,omitempty"`
	// Revision is that of the operators' configuration in force on this host.
	Revision uint64 `json:"revision"`
	// Heard is when this host last knew the configuration to be the newest.
	Heard    time.Time     `json:"storeHeardAt"`
	InFlight int64         `json:"inFlight"`
	Stopping bool          `json:"stopping"`
	Engine   *EngineStatus `json:"engine,omitempty"`
}

// HostReply is what one host answers about itself, or why it does not.
type HostReply struct {
	Host   string      `json:"host"`
	Status *HostStatus `json:"state,omitempty"`
	Error  string      `json:"error,omitempty"`
}

// EngineStatus is a summary of the work that the active host decides about. Used
// counts the accelerators that are held on each busy worker.
type EngineStatus struct {
	Epoch       uint64         `json:"epoch"`
	Journal     uint64         `json:"journal"`
	Jobs        int            `json:"jobs"`
	Gangs       int            `json:"gangs"`
	Waiting     int            `json:"waiting"`
	Stalled     bool           `json:"stalled"`
	Quarantined []string       `json:"quarantined,omitempty"`
	Shortages   []string       `json:"shortages,omitempty"`
	Homes       []Home         `json:"homes,omitempty"`
	Used        map[string]int `json:"used,omitempty"`
	Unusable    []string       `json:"unusable,omitempty"`
	Commits     uint64         `json:"commits"`
	Records     uint64         `json:"records"`
	// Workers are those that have registered, where workers do.
	Workers []WorkerStatus `json:"workers,omitempty"`
}

// WorkerStatus is a registered worker as the active host sees it. State is "in",
// or says why the worker gets no new work.
type WorkerStatus struct {
	ID           string `json:"id"`
	Rack         string `json:"rack"`
	Domain       string `json:"domain"`
	Accelerators int    `json:"accelerators"`
	Used         int    `json:"used"`
	State        string `json:"state"`
}

// JobView is what operators are told of a job.
type JobView struct {
	ID        string     `json:"id"`
	Queue     string     `json:"queue"`
	Workspace string     `json:"workspace,omitempty"`
	State     JobState   `json:"state"`
	Priority  int        `json:"priority"`
	Accepted  time.Time  `json:"acceptedAt"`
	Why       string     `json:"why,omitempty"`
	Steps     []StepView `json:"steps"`
}

// StepView is a step of one occurrence of a job. Waits says what its tasks wait
// for, if some do.
type StepView struct {
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Tasks      int      `json:"tasks"`
	Done       int      `json:"done"`
	Placed     int      `json:"placed"`
	Failures   int      `json:"failures"`
	Workers    []string `json:"workers,omitempty"`
	Waits      string   `json:"waits,omitempty"`
}

// JobReport is what callers are told of a job. Ran reports whether a task may
// have started, and Runs is the highest number of starts of any task.
type JobReport struct {
	State JobState
	Ran   bool
	Runs  int
	Why   string
}
