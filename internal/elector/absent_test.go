package elector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAbsentHostProvesNothing guards against an active host that takes the word of all hosts that
// it still counts for a proof that nobody has claimed: one that it has not seen for some time has.
func TestAbsentHostProvesNothing(t *testing.T) {
	withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
		absent := v.nodes[2]
		v.isolate(cutReset, absent)
		v.run(longPartitionTime)
		for _, x := range v.nodes[:2] {
			x.ledger.silent.Store(true)
		}
		v.run(longPartitionTime + time.Second)
		v.c.Check(absent.Active(), qt.IsTrue)
		v.c.Check(v.check(), qt.IsNil)
	})
}
