package executor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/executor"
)

// TestHeldAmongLate checks that a held call which could be committed in time alone is not
// refused since many others are held that could not: these are not part of the commit.
func TestHeldAmongLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.options = []executor.Option{executor.WithHeldCalls(50)}
		r.committed = func(yuccapaddle.Transaction) { time.Sleep(time.Second) }
		r.takeOver()
		defer r.close()
		time.Sleep(10 * time.Second)
		early := r.callFor(20*time.Second, r.smallJob("early"))
		time.Sleep(50 * time.Millisecond)
		var late []*call
		for i := range 10 {
			late = append(late, r.callFor(2100*time.Millisecond, r.smallJob(fmt.Sprintf("late-%02d", i))))
		}
		inTime := r.callFor(2900*time.Millisecond, r.smallJob("in-time"))
		<-inTime.done
		r.c.Check(inTime.err, qt.IsNil)
		for _, c := range late {
			<-c.done
			r.c.Check(c.err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		}
		<-early.done
		r.c.Check(early.err, qt.IsNil)
	})
}
