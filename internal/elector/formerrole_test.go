package elector_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOutvotedByConfirmationOfFormerRole guards against a confirmation of an earlier epoch of this
// host that is handled, after a pause, in a later one: it counts as if its sender followed this
// host again.
func TestOutvotedByConfirmationOfFormerRole(t *testing.T) {
	withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
		again := v.nodes[0]
		others := v.nodes[1:]
		again.clock.stall.Store(&stall{"(*Elector).HandleConfirmation", 20 * time.Second})
		v.failStore(true) // so that the others confirm it
		v.run(3 * time.Second)
		v.c.Assert(again.clock.stall.Load(), qt.IsNil, qt.Commentf("a confirmation is paused"))
		v.heal()
		again.ledger.refusing.Store(true)
		v.c.Assert(v.runUntil(recoveryTime, func() error {
			if again.Active() {
				return errors.New("the role has not moved")
			}
			return v.settled()
		}), qt.IsNil)
		v.heal()
		v.run(time.Second)
		v.cut(cutSilent, []*node{again}, others)
		v.cut(cutSilent, others, []*node{again})
		for _, x := range others {
			x.ledger.silent.Store(true)
		}
		v.run(partitionTime)
		v.c.Check(again.Active(), qt.IsTrue)
		v.c.Check(v.check(), qt.IsNil)
	})
}
