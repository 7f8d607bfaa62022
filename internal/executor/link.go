package executor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// Figures of the calls to workers.
const (
	// orderTime is how long a start or stop may go unanswered.
	orderTime = 500 * time.Millisecond
	// waitMS is how long a worker may wait with its list for another end.
	waitMS = 1900
	// sharedWaitMS is the same where the pace of tasks has to be set: a gauge tells
	// of the last half second.
	sharedWaitMS = 500
	// holdSlack is what a call may take beyond its wait.
	holdSlack = 700 * time.Millisecond
	holdRetry = 200 * time.Millisecond
	// probeEvery is how often a silent worker that runs nothing is looked at.
	probeEvery = 600 * time.Millisecond
	// slowest is the rate at which a worker's clock certainly runs.
	slowest = 0.98
	// bumpBits leave room in a token for the restarts of one worker.
	bumpBits = 16
)

// link is what this host knows of its way to a worker.
type link struct {
	clock     int64 // of the worker, in milliseconds
	clockAt   time.Time
	born      int64
	bump      uint64
	holding   bool
	holdAt    time.Time // when the last hold was sent
	retryAt   time.Time
	committed int64 // ends whose effects are committed
	told      int64 // ends that the worker has been told to forget
	lapsesBy  time.Time
	silent    bool
	met       bool // it has told what it runs since this host is active
}

func (e *Executor) link(id string) *link {
	l := e.links[id]
	if l == nil {
		from := e.startedAt
		if e.rival.After(from) {
			from = e.rival
		}
		l = &link{lapsesBy: e.leaseEnd(from)}
		e.links[id] = l
	}
	return l
}

// leaseEnd is when a lease given at that time has certainly ended.
func (e *Executor) leaseEnd(at time.Time) time.Time {
	ms := float64(e.bounds.HoldMax) / slowest
	return at.Add(time.Duration(ms) * time.Millisecond)
}

// clockNow is the least that the worker's clock can show now.
func (l *link) clockNow(now time.Time) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	return l.clock + int64(float64(now.Sub(l.clockAt).Milliseconds())*slowest)
}

// setClock takes a reading of the worker's clock that was here at that time. It may
// have been made before, but not later: a worker that waits with its answer reads
// its clock at the end.
func (l *link) setClock(clock int64, at time.Time) {
	if clock <= 0 || clock < l.clockNow(at) {
		return
	}
	l.clock, l.clockAt = clock, at
}

func (l *link) restart(born, clock int64, at time.Time) {
	l.born, l.clock, l.clockAt = born, clock, at
	l.committed, l.told = 0, 0
	l.bump++
}

func (e *Executor) token(l *link) uint64 {
	return e.rec.Epoch()<<bumpBits | l.bump
}

// deadline gives the lease that an order sent now brings, and notes its end.
func (e *Executor) deadline(l *link) int64 {
	if end := e.leaseEnd(e.now); end.After(l.lapsesBy) {
		l.lapsesBy = end
	}
	return l.clockNow(e.now) + e.bounds.HoldMax
}

// noteClocks takes the clocks of new registrations.
func (e *Executor) noteClocks(list []yuccapaddle.Worker, at time.Time) {
	for i := range list {
		s := &list[i]
		l := e.link(s.ID)
		switch {
		case l.born == 0:
			l.born = s.Born
		case l.born < s.Born:
			l.restart(s.Born, s.Clock, at)
			continue
		}
		if l.born == s.Born {
			l.setClock(s.Clock, at)
		}
	}
}

// seen lists the ends that have been applied and that no commit has covered yet.
func (e *Executor) seen() map[string]int64 {
	var seen map[string]int64
	for id, l := range e.links {
		if n := e.plan.Seen(id); n > l.committed {
			if seen == nil {
				seen = map[string]int64{}
			}
			seen[id] = n
		}
	}
	return seen
}

// keepLinks renews leases and asks for ends where something may run.
func (e *Executor) keepLinks() {
	for id, l := range e.links {
		if l.holding || e.now.Before(l.retryAt) {
			continue
		}
		busy := e.plan.Busy(id)
		probe := l.silent && e.plan.Listed(id)
		if !busy && !probe && l.told >= e.plan.Seen(id) {
			continue
		}
		if l.silent && e.now.After(l.lapsesBy) {
			e.plan.Lapsed(id)
			l.told = e.plan.Seen(id)
			if !probe {
				continue
			}
		}
		e.hold(id, l, busy)
	}
}

var errUnregistered = errors.New("it is not registered")

func (e *Executor) hold(id string, l *link, busy bool) {
	s, ok := e.plan.Worker(id)
	if !ok || s.Address == "" {
		e.noteSilence(id, l, errUnregistered)
		return
	}
	o := yuccapaddle.HoldOrder{Token: e.token(l), Seen: l.committed}
	if busy && !l.silent {
		// A silent worker is only looked at: an order to it may arrive although its
		// answer does not, and each renewal would put off the end of its leases.
		if e.confirmed() {
			o.Deadline = e.deadline(l)
		}
		switch {
		case !l.met:
		case e.plan.Shared(id):
			o.WaitMS = sharedWaitMS
		default:
			o.WaitMS = waitMS
		}
	}
	if e.plan.Seen(id) > l.committed {
		// The worker would answer at once with ends that are not committed yet.
		if e.now.Sub(l.holdAt) < waitMS*time.Millisecond/2 {
			return
		}
		o.WaitMS = 0
	}
	l.holding, l.holdAt = true, e.now
	e.sendHold(&s, id, l, o, true)
}

// look asks a worker what it runs, beside a hold that may be waiting there.
func (e *Executor) look(id string, l *link) {
	s, ok := e.plan.Worker(id)
	if !ok || s.Address == "" || l.silent {
		return
	}
	o := yuccapaddle.HoldOrder{Token: e.token(l), Seen: l.committed}
	if e.confirmed() {
		o.Deadline = e.deadline(l)
	}
	e.sendHold(&s, id, l, o, false)
}

// sendHold sends a hold; main is the one of which there is one at a time.
func (e *Executor) sendHold(s *yuccapaddle.Worker, id string, l *link, o yuccapaddle.HoldOrder, main bool) {
	to, question := *s, e.plan.Ask()
	e.group.Go("hold", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, time.Duration(o.WaitMS)*time.Millisecond+holdSlack)
		defer cancel()
		reply, err := e.runner.Hold(ctx, &to, o)
		at := e.clock.Now()
		e.post(func() {
			if main {
				l.holding = false
			}
			e.held(id, l, o, at, question, reply, err)
		})
		return nil
	})
}

func (e *Executor) held(id string, l *link, o yuccapaddle.HoldOrder, at time.Time, question int64, reply yuccapaddle.HoldReply, err error) {
	e.meter.Tally("looks", outcome(err), 1)
	if err != nil {
		e.noteSilence(id, l, err)
		return
	}
	if l.silent {
		l.silent = false
		e.plan.Hear(id, true)
		e.log.Info("worker answers again", zap.String("worker", id))
	}
	if reply.Born != l.born {
		fresh := l.born != 0
		l.restart(reply.Born, reply.Clock, at)
		if fresh {
			return // ask again under a token that shuts out orders from before the restart
		}
	}
	l.setClock(reply.Clock, at)
	l.told, l.met = max(l.told, o.Seen), true
	e.plan.Heard(id, &reply, question)
}

func (e *Executor) noteSilence(id string, l *link, err error) {
	l.retryAt = e.now.Add(holdRetry)
	if !e.plan.Busy(id) {
		l.retryAt = e.now.Add(probeEvery)
	}
	var refusal *yuccapaddle.RefusalError
	if errors.As(err, &refusal) && refusal.Reason == yuccapaddle.RefusedOutdated {
		e.deposed(id)
		return
	}
	if !l.silent {
		l.silent = true
		e.plan.Hear(id, false)
		e.log.Info("worker does not answer", zap.String("worker", id), zap.Error(err),
			zap.Int64("leases_end_ms", l.lapsesBy.Sub(e.now).Milliseconds()))
	}
}

// deposed ends this executor: a worker has had orders from a later writer.
func (e *Executor) deposed(id string) {
	if e.fail == nil {
		e.log.Warn("a worker obeys a later host", zap.String("worker", id))
		e.fail = ErrStopped
	}
}

func (e *Executor) sendStart(st yuccapaddle.RunStart) {
	l := e.link(st.Worker)
	s, ok := e.plan.Worker(st.Worker)
	if !ok || !e.plan.Startable(&st) || !e.informed() {
		e.plan.Answered(st.Worker, st.Task, st.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
		return
	}
	sentAt := e.now
	o := yuccapaddle.StartOrder{
		Task: st.Task, Run: st.Run, Payload: st.Payload, Saved: st.Saved, Ticket: st.Ticket, Once: st.Once,
		Deadline: e.deadline(l), Token: e.token(l),
	}
	e.group.Go("start", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTime)
		defer cancel()
		clock, err := e.runner.Start(ctx, &s, o)
		at := e.clock.Now()
		e.post(func() { e.answered(l, st, clock, sentAt, at, err) })
		return nil
	})
}

func (e *Executor) answered(l *link, st yuccapaddle.RunStart, clock int64, sentAt, at time.Time, err error) {
	e.meter.Time("start", outcome(err), at.Sub(sentAt))
	l.setClock(clock, at)
	var refusal *yuccapaddle.RefusalError
	if errors.As(err, &refusal) {
		l.setClock(refusal.Clock, at)
		if refusal.Reason == yuccapaddle.RefusedOutdated {
			e.deposed(st.Worker)
			return
		}
	}
	if e.plan.Answered(st.Worker, st.Task, st.Run, err) {
		e.look(st.Worker, l)
	}
}

func (e *Executor) sendStop(st yuccapaddle.RunStop) {
	l := e.link(st.Worker)
	s, ok := e.plan.Worker(st.Worker)
	if !ok || s.Address == "" {
		return
	}
	o := yuccapaddle.StopOrder{Task: st.Task, Run: st.Run, Token: e.token(l)}
	e.group.Go("stop", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTime)
		defer cancel()
		clock, err := e.runner.Stop(ctx, &s, o)
		at := e.clock.Now()
		e.post(func() {
			l.setClock(clock, at)
			if err == nil && e.plan.Stopped(st.Worker, st.Task, st.Run) {
				e.look(st.Worker, l)
			}
		})
		return nil
	})
}
