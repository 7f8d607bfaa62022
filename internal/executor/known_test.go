package executor_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// TestKnownNotRefused checks that a job that was accepted, and whose caller asks again
// since the answer was lost, is not refused as not run while the ledger does not answer.
func TestKnownNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.takeOver()
		defer r.close()
		r.c.Assert(r.exec.Submit(t.Context(), r.smallJob("0000000000000001")), qt.IsNil)
		r.ledger.SetFault(bookkeeper.FaultTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		r.group.Go(func() error {
			_ = r.exec.Submit(ctx, r.smallJob("0000000000000002")) // its commit hangs, so the outcome is unknown
			return nil
		})
		time.Sleep(time.Second)
		r.c.Check(r.exec.Submit(ctx, r.smallJob("0000000000000001")), qt.IsNil)
		r.ledger.SetFault(bookkeeper.FaultNone)
	})
}

// TestSubmitAtEnd checks the error of submissions that are under way when the host stops
// being active: a job that was refused as not accepted is not in the ledger.
func TestSubmitAtEnd(t *testing.T) {
	for delay := time.Duration(0); delay < 30*time.Millisecond; delay += 3 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4)
			r.takeOver()
			defer r.close()
			time.Sleep(100 * time.Millisecond)
			ids := []string{"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004"}
			errs := make([]error, len(ids))
			exec := r.exec
			var submissions errgroup.Group
			r.ledger.SetFault(bookkeeper.FaultLostReply)
			for i, id := range ids {
				submissions.Go(func() error {
					errs[i] = exec.Submit(t.Context(), r.smallJob(id))
					return nil
				})
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(delay)
			r.stop()
			time.Sleep(time.Second)
			r.ledger.SetFault(bookkeeper.FaultNone)
			r.c.Assert(submissions.Wait(), qt.IsNil)
			r.takeOver()
			for i, id := range ids {
				_, found, err := r.exec.Show(t.Context(), id, yuccapaddle.Caller{Queue: "batch"}, time.Time{})
				r.c.Assert(err, qt.IsNil)
				r.c.Check(found && errors.Is(errs[i], yuccapaddle.ErrNotAccepted), qt.IsFalse, qt.Commentf("job %s is known, and was answered: %v", id, errs[i]))
			}
		})
	}
}

// TestAbsenceAtFormerHost guards against a host that was replaced while it stood still, and that
// says of a job of its successor that it does not exist: the cancellation would be taken for
// done, and the job runs on.
func TestAbsenceAtFormerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.takeOver()
		former, stop := r.exec, r.stop
		defer func() {
			stop()
			r.close()
		}()
		time.Sleep(time.Second)
		r.stop = nil
		r.takeOver()
		r.c.Assert(r.exec.Submit(t.Context(), r.smallJob("0000000000000001")), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := former.Cancel(ctx, "0000000000000001", yuccapaddle.Caller{Queue: "batch"})
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		_, _, err = former.Show(ctx, "0000000000000001", yuccapaddle.Caller{Queue: "batch"}, time.Time{})
		r.c.Check(err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		found, err := r.exec.Cancel(ctx, "0000000000000002", yuccapaddle.Caller{Queue: "batch"})
		r.c.Check(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse)
	})
}

// TestCancelOvertakesAdmission guards against a job that runs although its cancellation was
// answered: it waited for a commit in progress, and was admitted afterwards.
func TestCancelOvertakesAdmission(t *testing.T) {
	withRig(t, 4, func(r *rig) {
		r.committed = func(yuccapaddle.Transaction) { time.Sleep(400 * time.Millisecond) }
		time.Sleep(time.Second)
		first := r.call(r.smallJob("1"))
		time.Sleep(50 * time.Millisecond)
		canceled, kept := r.call(r.smallJob("2")), r.call(r.smallJob("3"))
		time.Sleep(50 * time.Millisecond)
		exec := r.exec
		r.group.Go(func() error {
			_, _ = exec.Cancel(r.t.Context(), "3", yuccapaddle.Caller{Queue: "quick"}) // not through its queue
			return nil
		})
		found, err := r.exec.Cancel(r.t.Context(), "2", yuccapaddle.Caller{Queue: "batch"})
		r.c.Check(err, qt.IsNil)
		r.c.Check(found, qt.IsFalse)
		for _, c := range []*call{first, canceled, kept} {
			<-c.done
		}
		r.c.Check(first.err, qt.IsNil)
		r.c.Check(canceled.err, qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		r.c.Check(kept.err, qt.IsNil)
		r.c.Check(r.known("2"), qt.IsFalse)
	})
}
