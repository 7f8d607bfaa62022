package yuccapaddle

import "time"

// PlanLimits are the planner's parameters from the settings.
type PlanLimits struct {
	// RemoteSlowdown is the slowdown factor of a task that runs away from its data.
	RemoteSlowdown float64
	// Restore is the time that a task takes to resume from a checkpoint.
	Restore time.Duration
	// Retention is how long a finished job stays available for queries.
	Retention time.Duration
	// MoveLeaving stops runs that cannot end before their workers leave, so that they go on
	// elsewhere.
	MoveLeaving bool
	// OrderByDelayCost places waiting jobs of one priority in the order of what a delay costs
	// their callers, in place of the order of acceptance.
	OrderByDelayCost bool
	// LearnStalls stops runs that stand still by what runs of their queue and step have
	// taken, and not only after a fixed time.
	LearnStalls bool
	// ProveWorkers gives runs only to workers that have answered a poll as the incarnation that
	// their registration names.
	ProveWorkers bool
	// Heartbeat is the time within which a worker registers again. A capacity that grows counts
	// once it has been registered for longer; at 0 it counts at once.
	Heartbeat time.Duration
	// JobMemory is the memory that accepted jobs may take, in bytes, 0 for no limit.
	JobMemory int64
	// LongestLease is how long a lease that a worker has granted may last.
	LongestLease time.Duration
}

// Batch is the result of a planning step. Records and Removed are committed
// first; the orders to workers are sent after the commit.
type Batch struct {
	Records        []JobRecord
	Removed        []JobRecord
	Starts         []RunStart
	Stops          []RunStop
	AdviceRequests []AdviceRequest
	Paces          []RunPace
	Decisions      []Decision
}

// RunStart is an order to start a run on a worker. Checkpoint is the one to
// resume from, empty for none; Ticket is the value of the worker's Ticket, and
// Once means that the order must not be sent again.
type RunStart struct {
	Worker     string
	Task       TaskID
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
	Once       bool
}

// RunStop is an order to stop a run on a worker.
type RunStop struct {
	Worker string
	Task   TaskID
	Run    int
}

// Decision is a decision to be logged.
type Decision struct {
	Event  string
	Job    string
	Task   string
	Worker string
	Run    int
	Detail string
}

// Empty reports whether the batch contains no work.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Removed) == 0 && len(b.Starts) == 0 && len(b.Stops) == 0 &&
		len(b.AdviceRequests) == 0 && len(b.Paces) == 0 && len(b.Decisions) == 0
}

// AdviceRequest asks the advice service which of the workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []string
}

// RunPace is an order to limit a run to a percentage of its speed.
type RunPace struct {
	Worker  string
	Task    TaskID
	Run     int
	Percent int
}

// StoredJob is a job as it was read from the ledger: the encoded job, its state and its
// parts.
type StoredJob struct {
	Job, State []byte
	Parts      [][]byte
	// PartRevisions holds the revision of the latest change of each of the Parts, nil if they
	// are unknown.
	PartRevisions []uint64
	// CancellationKey and Cancellation are set, and nothing else, if it is the cancellation of a
	// job that was not known.
	CancellationKey string
	Cancellation    []byte
}

// JobRecord is the stored form of a job. Job is empty if it is unchanged since
// the last commit, and Parts holds only the parts that have changed.
type JobRecord struct {
	ID    string
	Job   []byte
	State []byte
	// Parts holds the states of the job's units by part number; each part covers
	// several units.
	Parts map[int][]byte
	// PartCount is the number of parts that the job can have.
	PartCount int
	// Spec is the job as it was submitted, and Report its state as callers see it.
	Spec   *Job
	Report JobReport
	// Cancellation is not nil if this is the cancellation of a job that was not known. ID is then
	// its key, and nothing else is set.
	Cancellation []byte
}
