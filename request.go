package yuccapaddle

import (
	"encoding/json"
	"fmt"
	"time"
)

// Span is the widest unit of hardware that a gang may be spread over.
type Span string

// Spans from the narrowest to the widest.
const (
	SpanWorker Span = "worker"
	SpanRack   Span = "rack"
	SpanDomain Span = "domain"
)

// Class is the urgency of a request.
type Class string

// Classes of requests.
const (
	ClassQuick Class = "quick"
	ClassBatch Class = "batch"
)

// Request is a caller's gang of tasks: Tasks tasks with Accelerators accelerators
// each, which run together or not at all. ID is the idempotency key, unique
// within the workspace.
type Request struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Team      string `json:"team,omitempty"`
	Caller    string `json:"caller,omitempty"`
	Class     Class  `json:"class"`
	// Queue is one of the operators' queues, if queues are in use; empty for the
	// one that matches the class.
	Queue        string          `json:"queue,omitempty"`
	Tasks        int             `json:"tasks"`
	Accelerators int             `json:"accelerators"`
	Span         Span            `json:"span"`
	Repeatable   bool            `json:"repeatable"`
	Region       string          `json:"region,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	// Content is a hash of the request, to tell a repeated submission from a
	// different request with the same ID.
	Content uint64 `json:"content"`
	// AcceptBy is the time after which no host may accept this submission.
	AcceptBy time.Time `json:"acceptBy"`
}

// Key returns the request's identifier across all workspaces.
func (r *Request) Key() string {
	return r.Workspace + "/" + r.ID
}

// Need returns the number of accelerators of the whole gang.
func (r *Request) Need() int {
	return r.Tasks * r.Accelerators
}

// Verdict is the status of a request in an Outcome.
type Verdict string

// Verdicts. VerdictWaiting and VerdictRunning are not final; VerdictUnknown may
// still be resolved.
const (
	VerdictWaiting   Verdict = "waiting"
	VerdictRunning   Verdict = "running"
	VerdictDone      Verdict = "done"
	VerdictFailed    Verdict = "failed"
	VerdictRefused   Verdict = "refused"
	VerdictCancelled Verdict = "cancelled"
	VerdictUnknown   Verdict = "unknown"
	VerdictNotFound  Verdict = "not-found"
)

// Final reports whether the verdict will not change any more.
func (v Verdict) Final() bool {
	switch v {
	case VerdictDone, VerdictFailed, VerdictRefused, VerdictCancelled:
		return true
	}
	return false
}

// Failure describes one attempt that did not succeed.
type Failure struct {
	Attempt int       `json:"attempt"`
	Worker  string    `json:"worker,omitempty"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// Outcome is the answer to a caller about a request. MayHaveRun reports whether any
// task may have started. Parts holds the answer of each task in rank order; it is
// either complete or empty.
type Outcome struct {
	ID         string            `json:"id"`
	Workspace  string            `json:"workspace,omitempty"`
	Verdict    Verdict           `json:"verdict"`
	Reason     string            `json:"reason,omitempty"`
	MayHaveRun bool              `json:"ran"`
	Parts      []json.RawMessage `json:"parts,omitempty"`
	Attempts   int               `json:"attempts,omitempty"`
	Failures   []Failure         `json:"failures,omitempty"`
	RetryAfter time.Time         `json:"retryAfter,omitzero"`
	SubmitAt   time.Time         `json:"submittedAt,omitzero"`
	StartAt    time.Time         `json:"startedAt,omitzero"`
	EndAt      time.Time         `json:"endedAt,omitzero"`
}

// Limits on a request's fields.
const (
	MaxTasks        = 1024
	MaxAccelerators = 64
	maxNameLength   = 128
)

// Check validates the request as its caller wrote it. The error says what is
// wrong.
func (r *Request) Check() error {
	switch {
	case !validName(r.ID):
		return fmt.Errorf("id %q is not 1 to %d letters, digits, '-', '_' or '.'", truncate(r.ID), maxNameLength)
	case !validName(r.Workspace):
		return fmt.Errorf("workspace %q is not a name", truncate(r.Workspace))
	case r.Queue != "" && !validName(r.Queue):
		return fmt.Errorf("queue %q is not a name", truncate(r.Queue))
	case r.Team != "" && !validName(r.Team):
		return fmt.Errorf("team %q is not a name", truncate(r.Team))
	case r.Tasks < 1 || r.Tasks > MaxTasks:
		return fmt.Errorf("tasks is %d, allowed are 1 to %d", r.Tasks, MaxTasks)
	case r.Accelerators < 1 || r.Accelerators > MaxAccelerators:
		return fmt.Errorf("accelerators is %d, allowed are 1 to %d", r.Accelerators, MaxAccelerators)
	case r.Class != ClassQuick && r.Class != ClassBatch:
		return fmt.Errorf("class %q is not one of quick, batch", truncate(string(r.Class)))
	case r.Span != SpanWorker && r.Span != SpanRack && r.Span != SpanDomain:
		return fmt.Errorf("span %q is not one of worker, rack, domain", truncate(string(r.Span)))
	}
	return nil
}

// validName reports whether s may be used as a name: 1 to maxNameLength letters,
// digits, '-', '_' or '.'. It has no slash, which separates the parts of a key.
func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, c := range []byte(s) {
		alphanumeric := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !alphanumeric && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func truncate(s string) string {
	return s[:min(len(s), maxNameLength)]
}
