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

// Class tells how urgent a request is.
type Class string

// Classes of requests.
const (
	ClassQuick Class = "quick"
	ClassBatch Class = "batch"
)

// Request is a caller's job: Tasks tasks of Accelerators accelerators each,
// which run together or not at all. ID is the idempotency key, unique within
// the workspace.
type Request struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Team      string `json:"team,omitempty"`
	Caller    string `json:"caller,omitempty"`
	Class     Class  `json:"class"`
	// Queue is one of the operators' queues, where they have any; empty for the
	// one that fits the class.
	Queue        string          `json:"queue,omitempty"`
	Tasks        int             `json:"tasks"`
	Accelerators int             `json:"accelerators"`
	Span         Span            `json:"span"`
	Repeatable   bool            `json:"repeatable"`
	Region       string          `json:"region,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	// Content is a hash of what is asked for, to tell a repeated submission from
	// another request under the same id.
	Content uint64 `json:"content"`
	// AcceptBy is the time after which no host may accept this submission.
	AcceptBy time.Time `json:"acceptBy"`
}

// Key identifies the request over all workspaces.
func (r *Request) Key() string {
	return r.Workspace + "/" + r.ID
}

// Need is the number of accelerators of the whole gang.
func (r *Request) Need() int {
	return r.Tasks * r.Accelerators
}

// Verdict says what became of a request.
type Verdict string

// Verdicts. Waiting and running are not final; unknown may still be settled.
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

// Failure is the context of one attempt that did not succeed.
type Failure struct {
	Attempt int       `json:"attempt"`
	Worker  string    `json:"worker,omitempty"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// Outcome is what a caller is told. Ran reports whether any task may have
// started. Parts are the answer of each task in rank order, given only whole.
type Outcome struct {
	ID         string            `json:"id"`
	Workspace  string            `json:"workspace,omitempty"`
	Verdict    Verdict           `json:"verdict"`
	Reason     string            `json:"reason,omitempty"`
	Ran        bool              `json:"ran"`
	Parts      []json.RawMessage `json:"parts,omitempty"`
	Attempts   int               `json:"attempts,omitempty"`
	Failures   []Failure         `json:"failures,omitempty"`
	RetryAfter time.Time         `json:"retryAfter,omitzero"`
	SubmitAt   time.Time         `json:"submittedAt,omitzero"`
	StartAt    time.Time         `json:"startedAt,omitzero"`
	EndAt      time.Time         `json:"endedAt,omitzero"`
}

// Bounds of a request's fields.
const (
	MostTasks        = 1024
	MostAccelerators = 64
	mostNameLength   = 128
)

// Check returns what is wrong with a request as its caller wrote it, nil if
// nothing is.
func (r *Request) Check() error {
	switch {
	case !validName(r.ID):
		return fmt.Errorf("id %q is not 1 to %d letters, digits, '-', '_' or '.'", cut(r.ID), mostNameLength)
	case !validName(r.Workspace):
		return fmt.Errorf("workspace %q is not a name", cut(r.Workspace))
	case r.Queue != "" && !validName(r.Queue):
		return fmt.Errorf("queue %q is not a name", cut(r.Queue))
	case r.Team != "" && !validName(r.Team):
		return fmt.Errorf("team %q is not a name", cut(r.Team))
	case r.Tasks < 1 || r.Tasks > MostTasks:
		return fmt.Errorf("tasks is %d, allowed are 1 to %d", r.Tasks, MostTasks)
	case r.Accelerators < 1 || r.Accelerators > MostAccelerators:
		return fmt.Errorf("accelerators is %d, allowed are 1 to %d", r.Accelerators, MostAccelerators)
	case r.Class != ClassQuick && r.Class != ClassBatch:
		return fmt.Errorf("class %q is not one of quick, batch", cut(string(r.Class)))
	case r.Span != SpanWorker && r.Span != SpanRack && r.Span != SpanDomain:
		return fmt.Errorf("span %q is not one of worker, rack, domain", cut(string(r.Span)))
	}
	return nil
}

// validName reports whether a name can be part of a key: it holds no slash.
func validName(s string) bool {
	if s == "" || len(s) > mostNameLength {
		return false
	}
	for _, c := range []byte(s) {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func cut(s string) string {
	return s[:min(len(s), mostNameLength)]
}
