package executor

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

const (
	// mostQuestions is how many questions may wait for the advice service, which
	// answers one of a host's calls after the other.
	mostQuestions = 16
	adviceTime    = 5 * time.Second
)

// consult hands a question to the goroutine that asks them in turn. One that finds
// no place there is answered at once: the planner asks again.
func (e *Executor) consult(q yuccapaddle.Question) {
	if e.adviser == nil {
		e.plan.Advised(&q, nil, fmt.Errorf("no advice service is set: %w", yuccapaddle.ErrNotTaken))
		return
	}
	select {
	case e.questions <- q:
	default:
		e.plan.Advised(&q, nil, fmt.Errorf("%d questions wait already: %w", mostQuestions, yuccapaddle.ErrNotTaken))
	}
}

func (e *Executor) followAdvice() error {
	for {
		var q yuccapaddle.Question
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case q = <-e.questions:
		}
		ctx, cancel := context.WithTimeout(e.ctx, adviceTime)
		tickets, err := e.adviser.Advise(ctx, q.Step, q.Workers)
		cancel()
		e.post(func() { e.plan.Advised(&q, tickets, err) })
	}
}

func (e *Executor) sendPace(x yuccapaddle.RunPace) {
	s, ok := e.plan.Worker(x.Worker)
	if !ok {
		return
	}
	o := yuccapaddle.PaceOrder{Task: x.Task, Run: x.Run, Percent: x.Percent, Token: e.token(e.link(x.Worker))}
	e.group.Go("pace", func() error {
		ctx, cancel := context.WithTimeout(e.ctx, orderTime)
		defer cancel()
		if err := e.runner.Pace(ctx, &s, o); err != nil {
			e.log.Info("pace not confirmed", zap.String("worker", x.Worker), zap.String("task", x.Task.String()), zap.Error(err))
			e.post(func() { e.plan.Unpaced(x) })
		}
		return nil
	})
}
