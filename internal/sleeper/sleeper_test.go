package sleeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestPast: waiting for no time at all, very often and in virtual time, does not
// upset the race detector.
func TestPast(t *testing.T) {
	const waits = 20_000
	for range 4 {
		synctest.Test(t, func(t *testing.T) {
			var g errgroup.Group
			for n := range 8 {
				g.Go(func() error {
					for i := range waits / 8 {
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
