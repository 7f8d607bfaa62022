package yuccapaddle

import (
	"context"
	"errors"
	"time"
)

// JobService is what callers can ask of the system at any host. Errors of Submit,
// Cancel and Show match ErrNotTaken or ErrUnknown.
type JobService interface {
	// Rules returns the operators' rules in force here, nil if there are none yet.
	Rules() *Rules
	// Submit returns once the job is committed.
	Submit(ctx context.Context, j *Job) error
	// Cancel reports whether there is such a job; its cancelling is then committed.
	Cancel(ctx context.Context, id, queue string) (bool, error)
	// Show returns what is committed of a job, and whether there is one. It returns
	// when the job's state is final, or at until. An empty queue stands for any.
	Show(ctx context.Context, id, queue string, until time.Time) (JobReport, bool, error)
	// Pending returns the number of jobs of the queue that have not begun.
	Pending(queue string) int64
}

// ErrNotTaken reports a request that was not carried out and will not be.
var ErrNotTaken = errors.New("the request was not taken")

// HopelessError reports a job that is not taken since no registered worker could
// hold it. It matches ErrNotTaken.
type HopelessError struct {
	Why string
}

// Error returns the reason.
func (e *HopelessError) Error() string {
	return "no workers could hold it: it would wait " + e.Why
}

// Unwrap marks the job as not taken.
func (e *HopelessError) Unwrap() error {
	return ErrNotTaken
}

// Rulebook reads the operators' rules. The bytes are passed between hosts.
type Rulebook interface {
	Read(ctx context.Context) ([]byte, error)
	Decode(data []byte) (*Rules, error)
}

// RequestService carries callers' requests to the host that decides about them.
type RequestService interface {
	// Submit returns the outcome, final or not, by the deadline. It is unknown if it
	// cannot be told whether the request was accepted, and refused if it was not.
	Submit(ctx context.Context, r *Request, deadline time.Time) Outcome
	// Cancel returns an error if it is not known to have been heard.
	Cancel(ctx context.Context, key string, deadline time.Time) (Outcome, error)
	// Await returns the outcome once it is final, or what is known at the deadline.
	Await(ctx context.Context, key string, deadline time.Time) (Outcome, error)
}
