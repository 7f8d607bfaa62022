package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRoleStaysBehindRefusingCut guards against two hosts that take the role from each other, since
// the cut between them refuses connections, although the store answers both.
func TestRoleStaysBehindRefusingCut(t *testing.T) {
	for _, n := range []int{2, 3, 5} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			withVirtualCluster(t, n, func(v *virtualCluster) {
				a, b := v.nodes[0], v.nodes[1]
				v.cut(cutRefused, []*node{a}, []*node{b})
				v.cut(cutRefused, []*node{b}, []*node{a})
				v.run(30 * time.Second)
				v.c.Check(len(v.claims) <= 3, qt.IsTrue, qt.Commentf("%d epochs in 30 s", len(v.claims)))
			})
		})
	}
}

// TestConfirmedWithRestarts checks that an active host stays confirmed in an outage of the store
// in which followers restart. A process that has started meanwhile cannot confirm it, so there
// must be a majority without those.
func TestConfirmedWithRestarts(t *testing.T) {
	for _, restarts := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 hosts restart", restarts), func(t *testing.T) {
			withVirtualCluster(t, 5, func(v *virtualCluster) {
				v.failStore(false)
				v.run(3 * time.Second)
				active := v.nodes[0]
				for _, x := range slices.Clone(v.nodes[5-restarts:]) {
					v.restartWith(x, storeSilent)
				}
				v.checkConfirmed(active, degradedOutage)
			})
		})
	}
}
