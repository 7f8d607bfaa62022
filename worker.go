package yuccapaddle

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Reservation asks an upstream to reserve accelerators on its workers for its
// part of a gang, all of them or none. Token is the fencing token: the upstream
// refuses a token lower than the highest it has seen. It also refuses a message
// that arrives after NotAfter. The lease ends at Expiry unless it is renewed.
type Reservation struct {
	Upstream     string          `json:"upstream"`
	Lease        string          `json:"lease"`
	Token        uint64          `json:"token"`
	Members      []Member        `json:"members"`
	Accelerators int             `json:"accelerators"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Resume       bool            `json:"resume,omitempty"`
	// Start starts the tasks immediately, for a gang on a single upstream.
	Start    bool      `json:"start,omitempty"`
	NotAfter time.Time `json:"notAfter"`
	Expiry   time.Time `json:"expiry"`
}

// LeaseCommand is a command on a lease at an upstream. Token is the fencing token,
// and the upstream refuses the command after NotAfter.
type LeaseCommand struct {
	Upstream string    `json:"upstream"`
	Lease    string    `json:"lease"`
	Token    uint64    `json:"token"`
	NotAfter time.Time `json:"notAfter"`
}

// StopReply is the answer to the stop of a lease. If it has no tasks, the
// upstream's incarnation Boot has never held the lease and will refuse it from now
// on.
type StopReply struct {
	Boot  string       `json:"boot"`
	Tasks []TaskReport `json:"tasks,omitempty"`
}

// Of reports whether all tasks of the reply belong to the lease.
func (r *StopReply) Of(lease string) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Lease != lease {
			return false
		}
	}
	return true
}

// TaskState is the state of a task as its upstream reports it.
type TaskState string

// States of a task.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	// TaskStopped means that the task ran and was stopped before it was done.
	TaskStopped TaskState = "stopped"
	// TaskNeverStarted means that the task has not run and never will, because its
	// lease is over.
	TaskNeverStarted TaskState = "never-started"
)

// TaskReport is the state of one task. Part is its part of the request's answer.
type TaskReport struct {
	Lease        string          `json:"lease"`
	Rank         int             `json:"rank"`
	Worker       string          `json:"worker"`
	State        TaskState       `json:"state"`
	Part         json.RawMessage `json:"part,omitempty"`
	Error        string          `json:"error,omitempty"`
	Checkpointed bool            `json:"checkpointed,omitempty"`
}

// SyncRequest asks an upstream for changes, and may renew its leases. The upstream
// answers when there are changes after sequence number Seq of its incarnation
// Boot, or at WaitUntil. If Renew is set, the leases whose names have the given
// Digest are extended to Expiry. The lease names are sent in Leases, with Explicit
// set, only after the upstream has reported that the digest does not match.
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

// WorkerCondition is the condition of a worker as its upstream reports it.
type WorkerCondition struct {
	Worker  string `json:"worker"`
	Down    bool   `json:"down,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Used is the number of busy accelerators as of UsageAt, which lies in the past.
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
	// Mismatch means that the digest did not match and no lease was renewed; the
	// lease names have to be sent explicitly.
	Mismatch bool `json:"mismatch,omitempty"`
	// Missing lists the explicitly sent leases that the upstream does not hold.
	Missing []string          `json:"missing,omitempty"`
	Leaving bool              `json:"leaving,omitempty"`
	Tasks   []TaskReport      `json:"tasks,omitempty"`
	Workers []WorkerCondition `json:"workers,omitempty"`
}

// GangWorker sends commands to workers through their upstreams. Each message names
// the upstream. Errors match ErrRefused or ErrNoAnswer.
type GangWorker interface {
	Reserve(ctx context.Context, r Reservation) error
	// Start starts the reserved tasks; it is idempotent for a lease.
	Start(ctx context.Context, c LeaseCommand) error
	// Checkpoint requests a checkpoint; the reports show when it is complete.
	Checkpoint(ctx context.Context, c LeaseCommand) error
	// Stop ends the lease permanently and returns the final state of each task.
	Stop(ctx context.Context, c LeaseCommand) (StopReply, error)
	// Forget discards the results of a lease that has ended.
	Forget(ctx context.Context, c LeaseCommand) error
	Sync(ctx context.Context, r SyncRequest) (Report, error)
}

// WorkerError is an upstream's refusal. Worker is the worker at fault, if any.
type WorkerError struct {
	Worker string `json:"worker,omitempty"`
	Reason string `json:"reason"`
	// Outdated means that the upstream has seen a higher fencing token.
	Outdated bool `json:"outdated,omitempty"`
}

// Error returns the reason.
func (e *WorkerError) Error() string {
	return e.Reason
}

// Unwrap returns ErrRefused.
func (e *WorkerError) Unwrap() error {
	return ErrRefused
}

var (
	// ErrRefused reports that the upstream did not carry out the command.
	ErrRefused = errors.New("the upstream refused")
	// ErrNoAnswer reports that the command may or may not have been carried out.
	ErrNoAnswer = errors.New("the upstream gave no answer")
)
