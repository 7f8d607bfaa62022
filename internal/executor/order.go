package executor

import (
	"context"
	"time"

	"yuccapaddle"
)

// sendStart sends a start order, unless the worker may no longer get the run that the
// planner decided to start there.
func (e *Executor) sendStart(st yuccapaddle.RunStart) {
	l := e.link(st.Worker)
	w, ok := e.plan.Worker(st.Worker)
	if !ok || !e.plan.Startable(&st) || !e.mayPlace() {
		e.plan.HandleStartReply(st.Worker, st.Task, st.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
		return
	}
	e.plan.NoteStartSent(&st)
	sentAt, process := e.now, l.process
	o := yuccapaddle.StartOrder{
		Task: st.Task, Run: st.Run, Payload: st.Payload, Checkpoint: st.Checkpoint, Ticket: st.Ticket, Once: st.Once,
		Deadline: e.leaseDeadline(l), Token: e.token(l),
	}
	sendBy := e.placeBy()
	if by := e.plan.SendBy(&st); by.Before(sendBy) {
		sendBy = by
	}
	e.group.Go("start", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
		defer cancel()
		clock, err := e.startBy(ctx, &w, o, sendBy)
		at := e.clock.Now()
		e.post(func() { e.handleStartReply(l, w.Address, process, o.Token, st, clock, sentAt, at, err) })
		return nil
	})
}

// startBy sends a start order unless the time sendBy is over: this process may have been
// paused since the order was decided.
func (e *Executor) startBy(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder, sendBy time.Time) (clock int64, err error) {
	if !e.clock.Now().Before(sendBy) || !e.roleConfirmed() {
		return 0, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent}
	}
	return e.runner.Start(ctx, w, o)
}

// handleStartReply passes a worker's answer to a start that was sent with a token to a process
// of the worker, at an address, on to the planner.
func (e *Executor) handleStartReply(l *link, address string, process, token uint64, st yuccapaddle.RunStart, clock int64, sentAt, at time.Time, err error) {
	e.meter.Observe("start", outcomeLabel(err), at.Sub(sentAt))
	l.updateClockFrom(process, toldClock(clock, err), at)
	if isOutdated(err) && address == l.address {
		e.handleOutdated(st.Worker, l, token)
		if e.stopErr != nil {
			return
		}
	}
	if e.plan.HandleStartReply(st.Worker, st.Task, st.Run, err) {
		e.poll(st.Worker, l)
	}
}

func (e *Executor) sendStop(st yuccapaddle.RunStop) {
	l := e.link(st.Worker)
	w, ok := e.plan.Worker(st.Worker)
	if !ok || w.Address == "" {
		return
	}
	o := yuccapaddle.StopOrder{Task: st.Task, Run: st.Run, Token: e.token(l)}
	process := l.process
	e.group.Go("stop", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
		defer cancel()
		clock, err := e.runner.Stop(ctx, &w, o)
		at := e.clock.Now()
		e.post(func() {
			l.updateClockFrom(process, toldClock(clock, err), at)
			if err == nil && e.plan.HandleStopConfirmed(st.Worker, st.Task, st.Run) {
				e.poll(st.Worker, l)
			}
		})
		return nil
	})
}
