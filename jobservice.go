package yuccapaddle

import (
	"context"
	"errors"
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
	// Show returns the committed state of a job, and whether there is one.
	Show(ctx context.Context, id, queue string) (JobState, bool, error)
	// Pending returns the number of jobs of the queue that have not begun.
	Pending(queue string) int64
}

// ErrNotTaken reports a request that was not carried out and will not be.
var ErrNotTaken = errors.New("the request was not taken")

// Rulebook reads the operators' rules. The bytes are passed between hosts.
type Rulebook interface {
	Read(ctx context.Context) ([]byte, error)
	Decode(data []byte) (*Rules, error)
}
