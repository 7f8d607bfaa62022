// Package registrar keeps the list of the hosts whose confirmations the active host counts,
// and when each has last confirmed it. The list is recorded in the ledger with the commits of
// the active host, so its successor reads the list that the former host counts by, and a
// majority of the one always shares a host with a majority of the other.
package registrar

import (
	"slices"
	"sync"
	"time"
)

// Registrar is safe for concurrent use.
type Registrar struct {
	self string

	mu       sync.Mutex
	epoch    uint64   // of this host
	members  []string // as recorded in the ledger
	proposed []string // that is being recorded, nil if none is
	known    []string // that are to be recorded next
	// confirmedAt holds, by address, the latest time at which a host certainly knew of no
	// epoch later than the present one.
	confirmedAt map[string]time.Time
}

// New returns a Registrar without members for the host at an address.
func New(self string) *Registrar {
	return &Registrar{self: self, confirmedAt: map[string]time.Time{}}
}

// Begin starts an epoch of this host, with the members that the ledger has recorded. It removes
// all confirmations.
func (r *Registrar) Begin(epoch uint64, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = epoch
	r.members, r.proposed, r.known = members, nil, nil
	clear(r.confirmedAt)
}

// Know sets the hosts that are to be the members. They count beside the recorded ones at once.
func (r *Registrar) Know(hosts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = hosts
}

// Members returns the recorded members. The caller must not change the list.
func (r *Registrar) Members() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// Propose returns the list to record next, nil if the known hosts are recorded already. If it
// is not known whether an earlier list was recorded, that one comes first. Until Adopt is
// called, it counts beside the recorded one.
func (r *Registrar) Propose() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proposed == nil && !slices.Equal(r.known, r.members) {
		r.proposed = r.known
	}
	return r.proposed
}

// Adopt makes the proposed list the list of members, once the ledger has recorded it.
func (r *Registrar) Adopt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proposed != nil {
		r.members, r.proposed = r.proposed, nil
	}
}

// Confirm records that at the given time a host knew of no epoch later than this one, if that
// is the present epoch of this host.
func (r *Registrar) Confirm(address string, epoch uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch && at.After(r.confirmedAt[address]) {
		r.confirmedAt[address] = at
	}
}

// ConfirmedSince reports whether a host has confirmed this one at or after a time.
func (r *Registrar) ConfirmedSince(address string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmedAt[address].Before(since)
}

// MajorityConfirmedAt returns the latest time for which more than half of the members, this
// host among them if it is one, have confirmed this host. It is zero if they have not.
func (r *Registrar) MajorityConfirmedAt(now time.Time) time.Time {
	return r.confirmedBy(now, func(hosts int) int { return hosts/2 + 1 })
}

// AllConfirmedAt returns the latest time for which all members have confirmed this host. It is
// zero if one of them has not, and if this host knows of no others: that is no word of theirs.
func (r *Registrar) AllConfirmedAt(now time.Time) time.Time {
	if at := r.confirmedBy(now, func(hosts int) int { return hosts }); at.Before(now) {
		return at
	}
	return time.Time{}
}

// PredecessorOutvoted reports whether so many of the recorded members have confirmed this
// host, now or earlier in its epoch, that no majority of them is left for a former host.
func (r *Registrar) PredecessorOutvoted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed := 0
	for _, address := range r.members {
		if address == r.self || !r.confirmedAt[address].IsZero() {
			confirmed++
		}
	}
	return len(r.members) > 0 && 2*confirmed >= len(r.members)
}

// confirmedBy returns the latest time for which as many hosts have confirmed this one as
// needed says for a list of that length, in each list that counts.
func (r *Registrar) confirmedBy(now time.Time, needed func(hosts int) int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.listConfirmedBy(r.members, now, needed)
	for _, list := range [][]string{r.proposed, r.known} {
		if list == nil {
			continue
		}
		if other := r.listConfirmedBy(list, now, needed); other.Before(at) {
			at = other
		}
	}
	return at
}

func (r *Registrar) listConfirmedBy(list []string, now time.Time, needed func(members int) int) time.Time {
	if len(list) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(list))
	for _, address := range list {
		if address == r.self {
			times = append(times, now)
			continue
		}
		times = append(times, r.confirmedAt[address])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed(len(list))-1]
}
