// Package jobmaker carries callers' requests out as jobs of one step, where the
// operators' rules name queues and the workers run jobs.
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
	// idBytes of the key's hash make the ID of the job.
	idBytes = 8
	// askAgain is what a caller whose request was not taken is asked to wait.
	askAgain = 2 * time.Second
	// askLater is the same if no workers could hold it: others have to register.
	askLater = 30 * time.Second
	// showSlack is what an answer may take beyond the caller's wait.
	showSlack = 2 * time.Second
)

// Jobmaker implements yuccapaddle.RequestService.
type Jobmaker struct {
	jobs yuccapaddle.JobService
}

var _ yuccapaddle.RequestService = (*Jobmaker)(nil)

// New returns a Jobmaker.
func New(jobs yuccapaddle.JobService) *Jobmaker {
	return &Jobmaker{jobs: jobs}
}

// ID is the ID of the job that a request is made into.
func ID(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:idBytes])
}

// Submit implements yuccapaddle.RequestService.
func (m *Jobmaker) Submit(ctx context.Context, r *yuccapaddle.Request, deadline time.Time) yuccapaddle.Outcome {
	o := yuccapaddle.Outcome{ID: r.ID, Workspace: r.Workspace}
	job, err := m.job(r)
	if err != nil {
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+err.Error()
		return o
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var hopeless *yuccapaddle.HopelessError
	switch err := m.jobs.Submit(ctx, job); {
	case errors.As(err, &hopeless):
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+hopeless.Error()
		o.RetryAfter = time.Now().Add(askLater)
		return o
	case errors.Is(err, yuccapaddle.ErrNotTaken):
		o.Verdict, o.Reason = yuccapaddle.VerdictRefused, "not run: "+err.Error()
		o.RetryAfter = time.Now().Add(askAgain)
		return o
	case err != nil:
		o.Verdict, o.RetryAfter = yuccapaddle.VerdictUnknown, time.Now().Add(askAgain)
		o.Reason = "it is not known whether the request was accepted, ask again by its id: " + err.Error()
		return o
	}
	o.Verdict = yuccapaddle.VerdictWaiting
	return o
}

// job makes the job of one step. The gang of a request runs together, within the
// span that the caller gives.
func (m *Jobmaker) job(r *yuccapaddle.Request) (*yuccapaddle.Job, error) {
	q, err := m.queue(r)
	if err != nil {
		return nil, err
	}
	step := yuccapaddle.Step{Count: r.Tasks, Need: yuccapaddle.Need{GPU: r.Accelerators}, Gang: r.Tasks > 1}
	if step.Gang {
		step.Span = r.Span
	}
	return &yuccapaddle.Job{
		ID: ID(r.Key()), Key: r.Key(), Queue: q.Name, Service: q.Service, Workspace: r.Workspace,
		Payload: string(r.Payload), Once: !r.Repeatable, Strict: true, Steps: []yuccapaddle.Step{step},
	}, nil
}

// queue is the one that the request names, or else the first that is as urgent as
// its class.
func (m *Jobmaker) queue(r *yuccapaddle.Request) (*yuccapaddle.Queue, error) {
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
func (m *Jobmaker) Cancel(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	found, err := m.jobs.Cancel(ctx, ID(key), "")
	if err != nil {
		return yuccapaddle.Outcome{}, fmt.Errorf("cancel request %s: %w", key, err)
	}
	if !found {
		return outcome(key, yuccapaddle.JobReport{}, false), nil
	}
	return m.Await(ctx, key, time.Time{})
}

// Await implements yuccapaddle.RequestService.
func (m *Jobmaker) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	limit := time.Now()
	if deadline.After(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit.Add(showSlack))
	defer cancel()
	report, found, err := m.jobs.Show(ctx, ID(key), "", deadline)
	if err != nil {
		return yuccapaddle.Outcome{}, fmt.Errorf("ask for request %s: %w", key, err)
	}
	return outcome(key, report, found), nil
}

// verdicts are those of the states of a job.
var verdicts = map[yuccapaddle.JobState]yuccapaddle.Verdict{
	yuccapaddle.JobQueued:    yuccapaddle.VerdictWaiting,
	yuccapaddle.JobRunning:   yuccapaddle.VerdictRunning,
	yuccapaddle.JobCompleted: yuccapaddle.VerdictDone,
	yuccapaddle.JobFailed:    yuccapaddle.VerdictFailed,
	yuccapaddle.JobCanceled:  yuccapaddle.VerdictCancelled,
}

func outcome(key string, report yuccapaddle.JobReport, found bool) yuccapaddle.Outcome {
	workspace, id, _ := strings.Cut(key, "/")
	o := yuccapaddle.Outcome{ID: id, Workspace: workspace, Verdict: yuccapaddle.VerdictNotFound}
	if !found {
		return o
	}
	o.Verdict, o.Ran, o.Attempts, o.Reason = verdicts[report.State], report.Ran, report.Runs, report.Why
	if o.Verdict == yuccapaddle.VerdictCancelled && o.Reason == "" {
		o.Reason = cancelReason(o.Ran)
	}
	return o
}

func cancelReason(ran bool) string {
	if ran {
		return "cancelled after it may have started"
	}
	return "cancelled before it started"
}
