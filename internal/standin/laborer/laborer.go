// Package laborer plays one of the platform's workers in memory: it starts what
// it is told to, holds leases, and lists what has ended.
package laborer

import (
	"context"
	"slices"
	"sync"
	"time"

	"yuccapaddle"
)

// Work says how long a task takes, and whether it fails at its end.
type Work func(t yuccapaddle.TaskID, payload string) (took time.Duration, fails bool)

// Fault is a way in which a worker misbehaves.
type Fault int

// Faults.
const (
	// FaultNone: the worker answers.
	FaultNone Fault = iota
	// FaultCut: orders do not arrive.
	FaultCut
	// FaultMute: orders are carried out at once and get no answer.
	FaultMute
	// FaultLate: orders are carried out late and get no answer.
	FaultLate
	// FaultStill: tasks make no progress.
	FaultStill
	// FaultFails: every task fails soon after its start.
	FaultFails
)

// Figures of the worker.
const (
	lateBy    = 3 * time.Second
	stopTime  = 50 * time.Millisecond
	failAfter = 100 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// Laborer is safe for concurrent use.
type Laborer struct {
	mu      sync.Mutex
	self    yuccapaddle.Worker
	holdMax int64
	work    Work
	fault   Fault
	bornAt  time.Time
	token   uint64
	until   int64
	runs    map[yuccapaddle.TaskID]*run
	highest map[yuccapaddle.TaskID]int
	ends    []yuccapaddle.End
	count   int64
	starts  []yuccapaddle.StartOrder
	log     *Starts
	gauge   float64
	ticket  string
}

type run struct {
	order    yuccapaddle.StartOrder
	begunAt  time.Time
	took     time.Duration
	fails    bool
	stopping time.Time
	pace     int
}

// New returns a worker with the registration self. holdMax is the longest lease,
// in milliseconds.
func New(self yuccapaddle.Worker, holdMax int64, work Work, log *Starts) *Laborer {
	l := &Laborer{self: self, holdMax: holdMax, work: work, log: log}
	l.reset()
	return l
}

func (l *Laborer) reset() {
	l.bornAt = time.Now()
	l.self.Born = l.bornAt.UnixMilli()
	l.token, l.until, l.count, l.ends = 0, 0, 0, nil
	l.runs, l.highest = map[yuccapaddle.TaskID]*run{}, map[yuccapaddle.TaskID]int{}
}

// Restart ends everything and begins a new life under the same ID.
func (l *Laborer) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// SetFault switches a fault on.
func (l *Laborer) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.fault = f
}

// Worker is the worker's registration.
func (l *Laborer) Worker() yuccapaddle.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.self
	s.Clock = l.clock()
	return s
}

// Drain makes the worker register as one that leaves.
func (l *Laborer) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Draining = true
}

// Running lists the tasks in work.
func (l *Laborer) Running() []yuccapaddle.TaskID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	var list []yuccapaddle.TaskID
	for t := range l.runs {
		list = append(list, t)
	}
	return list
}

// Starts lists the starts that were carried out.
func (l *Laborer) Starts() []yuccapaddle.StartOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.starts)
}

func (l *Laborer) clock() int64 {
	return time.Since(l.bornAt).Milliseconds()
}

// advance ends what has ended by now.
func (l *Laborer) advance() {
	now := time.Now()
	for t, r := range l.runs {
		switch {
		case l.clock() > l.until:
			l.end(t, r, yuccapaddle.EndLapsed)
		case !r.stopping.IsZero() && now.After(r.stopping):
			l.end(t, r, yuccapaddle.EndStopped)
		case l.fault == FaultStill:
			r.begunAt = now
		case l.fault == FaultFails && now.Sub(r.begunAt) >= failAfter:
			l.end(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.begunAt) >= r.took && r.fails:
			l.end(t, r, yuccapaddle.EndFailed)
		case now.Sub(r.begunAt) >= r.took:
			l.end(t, r, yuccapaddle.EndDone)
		}
	}
}

func (l *Laborer) end(t yuccapaddle.TaskID, r *run, why yuccapaddle.EndCause) {
	delete(l.runs, t)
	l.count++
	l.ends = append(l.ends, yuccapaddle.End{Number: l.count, Task: t, Run: r.order.Run, Cause: why})
}

// pass applies a fault to an order that f carries out.
func (l *Laborer) pass(ctx context.Context, f func() error) error {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case FaultCut:
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultMute:
		_ = l.locked(f) // nobody hears what came of it
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	case FaultLate:
		time.AfterFunc(lateBy, func() { _ = l.locked(f) }) // nobody hears what came of it
		<-ctx.Done()
		return yuccapaddle.ErrNoAnswer
	}
	return l.locked(f)
}

func (l *Laborer) locked(f func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return f()
}

func (l *Laborer) refuse(why yuccapaddle.Refusal) error {
	return &yuccapaddle.RefusalError{Reason: why, Clock: l.clock()}
}

func (l *Laborer) extend(deadline int64) {
	l.until = max(l.until, min(deadline, l.clock()+l.holdMax))
}

// Start carries a start out.
func (l *Laborer) Start(ctx context.Context, o yuccapaddle.StartOrder) (clock int64, err error) {
	err = l.pass(ctx, func() error {
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
		l.extend(o.Deadline)
		return nil
	}
	if o.Run <= l.highest[o.Task] {
		return l.refuse(yuccapaddle.RefusedOld)
	}
	if l.ticket != "" && o.Ticket != l.ticket {
		return l.refuse(yuccapaddle.RefusedTicket)
	}
	l.extend(o.Deadline)
	took, fails := l.work(o.Task, o.Payload)
	l.highest[o.Task] = o.Run
	l.runs[o.Task] = &run{order: o, begunAt: time.Now(), took: took, fails: fails, pace: 100}
	l.starts = append(l.starts, o)
	l.log.note(l.self.ID, o)
	return nil
}

// Stop carries a stop out.
func (l *Laborer) Stop(ctx context.Context, o yuccapaddle.StopOrder) (clock int64, err error) {
	err = l.pass(ctx, func() error {
		clock = l.clock()
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		l.token = o.Token
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if r := l.runs[o.Task]; r != nil && r.order.Run <= o.Run && r.stopping.IsZero() {
			r.stopping = time.Now().Add(stopTime)
		}
		return nil
	})
	return clock, err
}

// Pace notes at which percentage a run may work.
func (l *Laborer) Pace(ctx context.Context, o yuccapaddle.PaceOrder) error {
	return l.pass(ctx, func() error {
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		if r := l.runs[o.Task]; r != nil && r.order.Run == o.Run {
			r.pace = o.Percent
		}
		return nil
	})
}

// Paces lists the percentage of every run.
func (l *Laborer) Paces() map[yuccapaddle.TaskID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	paces := map[yuccapaddle.TaskID]int{}
	for t, r := range l.runs {
		paces[t] = r.pace
	}
	return paces
}

// SetGauge sets what the worker tells of a task that serves.
func (l *Laborer) SetGauge(g float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gauge = g
}

// SetTicket has the worker take only starts that carry the ticket.
func (l *Laborer) SetTicket(ticket string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticket = ticket
}

// Hold renews the leases and lists what runs and what has ended.
func (l *Laborer) Hold(ctx context.Context, o yuccapaddle.HoldOrder) (reply yuccapaddle.HoldReply, err error) {
	waitUntil := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	err = l.pass(ctx, func() error {
		if o.Token < l.token {
			return l.refuse(yuccapaddle.RefusedOutdated)
		}
		l.token = o.Token
		if o.Deadline != 0 {
			l.extend(o.Deadline)
		}
		l.ends = slices.DeleteFunc(l.ends, func(e yuccapaddle.End) bool { return e.Number <= o.Seen })
		return nil
	})
	for err == nil && l.quiet() && time.Now().Before(waitUntil) && ctx.Err() == nil {
		time.Sleep(tick)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return l.list(), err
}

func (l *Laborer) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return len(l.ends) == 0
}

func (l *Laborer) list() yuccapaddle.HoldReply {
	reply := yuccapaddle.HoldReply{Born: l.self.Born, Clock: l.clock(), Ended: slices.Clone(l.ends)}
	for t, r := range l.runs {
		percent := 0
		if r.took > 0 {
			percent = int(100 * time.Since(r.begunAt) / r.took)
		}
		reply.Running = append(reply.Running, yuccapaddle.Run{Task: t, Run: r.order.Run, Percent: min(percent, 99), Gauge: l.gauge})
	}
	return reply
}
