package yuccapaddle

import (
	"context"
	"errors"
	"time"
)

// Worker is one worker as it registers itself. Born tells two lives under one
// ID apart; it is the Unix millisecond of the start.
type Worker struct {
	ID       string
	Address  string
	Service  string
	Domain   string // failure domain
	Labels   []string
	Rack     string
	Born     int64
	Draining bool
	Capacity Need
	// Clock is the worker's steady clock in milliseconds when it registered.
	Clock int64
}

// StartOrder asks a worker to start a run of a task. The worker refuses it
// after Deadline, which is in milliseconds of its own clock.
type StartOrder struct {
	Task     TaskID
	Run      int
	Payload  string
	Saved    string
	Ticket   string
	Deadline int64
	Token    uint64
	// Once: the order is not to be sent again if its fate is not known.
	Once bool
}

// StopOrder asks a worker to end a run.
type StopOrder struct {
	Task  TaskID
	Run   int
	Token uint64
}

// HoldOrder renews the lease of all that runs on a worker until Deadline, in
// milliseconds of its clock (0: no renewal), drops the ends up to Seen, and
// waits up to WaitMS milliseconds for another end.
type HoldOrder struct {
	Token    uint64
	Seen     int64
	Deadline int64
	WaitMS   int64
}

// Run is a run that a worker has in work. Percent is its progress, 0 to 100.
type Run struct {
	Task    TaskID
	Run     int
	Saved   string
	Percent int
	// Gauge is, for a task with a target, the tail of its answers in
	// milliseconds, and for others the processor time in use.
	Gauge float64
}

// PaceOrder lets a task work at Percent of its speed, from 0 to 100.
type PaceOrder struct {
	Task    TaskID
	Run     int
	Percent int
	Token   uint64
}

// EndCause says how a run ended.
type EndCause string

// Causes of an end.
const (
	EndDone    EndCause = "done"
	EndFailed  EndCause = "failed"
	EndStopped EndCause = "stopped"
	EndLapsed  EndCause = "lapsed"
	EndBroken  EndCause = "broken"
	EndAlone   EndCause = "alone"
)

// End is the end of a run; Number rises by one with each end in a worker's life.
type End struct {
	Number int64
	Task   TaskID
	Run    int
	Cause  EndCause
	Saved  string
}

// HoldReply is what a worker has in work and what has ended there.
type HoldReply struct {
	Born    int64
	Clock   int64
	Running []Run
	Ended   []End
	// Cut: there are more ends than the answer holds.
	Cut bool
}

// Runner gives orders to workers. Errors match ErrNoAnswer, or are a
// *RefusalError; both say what is known of the order.
type Runner interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, s *Worker, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, s *Worker, o StopOrder) (clock int64, err error)
	Hold(ctx context.Context, s *Worker, o HoldOrder) (HoldReply, error)
	Pace(ctx context.Context, s *Worker, o PaceOrder) error
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// Ticket allows the tasks of a step to start on a worker until it ends.
type Ticket struct {
	Worker string
	Value  string
	Ends   time.Time
}

// Adviser tells which workers may run a step. It answers in its own time, and
// one call after the other.
type Adviser interface {
	Advise(ctx context.Context, s StepID, workers []string) ([]Ticket, error)
}

// MachineState says what a machine does.
type MachineState string

// States of a machine.
const (
	MachineUp         MachineState = "up"
	MachineMoving     MachineState = "moving"
	MachineMaintained MachineState = "maintained"
	MachineDown       MachineState = "down"
)

// Machine is the hardware below a worker. Worker is empty while it has none.
type Machine struct {
	Name   string
	Pool   string
	State  MachineState
	Worker string
}

// Fleet orders the maintenance of machines. Holder and token shut out orders of
// hosts that have been replaced.
type Fleet interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Maintain takes a machine down for its maintenance in a wave; what runs there
	// ends. It is idempotent. ErrBusy means that it cannot be taken down now, and
	// ErrNotOfWave that the wave does not hold it any more.
	Maintain(ctx context.Context, machine string, wave int64, holder string, token uint64) error
	// Report tells the operators how far a wave is.
	Report(ctx context.Context, wave int64, completed bool) error
}

// Drainer empties workers. The executor does.
type Drainer interface {
	// Drain has a worker get no new runs for as long as want holds. It reports
	// whether nothing runs there, and whether taking it down now would have too
	// many tasks of a step away.
	Drain(ctx context.Context, worker string, want bool) (empty, needed bool)
}

var (
	// ErrBusy reports a machine that cannot be taken down now.
	ErrBusy = errors.New("the machine is not up, or leaves")
	// ErrNotOfWave reports a machine that is in no such wave.
	ErrNotOfWave = errors.New("the machine is not of that wave")
	// ErrOutdated reports an order under a token that is not the highest any more.
	ErrOutdated = errors.New("a later host gives the orders")
)

// Refusal is a worker's reason for not carrying out an order.
type Refusal string

// Refusals.
const (
	// RefusedOutdated: the worker has seen a higher fencing token.
	RefusedOutdated Refusal = "outdated"
	// RefusedOld: a run as high has been stopped or has ended there.
	RefusedOld Refusal = "old"
	// RefusedLate: the deadline of the order is over.
	RefusedLate Refusal = "late"
	// RefusedRoom: the worker has no room for the task.
	RefusedRoom Refusal = "room"
	// RefusedTicket: the worker wants another ticket.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy: the worker does nothing at the moment.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedReplaced: another worker lives at the address.
	RefusedReplaced Refusal = "replaced"
	// RefusedUnsent: the order was held back on this host.
	RefusedUnsent Refusal = "unsent"
	// RefusedInvalid: the worker does not understand the order.
	RefusedInvalid Refusal = "invalid"
)

// RefusalError reports an order that was not carried out and will not be.
type RefusalError struct {
	Reason Refusal
	Clock  int64
}

// Error returns the reason.
func (e *RefusalError) Error() string {
	return "the worker refused the order: " + string(e.Reason)
}

// Registry lists the workers that are alive, as of a call's answer.
type Registry interface {
	Workers(ctx context.Context) ([]Worker, error)
}

// Ledger is a store with transactions over several keys. Errors of Commit match
// exactly one of ErrConflict, ErrNotApplied and ErrUnknown.
type Ledger interface {
	// Get reads a key; an absent key is an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with the prefix. The revision is one of the store at or
	// before the first key was read.
	List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	// Commit applies all of a transaction or nothing, and returns its revision.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Grant returns a new lease that ends after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew keeps a lease alive; ErrLeaseOver means that it has ended.
	Renew(ctx context.Context, lease uint64) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, lease uint64) error
}

// Transaction is a set of changes that apply while all conditions hold.
type Transaction struct {
	If     []Condition
	Set    []Change
	Remove []string
}

// Lock is a key that a lease binds to the writer of the records. Revision is the
// one that the claimer has seen, 0 for none.
type Lock struct {
	Key      string
	Revision uint64
	Lease    uint64
	Address  string
}

// Condition holds while the key has the revision (0: it does not exist).
type Condition struct {
	Key      string
	Revision uint64
}

// Change sets a key, bound to a lease unless Lease is 0.
type Change struct {
	Key   string
	Value []byte
	Lease uint64
}

// ErrInvalid reports a call that the ledger does not understand, so that trying it
// again is of no use.
var ErrInvalid = errors.New("the ledger does not understand the call")

// ErrLeaseOver reports a lease that has ended.
var ErrLeaseOver = errors.New("the lease has ended")
