package elector_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
)

// A former active host may renew the leases of workers for as long as it is confirmed. A
// worker that only the former host reaches runs its tasks for the longest lease after that,
// while the successor counts the leases as over from the later of its takeover and the time
// that it was told. So a former host that is confirmed later leads to two runs of one task.

// newCluster returns a cluster without hosts.
func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, c: qt.New(t), store: bookkeeper.New()}
}

// checkNotConfirmed checks that a former active host is not confirmed any more once its
// successor counts on no further renewals.
func checkNotConfirmed(c *qt.C, former, successor *host) {
	c.Helper()
	checkNotConfirmedDuring(c, former, successor, settleTime)
}

// checkNotConfirmedDuring is checkNotConfirmed for that time.
func checkNotConfirmedDuring(c *qt.C, former, successor *host, d time.Duration) {
	c.Helper()
	renewsUntil := successor.waitForPredecessor()
	var excess time.Duration // since when it has been confirmed last
	for end := renewsUntil.Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
		if former.Active() && former.Confirmed() {
			excess = time.Since(renewsUntil)
		}
	}
	c.Check(excess, qt.Equals, time.Duration(0), qt.Commentf("the former host is confirmed for longer than its successor counts on"))
}

// TestConfirmedAtTakeover checks that a former host which is cut off is not confirmed for longer
// than its successor counts on.
func TestConfirmedAtTakeover(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	withCutOff(cl.c, cl, hostSetup{}, func(cutOff func() *host) {
		former := cutOff()
		checkNotConfirmed(cl.c, former, cl.waitForSuccessor(former))
	})
}

// kill ends the process of a host, so that others are refused connections, and leaves its
// lease to expire.
func (cl *cluster) kill(h *host) {
	h.ledger.silent.Store(true) // its lease is not released
	h.peers.Stop()
	h.stop()
}

// waitForSuccessor waits until a host is active that is not one of the former ones.
func (cl *cluster) waitForSuccessor(former ...*host) *host {
	var next *host
	eventually(cl.c, "another host is active", func() bool {
		for _, h := range cl.hosts {
			isFormer := false
			for _, f := range former {
				isFormer = isFormer || f == h
			}
			if !isFormer && h.Active() {
				next = h
			}
		}
		return next != nil
	})
	return next
}

// TestConfirmedBehindRefusingCut guards against two active hosts that both renew leases while
// a cut between the hosts refuses connections: a refused connection is taken for the end of
// the process, but the former host lives and renews its lease on the lock, which is another
// host's.
func TestConfirmedBehindRefusingCut(t *testing.T) {
	t.Parallel()
	withCluster(t, 0, func(cl *cluster) {
		former := activeHost(cl.hosts)
		former.peers.Stop() // the process goes on
		checkNotConfirmed(cl.c, former, cl.waitForSuccessor(former))
	})
}

// TestPredecessorOfPredecessor guards against a second takeover within the time in which the
// first former host may still renew leases: that the second one has exited says nothing of the
// first.
func TestPredecessorOfPredecessor(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	withCutOff(cl.c, cl, hostSetup{}, func(cutOff func() *host) {
		first := cutOff()
		second := cl.waitForSuccessor(first)
		cl.kill(second)
		checkNotConfirmed(cl.c, first, cl.waitForSuccessor(first, second))
	})
}

// unansweredLedger leaves the first commit and the release of its lease without an answer. The
// commit is carried out and the release is not.
type unansweredLedger struct {
	*bookkeeper.Bookkeeper
	commits atomic.Int64
}

// Commit implements yuccapaddle.Ledger.
func (l *unansweredLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	rev, err := l.Bookkeeper.Commit(ctx, t)
	if err == nil && l.commits.Add(1) == 1 {
		return 0, yuccapaddle.ErrUnknown
	}
	return rev, err
}

// Release implements yuccapaddle.Ledger.
func (l *unansweredLedger) Release(ctx context.Context, lease uint64) error {
	if l.commits.Load() == 1 {
		return yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Release(ctx, lease)
}

// TestClaimWithoutAnswer guards against a host that repeats a claim of which the answer was
// lost, and takes its own lock for that of a predecessor which has exited.
func TestClaimWithoutAnswer(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	withCutOff(cl.c, cl, hostSetup{}, func(cutOff func() *host) {
		former := cutOff()
		for _, h := range cl.hosts {
			if h != former {
				cl.kill(h)
			}
		}
		successor := cl.addWith(hostSetup{ledger: &unansweredLedger{Bookkeeper: cl.store}})
		eventually(cl.c, "the successor is active", successor.Active)
		checkNotConfirmed(cl.c, former, successor)
	})
}

// lateLedger carries reads out late.
type lateLedger struct {
	*bookkeeper.Bookkeeper
	delay time.Duration
}

// Get implements yuccapaddle.Ledger.
func (l *lateLedger) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	select {
	case <-ctx.Done():
		return yuccapaddle.Entry{}, yuccapaddle.ErrUnknown
	case <-time.After(l.delay):
	}
	return l.Bookkeeper.Get(ctx, key)
}

// lateReadDelay is shorter than the time within which a host has to answer whether it reaches
// the ledger, and longer than a host takes to claim a free role.
const lateReadDelay = 270 * time.Millisecond

// TestClaimedAgainAfterHandover guards against a host that claims a role which was handed over
// and taken again by the same host meanwhile: the handover is of an earlier epoch.
func TestClaimedAgainAfterHandover(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	c := cl.c
	defer cl.close()
	former := cl.add()
	eventually(c, "the first host is active", former.Active)
	cl.addWith(hostSetup{ledger: &lateLedger{cl.store, lateReadDelay}})
	waitForFollowers(c, cl.hosts)
	former.ledger.refusing.Store(true)
	eventually(c, "the role is handed over", func() bool { return !former.Active() })
	former.ledger.refusing.Store(false)
	waitForFollowers(c, cl.hosts)
	active := activeHost(cl.hosts)
	if active == former {
		checkKeepsRole(c, cl.hosts, former, former.LocalExecutor().Epoch())
		return
	}
	checkNotConfirmed(c, former, active)
}

// TestAloneWithoutLedger guards against a host that is confirmed for ever since no other host
// has ever reached it, as after a restart behind a cut: it is then cut off from the ledger, and
// another host claims the role.
func TestAloneWithoutLedger(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	c := cl.c
	defer cl.close()
	former := cl.addWith(hostSetup{partitioned: true})
	eventually(c, "the first host is active", former.Active)
	successor := cl.add()
	former.ledger.silent.Store(true)
	eventually(c, "the successor is active", successor.Active)
	checkNotConfirmed(c, former, successor)
}

// pauseAfterClaim is longer than a lease on the lock, the search for an active host and the time
// that the successor counts on together. Leases that a host before both has renewed last longer.
const pauseAfterClaim = 6 * time.Second

// TestPausedAfterClaim guards against a host that is paused between its claim and its first
// order, is replaced meanwhile, and counts as confirmed from the end of the pause.
func TestPausedAfterClaim(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	defer cl.close()
	former := cl.addWith(hostSetup{buildTime: pauseAfterClaim})
	eventually(cl.c, "the first host has claimed the role", func() bool { return former.predecessorRenewsUntil.Load() != nil })
	successor := cl.add()
	eventually(cl.c, "the successor is active", successor.Active)
	checkNotConfirmedDuring(cl.c, former, successor, pauseAfterClaim)
}
