package elector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFormerHostConfirmedPastTakeover checks that a former active host is no longer confirmed
// when its successor counts the leases that it may have renewed as over. The former host and
// half of the others, one follower, are cut off from the ledger, and the successor from both
// of them. Otherwise the runs of a worker that only the former host reaches run twice.
func TestFormerHostConfirmedPastTakeover(t *testing.T) {
	t.Parallel()
	withCluster(t, 0, func(cl *cluster) {
		former := activeHost(cl.hosts)
		follower := cl.hosts[(former.number+1)%clusterSize]
		restarted := cl.hosts[(former.number+2)%clusterSize]

		// The successor is the other follower, restarted on its side of the partition.
		restarted.stop()
		cl.isolate(restarted)
		cl.partition()
		former.ledger.silent.Store(true)
		follower.ledger.silent.Store(true)
		successor := cl.add()
		eventually(cl.c, "the successor is active", successor.Active)

		checkNotConfirmedPast(cl.c, former, successor)
	})
}

// checkNotConfirmedPast checks that a former host is not confirmed from the time on at which its
// successor counts the leases that it may have renewed as over.
func checkNotConfirmedPast(c *qt.C, former, successor *host) {
	renewsUntil := successor.waitForPredecessor()
	for end := renewsUntil.Add(settleTime); time.Now().Before(end); time.Sleep(pollInterval) {
		c.Assert(former.Confirmed(), qt.IsFalse, qt.Commentf("the former host is confirmed %v after the time that its successor counts on", time.Since(renewsUntil)))
	}
}
