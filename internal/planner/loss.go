package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Load pattern: workers are lost in many ways, and only some of these speak against the
// tasks that ran there. A worker may crash and be registered again after some seconds,
// under its ID or under another one at its address; it may stay away; it may only have
// been silent; it may leave as announced, or be lost with its rack or failure domain. So a
// lost run is kept as a pending loss until the registrations and the worker's answers tell
// what has become of the worker.

const (
	// soonAfterStart is how long after a start a worker has to be lost for the start to be its
	// likely cause, also in a crowd.
	soonAfterStart = 500 * time.Millisecond
	// unheardTime is the longest time from the loss of a worker until a host that has taken
	// over meanwhile learns of it.
	unheardTime = 12 * time.Second
	// longRun is how long a task has to have run for a crash to speak against its machine
	// rather than against the task.
	longRun = time.Minute
	// settleInterval is the longest time between two looks at the pending losses.
	settleInterval = 100 * time.Millisecond
)

// loss is the loss of a worker on which a member of a unit's run was in progress. It is kept
// until all losses of the run are judged.
type loss struct {
	run         int
	member      int
	worker      string
	address     string
	rack        string
	domain      string
	incarnation int64
	others      int   // runs of other units that were on the worker
	unanswered  bool  // the worker had not answered for the run
	soon        bool  // the worker was lost right after the start
	recent      bool  // it was lost shortly after the start
	unseen      bool  // it is not known when the worker was lost, see lostUnseen
	long        bool  // the task had run for long
	away        bool  // it counts as a crash since the worker has stayed away
	lostAt      int64 // when the worker was last in touch, in Unix milliseconds
	placedAt    int64 // when the run was placed, in Unix milliseconds, 0 if unknown
	outcome     verdict
	counted     evidence // with which it counts as a crash
	// These are not committed: each host sees them anew.
	since    time.Time // when this host learned of the loss
	judgeAt  time.Time // when it is judged, once the worker is known to be back
	poll     int64     // number of the latest poll at that time
	answered bool      // the worker has answered with its incarnation since
}

// alone reports whether nothing but the run was on the worker, and the worker had answered
// for it.
func (l *loss) alone() bool {
	return l.others == 0 && !l.unanswered
}

// unplaced reports whether the worker's rack and failure domain are unknown: a former host
// placed the run, and the worker has not been registered since.
func (l *loss) unplaced() bool {
	return l.rack == "" && l.domain == ""
}

// noteLosses records the loss of a worker for the units of some of its runs, before the
// runs end.
func (p *Planner) noteLosses(w *worker, lost []assignment) {
	for _, x := range lost {
		p.noteLoss(w, x)
	}
}

// noteLoss records the loss of a worker for one of its runs, unless the worker was to leave
// or the loss is of no account for the unit.
func (p *Planner) noteLoss(w *worker, x assignment) {
	u, m := x.u, &x.u.members[x.member]
	if m.ended || m.kept || m.neverStarted || m.unsent || m.leaving || m.incarnation == 0 || m.incarnation <= w.leavingIncarnation || !u.countsCrashes() || u.hasLoss(x.member) {
		return
	}
	if p.suspectAfterLoss(u, x.member, w) {
		p.setSuspect(u, true)
	}
	lostAt := p.lostContact(w)
	ran := lostAt.Sub(u.startedAt)
	l := loss{
		run: u.run, member: x.member, worker: w.ID, address: m.address, rack: w.Rack, domain: w.Domain, incarnation: m.incarnation,
		others: w.runsBeside(u), unanswered: !m.mayHaveAnswered(),
		soon: u.placedAtKnown && ran <= soonAfterStart, recent: p.startedRecently(u, m, w), unseen: m.lostUnseen(w), long: ran > longRun,
		lostAt: p.wall.Add(lostAt.Sub(p.now)).UnixMilli(), placedAt: u.placedAtMS, since: p.now, poll: p.lastPoll,
	}
	u.losses = append(u.losses, l)
	p.avoidCrashed(u, &l)
	p.trackLosses(u)
	p.markUnitDirty(u)
}

// startedRecently reports whether a lost worker may have been lost shortly after it started
// the member. Of a run that only a former host has heard of it is not known when it was lost.
func (p *Planner) startedRecently(u *unit, m *member, w *worker) bool {
	limit := recentStart
	if m.lostUnseen(w) {
		limit += unheardTime
	}
	return u.placedAtKnown && p.lostContact(w).Sub(u.startedAt) <= limit
}

// lostUnseen reports whether the loss of the member's worker may have gone unseen: a former host
// placed the run, and the worker has not answered this one since.
func (m *member) lostUnseen(w *worker) bool {
	return m.adopted && w.reportedIncarnation != m.incarnation
}

// mayHaveAnswered reports whether the worker has answered for the member's run, or may have
// answered a former host for it.
func (m *member) mayHaveAnswered() bool {
	return m.confirmed || m.adopted && !m.leftUnanswered
}

// trackLosses has the unit's pending losses judged.
func (p *Planner) trackLosses(u *unit) {
	p.unsettled[u] = true
	p.settleBy = p.now
}

// hasLoss reports whether the loss of the member's worker is recorded for the current run.
func (u *unit) hasLoss(member int) bool {
	return slices.ContainsFunc(u.losses, func(l loss) bool { return l.run == u.run && l.member == member })
}

// lostContact returns when a lost worker was last in touch.
func (p *Planner) lostContact(w *worker) time.Time {
	if w.silentSince.IsZero() {
		return p.now
	}
	return w.silentSince
}

// runsBeside returns how many runs of other units may be in progress on the worker.
func (w *worker) runsBeside(u *unit) int {
	n := len(w.orphans)
	for _, x := range w.runs {
		if x.u != u {
			n++
		}
	}
	return n
}

// restartedUnder reports whether the worker has answered as a later incarnation than the
// one on which the member was placed.
func (w *worker) restartedUnder(m *member) bool {
	return m.incarnation != 0 && w.reportedIncarnation > m.incarnation
}

// clearAnswered records that a worker has answered a poll sent after its loss, with the
// incarnation that it had: it was only silent.
func (p *Planner) clearAnswered(w *worker, poll int64) {
	for u := range p.unsettled {
		for i := range u.losses {
			l := &u.losses[i]
			if l.worker == w.ID && l.incarnation == w.reportedIncarnation && poll > l.poll {
				l.answered, p.settleBy = true, p.now
			}
		}
	}
}

// settleLosses judges the pending losses for which that can be done.
func (p *Planner) settleLosses() {
	if len(p.unsettled) == 0 || p.now.Before(p.settleBy) {
		return
	}
	p.settleBy = p.now.Add(settleInterval)
	atAddress := p.workersByAddress()
	units := slices.SortedFunc(maps.Keys(p.unsettled), func(a, b *unit) int { return a.compare(b) })
	for _, u := range units {
		if u.countsCrashes() {
			p.settleUnit(u, atAddress)
		} else {
			u.losses = nil
		}
		if len(u.losses) == 0 {
			delete(p.unsettled, u)
		}
	}
}

// workersByAddress returns the latest incarnation that is registered at each address, of equal
// ones that with the first ID.
func (p *Planner) workersByAddress() map[string]*worker {
	latest := make(map[string]*worker, len(p.workers))
	for _, w := range p.workers {
		if other := latest[w.Address]; w.registered && (other == nil || w.laterThan(other)) {
			latest[w.Address] = w
		}
	}
	return latest
}

// laterThan reports whether the worker's incarnation is later than that of another one, or the
// same and its ID comes first.
func (w *worker) laterThan(other *worker) bool {
	return cmp.Or(cmp.Compare(other.Incarnation, w.Incarnation), cmp.Compare(w.ID, other.ID)) < 0
}

// settleUnit judges the pending losses of a unit, and fails its job if it is to be given up.
func (p *Planner) settleUnit(u *unit, atAddress map[string]*worker) {
	judged := 0
	for i := range u.losses {
		l := &u.losses[i]
		if l.away && l.answered {
			p.uncountCrash(u, l)
			judged++
		}
		if l.outcome != verdictPending {
			continue
		}
		f := p.judge(u, l, atAddress)
		switch f.outcome {
		case verdictPending:
			continue
		case verdictCrash:
			p.countCrash(u, l, f)
		case verdictNoCrash:
			p.addLossDecision(EventNoCrash, u, l, f.evidence)
		}
		l.outcome = f.outcome
		judged++
	}
	dropped := u.dropJudged()
	if judged == 0 && !dropped {
		return
	}
	p.markUnitDirty(u)
	p.changed = true
	if len(u.losses) == 0 && len(u.crashes) == 0 {
		p.setSuspect(u, false)
	}
	p.failIfCrashing(u)
}

// dropJudged drops the losses of runs that are over and of which all losses are judged, and
// reports whether there were any. Until then they tell which workers the run has lost. A
// worker that has stayed away may still answer.
func (u *unit) dropJudged() bool {
	before := len(u.losses)
	open := map[int]bool{}
	for i := range u.losses {
		if l := &u.losses[i]; l.outcome == verdictPending || l.away || l.run == u.run && u.live() {
			open[l.run] = true
		}
	}
	u.losses = slices.DeleteFunc(u.losses, func(l loss) bool { return !open[l.run] })
	return len(u.losses) < before
}
