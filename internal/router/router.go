// Package router brings callers' requests to the active host, whichever that is,
// and tries again until the caller's time is over: a job's ID makes that safe.
package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/claimer"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/linker"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/ruler"
	"yuccapaddle/internal/sleeper"
)

const (
	// tryTime is how long one try at the active host may take.
	tryTime    = 1200 * time.Millisecond
	retryEvery = 60 * time.Millisecond
	// searchTime is how long an active host is sought: a little longer than the
	// role takes to move.
	searchTime = 1300 * time.Millisecond
)

// Router implements yuccapaddle.JobService.
type Router struct {
	rules   *ruler.Ruler
	claimer *claimer.Claimer
	links   *linker.Linker
}

var _ yuccapaddle.JobService = (*Router)(nil)

// New returns a Router.
func New(rules *ruler.Ruler, c *claimer.Claimer, links *linker.Linker) *Router {
	return &Router{rules: rules, claimer: c, links: links}
}

// Rules implements yuccapaddle.JobService.
func (r *Router) Rules() *yuccapaddle.Rules {
	return r.rules.Current()
}

// Pending implements yuccapaddle.JobService.
func (r *Router) Pending(queue string) int64 {
	return r.claimer.Pending(queue)
}

// Submit implements yuccapaddle.JobService.
func (r *Router) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	data, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode job %s: %w: %w", j.ID, yuccapaddle.ErrNotTaken, err)
	}
	_, err = r.try(ctx,
		func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			return &peer.JobAnswer{}, e.Submit(ctx, j)
		},
		func(ctx context.Context, c peer.JobsClient) (*peer.JobAnswer, error) {
			return c.Submit(ctx, &peer.JobSubmit{Job: data})
		})
	return err
}

// Cancel implements yuccapaddle.JobService.
func (r *Router) Cancel(ctx context.Context, id, queue string) (bool, error) {
	answer, err := r.try(ctx,
		func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			found, err := e.Cancel(ctx, id, queue)
			return &peer.JobAnswer{Found: found}, err
		},
		func(ctx context.Context, c peer.JobsClient) (*peer.JobAnswer, error) {
			return c.Cancel(ctx, &peer.JobKey{Id: id, Queue: queue})
		})
	return answer.GetFound(), err
}

// Show implements yuccapaddle.JobService.
func (r *Router) Show(ctx context.Context, id, queue string, until time.Time) (yuccapaddle.JobReport, bool, error) {
	answer, err := r.tryFor(ctx, until,
		func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			report, found, err := e.Show(ctx, id, queue, until)
			return converter.JobAnswer(report, found), err
		},
		func(ctx context.Context, c peer.JobsClient) (*peer.JobAnswer, error) {
			return c.Show(ctx, &peer.JobKey{Id: id, Queue: queue, WaitMs: max(time.Until(until).Milliseconds(), 0)})
		})
	return converter.JobReport(answer), answer.GetFound(), err
}

type (
	localCall  func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error)
	remoteCall func(ctx context.Context, c peer.JobsClient) (*peer.JobAnswer, error)
)

// try repeats a request until it has an answer or the context ends. If no try
// can have been carried out the error matches ErrNotTaken, else ErrUnknown.
func (r *Router) try(ctx context.Context, local localCall, remote remoteCall) (*peer.JobAnswer, error) {
	return r.tryFor(ctx, time.Time{}, local, remote)
}

// tryFor is try for a call that may wait at the active host until a time.
func (r *Router) tryFor(ctx context.Context, until time.Time, local localCall, remote remoteCall) (*peer.JobAnswer, error) {
	known := true
	giveUp := time.Now().Add(searchTime)
	for {
		answer, taken, err := r.tryOnce(ctx, until, local, remote)
		if err == nil {
			return answer, nil
		}
		if taken {
			known = false
		}
		if known && (refused(err) || time.Now().After(giveUp)) {
			return nil, fmt.Errorf("%w: %w", yuccapaddle.ErrNotTaken, err)
		}
		if sleeper.Sleep(ctx, retryEvery) == nil {
			continue
		}
		if known {
			return nil, fmt.Errorf("%w: %w", yuccapaddle.ErrNotTaken, err)
		}
		return nil, fmt.Errorf("%w: %w", yuccapaddle.ErrUnknown, err)
	}
}

var (
	errNoActive = errors.New("no host is active")
	// errRefused: the active host refuses the request, so that trying again at
	// once is of no use.
	errRefused = errors.New("the active host refused the request")
)

// refused reports whether the active host has answered that it does not take the
// request.
func refused(err error) bool {
	var hopeless *yuccapaddle.HopelessError
	return errors.Is(err, errRefused) || errors.As(err, &hopeless)
}

// tryOnce reports in taken whether a failed try may have been carried out.
func (r *Router) tryOnce(ctx context.Context, until time.Time, local localCall, remote remoteCall) (answer *peer.JobAnswer, taken bool, err error) {
	if e := r.claimer.Local(); e != nil {
		answer, err = local(ctx, e)
		if errors.Is(err, executor.ErrRefused) {
			return nil, false, errRefused
		}
		return answer, !errors.Is(err, yuccapaddle.ErrNotTaken), err
	}
	address, ok := r.claimer.Leader()
	if !ok {
		return nil, false, errNoActive
	}
	jobs, err := r.links.Jobs(address)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, tryTime+max(time.Until(until), 0))
	defer cancel()
	answer, err = remote(ctx, jobs)
	if err != nil {
		return nil, status.Code(err) != codes.InvalidArgument, err
	}
	if answer.GetRefused() {
		if answer.GetWhy() != "" {
			return nil, false, &yuccapaddle.HopelessError{Why: answer.GetWhy()}
		}
		return nil, false, errRefused
	}
	if answer.GetInactive() {
		return nil, false, errNoActive
	}
	return answer, false, nil
}
