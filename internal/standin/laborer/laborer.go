// Package laborer is an in-memory stand-in for a worker of the users' platform. It
// simulates the runs of tasks, ends them when the worker's lease expires, and
// reports the ends. Faults can be injected.
package laborer

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
	// FaultCut: orders do not reach the worker and time out.
	FaultCut
	// FaultMute: orders are carried out at once, but their replies are lost.
	FaultMute
	// FaultLate: orders are carried out after a delay, and their replies are lost.
	FaultLate
	// FaultStill: tasks make no progress.
	FaultStill
	// FaultFails: every task fails soon after its start.
	FaultFails
)

const (
	lateOrderDelay = 3 * time.Second
	stopDuration   = 50 * time.Millisecond
	failDelay      = 100 * time.Millisecond
	pollInterval   = 10 * time.Millisecond
)

// Laborer simulates one worker. It is safe for concurrent use.
type Laborer struct {
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
	startLog     *Starts
	gauge        float64
	ticket       string
}

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
func New(registration yuccapaddle.Worker, maxLeaseMS int64, work Work, startLog *Starts) *Laborer {
	l := &Laborer{registration: registration, maxLeaseMS: maxLeaseMS, work: work, startLog: startLog}
	l.reset()
	return l
}

// reset starts a new incarnation of the worker, without runs, ends or a lease.
func (l *Laborer) reset() {
	l.startedAt = time.Now()
	l.registration.Incarnation = l.startedAt.UnixMilli()
	l.token, l.leaseExpiry, l.endCount, l.ends = 0, 0, 0, nil
	l.runs, l.highestRun = map[yuccapaddle.TaskID]*run{}, map[yuccapaddle.TaskID]int{}
}

// Restart simulates a restart: the worker loses its state and keeps its ID.
func (l *Laborer) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// SetFault sets the fault from now on.
func (l *Laborer) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endDueRuns()
	l.fault = f
}

// Worker returns the worker's registration with the current clock.
func (l *Laborer) Worker() yuccapaddle.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.registration
	s.Clock = l.clock()
	return s
}

// Drain marks the worker's registration as draining.
func (l *Laborer) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registration.Draining = true
}

// Running returns the tasks that are running, in no order.
func (l *Laborer) Running() []yuccapaddle.TaskID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endDueRuns()
	var list []yuccapaddle.TaskID
	for t := range l.runs {
		list = append(list, t)
	}
	return list
}

// Starts returns the start orders that were carried out, in order.
func (l *Laborer) Starts() []yuccapaddle.StartOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.starts)
}

// clock returns the milliseconds since the last restart.
func (l *Laborer) clock() int64 {
	return time.Since(l.startedAt).Milliseconds()
}

// endDueRuns ends the runs whose lease has expired, whose stop is due, or that have
// failed or completed by now. The caller holds l.mu.
func (l *Laborer) endDueRuns() {
	now := time.Now()
	for t, r := range l.runs {
		switch {
		case l.clock() > l.leaseExpiry:
			l.recordEnd(t, r, yuccapaddle.EndLapsed)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			l.recordEnd(t, r, yuccapaddle.EndStopped)
		case l.fault == FaultStill:
			r.startedAt = now
		case l.fault == FaultFails && now.Sub(r.startedAt) >= failDelay:
			l.recordEnd(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.startedAt) >= r.duration && r.fails:
			l.recordEnd(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.startedAt) >= r.duration:
			l.recordEnd(t, r, yuccapaddle.EndDone)
		}
	}
}

func (l *Laborer) recordEnd(t yuccapaddle.TaskID, r *run, cause yuccapaddle.EndCause) {
	delete(l.runs, t)
	l.endCount++
	l.ends = append(l.ends, yuccapaddle.End{Number: l.endCount, Task: t, Run: r.order.Run, Cause: cause})
}

// deliver lets handle carry an order out, subject to the current fault.
func (l *Laborer) deliver(ctx context.Context, handle func() error) error {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case FaultCut:
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultMute:
		_ = l.apply(handle) // the reply is lost
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultLate:
		time.AfterFunc(lateOrderDelay, func() { _ = l.apply(handle) }) // the reply is lost
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	}
	return l.apply(handle)
}

func (l *Laborer) apply(handle func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endDueRuns()
	return handle()
}

func (l *Laborer) refuse(reason yuccapaddle.Refusal) error {
	return &yuccapaddle.RefusalError{Reason: reason, Clock: l.clock()}
}

func (l *Laborer) extendLease(deadline int64) {
	l.leaseExpiry = max(l.leaseExpiry, min(deadline, l.clock()+l.maxLeaseMS))
}

// Start carries out a start order and returns the worker's clock.
func (l *Laborer) Start(ctx context.Context, o yuccapaddle.StartOrder) (clock int64, err error) {
	err = l.deliver(ctx, func() error {
		clock = l.clock()
		return l.start(o)
	})
	return clock, err
}

func (l *Laborer) start(o yuccapaddle.StartOrder) error {
	switch {
	case o.Token < l.token:
		return l.refuse(yuccapaddle.RefusedOutdated)
	case o.Deadline < l.clock():
		return l.refuse(yuccapaddle.RefusedLate)
	}
	l.token = o.Token
	if r := l.runs[o.Task]; r != nil && r.order.Run == o.Run {
		l.extendLease(o.Deadline)
		return nil
	}
	if o.Run <= l.highestRun[o.Task] {
		return l.refuse(yuccapaddle.RefusedSuperseded)
	}
	if l.ticket != "" && o.Ticket != l.ticket {
		return l.refuse(yuccapaddle.RefusedTicket)
	}
	l.extendLease(o.Deadline)
	duration, fails := l.work(o.Task, o.Payload)
	l.highestRun[o.Task] = o.Run
	l.runs[o.Task] = &run{order: o, startedAt: time.Now(), duration: duration, fails: fails, pacePercent: 100}
	l.starts = append(l.starts, o)
	l.startLog.record(l.registration.ID, o)
	return nil
}

// Stop carries out a stop order and returns the worker's clock.
func (l *Laborer) Stop(ctx context.Context, o yuccapaddle.StopOrder) (clock int64, err error) {
	err = l.deliver(ctx, func() error {
		clock = l.clock()
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		l.token = o.Token
		l.highestRun[o.Task] = max(l.highestRun[o.Task], o.Run)
		if r := l.runs[o.Task]; r != nil && r.order.Run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopDuration)
		}
		return nil
	})
	return clock, err
}

// Pace records the percentage of its speed at which a run may work. It does not
// slow the simulated run down.
func (l *Laborer) Pace(ctx context.Context, o yuccapaddle.PaceOrder) error {
	return l.deliver(ctx, func() error {
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		if r := l.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pacePercent = o.Percent
		}
		return nil
	})
}

// Paces returns the pace of every running task, in percent.
func (l *Laborer) Paces() map[yuccapaddle.TaskID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	paces := map[yuccapaddle.TaskID]int{}
	for t, r := range l.runs {
		paces[t] = r.pacePercent
	}
	return paces
}

// SetGauge sets the gauge that the worker reports for all its runs.
func (l *Laborer) SetGauge(g float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gauge = g
}

// SetTicket makes the worker refuse starts without this ticket; any are allowed if
// it is empty.
func (l *Laborer) SetTicket(ticket string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticket = ticket
}

// Hold renews the lease and returns the runs and ends. It waits up to o.WaitMS
// milliseconds for an end if there is none.
func (l *Laborer) Hold(ctx context.Context, o yuccapaddle.HoldOrder) (reply yuccapaddle.HoldReply, err error) {
	waitUntil := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	err = l.deliver(ctx, func() error {
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		l.token = o.Token
		if o.Deadline != 0 {
			l.extendLease(o.Deadline)
		}
		l.ends = slices.DeleteFunc(l.ends, func(e yuccapaddle.End) bool { return e.Number <= o.AckedEnd })
		return nil
	})
	for err == nil && l.noEnds() && time.Now().Before(waitUntil) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endDueRuns()
	return l.holdReply(), err
}

func (l *Laborer) noEnds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endDueRuns()
	return len(l.ends) == 0
}

func (l *Laborer) holdReply() yuccapaddle.HoldReply {
	reply := yuccapaddle.HoldReply{Incarnation: l.registration.Incarnation, Clock: l.clock(), Ended: slices.Clone(l.ends)}
	for t, r := range l.runs {
		percent := 0
		if r.duration > 0 {
			percent = int(100 * time.Since(r.startedAt) / r.duration)
		}
		reply.Running = append(reply.Running, yuccapaddle.Run{Task: t, Run: r.order.Run, Percent: min(percent, 99), Gauge: l.gauge})
	}
	return reply
}
