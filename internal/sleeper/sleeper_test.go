package sleeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestSleepNotPositive guards against a crash of the race detector: it crashes after
// thousands of timers that are already due when they are set in virtual time.
func TestSleepNotPositive(t *testing.T) {
	const sleeps = 20_000
	for range 4 {
		synctest.Test(t, func(t *testing.T) {
			var g errgroup.Group
			for n := range 8 {
				g.Go(func() error {
					for i := range sleeps / 8 {
						if err := Sleep(t.Context(), time.Duration(i%2-n%2)); err != nil {
							return err
						}
					}
					return nil
				})
			}
			qt.Assert(t, g.Wait(), qt.IsNil)
		})
	}
}
