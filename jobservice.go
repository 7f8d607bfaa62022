package yuccapaddle

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// JobService is the interface for callers' jobs that every host offers. Errors of
// Submit, Cancel and Show match ErrNotAccepted or ErrUnknown.
type JobService interface {
	// Rules returns the operators' rules in force on this host, nil if none are
	// known yet.
	Rules() *Rules
	// Submit returns once the job is committed, also if it had been accepted before.
	Submit(ctx context.Context, j *Job) error
	// Cancel reports whether there is such a job that the caller may see; if so, its
	// cancellation is committed.
	Cancel(ctx context.Context, id string, c Caller) (bool, error)
	// Show returns the committed state of a job, and whether there is such a job that the
	// caller may see. It returns when the state is final, or at until.
	Show(ctx context.Context, id string, c Caller, until time.Time) (JobReport, bool, error)
	// Pending returns the number of jobs of the queue that have not started.
	Pending(queue string) int64
}

// MaxSubmissionTime is how long a host passes a submission on after it has read it, whatever time
// its caller gives.
const MaxSubmissionTime = time.Minute

// ErrNotAccepted reports a request that was not carried out and will not be.
var ErrNotAccepted = errors.New("the request was not taken")

// ErrIDTaken reports a job that is refused because another caller's job has its ID. It matches
// ErrNotAccepted.
var ErrIDTaken = fmt.Errorf("%w: another job has its ID", ErrNotAccepted)

// ErrTooMuchWork reports a job that is refused because the jobs accepted before take the memory
// that its workspace may have. It matches ErrNotAccepted.
var ErrTooMuchWork = fmt.Errorf("%w: too much work is accepted already", ErrNotAccepted)

// InfeasibleError reports a job that is refused because it would not fit on the
// registered workers even if they were idle, or not into the quota of its workspace. It
// matches ErrNotAccepted.
type InfeasibleError struct {
	Reason string
}

// Error returns the reason.
func (e *InfeasibleError) Error() string {
	return "it could never run: it would wait " + e.Reason
}

// Unwrap returns ErrNotAccepted.
func (e *InfeasibleError) Unwrap() error {
	return ErrNotAccepted
}

// RuleSource reads the operators' rules. Read returns them encoded as hosts send
// them to one another; Decode decodes them.
type RuleSource interface {
	Read(ctx context.Context) ([]byte, error)
	Decode(data []byte) (*Rules, error)
}

// RequestService forwards callers' requests to the active host.
type RequestService interface {
	// Submit returns the outcome, final or not, by the deadline. The verdict is
	// VerdictRefused if the request was not accepted, and VerdictUnknown if that is
	// not certain.
	Submit(ctx context.Context, r *Request, deadline time.Time) Outcome
	// Cancel returns an error unless the active host is known to have received the
	// cancellation.
	Cancel(ctx context.Context, key string, deadline time.Time) (Outcome, error)
	// Await returns the outcome once it is final, or the latest one known at the
	// deadline.
	Await(ctx context.Context, key string, deadline time.Time) (Outcome, error)
}
