package planner

import "time"

// A registration may be that of another writer. A worker gets runs only once it has answered
// under its ID as the incarnation that its registration names. It is asked when it is first
// chosen for a unit, which claims its room meanwhile.

const (
	// proofRetry is the time after which a worker that has not proved itself is asked again.
	proofRetry = 300 * time.Millisecond
	// proofValidity is how long a worker that has answered gets new runs without being asked
	// again: meanwhile its clock, which deadlines rest on, is known less and less.
	proofValidity = time.Minute
	// refutedTime is how long a worker gets nothing after it has answered as another
	// incarnation than its registration names.
	refutedTime = 2 * time.Second
)

// proven reports whether the worker has answered as the incarnation that its registration
// names, if the settings ask for that.
func (p *Planner) proven(w *worker) bool {
	return p.answeredAs(w, w.Incarnation)
}

// answeredAs reports whether the worker has answered as an incarnation, if the settings ask for
// that.
func (p *Planner) answeredAs(w *worker, incarnation int64) bool {
	return !p.limits.ProveWorkers || w.reportedIncarnation == incarnation
}

// mayStart reports whether the worker may be sent starts without being asked before: it is
// proven and has answered lately.
func (p *Planner) mayStart(w *worker) bool {
	return !p.limits.ProveWorkers || p.proven(w) && p.now.Sub(w.answeredAt) < proofValidity
}

// provenIncarnation returns the latest incarnation that the worker is known to have had. What
// its registration names counts only if the settings do not ask for a proof.
func (p *Planner) provenIncarnation(w *worker) int64 {
	if p.limits.ProveWorkers {
		return w.reportedIncarnation
	}
	return max(w.Incarnation, w.reportedIncarnation)
}

// refuted reports whether the worker has lately answered as another incarnation than its
// registration names.
func (p *Planner) refuted(w *worker) bool {
	return !p.proven(w) && p.now.Before(w.refutedUntil)
}

// noteProof records what the worker's answer to a poll says of its registration.
func (p *Planner) noteProof(w *worker) {
	if !p.limits.ProveWorkers || !w.registered {
		return
	}
	p.changed = p.changed || !w.proofDueAt.IsZero()
	w.proofDueAt = time.Time{}
	if !p.proven(w) {
		w.refutedUntil = p.now.Add(refutedTime)
		p.wakeBy(w.refutedUntil)
		return
	}
	if w.room.incarnation != w.Incarnation {
		w.fixed = fixedFields{begun: true, counted: w.Worker}
		p.beginRoom(w)
		p.changed = true
	}
}

// forgetProof forgets what is known of a worker's former registration.
func (w *worker) forgetProof() {
	w.proofDueAt, w.refutedUntil = time.Time{}, time.Time{}
}

// requestProofs reports whether all of the workers may be sent starts, and has the others
// polled.
func (p *Planner) requestProofs(ids []string) (all bool) {
	all = true
	for _, id := range ids {
		w := p.workers[id]
		if p.mayStart(w) {
			continue
		}
		all = false
		if p.now.Before(w.proofDueAt) {
			continue
		}
		w.proofDueAt = p.now.Add(proofRetry)
		p.wakeBy(w.proofDueAt)
		p.proofs = append(p.proofs, id)
	}
	return all
}

// TakeProofRequests returns the IDs of the workers that have to be polled to prove
// themselves, since the last call.
func (p *Planner) TakeProofRequests() []string {
	list := p.proofs
	p.proofs = nil
	return list
}

// place starts a run of a unit on the workers, one for each member, and reports whether it
// has. If some have to be asked before, the unit claims the room on all of them.
func (p *Planner) place(u *unit, workers []string) bool {
	if p.requestProofs(workers) {
		p.assign(u, workers)
		return true
	}
	u.claim, u.claimedAt = workers, p.now
	p.claims[u] = true
	return false
}

// awaitsProof reports whether a unit waits only until the workers of its claim have answered.
func (p *Planner) awaitsProof(u *unit) bool {
	for _, id := range u.claim {
		if w := p.workers[id]; w != nil && !p.mayStart(w) {
			return true
		}
	}
	return false
}
