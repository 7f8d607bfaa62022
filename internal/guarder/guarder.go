// Package guarder starts goroutines in a group and turns a panic in one of them
// into a logged error that ends the group.
package guarder

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Guarder is a group of goroutines with a common end.
type Guarder struct {
	group *errgroup.Group
	log   *zap.Logger
}

// New returns a group and the context that ends with its first error.
func New(ctx context.Context, log *zap.Logger) (*Guarder, context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	return &Guarder{group: group, log: log}, ctx
}

// Go runs f in a goroutine of the group.
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

// Wait returns the first error after all goroutines have ended.
func (g *Guarder) Wait() error {
	return g.group.Wait()
}
