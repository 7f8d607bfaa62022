package yuccapaddle

import "time"

// HostStatus is the status of a host as shown to operators.
type HostStatus struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Active bool   `json:"active"`
	// Leader is the name or the address of the active host, empty if this host does
	// not know it.
	Leader string `json:"leader,omitempty"`
	// Revision is the revision of the configuration in force on this host.
	Revision uint64 `json:"revision"`
	// ConfigCheckedAt is when this host last had an answer of the key-value service
	// about its configuration, or last knew its rules to be the latest.
	ConfigCheckedAt time.Time     `json:"storeHeardAt"`
	InFlight        int64         `json:"inFlight"`
	Stopping        bool          `json:"stopping"`
	Engine          *EngineStatus `json:"engine,omitempty"`
}

// HostReply is the status of one host. Error says why the status is missing or
// incomplete, and is empty if it is neither.
type HostReply struct {
	Host   string      `json:"host"`
	Status *HostStatus `json:"state,omitempty"`
	Error  string      `json:"error,omitempty"`
}

// EngineStatus is a summary of the work that the active host schedules. Used maps
// each busy worker to the number of its accelerators in use.
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
	// Workspaces are those with a quota or a weight.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
	// Workers are the registered workers, on platforms where workers register.
	Workers []WorkerStatus `json:"workers,omitempty"`
}

// WorkspaceStatus is what a workspace may hold and holds. A resource that its Quota leaves
// at 0 is not limited.
type WorkspaceStatus struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Quota  Need   `json:"quota"`
	Used   Need   `json:"used"`
}

// WorkerStatus is a registered worker as the active host sees it. State is "in",
// or the reason why the worker gets no new work.
type WorkerStatus struct {
	ID           string `json:"id"`
	Rack         string `json:"rack"`
	Domain       string `json:"domain"`
	Accelerators int    `json:"accelerators"`
	Used         int    `json:"used"`
	State        string `json:"state"`
}

// JobView is a job as shown to operators. Reason is the reason of its state, if any.
type JobView struct {
	ID        string     `json:"id"`
	Queue     string     `json:"queue"`
	Workspace string     `json:"workspace,omitempty"`
	State     JobState   `json:"state"`
	Priority  int        `json:"priority"`
	Accepted  time.Time  `json:"acceptedAt"`
	Reason    string     `json:"why,omitempty"`
	Steps     []StepView `json:"steps"`
}

// StepView is a step of one occurrence of a job. Tasks, Done and Placed count
// tasks, Failures counts failures of its tasks and Crashes their runs under which workers
// have crashed. Waits says what waiting tasks wait for, empty if none do.
type StepView struct {
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Tasks      int      `json:"tasks"`
	Done       int      `json:"done"`
	Placed     int      `json:"placed"`
	Failures   int      `json:"failures"`
	Crashes    int      `json:"crashes,omitempty"`
	Workers    []string `json:"workers,omitempty"`
	Waits      string   `json:"waits,omitempty"`
}

// JobReport is the state of a job as callers see it. MayHaveRun reports whether a
// task may have started, Runs is the highest number of starts of any task, and
// Reason is the reason of a final state.
type JobReport struct {
	State      JobState
	MayHaveRun bool
	Runs       int
	Reason     string
}
