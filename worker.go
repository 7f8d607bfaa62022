package yuccapaddle

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Reservation asks an upstream to hold accelerators on its workers for its
// share of a gang: all of them or none. Token is the fencing token: the
// upstream refuses a token lower than the highest it has seen. A message that
// arrives after NotAfter is refused. The lease ends at Expiry unless renewed.
type Reservation struct {
	Upstream     string          `json:"upstream"`
	Lease        string          `json:"lease"`
	Token        uint64          `json:"token"`
	Members      []Member        `json:"members"`
	Accelerators int             `json:"accelerators"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Resume       bool            `json:"resume,omitempty"`
	// Start releases the tasks at once, for gangs that lie on one upstream.
	Start    bool      `json:"start,omitempty"`
	NotAfter time.Time `json:"notAfter"`
	Expiry   time.Time `json:"expiry"`
}

// LeaseCommand names a lease at an upstream, under a fencing token.
type LeaseCommand struct {
	Upstream string    `json:"upstream"`
	Lease    string    `json:"lease"`
	Token    uint64    `json:"token"`
	NotAfter time.Time `json:"notAfter"`
}

// StopReply is the end of a lease. Without tasks the upstream's incarnation
// Boot has never held the lease, and will refuse it from now on.
type StopReply struct {
	Boot  string       `json:"boot"`
	Tasks []TaskReport `json:"tasks,omitempty"`
}

// Of reports whether the reply speaks of the lease and of no other.
func (r *StopReply) Of(lease string) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Lease != lease {
			return false
		}
	}
	return true
}

// TaskState is what an upstream says of one task.
type TaskState string

// States of a task.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	// TaskStopped: it ran and was ended before it was done.
	TaskStopped TaskState = "stopped"
	// TaskNeverStarted: it did not run and, its lease being over, never will.
	TaskNeverStarted TaskState = "never-started"
)

// TaskReport is the state of one task. Part is its share of the answer.
type TaskReport struct {
	Lease        string          `json:"lease"`
	Rank         int             `json:"rank"`
	Worker       string          `json:"worker"`
	State        TaskState       `json:"state"`
	Part         json.RawMessage `json:"part,omitempty"`
	Error        string          `json:"error,omitempty"`
	Checkpointed bool            `json:"checkpointed,omitempty"`
}

// SyncRequest may renew the leases at an upstream; it waits for news after Seq of
// its incarnation Boot, or until WaitUntil. If Renew is set, the leases live on
// until Expiry: Digest is that of the lease names; Leases are sent only after
// the upstream has said that the digest does not match what it holds.
type SyncRequest struct {
	Upstream  string    `json:"upstream"`
	Token     uint64    `json:"token"`
	Digest    uint64    `json:"digest"`
	Leases    []string  `json:"leases,omitempty"`
	Explicit  bool      `json:"explicit,omitempty"`
	Renew     bool      `json:"renew,omitempty"`
	Boot      string    `json:"boot"`
	Seq       uint64    `json:"seq"`
	WaitUntil time.Time `json:"waitUntil"`
	Expiry    time.Time `json:"expiry"`
}

// WorkerCondition is what an upstream says of one of its workers.
type WorkerCondition struct {
	Worker  string `json:"worker"`
	Down    bool   `json:"down,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Used is the number of busy accelerators as of UsageAt, which lags.
	Used    int       `json:"used"`
	UsageAt time.Time `json:"usageAt"`
}

// Report is an upstream's answer to a SyncRequest: the tasks and workers that
// changed after the request's Seq, or all of them if Full.
type Report struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot"`
	Seq      uint64 `json:"seq"`
	Full     bool   `json:"full,omitempty"`
	// Mismatch: nothing was renewed; send the leases explicitly.
	Mismatch bool `json:"mismatch,omitempty"`
	// Missing are explicit leases that the upstream does not hold.
	Missing []string          `json:"missing,omitempty"`
	Leaving bool              `json:"leaving,omitempty"`
	Tasks   []TaskReport      `json:"tasks,omitempty"`
	Workers []WorkerCondition `json:"workers,omitempty"`
}

// GangWorker reaches workers through their upstreams; the messages
// name the upstream. Errors match ErrRefused or ErrNoAnswer.
type GangWorker interface {
	Reserve(ctx context.Context, r Reservation) error
	// Start releases the reserved tasks; it is idempotent for a lease.
	Start(ctx context.Context, c LeaseCommand) error
	// Checkpoint asks for a checkpoint; its end shows in the reports.
	Checkpoint(ctx context.Context, c LeaseCommand) error
	// Stop ends the lease for good and returns what became of each task.
	Stop(ctx context.Context, c LeaseCommand) (StopReply, error)
	// Forget drops the results of a lease that is over.
	Forget(ctx context.Context, c LeaseCommand) error
	Sync(ctx context.Context, r SyncRequest) (Report, error)
}

// WorkerError is a refusal that names the worker at fault, if there is one.
type WorkerError struct {
	Worker string `json:"worker,omitempty"`
	Reason string `json:"reason"`
	// Outdated: the upstream has seen a higher token.
	Outdated bool `json:"outdated,omitempty"`
}

// Error returns the reason.
func (e *WorkerError) Error() string {
	return e.Reason
}

// Unwrap marks the error as a refusal.
func (e *WorkerError) Unwrap() error {
	return ErrRefused
}

var (
	// ErrRefused: the upstream answered that it did not do it.
	ErrRefused = errors.New("the upstream refused")
	// ErrNoAnswer: the upstream may or may not have done it.
	ErrNoAnswer = errors.New("the upstream gave no answer")
)
