package yuccapaddle

import (
	"context"
	"errors"
	"time"
)

// Worker is the registration of a worker. Incarnation is its start time in Unix
// milliseconds, which distinguishes two processes under one ID.
type Worker struct {
	ID          string
	Address     string
	Service     string
	Domain      string // failure domain
	Labels      []string
	Rack        string
	Incarnation int64
	Draining    bool
	Capacity    Need
	// Clock is the worker's monotonic clock at its registration, in milliseconds.
	Clock int64
	// RemainingMS is the least time until a draining worker leaves, in milliseconds from
	// its registration at Clock; 0 if unknown. Everything that runs there ends then.
	RemainingMS int64
	// LeavesAt is the same as a deadline on the clock of the host that has read the
	// registration; zero if unknown.
	LeavesAt time.Time
}

// StartOrder tells a worker to start a run of a task. The worker refuses it after
// Deadline, which is in milliseconds of its own clock. Checkpoint is the one to
// resume from, empty for none, and Token the fencing token.
type StartOrder struct {
	Task       TaskID
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
	Deadline   int64
	Token      uint64
	// Once means that the order must not be sent again if its result is unknown.
	Once bool
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Task  TaskID
	Run   int
	Token uint64
}

// HoldOrder renews the lease of all runs on a worker until Deadline, in
// milliseconds of the worker's clock (0: no renewal), acknowledges the ends up to
// number AckedEnd, and waits up to WaitMS milliseconds for the next end.
type HoldOrder struct {
	Token    uint64
	AckedEnd int64
	Deadline int64
	WaitMS   int64
}

// Run is a run in progress on a worker. The field Run is its number, Checkpoint its
// latest checkpoint, empty for none, and Percent its progress, 0 to 100.
type Run struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Gauge is the tail latency of its answers in milliseconds for a task with a
	// target, and the processor time in use for others.
	Gauge float64
}

// PaceOrder tells a worker to limit a run to Percent of its speed, 0 to 100.
type PaceOrder struct {
	Task    TaskID
	Run     int
	Percent int
	Token   uint64
}

// EndCause says why a run ended. Workers may send other values than those below.
type EndCause string

// Causes of an end.
const (
	// EndDone means that the run has completed.
	EndDone EndCause = "done"
	// EndFailed means that the run failed, through a fault of the task or the worker.
	EndFailed EndCause = "failed"
	// EndStopped means that a StopOrder stopped the run.
	EndStopped EndCause = "stopped"
	// EndLapsed means that the lease expired.
	EndLapsed EndCause = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndCause = "broken"
	// EndAlone means that the member waited the gang timeout for the others to start.
	EndAlone EndCause = "alone"
)

// End reports the end of a run. Number increases by one with each end for as long
// as the worker's process lives.
type End struct {
	Number     int64
	Task       TaskID
	Run        int
	Cause      EndCause
	Checkpoint string
}

// HoldReply lists the runs in progress on a worker and those that have ended.
type HoldReply struct {
	Incarnation int64
	Clock       int64
	Running     []Run
	Ended       []End
	// Truncated means that more runs have ended than the reply lists.
	Truncated bool
}

// Runner sends orders to workers. An error matches ErrNoAnswer if the order may
// have been carried out; it is a *RefusalError if the order was not.
type Runner interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, w *Worker, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, w *Worker, o StopOrder) (clock int64, err error)
	Hold(ctx context.Context, w *Worker, o HoldOrder) (HoldReply, error)
	Pace(ctx context.Context, w *Worker, o PaceOrder) error
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// Ticket allows the tasks of a step to start on a worker until ExpiresAt.
type Ticket struct {
	Worker    string
	Value     string
	ExpiresAt time.Time
}

// Adviser asks the advice service which workers may run a step. The service may be
// slow, and answers a host's calls one at a time.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []string) ([]Ticket, error)
}

// MachineState is the operating state of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp         MachineState = "up"
	MachineMoving     MachineState = "moving"
	MachineMaintained MachineState = "maintained"
	MachineDown       MachineState = "down"
)

// Machine is the hardware that runs a worker. Worker is empty while there is none.
type Machine struct {
	Name   string
	Pool   string
	State  MachineState
	Worker string
}

// Fleet controls the maintenance of machines. The holder of an order is the host that
// gives it; holder and token fence off orders from hosts that have been replaced.
type Fleet interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Maintain takes a machine down for its maintenance in a wave, which ends all
	// runs there. It is idempotent. ErrBusy means that the machine cannot be taken
	// down now, ErrNotOfWave that it is not part of the wave now, and ErrNoMachine
	// that the platform does not know the machine now. None of them is for good.
	Maintain(ctx context.Context, machine string, wave int64, holder string, token uint64) error
	// Report sends the progress of a wave to the operators. ErrWaveCompleted means that a
	// wave has begun whose end was reported before, by any host.
	Report(ctx context.Context, wave int64, completed bool) error
	// Completed returns whether a wave has been reported as completed, by any host.
	Completed(ctx context.Context, wave int64) (bool, error)
}

// Drainer drains workers. Package executor implements it.
type Drainer interface {
	// Drain stops new runs on a worker if drain is true, and allows them again
	// otherwise. empty reports whether nothing runs there, and mustStay whether
	// taking the worker down now would make more tasks of a step unavailable than
	// allowed.
	Drain(ctx context.Context, worker string, drain bool) (empty, mustStay bool)
}

var (
	// ErrBusy reports a machine that cannot be taken down now.
	ErrBusy = errors.New("the machine is not up, or leaves")
	// ErrNotOfWave reports a machine that is not part of the wave.
	ErrNotOfWave = errors.New("the machine is not of that wave")
	// ErrNoMachine reports a machine that the platform does not know.
	ErrNoMachine = errors.New("there is no such machine")
	// ErrWaveCompleted reports a wave that has been reported as completed.
	ErrWaveCompleted = errors.New("the wave was completed before")
	// ErrOutdated reports an order whose fencing token is no longer the highest.
	ErrOutdated = errors.New("a later host gives the orders")
)

// Refusal is the reason why an order was not carried out.
type Refusal string

// Reasons why an order was not carried out.
const (
	// RefusedOutdated means that the worker has seen a higher fencing token.
	RefusedOutdated Refusal = "outdated"
	// RefusedSuperseded means that this run of the task, or one with a higher
	// number, has already been stopped or has ended there.
	RefusedSuperseded Refusal = "old"
	// RefusedLate means that the order's deadline has passed.
	RefusedLate Refusal = "late"
	// RefusedCapacity means that the worker lacks capacity for the task.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the worker does not accept the ticket.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker takes no orders at the moment.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedReplaced means that another worker has the address now.
	RefusedReplaced Refusal = "replaced"
	// RefusedUnsent means that this host did not send the order.
	RefusedUnsent Refusal = "unsent"
	// RefusedInvalid means that the worker does not understand the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusalError reports an order that was not carried out and will not be. Clock is
// the worker's clock in milliseconds, if the answer has it.
type RefusalError struct {
	Reason Refusal
	Clock  int64
}

// Error returns the reason.
func (e *RefusalError) Error() string {
	return "the worker refused the order: " + string(e.Reason)
}

// Registry lists the registered workers that are alive at the time of the call.
type Registry interface {
	Workers(ctx context.Context) ([]Worker, error)
}

// Ledger is a key-value store with multi-key transactions and leases. Errors of
// Commit match exactly one of ErrConflict, ErrNotApplied and ErrUnknown.
type Ledger interface {
	// Get reads a key; an absent key is an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with the prefix. The revision is that of the store at, or
	// before, the time at which the first key was read.
	List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	// Commit applies a transaction atomically and returns its revision.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Grant returns a new lease that ends after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease; ErrLeaseOver means that it has ended.
	Renew(ctx context.Context, lease uint64) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, lease uint64) error
}

// Transaction is a set of changes that apply if all conditions hold.
type Transaction struct {
	If     []Condition
	Set    []Change
	Remove []string
}

// Lock is the lock key that the writer of the records sets to its Address, bound
// to Lease. Revision is the key's last known revision, 0 if it does not exist.
type Lock struct {
	Key      string
	Revision uint64
	Lease    uint64
	Address  string
}

// Condition holds if the key has the revision (0: it does not exist).
type Condition struct {
	Key      string
	Revision uint64
}

// Change sets a key, which is bound to a lease unless Lease is 0.
type Change struct {
	Key   string
	Value []byte
	Lease uint64
}

// ErrInvalid reports a call that the ledger does not understand, so that a retry
// cannot succeed.
var ErrInvalid = errors.New("the ledger does not understand the call")

// ErrLeaseOver reports a lease that has ended.
var ErrLeaseOver = errors.New("the lease has ended")
