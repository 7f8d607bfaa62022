package registrar_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/registrar"
)

const (
	self = "self:1"
	// epoch is the present epoch of the host.
	epoch = 7
)

// addresses returns n addresses of other hosts, from number first on.
func addresses(first, n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("h%d:1", first+i))
	}
	return list
}

// begin returns a Registrar of a host in its present epoch.
func begin(address string) *registrar.Registrar {
	r := registrar.New(address)
	r.Begin(epoch, nil)
	return r
}

// record makes a list the recorded one.
func record(r *registrar.Registrar, members []string) {
	r.Know(members)
	r.Propose()
	r.Adopt()
}

func confirm(r *registrar.Registrar, hosts []string, at time.Time) {
	for _, address := range hosts {
		r.Confirm(address, epoch, at)
	}
}

// TestHalfConfirmed checks that a host counts as confirmed from the time at which half of
// the others have confirmed it, and is not confirmed by the absence of hosts that it knew.
func TestHalfConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r := qt.New(t), begin(self)
		start := time.Now()
		c.Check(r.MajorityConfirmedAt(start).IsZero(), qt.IsTrue, qt.Commentf("it is not known who counts"))
		record(r, []string{self})
		c.Check(r.MajorityConfirmedAt(start), qt.Equals, start, qt.Commentf("there are no others"))
		record(r, append(addresses(0, 97), self))
		confirm(r, addresses(0, 48), start)
		c.Check(r.MajorityConfirmedAt(start).IsZero(), qt.IsTrue, qt.Commentf("48 of 97"))
		confirm(r, addresses(48, 1), start.Add(-time.Second))
		c.Check(r.MajorityConfirmedAt(start), qt.Equals, start.Add(-time.Second), qt.Commentf("49 of 97"))
		confirm(r, addresses(0, 49), start.Add(-time.Minute))
		c.Check(r.MajorityConfirmedAt(start), qt.Equals, start.Add(-time.Second), qt.Commentf("a delayed confirmation does not replace a later one"))
		r.Begin(epoch, r.Members())
		c.Check(r.MajorityConfirmedAt(start).IsZero(), qt.IsTrue)
		time.Sleep(time.Hour)
		c.Check(r.MajorityConfirmedAt(time.Now()).IsZero(), qt.IsTrue, qt.Commentf("none of the others is left"))
	})
}

// TestMajoritiesShareHost checks, for every division of the hosts in two, that a former host
// with one part cannot be confirmed by a majority once its successor with the other part takes
// it for outvoted, also if one of them is not in the list.
func TestMajoritiesShareHost(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	for n := 1; n <= 7; n++ {
		all := addresses(0, n)
		for members := 1; members <= n; members++ {
			for side := range 1 << n {
				former, successor := begin(all[n-1]), begin(all[0])
				record(former, all[:members])
				successor.Begin(epoch, all[:members])
				for i, address := range all {
					if side>>i&1 == 0 {
						former.Confirm(address, epoch, now)
					} else {
						successor.Confirm(address, epoch, now)
					}
				}
				if side&1 == 0 || side>>(n-1)&1 == 1 {
					continue // each of the two is on its own side
				}
				both := successor.PredecessorOutvoted() && !former.MajorityConfirmedAt(now).IsZero()
				c.Assert(both, qt.IsFalse, qt.Commentf("%d hosts, %d members, side %b", n, members, side))
			}
		}
	}
}

// TestMajorityOfBothLists guards against a majority of a list that the ledger may not have any
// more, or not yet.
func TestMajorityOfBothLists(t *testing.T) {
	c, r, now := qt.New(t), begin(self), time.Unix(1000, 0)
	before := append(addresses(0, 2), self)
	record(r, before)
	grown := append(addresses(0, 4), self)
	r.Know(grown)
	confirm(r, addresses(0, 1), now)
	c.Check(r.MajorityConfirmedAt(now).IsZero(), qt.IsTrue, qt.Commentf("2 of 3, and 2 of 5"))
	c.Check(r.Propose(), qt.DeepEquals, grown)
	r.Know(before)
	c.Check(r.Propose(), qt.DeepEquals, grown, qt.Commentf("it is not known whether the ledger has it"))
	c.Check(r.MajorityConfirmedAt(now).IsZero(), qt.IsTrue, qt.Commentf("2 of 3, and 2 of 5"))
	confirm(r, addresses(3, 1), now)
	c.Check(r.MajorityConfirmedAt(now), qt.Equals, now)
	c.Check(r.AllConfirmedAt(now).IsZero(), qt.IsTrue)
	r.Adopt()
	c.Check(r.Members(), qt.DeepEquals, grown)
	r.Know(grown)
	c.Check(r.Propose(), qt.IsNil, qt.Commentf("it is recorded"))
	confirm(r, grown, now.Add(-time.Second))
	c.Check(r.AllConfirmedAt(now), qt.Equals, now.Add(-time.Second))
}

// TestConfirmationOfFormerRole guards against a confirmation that is handled in a later epoch of
// this host than the one that it is for.
func TestConfirmationOfFormerRole(t *testing.T) {
	c, r, now := qt.New(t), begin(self), time.Unix(1000, 0)
	r.Begin(epoch, addresses(0, 1))
	r.Confirm(addresses(0, 1)[0], epoch-1, now)
	c.Check(r.PredecessorOutvoted(), qt.IsFalse)
	r.Confirm(addresses(0, 1)[0], epoch, now)
	c.Check(r.PredecessorOutvoted(), qt.IsTrue)
}
