// Package converter turns the project's records into the messages that hosts
// send one another, and back.
package converter

import (
	"encoding/json"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// Submit makes the message of a request.
func Submit(r *yuccapaddle.Request) *peer.SubmitRequest {
	return &peer.SubmitRequest{
		Id: r.ID, Workspace: r.Workspace, Team: r.Team, Caller: r.Caller, JobClass: string(r.Class),
		Tasks: int32(r.Tasks), Accelerators: int32(r.Accelerators), Span: string(r.Span),
		Repeatable: r.Repeatable, Region: r.Region, Payload: r.Payload, Content: r.Content,
		AcceptByMs: millis(r.AcceptBy),
	}
}

// Request reads a message; it refuses what no host of ours would send.
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

// Reply makes the message of an outcome.
func Reply(o yuccapaddle.Outcome) *peer.OutcomeReply {
	m := &peer.OutcomeReply{
		Id: o.ID, Workspace: o.Workspace, Verdict: string(o.Verdict), Reason: o.Reason, Ran: o.Ran,
		Attempts: int32(o.Attempts), RetryAfterMs: millis(o.RetryAfter), SubmitAtMs: millis(o.SubmitAt),
		StartAtMs: millis(o.StartAt), EndAtMs: millis(o.EndAt),
	}
	for _, p := range o.Parts {
		m.Parts = append(m.Parts, p)
	}
	for _, f := range o.Failures {
		m.Failures = append(m.Failures, &peer.Failure{Attempt: int32(f.Attempt), Worker: f.Worker, Reason: f.Reason, AtMs: millis(f.At)})
	}
	return m
}

// Outcome reads a message.
func Outcome(m *peer.OutcomeReply) yuccapaddle.Outcome {
	o := yuccapaddle.Outcome{
		ID: m.GetId(), Workspace: m.GetWorkspace(), Verdict: yuccapaddle.Verdict(m.GetVerdict()), Reason: m.GetReason(),
		Ran: m.GetRan(), Attempts: int(m.GetAttempts()), RetryAfter: fromMillis(m.GetRetryAfterMs()),
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

// millis is a Unix time in milliseconds, 0 for the zero time.
func millis(t time.Time) int64 {
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

// JobAnswer makes the answer that tells of a job.
func JobAnswer(r yuccapaddle.JobReport, found bool) *peer.JobAnswer {
	return &peer.JobAnswer{Found: found, State: string(r.State), Ran: r.Ran, Runs: int64(r.Runs), Why: r.Why}
}

// JobReport reads an answer that tells of a job.
func JobReport(m *peer.JobAnswer) yuccapaddle.JobReport {
	return yuccapaddle.JobReport{State: yuccapaddle.JobState(m.GetState()), Ran: m.GetRan(), Runs: int(m.GetRuns()), Why: m.GetWhy()}
}
