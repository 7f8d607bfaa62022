package elector_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOutvotedByUninformedHost guards against the answer of a host that does not know of the
// successor: it does not contradict the successor, but goes on confirming the former host. A
// follower reaches both; the successor loses the store right after its claim and asks.
func TestOutvotedByUninformedHost(t *testing.T) {
	withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
		former, follower, successor := v.nodes[0], v.nodes[1], v.nodes[2]
		v.cut(cutSilent, []*node{former}, []*node{successor})
		v.cut(cutSilent, []*node{successor}, []*node{former})
		former.ledger.silent.Store(true)
		follower.ledger.silent.Store(true)
		v.c.Assert(v.runUntil(recoveryTime, func() error {
			if !successor.Active() {
				return errors.New("the successor is not active")
			}
			return nil
		}), qt.IsNil)
		successor.ledger.silent.Store(true)
		v.run(partitionTime)
		v.c.Check(v.check(), qt.IsNil)
	})
}
