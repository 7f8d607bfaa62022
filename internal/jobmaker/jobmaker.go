// Package jobmaker implements the request service on top of the job service: each request
// becomes a job with a single step, in one of the queues of the operators' rules.
package jobmaker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"yuccapaddle"
)

const (
	// idBytes is the length of a job's ID before it is encoded, in bytes of the key's hash.
	idBytes = 8
	// retryDelay is how long a caller is asked to wait before it submits a request again
	// that was not accepted.
	retryDelay = 2 * time.Second
	// unplaceableRetryDelay is the same for a request that the registered workers could not
	// hold even if they were empty: other workers have to register first.
	unplaceableRetryDelay = 30 * time.Second
	// showTimeoutSlack is how much longer than the caller's wait an answer may take.
	showTimeoutSlack = 2 * time.Second
)

// JobMaker implements yuccapaddle.RequestService.
type JobMaker struct {
	jobs yuccapaddle.JobService
}

var _ yuccapaddle.RequestService = (*JobMaker)(nil)

// New returns a JobMaker.
func New(jobs yuccapaddle.JobService) *JobMaker {
	return &JobMaker{jobs: jobs}
}

// JobID returns the ID of the job for the request with that key, as hexadecimal digits.
func JobID(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:idBytes])
}

// Submit implements yuccapaddle.RequestService.
func (m *JobMaker) Submit(ctx context.Context, r *yuccapaddle.Request, deadline time.Time) yuccapaddle.Outcome {
	o := yuccapaddle.Outcome{ID: r.ID, Workspace: r.Workspace}
	job, err := m.newJob(r)
	if err != nil {
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+err.Error()
		return o
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var infeasible *yuccapaddle.InfeasibleError
	switch err := m.jobs.Submit(ctx, job); {
	case errors.As(err, &infeasible):
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+infeasible.Error()
		o.RetryAfter = time.Now().Add(unplaceableRetryDelay)
		return o
	case errors.Is(err, yuccapaddle.ErrNotAccepted):
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+err.Error()
		o.RetryAfter = time.Now().Add(retryDelay)
		return o
	case err != nil:
		o.Verdict, o.RetryAfter = yuccapaddle.VerdictUnknown, time.Now().Add(retryDelay)
		o.Reason = "it is not known whether the request was accepted, ask again by its id: " + err.Error()
		return o
	}
	o.Verdict = yuccapaddle.VerdictWaiting
	return o
}

// newJob returns the job for a request, with a single step. Several tasks are scheduled
// as a gang, within the span that the request gives.
func (m *JobMaker) newJob(r *yuccapaddle.Request) (*yuccapaddle.Job, error) {
	q, err := m.selectQueue(r)
	if err != nil {
		return nil, err
	}
	step := yuccapaddle.Step{Count: r.Tasks, Need: yuccapaddle.Need{GPU: r.Accelerators}, Gang: r.Tasks > 1}
	if step.Gang {
		step.Span = r.Span
	}
	terms := q.Terms()
	job := &yuccapaddle.Job{
		ID: JobID(r.Key()), Key: r.Key(), Queue: q.Name, Service: q.Service, Terms: &terms, Workspace: r.Workspace,
		Payload: string(r.Payload), Once: !r.Repeatable, Strict: true, Steps: []yuccapaddle.Step{step},
	}
	return job, job.CheckSize(len(r.Payload))
}

// selectQueue returns the queue that the request names or, if it names none, the first
// one for its class: priority 0 is for quick requests, any other for the rest.
func (m *JobMaker) selectQueue(r *yuccapaddle.Request) (*yuccapaddle.Queue, error) {
	rules := m.jobs.Rules()
	if rules == nil {
		return nil, errors.New("the rules are not known yet")
	}
	if r.Queue != "" {
		if q := rules.Queue(r.Queue); q != nil {
			return q, nil
		}
		return nil, fmt.Errorf("there is no queue %q", r.Queue)
	}
	for i := range rules.Queues {
		q := &rules.Queues[i]
		if (q.Priority == 0) == (r.Class == yuccapaddle.ClassQuick) {
			return q, nil
		}
	}
	return nil, fmt.Errorf("there is no queue for class %q, name one", r.Class)
}

// Cancel implements yuccapaddle.RequestService.
func (m *JobMaker) Cancel(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	found, err := m.jobs.Cancel(ctx, JobID(key), yuccapaddle.Caller{})
	if err != nil {
		return yuccapaddle.Outcome{}, fmt.Errorf("cancel request %s: %w", key, err)
	}
	if !found {
		return newOutcome(key, yuccapaddle.JobReport{}, false), nil
	}
	return m.Await(ctx, key, time.Time{})
}

// Await implements yuccapaddle.RequestService.
func (m *JobMaker) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	waitUntil := time.Now()
	if deadline.After(waitUntil) {
		waitUntil = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, waitUntil.Add(showTimeoutSlack))
	defer cancel()
	report, found, err := m.jobs.Show(ctx, JobID(key), yuccapaddle.Caller{}, deadline)
	if err != nil {
		return yuccapaddle.Outcome{}, fmt.Errorf("ask for request %s: %w", key, err)
	}
	return newOutcome(key, report, found), nil
}

// verdictByState is what callers are told about a job in each state.
var verdictByState = map[yuccapaddle.JobState]yuccapaddle.Verdict{
	yuccapaddle.JobQueued:    yuccapaddle.VerdictWaiting,
	yuccapaddle.JobRunning:   yuccapaddle.VerdictRunning,
	yuccapaddle.JobCompleted: yuccapaddle.VerdictDone,
	yuccapaddle.JobFailed:    yuccapaddle.VerdictFailed,
	yuccapaddle.JobCanceled:  yuccapaddle.VerdictCancelled,
}

// newOutcome returns the outcome of a request from the report on its job, and
// VerdictNotFound if there is no such job.
func newOutcome(key string, report yuccapaddle.JobReport, found bool) yuccapaddle.Outcome {
	workspace, id, _ := strings.Cut(key, "/")
	o := yuccapaddle.Outcome{ID: id, Workspace: workspace, Verdict: yuccapaddle.VerdictNotFound}
	if !found {
		return o
	}
	o.Verdict, o.MayHaveRun, o.Attempts, o.Reason = verdictByState[report.State], report.MayHaveRun, report.Runs, report.Reason
	if o.Verdict == yuccapaddle.VerdictCancelled && o.Reason == "" {
		o.Reason = cancelReason(o.MayHaveRun)
	}
	return o
}

func cancelReason(mayHaveRun bool) string {
	if mayHaveRun {
		return "cancelled after it may have started"
	}
	return "cancelled before it started"
}
