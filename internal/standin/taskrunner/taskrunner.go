// Package taskrunner is an in-memory stand-in for a worker of the users' platform. It
// simulates the runs of tasks, ends them when the worker's lease expires, and
// reports the ends. Faults can be injected.
package taskrunner

import (
	"context"
	"slices"
	"sync"
	"time"

	"yuccapaddle"
)

// Work returns how long a task runs, and whether it fails at the end.
type Work func(t yuccapaddle.TaskID, payload string) (duration time.Duration, fails bool)

// Fault is a way in which a worker fails.
type Fault int

// Faults of a worker.
const (
	// FaultNone: orders are carried out and answered.
	FaultNone Fault = iota
	// FaultUnreachable: orders do not reach the worker and time out.
	FaultUnreachable
	// FaultLostReply: orders are carried out at once, but their replies are lost.
	FaultLostReply
	// FaultDelayed: orders are carried out after a delay, and their replies are lost.
	FaultDelayed
	// FaultStalled: tasks make no progress.
	FaultStalled
	// FaultFailTasks: every task fails soon after its start.
	FaultFailTasks
)

const (
	orderDelay   = 3 * time.Second
	stopDuration = 50 * time.Millisecond
	failDelay    = 100 * time.Millisecond
	pollInterval = 10 * time.Millisecond
)

// TaskRunner simulates one worker. It is safe for concurrent use.
type TaskRunner struct {
	mu           sync.Mutex
	registration yuccapaddle.Worker
	maxLeaseMS   int64
	work         Work
	fault        Fault
	startedAt    time.Time
	token        uint64
	leaseExpiry  int64 // by clock
	runs         map[yuccapaddle.TaskID]*run
	highestRun   map[yuccapaddle.TaskID]int
	ends         []yuccapaddle.End
	endCount     int64
	starts       []yuccapaddle.StartOrder
	startLog     *StartLog
	gauge        float64
	ticket       string
	leavesAt     time.Time // told in the registration while it drains; zero if unknown
	clockRate    float64
	ackedEnds    []AckedEnd
	endedAt      map[int64]time.Time // of each end, by its number
	lapsedAt     time.Time           // when an order last found the lease expired

	crashes    func(t yuccapaddle.TaskID, payload string) bool // nil if no task crashes the worker
	crashed    func()                                          // called after such a crash; nil for none
	crashCount int
	down       bool // it has crashed and is not back yet
	returns    bool // it comes back by itself
	replaced   bool // another worker, with another ID, comes back in its place
	firstID    string

	need       func(t yuccapaddle.TaskID, payload string) yuccapaddle.Need // nil if loads are not recorded
	capacities []capacityChange
	loads      []load
}

// Option changes a TaskRunner under construction.
type Option func(*TaskRunner)

type run struct {
	order       yuccapaddle.StartOrder
	startedAt   time.Time
	duration    time.Duration
	fails       bool
	stopAt      time.Time // when a requested stop takes effect; zero if none
	pacePercent int
}

// New returns a worker with the given registration. maxLeaseMS is how far ahead the
// lease may be extended, in milliseconds. Starts are also recorded in startLog.
func New(registration yuccapaddle.Worker, maxLeaseMS int64, work Work, startLog *StartLog, opts ...Option) *TaskRunner {
	tr := &TaskRunner{registration: registration, maxLeaseMS: maxLeaseMS, work: work, startLog: startLog, firstID: registration.ID, clockRate: 1}
	for _, opt := range opts {
		opt(tr)
	}
	tr.reset()
	tr.capacities = []capacityChange{{registration.Capacity, tr.startedAt}}
	return tr
}

// reset starts a new incarnation of the worker, without runs, ends or a lease.
func (tr *TaskRunner) reset() {
	tr.down = false
	tr.startedAt = time.Now()
	tr.registration.Incarnation = tr.startedAt.UnixMilli()
	tr.token, tr.leaseExpiry, tr.endCount, tr.ends = 0, 0, 0, nil
	tr.endedAt, tr.lapsedAt = map[int64]time.Time{}, time.Time{}
	tr.runs, tr.highestRun = map[yuccapaddle.TaskID]*run{}, map[yuccapaddle.TaskID]int{}
}

// Restart simulates a restart: the worker loses its state and keeps its ID.
func (tr *TaskRunner) Restart() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.reset()
}

// SetFault sets the fault from now on.
func (tr *TaskRunner) SetFault(f Fault) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endDueRuns()
	tr.fault = f
}

// Worker returns the worker's registration with the current clock.
func (tr *TaskRunner) Worker() yuccapaddle.Worker {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.registration
	s.Clock = tr.clock()
	if s.Draining && !tr.leavesAt.IsZero() {
		s.RemainingMS = max(time.Until(tr.leavesAt).Milliseconds(), 0)
	}
	return s
}

// Drain marks the worker's registration as draining.
func (tr *TaskRunner) Drain() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.registration.Draining = true
}

// DrainUntil is like Drain, and has the registration tell the time left until leavesAt.
func (tr *TaskRunner) DrainUntil(leavesAt time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.registration.Draining, tr.leavesAt = true, leavesAt
}

// Running returns the tasks that are running, in no order.
func (tr *TaskRunner) Running() []yuccapaddle.TaskID {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endDueRuns()
	var list []yuccapaddle.TaskID
	for t := range tr.runs {
		list = append(list, t)
	}
	return list
}

// Starts returns the start orders that were carried out, in order.
func (tr *TaskRunner) Starts() []yuccapaddle.StartOrder {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.Clone(tr.starts)
}

// clock returns the milliseconds since the last restart, by the worker's clock.
func (tr *TaskRunner) clock() int64 {
	return int64(float64(time.Since(tr.startedAt).Milliseconds()) * tr.clockRate)
}

// endDueRuns ends the runs whose lease has expired, whose stop is due, or that have
// failed or completed by now. The caller holds tr.mu.
func (tr *TaskRunner) endDueRuns() {
	now := time.Now()
	for t, r := range tr.runs {
		switch {
		case tr.clock() > tr.leaseExpiry:
			tr.recordEnd(t, r, yuccapaddle.EndLapsed)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			tr.recordEnd(t, r, yuccapaddle.EndStopped)
		case tr.fault == FaultStalled:
			r.startedAt = now
		case tr.fault == FaultFailTasks && now.Sub(r.startedAt) >= failDelay:
			tr.recordEnd(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.startedAt) >= r.duration && r.fails:
			tr.recordEnd(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.startedAt) >= r.duration:
			tr.recordEnd(t, r, yuccapaddle.EndDone)
		}
	}
}

func (tr *TaskRunner) recordEnd(t yuccapaddle.TaskID, r *run, cause yuccapaddle.EndCause) {
	delete(tr.runs, t)
	tr.endCount++
	tr.endedAt[tr.endCount] = time.Now()
	tr.ends = append(tr.ends, yuccapaddle.End{Number: tr.endCount, Task: t, Run: r.order.Run, Cause: cause})
}

// deliver lets handle carry an order out, subject to the current fault.
func (tr *TaskRunner) deliver(ctx context.Context, handle func() error) error {
	tr.mu.Lock()
	fault, id := tr.fault, tr.registration.ID
	tr.mu.Unlock()
	switch fault {
	case FaultUnreachable:
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultLostReply:
		_ = tr.apply(id, handle) // the reply is lost
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultDelayed:
		time.AfterFunc(orderDelay, func() { _ = tr.apply(id, handle) }) // the reply is lost
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	}
	return tr.apply(id, handle)
}

// apply carries out an order to the worker with the ID, unless it is away after a crash
// or another one has taken its place.
func (tr *TaskRunner) apply(id string, handle func() error) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.endDueRuns()
	if tr.down || tr.registration.ID != id {
		return yuccapaddle.ErrNoAnswer
	}
	return handle()
}

func (tr *TaskRunner) refuse(reason yuccapaddle.Refusal) error {
	return &yuccapaddle.RefusalError{Reason: reason, Clock: tr.clock()}
}

func (tr *TaskRunner) extendLease(deadline int64) {
	if tr.clock() > tr.leaseExpiry {
		tr.lapsedAt = time.Now()
	}
	tr.leaseExpiry = max(tr.leaseExpiry, min(deadline, tr.clock()+tr.maxLeaseMS))
}

// Start carries out a start order and returns the worker's clock.
func (tr *TaskRunner) Start(ctx context.Context, o yuccapaddle.StartOrder) (clock int64, err error) {
	ordered := time.Now()
	err = tr.deliver(ctx, func() error {
		clock = tr.clock()
		return tr.start(o, ordered)
	})
	return clock, err
}

func (tr *TaskRunner) start(o yuccapaddle.StartOrder, ordered time.Time) error {
	switch {
	case o.Token < tr.token:
		return tr.refuse(yuccapaddle.RefusedOutdated)
	case o.Deadline < tr.clock():
		return tr.refuse(yuccapaddle.RefusedLate)
	}
	tr.token = o.Token
	if r := tr.runs[o.Task]; r != nil && r.order.Run == o.Run {
		tr.extendLease(o.Deadline)
		return nil
	}
	if o.Run <= tr.highestRun[o.Task] {
		return tr.refuse(yuccapaddle.RefusedSuperseded)
	}
	if tr.ticket != "" && o.Ticket != tr.ticket {
		return tr.refuse(yuccapaddle.RefusedTicket)
	}
	tr.extendLease(o.Deadline)
	_, beside := tr.runs[o.Task]
	duration, fails := tr.work(o.Task, o.Payload)
	tr.highestRun[o.Task] = o.Run
	tr.runs[o.Task] = &run{order: o, startedAt: time.Now(), duration: duration, fails: fails, pacePercent: 100}
	if tr.crashes != nil && tr.crashes(o.Task, o.Payload) {
		r := tr.runs[o.Task]
		time.AfterFunc(crashDelay, func() { tr.crashUnder(r) })
	}
	tr.recordLoad(o.Task, ordered)
	tr.starts = append(tr.starts, o)
	tr.startLog.record(tr.registration.ID, o, beside)
	return nil
}

// Stop carries out a stop order and returns the worker's clock.
func (tr *TaskRunner) Stop(ctx context.Context, o yuccapaddle.StopOrder) (clock int64, err error) {
	err = tr.deliver(ctx, func() error {
		clock = tr.clock()
		if o.Token < tr.token {
			return tr.refuse(yuccapaddle.RefusedOutdated)
		}
		tr.token = o.Token
		tr.highestRun[o.Task] = max(tr.highestRun[o.Task], o.Run)
		if r := tr.runs[o.Task]; r != nil && r.order.Run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopDuration)
		}
		return nil
	})
	return clock, err
}

// Pace records the percentage of its speed at which a run may work. It does not
// slow the simulated run down.
func (tr *TaskRunner) Pace(ctx context.Context, o yuccapaddle.PaceOrder) error {
	return tr.deliver(ctx, func() error {
		if o.Token < tr.token {
			return tr.refuse(yuccapaddle.RefusedOutdated)
		}
		if r := tr.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pacePercent = o.Percent
		}
		return nil
	})
}

// Paces returns the pace of every running task, in percent.
func (tr *TaskRunner) Paces() map[yuccapaddle.TaskID]int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	paces := map[yuccapaddle.TaskID]int{}
	for t, r := range tr.runs {
		paces[t] = r.pacePercent
	}
	return paces
}

// SetGauge sets the gauge that the worker reports for all its runs.
func (tr *TaskRunner) SetGauge(g float64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.gauge = g
}

// SetTicket makes the worker refuse starts without this ticket; any are allowed if
// it is empty.
func (tr *TaskRunner) SetTicket(ticket string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.ticket = ticket
}
