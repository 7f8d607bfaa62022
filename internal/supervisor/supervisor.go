// Package supervisor runs goroutines in a group and recovers their panics, which it
// logs and returns as errors of the group.
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Supervisor is a group of goroutines that share a context, which the first error
// ends.
type Supervisor struct {
	group *errgroup.Group
	log   *zap.Logger
}

// New returns a Supervisor and the context of its goroutines.
func New(ctx context.Context, log *zap.Logger) (*Supervisor, context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	return &Supervisor{group: group, log: log}, ctx
}

// Go runs f in a goroutine of the group. name identifies it in logs and errors.
func (s *Supervisor) Go(name string, f func() error) {
	s.group.Go(func() (err error) {
		defer func() {
			if r := recover(); r != nil {
				s.log.Error("goroutine panicked", zap.String("name", name), zap.Any("panic", r), zap.ByteString("stack", debug.Stack()))
				err = fmt.Errorf("%s panicked: %v", name, r)
			}
		}()
		return f()
	})
}

// Wait waits for all goroutines and returns the first error.
func (s *Supervisor) Wait() error {
	return s.group.Wait()
}
