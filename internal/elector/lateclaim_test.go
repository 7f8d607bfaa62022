package elector_test

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// lateClaimLedger leaves the first commit and all releases before the second one without an
// answer. The first commit is carried out right before the second one, and the releases are not.
type lateClaimLedger struct {
	*bookkeeper.Bookkeeper
	commits atomic.Int64
	late    atomic.Pointer[yuccapaddle.Transaction]
}

// Commit implements yuccapaddle.Ledger.
func (l *lateClaimLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	switch l.commits.Add(1) {
	case 1:
		l.late.Store(&t)
		return 0, yuccapaddle.ErrUnknown
	case 2:
		_, _ = l.Bookkeeper.Commit(ctx, *l.late.Load())
	}
	return l.Bookkeeper.Commit(ctx, t)
}

// Release implements yuccapaddle.Ledger.
func (l *lateClaimLedger) Release(ctx context.Context, lease uint64) error {
	if l.commits.Load() == 1 {
		return yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Release(ctx, lease)
}

// TestLateClaimTakenForNext guards against a host that repeats a claim, takes the late copy of
// the first one for the second, and renews the lease of the second, which the lock does not have.
// Once that of the first has expired another host claims, while the renewals go on. The host keeps
// the role, by the lease that the lock has.
func TestLateClaimTakenForNext(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	defer cl.close()
	former := cl.addWith(hostSetup{ledger: &lateClaimLedger{Bookkeeper: cl.store}, partitioned: true})
	eventually(cl.c, "the first host is active", former.Active)
	cl.add()
	checkKeepsRole(cl.c, cl.hosts, former, former.LocalExecutor().Epoch())
	lock, err := cl.store.Get(t.Context(), "yp/lock")
	cl.c.Assert(err, qt.IsNil)
	cl.c.Check(string(lock.Value), qt.Equals, former.address)
}
