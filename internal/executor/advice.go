package executor

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

const (
	// maxQueuedAdvice bounds the queue of requests to the advice service, which
	// handles the calls of one host one at a time.
	maxQueuedAdvice = 16
	adviceTimeout   = 5 * time.Second
)

// requestAdvice queues a request for processAdviceRequests. If the queue is full or
// there is no advice service, the planner gets an error at once and asks again later.
func (e *Executor) requestAdvice(r yuccapaddle.AdviceRequest) {
	if e.adviser == nil {
		e.plan.HandleAdvice(&r, nil, fmt.Errorf("no advice service is configured: %w", yuccapaddle.ErrNotAccepted))
		return
	}
	select {
	case e.adviceRequests <- r:
	default:
		e.plan.HandleAdvice(&r, nil, fmt.Errorf("%d advice requests are already queued: %w", maxQueuedAdvice, yuccapaddle.ErrNotAccepted))
	}
}

// processAdviceRequests sends the queued requests to the advice service, one at a time.
func (e *Executor) processAdviceRequests() error {
	for {
		var r yuccapaddle.AdviceRequest
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case r = <-e.adviceRequests:
		}
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		tickets, err := e.adviser.Advise(ctx, r.Step, r.Workers)
		cancel()
		e.post(func() { e.plan.HandleAdvice(&r, tickets, err) })
	}
}

func (e *Executor) sendPace(pace yuccapaddle.RunPace) {
	w, ok := e.plan.Worker(pace.Worker)
	if !ok {
		return
	}
	o := yuccapaddle.PaceOrder{Task: pace.Task, Run: pace.Run, Percent: pace.Percent, Token: e.token(e.link(pace.Worker))}
	e.group.Go("pace", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
		defer cancel()
		if err := e.runner.Pace(ctx, &w, o); err != nil {
			e.log.Info("worker did not confirm the pace order", zap.String("worker", pace.Worker), zap.String("task", pace.Task.String()), zap.Error(err))
			e.post(func() { e.plan.HandleUnknownPace(pace) })
		}
		return nil
	})
}
