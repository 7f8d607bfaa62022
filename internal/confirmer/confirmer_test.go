package confirmer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/confirmer"
)

// TestConfirm checks that callers share questions, and that none gets the answer to one that
// was asked before its call.
func TestConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var group, callers errgroup.Group
		var asked atomic.Int64
		failure := errors.New("no")
		conf := confirmer.New(func() error {
			n := asked.Add(1)
			time.Sleep(time.Second)
			if n == 1 {
				return failure
			}
			return nil
		}, group.Go)
		confirm := func(ctx context.Context, want error) {
			callers.Go(func() error {
				c.Check(conf.Confirm(ctx), qt.Equals, want)
				return nil
			})
			synctest.Wait()
		}
		confirm(t.Context(), failure)
		for range 10 {
			confirm(t.Context(), nil)
		}
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		confirm(short, context.DeadlineExceeded)
		c.Check(callers.Wait(), qt.IsNil)
		c.Check(asked.Load(), qt.Equals, int64(2))
		confirm(t.Context(), nil)
		c.Check(callers.Wait(), qt.IsNil)
		c.Check(asked.Load(), qt.Equals, int64(3))
		c.Check(group.Wait(), qt.IsNil)
	})
}
