// Package guarder runs goroutines in a group and recovers their panics, which it logs
// and returns as errors of the group.
package guarder

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Guarder is a group of goroutines that share a context, which the first error ends.
type Guarder struct {
	group *errgroup.Group
	log   *zap.Logger
}

// New returns a group and its context.
func New(ctx context.Context, log *zap.Logger) (*Guarder, context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	return &Guarder{group: group, log: log}, ctx
}

// Go runs f in a goroutine of the group. name identifies it in logs and errors.
func (g *Guarder) Go(name string, f func() error) {
	g.group.Go(func() (err error) {
		defer func() {
			if r := recover(); r != nil {
				g.log.Error("goroutine panicked", zap.String("name", name), zap.Any("panic", r), zap.ByteString("stack", debug.Stack()))
				err = fmt.Errorf("%s panicked: %v", name, r)
			}
		}()
		return f()
	})
}

// Wait waits for all goroutines and returns the first error.
func (g *Guarder) Wait() error {
	return g.group.Wait()
}
