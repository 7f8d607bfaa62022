package jobmaker_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/jobmaker"
)

// fakeJobService is a JobService that stores the last submitted job and returns preset
// reports and errors.
type fakeJobService struct {
	rules  *yuccapaddle.Rules
	job    *yuccapaddle.Job
	report yuccapaddle.JobReport
	err    error
}

// Rules implements yuccapaddle.JobService.
func (s *fakeJobService) Rules() *yuccapaddle.Rules { return s.rules }

// Submit implements yuccapaddle.JobService.
func (s *fakeJobService) Submit(_ context.Context, j *yuccapaddle.Job) error {
	s.job = j
	return s.err
}

// Cancel implements yuccapaddle.JobService.
func (s *fakeJobService) Cancel(_ context.Context, id string, _ yuccapaddle.Caller) (bool, error) {
	return s.job != nil && s.job.ID == id, s.err
}

// Show implements yuccapaddle.JobService.
func (s *fakeJobService) Show(_ context.Context, id string, _ yuccapaddle.Caller, _ time.Time) (yuccapaddle.JobReport, bool, error) {
	return s.report, s.job != nil && s.job.ID == id, s.err
}

// Pending implements yuccapaddle.JobService.
func (s *fakeJobService) Pending(string) int64 { return 0 }

var rules = (&yuccapaddle.Rules{Queues: []yuccapaddle.Queue{
	{Name: "sweeps", Service: "s", Priority: 2}, {Name: "checks", Service: "s", Priority: 0},
}}).Index()

func request(class yuccapaddle.Class, queue string) *yuccapaddle.Request {
	return &yuccapaddle.Request{
		ID: "r1", Workspace: "w", Class: class, Queue: queue, Tasks: 3, Accelerators: 2, Span: yuccapaddle.SpanRack, Payload: []byte(`{"a":1}`),
	}
}

// TestJob checks that a request becomes a job with a single step, in the queue that it
// names or that fits its class, and that a request for an unknown queue is refused
// without a time to retry.
func TestJob(t *testing.T) {
	c := qt.New(t)
	s := &fakeJobService{rules: rules}
	m := jobmaker.New(s)
	deadline := time.Now().Add(time.Minute)
	o := m.Submit(t.Context(), request(yuccapaddle.ClassQuick, ""), deadline)
	c.Check(o.Verdict, qt.Equals, yuccapaddle.VerdictWaiting)
	c.Check(s.job, qt.DeepEquals, &yuccapaddle.Job{
		ID: jobmaker.JobID("w/r1"), Key: "w/r1", Queue: "checks", Service: "s", Terms: &yuccapaddle.Terms{}, Workspace: "w", Payload: `{"a":1}`, Once: true, Strict: true,
		Steps: []yuccapaddle.Step{{Count: 3, Need: yuccapaddle.Need{GPU: 2}, Gang: true, Span: yuccapaddle.SpanRack}},
	})
	m.Submit(t.Context(), request(yuccapaddle.ClassQuick, "sweeps"), deadline)
	c.Check(s.job.Queue, qt.Equals, "sweeps")
	o = m.Submit(t.Context(), request(yuccapaddle.ClassBatch, "none"), deadline)
	c.Check(o.Verdict, qt.Equals, yuccapaddle.VerdictRefused)
	c.Check(o.Reason, qt.Equals, `not run: there is no queue "none"`)
	c.Check(o.RetryAfter.IsZero(), qt.IsTrue, qt.Commentf("a retry would be refused too"))
}

// TestSubmitErrors checks that a request counts as refused only if it certainly was not
// accepted, and as unknown otherwise.
func TestSubmitErrors(t *testing.T) {
	c := qt.New(t)
	s := &fakeJobService{rules: rules, err: fmt.Errorf("away: %w", yuccapaddle.ErrNotAccepted)}
	m := jobmaker.New(s)
	deadline := time.Now().Add(time.Minute)
	o := m.Submit(t.Context(), request(yuccapaddle.ClassBatch, ""), deadline)
	c.Check(o.Verdict, qt.Equals, yuccapaddle.VerdictRefused)
	c.Check(o.RetryAfter.IsZero(), qt.IsFalse)
	s.err = fmt.Errorf("%w: %w", yuccapaddle.ErrNotAccepted, &yuccapaddle.InfeasibleError{Reason: "for more room"})
	o = m.Submit(t.Context(), request(yuccapaddle.ClassBatch, ""), deadline)
	c.Check(o.Reason, qt.Equals, "not run: it could never run: it would wait for more room")
	s.err = yuccapaddle.ErrUnknown
	c.Check(m.Submit(t.Context(), request(yuccapaddle.ClassBatch, ""), deadline).Verdict, qt.Equals, yuccapaddle.VerdictUnknown)
	_, err := m.Await(t.Context(), "w/r1", time.Time{})
	c.Check(err, qt.ErrorIs, yuccapaddle.ErrUnknown)
}

// TestOutcome checks the verdict that callers get for each state of a job.
func TestOutcome(t *testing.T) {
	c := qt.New(t)
	s := &fakeJobService{rules: rules}
	m := jobmaker.New(s)
	o, err := m.Await(t.Context(), "w/r1", time.Time{})
	c.Assert(err, qt.IsNil)
	c.Check(o.Verdict, qt.Equals, yuccapaddle.VerdictNotFound)
	m.Submit(t.Context(), request(yuccapaddle.ClassBatch, ""), time.Now().Add(time.Minute))
	for state, verdict := range map[yuccapaddle.JobState]yuccapaddle.Verdict{
		yuccapaddle.JobQueued: yuccapaddle.VerdictWaiting, yuccapaddle.JobRunning: yuccapaddle.VerdictRunning,
		yuccapaddle.JobCompleted: yuccapaddle.VerdictDone, yuccapaddle.JobFailed: yuccapaddle.VerdictFailed,
	} {
		s.report = yuccapaddle.JobReport{State: state, MayHaveRun: true, Runs: 2, Reason: "why"}
		o, err = m.Await(t.Context(), "w/r1", time.Time{})
		c.Assert(err, qt.IsNil)
		c.Check(o, qt.DeepEquals, yuccapaddle.Outcome{ID: "r1", Workspace: "w", Verdict: verdict, MayHaveRun: true, Attempts: 2, Reason: "why"})
	}
	s.report = yuccapaddle.JobReport{State: yuccapaddle.JobCanceled}
	o, err = m.Cancel(t.Context(), "w/r1", time.Now().Add(time.Minute))
	c.Assert(err, qt.IsNil)
	c.Check(o.Reason, qt.Equals, "cancelled before it started")
}

// TestLargeRequest guards against a request that the store would refuse, which would end the
// role of the active host.
func TestLargeRequest(t *testing.T) {
	c := qt.New(t)
	s := &fakeJobService{rules: rules}
	r := request(yuccapaddle.ClassQuick, "")
	r.Payload = []byte(`"` + strings.Repeat("<", 400_000) + `"`)
	o := jobmaker.New(s).Submit(t.Context(), r, time.Now().Add(time.Minute))
	c.Check(o.Verdict, qt.Equals, yuccapaddle.VerdictRefused)
	c.Check(o.Reason, qt.Matches, "not run: a job takes up to .*")
	c.Check(s.job, qt.IsNil)
}
