// Package router sends callers' requests to the active host, whichever that is, and
// retries until the caller's deadline. Retries are safe since jobs are identified by
// their ID.
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
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/sleeper"
)

const (
	// attemptTimeout bounds one call to another host, not counting the time that the host
	// is asked to wait for the end of a job, or may hold a submission.
	attemptTimeout = 1200 * time.Millisecond
	retryInterval  = 60 * time.Millisecond
	// activeHostTimeout is how long a request that certainly was not executed is retried.
	// It is a little longer than a failover takes.
	activeHostTimeout = 1300 * time.Millisecond
)

// Router implements yuccapaddle.JobService at any host.
type Router struct {
	rules     *rulekeeper.RuleKeeper
	elector   *elector.Elector
	conns     *connector.Connector
	heldCalls bool // see WithHeldCalls
	paused    func() bool
}

var _ yuccapaddle.JobService = (*Router)(nil)

// Option changes a Router under construction.
type Option func(*Router)

// WithHeldCalls gives a submission at the active host the time until its caller's deadline
// for as long as that host's heartbeats arrive, since it may be held there.
func WithHeldCalls() Option {
	return func(r *Router) { r.heldCalls = true }
}

// WithPauses sets a function that reports whether what this host reads now may have been sent
// long ago, since the host has stood still. Submissions are refused then.
func WithPauses(paused func() bool) Option {
	return func(r *Router) { r.paused = paused }
}

// New returns a Router.
func New(rules *rulekeeper.RuleKeeper, e *elector.Elector, conns *connector.Connector, opts ...Option) *Router {
	r := &Router{rules: rules, elector: e, conns: conns, paused: func() bool { return false }}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Rules implements yuccapaddle.JobService.
func (r *Router) Rules() *yuccapaddle.Rules {
	return r.rules.Confirmed()
}

// Pending implements yuccapaddle.JobService.
func (r *Router) Pending(queue string) int64 {
	return r.elector.Pending(queue)
}

var errPaused = fmt.Errorf("%w: this host has stood still", yuccapaddle.ErrNotAccepted)

// Submit implements yuccapaddle.JobService. A submission that may be older than the cancellations
// that are kept of unknown jobs is refused, and none is passed on for longer than
// yuccapaddle.MaxSubmissionTime.
func (r *Router) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	if r.paused() {
		return errPaused
	}
	ctx, cancel := context.WithTimeout(ctx, yuccapaddle.MaxSubmissionTime)
	defer cancel()
	data, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode job %s: %w: %w", j.ID, yuccapaddle.ErrNotAccepted, err)
	}
	_, err = r.callActive(ctx, &request{
		mayBeHeld: r.heldCalls,
		local: func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			return &peer.JobAnswer{}, e.Submit(ctx, j)
		},
		remote: func(ctx context.Context, c peer.JobsClient, epoch uint64) (*peer.JobAnswer, error) {
			return c.Submit(ctx, &peer.JobSubmit{Job: data, Epoch: epoch})
		},
	})
	return err
}

// Cancel implements yuccapaddle.JobService.
func (r *Router) Cancel(ctx context.Context, id string, caller yuccapaddle.Caller) (bool, error) {
	answer, err := r.callActive(ctx, &request{
		local: func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			found, err := e.Cancel(ctx, id, caller)
			return &peer.JobAnswer{Found: found}, err
		},
		remote: func(ctx context.Context, c peer.JobsClient, epoch uint64) (*peer.JobAnswer, error) {
			key := converter.JobKey(id, &caller)
			key.Epoch = epoch
			return c.Cancel(ctx, key)
		},
	})
	return answer.GetFound(), err
}

// Show implements yuccapaddle.JobService.
func (r *Router) Show(ctx context.Context, id string, caller yuccapaddle.Caller, until time.Time) (yuccapaddle.JobReport, bool, error) {
	answer, err := r.callActive(ctx, &request{
		waitUntil: until,
		local: func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error) {
			report, found, err := e.Show(ctx, id, caller, until)
			return converter.JobAnswer(report, found), err
		},
		remote: func(ctx context.Context, c peer.JobsClient, _ uint64) (*peer.JobAnswer, error) {
			key := converter.JobKey(id, &caller)
			key.WaitMs = max(time.Until(until).Milliseconds(), 0)
			return c.Show(ctx, key)
		},
	})
	return converter.JobReport(answer), answer.GetFound(), err
}

// request is a request to the active host.
type request struct {
	// waitUntil is until when the active host is asked to keep the request waiting, zero if
	// it is not asked to.
	waitUntil time.Time
	// mayBeHeld means that the active host may keep it waiting until the caller's deadline.
	mayBeHeld bool
	// local makes the request to the executor of this host, remote to another host that is
	// active in that epoch.
	local  func(ctx context.Context, e *executor.Executor) (*peer.JobAnswer, error)
	remote func(ctx context.Context, c peer.JobsClient, epoch uint64) (*peer.JobAnswer, error)
}

// callActive repeats a request until it is answered or the context ends. It returns early
// if no attempt can have been executed and the request is refused or activeHostTimeout is
// over. The error matches ErrNotAccepted if no attempt can have been executed, and
// ErrUnknown otherwise.
func (r *Router) callActive(ctx context.Context, req *request) (*peer.JobAnswer, error) {
	var tried attempts
	deadline := time.Now().Add(activeHostTimeout)
	for {
		began := time.Now()
		a := r.callOnce(ctx, req)
		if a.err == nil {
			return a.answer, nil
		}
		if req.mayBeHeld && time.Since(began) > attemptTimeout {
			// It was held by a host that is lost: its successor gets as long as after a
			// short attempt.
			deadline = time.Now().Add(activeHostTimeout)
		}
		tried.add(&a)
		if tried.notExecuted() && (isRefusal(a.err) || time.Now().After(deadline)) {
			return nil, tried.failure(a.err)
		}
		if sleeper.Sleep(ctx, retryInterval) != nil {
			return nil, tried.failure(a.err)
		}
	}
}

var (
	errNoActiveHost = errors.New("no host is active")
	// errRefused means that the active host refuses the request, so that it is of no use
	// to retry it at once.
	errRefused = errors.New("the active host refused the request")
)

// isRefusal reports whether the active host answered that it does not accept the
// request.
func isRefusal(err error) bool {
	var infeasible *yuccapaddle.InfeasibleError
	return errors.Is(err, errRefused) || errors.Is(err, yuccapaddle.ErrIDTaken) || errors.Is(err, yuccapaddle.ErrTooMuchWork) || errors.As(err, &infeasible)
}

// callOnce makes one attempt, at the local executor if this host is active, otherwise at
// the active host.
func (r *Router) callOnce(ctx context.Context, req *request) attempt {
	if e := r.elector.LocalExecutor(); e != nil {
		return callLocal(ctx, e, req)
	}
	address, epoch, ok := r.elector.LeaderEpoch()
	if !ok {
		return attempt{err: errNoActiveHost}
	}
	client, err := r.conns.Client(address)
	if err != nil {
		return attempt{err: err}
	}
	ctx, cancel := r.boundAttempt(ctx, req, address, epoch)
	defer cancel()
	ctx, sent := connector.TrackSent(ctx)
	answer, err := req.remote(ctx, client, epoch)
	switch {
	case status.Code(err) == codes.ResourceExhausted:
		return attempt{err: yuccapaddle.ErrTooMuchWork} // nothing was done
	case err != nil:
		return attempt{err: err, epoch: epoch, maybeExecuted: sent() && status.Code(err) != codes.InvalidArgument}
	case answer.GetRefused():
		return attempt{err: refusal(answer), loadedEpoch: answer.GetEpoch()}
	case answer.GetInactive():
		return attempt{err: errNoActiveHost}
	}
	return attempt{answer: answer}
}

// boundAttempt returns the context of one call to the active host. A host that holds a
// submission is told from one that hangs by its heartbeats: the call lasts while they say
// that the same host is active in the same epoch.
func (r *Router) boundAttempt(ctx context.Context, req *request, address string, epoch uint64) (context.Context, context.CancelFunc) {
	if !req.mayBeHeld {
		return context.WithTimeout(ctx, attemptTimeout+max(time.Until(req.waitUntil), 0))
	}
	return extend(ctx, attemptTimeout, func() bool {
		leader, leaderEpoch, ok := r.elector.LeaderEpoch()
		return ok && leader == address && leaderEpoch == epoch
	})
}

func callLocal(ctx context.Context, e *executor.Executor, req *request) attempt {
	loadedEpoch := e.LoadedEpoch()
	answer, err := req.local(ctx, e)
	var infeasible *yuccapaddle.InfeasibleError
	switch {
	case err == nil:
		return attempt{answer: answer}
	case errors.Is(err, executor.ErrLedgerUnavailable):
		return attempt{err: errRefused, loadedEpoch: loadedEpoch}
	case errors.As(err, &infeasible), errors.Is(err, yuccapaddle.ErrIDTaken), errors.Is(err, yuccapaddle.ErrTooMuchWork):
		return attempt{err: err, loadedEpoch: loadedEpoch}
	}
	return attempt{err: err, epoch: e.Epoch(), maybeExecuted: !errors.Is(err, yuccapaddle.ErrNotAccepted)}
}

// refusal returns the error for a request that the active host refused, for want of
// workers if there is a reason.
func refusal(a *peer.JobAnswer) error {
	switch {
	case a.GetTaken():
		return yuccapaddle.ErrIDTaken
	case a.GetWhy() != "":
		return &yuccapaddle.InfeasibleError{Reason: a.GetWhy()}
	}
	return errRefused
}
