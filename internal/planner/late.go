package planner

import "time"

// An order without an answer may be carried out seconds later. The deadline of a start is a time
// on the clock of the worker's process. If the worker restarts under its ID, its clock begins
// anew, far before that deadline, and it has seen no token yet: it carries out what reaches it.

// lateOrderTime is how long after it was sent an order without an answer may be carried out.
const lateOrderTime = 12 * time.Second

// noteSent records that a copy of the member's start is sent now.
func (m *member) noteSent(now time.Time) {
	m.unsent = false
	m.lateUntil = now.Add(lateOrderTime)
}

// noteCarriedOut records that the worker has carried the member's start out. If this host has
// sent only one copy, none is left that may be carried out late.
func (m *member) noteCarriedOut() {
	if !m.adopted && m.resends == 0 {
		m.lateUntil = time.Time{}
	}
}

// mayRunLate reports whether a run may be in progress on a silent worker that has restarted and
// has carried a start out late. The run has a lease from then on. It cannot be if another worker
// has taken its place.
func (p *Planner) mayRunLate(w *worker, x assignment) bool {
	m := &x.u.members[x.member]
	return p.now.Before(m.lateUntil.Add(p.limits.LongestLease)) && !p.replaced(w, m)
}

// replaced reports whether another worker has answered that is registered at the address of a
// member's worker since. One that has not answered yet is asked.
func (p *Planner) replaced(w *worker, m *member) bool {
	for id, other := range p.workers {
		if other != w && other.registered && other.Address == m.address && other.Incarnation > m.incarnation {
			return p.requestProofs([]string{id})
		}
	}
	return false
}
