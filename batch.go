package yuccapaddle

import "time"

// PlanLimits are bounds of the decisions that the settings give.
type PlanLimits struct {
	// Remote is how many times longer a task takes away from its data.
	Remote float64
	// Restore is the time that a task takes to go on from a checkpoint.
	Restore time.Duration
	// Retention is how long a finished job can be asked for.
	Retention time.Duration
}

// Batch is what is to be done: the records first, the orders once these are
// committed.
type Batch struct {
	Records   []JobRecord
	Removed   []JobRecord
	Starts    []RunStart
	Stops     []RunStop
	Questions []Question
	Paces     []RunPace
	Notes     []Note
}

// RunStart is an order to start a run on a worker.
type RunStart struct {
	Worker  string
	Task    TaskID
	Run     int
	Payload string
	Saved   string
	Ticket  string
	Once    bool
}

// RunStop is an order to end a run on a worker.
type RunStop struct {
	Worker string
	Task   TaskID
	Run    int
}

// Note is a decision for the log.
type Note struct {
	Event  string
	Job    string
	Task   string
	Worker string
	Run    int
	Detail string
}

// Empty reports whether there is nothing to do.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Removed) == 0 && len(b.Starts) == 0 && len(b.Stops) == 0 &&
		len(b.Questions) == 0 && len(b.Paces) == 0 && len(b.Notes) == 0
}

// Question asks which of the workers may run a step.
type Question struct {
	Step    StepID
	Workers []string
}

// RunPace is an order to let a run work at a percentage.
type RunPace struct {
	Worker  string
	Task    TaskID
	Run     int
	Percent int
}

// JobRecord is the committed form of a job. Job is empty if it has not changed
// since an earlier commit, and Parts holds only those parts that have.
type JobRecord struct {
	ID    string
	Job   []byte
	State []byte
	// Parts are the states of the job's units, some in each part, by number.
	Parts map[int][]byte
	// PartCount is how many parts the job can have.
	PartCount int
	// Queue and Shown are what callers see of it.
	Queue string
	Shown JobReport
}
