// Package converter converts the project's types to the messages that hosts send
// one another, and back.
package converter

import (
	"encoding/json"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// SubmitMessage returns the message for a request.
func SubmitMessage(r *yuccapaddle.Request) *peer.SubmitRequest {
	return &peer.SubmitRequest{
		Id: r.ID, Workspace: r.Workspace, Team: r.Team, Caller: r.Caller, JobClass: string(r.Class),
		Tasks: int32(r.Tasks), Accelerators: int32(r.Accelerators), Span: string(r.Span),
		Repeatable: r.Repeatable, Region: r.Region, Payload: r.Payload, Content: r.Content,
		AcceptByMs: toMillis(r.AcceptBy),
	}
}

// Request returns the request in a message. It returns an error if the payload is
// not JSON or if the request does not pass its Check.
func Request(m *peer.SubmitRequest) (*yuccapaddle.Request, error) {
	r := &yuccapaddle.Request{
		ID: m.GetId(), Workspace: m.GetWorkspace(), Team: m.GetTeam(), Caller: m.GetCaller(),
		Class: yuccapaddle.Class(m.GetJobClass()), Tasks: int(m.GetTasks()), Accelerators: int(m.GetAccelerators()),
		Span: yuccapaddle.Span(m.GetSpan()), Repeatable: m.GetRepeatable(), Region: m.GetRegion(),
		Payload: m.GetPayload(), Content: m.GetContent(), AcceptBy: fromMillis(m.GetAcceptByMs()),
	}
	if len(r.Payload) > 0 && !json.Valid(r.Payload) {
		return nil, fmt.Errorf("payload of request %q is not JSON", r.ID)
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return r, nil
}

// OutcomeMessage returns the message for an outcome.
func OutcomeMessage(o yuccapaddle.Outcome) *peer.OutcomeReply {
	m := &peer.OutcomeReply{
		Id: o.ID, Workspace: o.Workspace, Verdict: string(o.Verdict), Reason: o.Reason, Ran: o.MayHaveRun,
		Attempts: int32(o.Attempts), RetryAfterMs: toMillis(o.RetryAfter), SubmitAtMs: toMillis(o.SubmitAt),
		StartAtMs: toMillis(o.StartAt), EndAtMs: toMillis(o.EndAt),
	}
	for _, p := range o.Parts {
		m.Parts = append(m.Parts, p)
	}
	for _, f := range o.Failures {
		m.Failures = append(m.Failures, &peer.Failure{Attempt: int32(f.Attempt), Worker: f.Worker, Reason: f.Reason, AtMs: toMillis(f.At)})
	}
	return m
}

// Outcome returns the outcome in a message.
func Outcome(m *peer.OutcomeReply) yuccapaddle.Outcome {
	o := yuccapaddle.Outcome{
		ID: m.GetId(), Workspace: m.GetWorkspace(), Verdict: yuccapaddle.Verdict(m.GetVerdict()), Reason: m.GetReason(),
		MayHaveRun: m.GetRan(), Attempts: int(m.GetAttempts()), RetryAfter: fromMillis(m.GetRetryAfterMs()),
		SubmitAt: fromMillis(m.GetSubmitAtMs()), StartAt: fromMillis(m.GetStartAtMs()), EndAt: fromMillis(m.GetEndAtMs()),
	}
	for _, p := range m.GetParts() {
		o.Parts = append(o.Parts, p)
	}
	for _, f := range m.GetFailures() {
		o.Failures = append(o.Failures, yuccapaddle.Failure{
			Attempt: int(f.GetAttempt()), Worker: f.GetWorker(), Reason: f.GetReason(), At: fromMillis(f.GetAtMs()),
		})
	}
	return o
}

// toMillis returns t as Unix time in milliseconds, 0 for the zero time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// JobKey returns the message for a caller's call about a job.
func JobKey(id string, c *yuccapaddle.Caller) *peer.JobKey {
	data, _ := json.Marshal(c) // there is nothing in it that could fail
	return &peer.JobKey{Id: id, Queue: c.Queue, Caller: data}
}

// Caller returns the caller in a message. A host of an earlier version names only the queue.
// It returns an error if the caller cannot be decoded.
func Caller(m *peer.JobKey) (yuccapaddle.Caller, error) {
	c := yuccapaddle.Caller{Queue: m.GetQueue()}
	if len(m.GetCaller()) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(m.GetCaller(), &c); err != nil {
		return c, fmt.Errorf("decode the caller: %w", err)
	}
	return c, nil
}

// JobAnswer returns the message for a job's report; found tells whether the job
// exists.
func JobAnswer(r yuccapaddle.JobReport, found bool) *peer.JobAnswer {
	return &peer.JobAnswer{Found: found, State: string(r.State), Ran: r.MayHaveRun, Runs: int64(r.Runs), Why: r.Reason}
}

// JobReport returns the job's report in a message.
func JobReport(m *peer.JobAnswer) yuccapaddle.JobReport {
	return yuccapaddle.JobReport{State: yuccapaddle.JobState(m.GetState()), MayHaveRun: m.GetRan(), Runs: int(m.GetRuns()), Reason: m.GetWhy()}
}
