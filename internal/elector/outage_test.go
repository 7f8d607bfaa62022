package elector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/standin/bookkeeper"
)

const (
	// outageTime is longer than the lease of the active host.
	outageTime = 3 * time.Second
	// settleTime is longer than a follower takes to claim a free role.
	settleTime = 3 * time.Second
)

// setFault injects a fault into the calls of all hosts to the ledger.
func setFault(hosts []*host, f bookkeeper.Fault) {
	hosts[0].ledger.SetFault(f)
}

// checkKeepsRole checks that a host stays active in its epoch for settleTime, and that
// no other host is active meanwhile.
func checkKeepsRole(c *qt.C, hosts []*host, active *host, epoch uint64) {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, h := range hosts {
			exec := h.LocalExecutor()
			c.Assert(exec != nil, qt.Equals, h == active, qt.Commentf("only the former active host is active"))
		}
		c.Assert(active.LocalExecutor().Epoch(), qt.Equals, epoch)
	}
}

// TestOutageKeepsRole checks that an active host whose lease expired while the ledger
// answered nobody keeps its role, and holds the lock again once the ledger answers.
func TestOutageKeepsRole(t *testing.T) {
	for _, fault := range []bookkeeper.Fault{bookkeeper.FaultTimeout, bookkeeper.FaultRefused} {
		withHosts(t, 0, func(c *qt.C, hosts []*host) {
			first := activeHost(hosts)
			epoch := first.LocalExecutor().Epoch()
			setFault(hosts, fault)
			time.Sleep(outageTime)
			setFault(hosts, bookkeeper.FaultNone)
			checkKeepsRole(c, hosts, first, epoch)
			lock, err := first.ledger.Get(t.Context(), "yp/lock")
			c.Assert(err, qt.IsNil)
			c.Check(string(lock.Value), qt.Equals, first.address, qt.Commentf("the lock is held again"))
		})
	}
}

// TestOutageLostReplies checks that replies that are lost, while the ledger carries the
// calls out, move no role.
func TestOutageLostReplies(t *testing.T) {
	withHosts(t, 0, func(c *qt.C, hosts []*host) {
		first := activeHost(hosts)
		epoch := first.LocalExecutor().Epoch()
		setFault(hosts, bookkeeper.FaultLostReply)
		time.Sleep(outageTime)
		setFault(hosts, bookkeeper.FaultNone)
		checkKeepsRole(c, hosts, first, epoch)
	})
}

// TestSilentToOne checks that another host takes over when the ledger leaves only the
// active host without answers, so that its lease expires.
func TestSilentToOne(t *testing.T) {
	withHosts(t, 0, func(c *qt.C, hosts []*host) {
		first := activeHost(hosts)
		first.ledger.silent.Store(true)
		eventually(c, "another host is active", func() bool {
			next := activeHost(hosts)
			return next != nil && next != first
		})
		eventually(c, "the first is not active any more", func() bool { return first.LocalExecutor() == nil })
	})
}
