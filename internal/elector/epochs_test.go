package elector_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// longOutage is how long an outage of the store lasts that all hosts survive.
	longOutage = 60 * time.Second
	// degradedOutage is the same with one host of five or more lost.
	degradedOutage = 25 * time.Second
)

// checkConfirmed checks that a host is confirmed in its epoch all the time.
func (v *virtualCluster) checkConfirmed(x *node, d time.Duration) {
	epoch, start := x.LocalExecutor().Epoch(), time.Now()
	for time.Since(start) < d {
		v.step()
		exec := x.LocalExecutor()
		v.c.Assert(exec != nil && exec.Epoch() == epoch, qt.IsTrue, qt.Commentf("active after %v", time.Since(start)))
		v.c.Assert(x.Confirmed(), qt.IsTrue, qt.Commentf("confirmed after %v", time.Since(start)))
	}
}

// failStore makes the store refuse all hosts, or leave them without answers.
func (v *virtualCluster) failStore(refusing bool) {
	for _, x := range v.nodes {
		x.ledger.refusing.Store(refusing)
		x.ledger.silent.Store(!refusing)
	}
}

// TestConfirmedInOutage checks that an active host is confirmed throughout an outage of the
// store if all hosts are there.
func TestConfirmedInOutage(t *testing.T) {
	for n := 2; n <= maxPartitionHosts; n++ {
		for _, refusing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, store refuses %v", n, refusing), func(t *testing.T) {
				t.Parallel()
				withVirtualCluster(t, n, func(v *virtualCluster) {
					v.failStore(refusing)
					v.checkConfirmed(v.nodes[0], longOutage)
				})
			})
		}
	}
}

// TestConfirmedWithOneLost checks that an active host is confirmed throughout an outage of the
// store in which one follower of a larger cluster is lost.
func TestConfirmedWithOneLost(t *testing.T) {
	losses := map[string]func(v *virtualCluster, x *node){
		"silent cut": func(v *virtualCluster, x *node) { v.isolate(cutSilent, x) },
		"reset":      func(v *virtualCluster, x *node) { v.isolate(cutReset, x) },
		"refused":    func(v *virtualCluster, x *node) { v.isolate(cutRefused, x) },
		"ended":      (*virtualCluster).kill,
		"lost": func(v *virtualCluster, x *node) {
			v.isolate(cutSilent, x)
			v.kill(x)
		},
	}
	for name, lose := range losses {
		for _, n := range []int{5, 6} {
			for _, after := range []time.Duration{0, 3 * time.Second} {
				t.Run(fmt.Sprintf("%d hosts, one %s after %v", n, name, after), func(t *testing.T) {
					t.Parallel()
					withVirtualCluster(t, n, func(v *virtualCluster) {
						v.failStore(false)
						v.run(after)
						lose(v, v.nodes[n-1])
						v.checkConfirmed(v.nodes[0], degradedOutage)
					})
				})
			}
		}
	}
}

// TestNoConfirmationOfLowerEpoch checks that a host that has followed an active host confirms
// none of a lower epoch later, although it reaches only that one: neither in reply to its
// heartbeats nor when it is asked which host is active.
func TestNoConfirmationOfLowerEpoch(t *testing.T) {
	for name, cutWay := range map[string]func(former, follower *node) (from, to *node){
		"heartbeats": func(former, follower *node) (from, to *node) { return former, follower },
		"asked":      func(former, follower *node) (from, to *node) { return follower, former },
	} {
		t.Run(name, func(t *testing.T) {
			withVirtualCluster(t, clusterSize, func(v *virtualCluster) {
				former := v.nodes[0]
				follower := v.replaceActive()

				v.isolate(cutSilent, follower)
				follower.ledger.silent.Store(true)
				v.c.Assert(v.runUntil(recoveryTime, func() error {
					if _, ok := follower.Leader(); ok {
						return errors.New("the follower has not lost the successor")
					}
					return nil
				}), qt.IsNil)
				v.net.heal(former.address, follower.address)
				v.net.heal(follower.address, former.address)
				from, to := cutWay(former, follower)
				v.net.cut(cutReset, from.address, to.address)
				for end := time.Now().Add(partitionTime); time.Now().Before(end); {
					v.step()
					v.c.Assert(former.Confirmed(), qt.IsFalse, qt.Commentf("%v before the end", time.Until(end)))
				}
			})
		})
	}
}

// replaceActive cuts the active one of three hosts off until it is not confirmed, and returns
// the follower of its successor.
func (v *virtualCluster) replaceActive() (follower *node) {
	former, a, b := v.nodes[0], v.nodes[1], v.nodes[2]
	v.isolate(cutSilent, former)
	former.ledger.silent.Store(true)
	v.c.Assert(v.runUntil(recoveryTime, func() error {
		if (!a.Active() && !b.Active()) || former.Confirmed() {
			return errors.New("the role has not moved")
		}
		return nil
	}), qt.IsNil)
	if a.Active() {
		a, b = b, a
	}
	v.c.Assert(v.runUntil(recoveryTime, func() error {
		if leader, ok := a.Leader(); !ok || leader != b.address {
			return errors.New("the other host does not follow the successor")
		}
		return nil
	}), qt.IsNil)
	return a
}
