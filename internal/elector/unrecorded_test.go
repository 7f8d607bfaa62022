package elector_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOutvotedWithoutRecordedHosts guards against a successor that finds no list of hosts, since
// the former host is of a version that records none, and takes itself for all that count.
func TestOutvotedWithoutRecordedHosts(t *testing.T) {
	withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
		former, follower, successor := v.nodes[0], v.nodes[1], v.nodes[2]
		v.store.Delete("yp/hosts")
		v.cut(cutSilent, []*node{former, follower}, []*node{successor})
		v.cut(cutSilent, []*node{successor}, []*node{former, follower})
		former.ledger.silent.Store(true)
		follower.ledger.silent.Store(true)
		v.run(partitionTime)
		v.c.Check(successor.Active(), qt.IsTrue)
		v.c.Check(v.check(), qt.IsNil)
	})
}
