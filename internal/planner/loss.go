package planner

import (
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
	// companionWait is how long after the return of a worker others of its rack and failure
	// domain may still register, before its loss is judged.
	companionWait = 1500 * time.Millisecond
	// companionSpan is the longest time between the restarts of workers that were lost
	// together.
	companionSpan = 3 * time.Second
	// crashClockSlack allows for the difference between clocks when a restart is compared
	// with the time of a loss.
	crashClockSlack = time.Second
	// minCompanions is how many other workers of a rack or failure domain have to be lost
	// with a worker for its loss to be that of the rack or failure domain.
	minCompanions = 2
	// lostForGood is how long a worker has to be away without having come back for its loss
	// to count as a crash.
	lostForGood = goneRetention
	// settleInterval is the longest time between two looks at the pending losses.
	settleInterval = 100 * time.Millisecond
)

// loss is the loss of a worker on which a run of a unit was in progress, until it is known
// whether the worker has crashed.
type loss struct {
	run         int
	worker      string
	address     string
	rack        string
	domain      string
	incarnation int64
	others      int   // runs of other units that were on the worker
	unanswered  bool  // the worker had not answered for the run
	lostAt      int64 // when the worker was last in touch, in Unix milliseconds
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

// verdict is what a loss has turned out to be.
type verdict int

const (
	verdictPending verdict = iota
	verdictCrash
	verdictNoCrash
)

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
	if m.ended || m.neverStarted || m.incarnation == 0 || m.incarnation <= w.leavingIncarnation || !u.countsCrashes() || u.crashedRun == u.run || u.hasLoss(w.ID) {
		return
	}
	if p.suspectAfterLoss(u, w) {
		p.setSuspect(u, true)
	}
	u.losses = append(u.losses, loss{
		run: u.run, worker: w.ID, address: m.address, rack: w.Rack, domain: w.Domain, incarnation: m.incarnation,
		others: w.runsBeside(u), unanswered: !m.confirmed && !m.adopted, lostAt: p.wall.Add(p.lostContact(w).Sub(p.now)).UnixMilli(),
		since: p.now, poll: p.lastPoll,
	})
	p.trackLosses(u)
	p.markUnitDirty(u)
}

// trackLosses has the unit's pending losses judged.
func (p *Planner) trackLosses(u *unit) {
	p.unsettled[u] = true
	p.settleBy = p.now
}

// hasLoss reports whether the loss of the worker is recorded for the current run.
func (u *unit) hasLoss(worker string) bool {
	return slices.ContainsFunc(u.losses, func(l loss) bool { return l.run == u.run && l.worker == worker })
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

// workersByAddress returns the latest incarnation that is registered at each address.
func (p *Planner) workersByAddress() map[string]*worker {
	latest := make(map[string]*worker, len(p.workers))
	for _, w := range p.workers {
		if other := latest[w.Address]; w.registered && (other == nil || other.Incarnation < w.Incarnation) {
			latest[w.Address] = w
		}
	}
	return latest
}

// settleUnit judges the pending losses of a unit. All crashes of one run count as one.
func (p *Planner) settleUnit(u *unit, atAddress map[string]*worker) {
	crashes := map[int]crash{} // by run
	var pending []loss
	for i := range u.losses {
		l := &u.losses[i]
		outcome, evidence := p.judge(u, l, atAddress)
		switch outcome {
		case verdictPending:
			pending = append(pending, *l)
		case verdictCrash:
			crashes[l.run] = crashes[l.run].add(l, evidence)
		case verdictNoCrash:
			p.addLossDecision(EventNoCrash, u, l, evidence)
		}
	}
	if len(pending) == len(u.losses) {
		u.losses = pending // judge may have changed them
		return
	}
	u.losses = slices.DeleteFunc(pending, func(l loss) bool { _, counted := crashes[l.run]; return counted })
	p.markUnitDirty(u)
	p.changed = true
	for _, run := range slices.Sorted(maps.Keys(crashes)) {
		p.countCrash(u, crashes[run])
	}
	if len(u.losses) == 0 && u.crashes == 0 {
		p.setSuspect(u, false)
	}
}

// judge says what a loss is known to be, and why.
func (p *Planner) judge(u *unit, l *loss, atAddress map[string]*worker) (outcome verdict, evidence string) {
	if l.answered {
		return verdictNoCrash, "it answers with the incarnation it had"
	}
	if back, evidence := p.returned(l, atAddress); back != 0 {
		if !p.readyToJudge(l, back) {
			return verdictPending, ""
		}
		if place := p.lostTogether(u, l, back, atAddress); place != "" {
			return verdictNoCrash, "it was lost with its " + place
		}
		return verdictCrash, evidence
	}
	w := p.workers[l.worker]
	if p.now.Before(p.awaySince(w, l).Add(lostForGood)) {
		return verdictPending, ""
	}
	if w != nil && w.registered {
		return verdictNoCrash, "it is registered with the incarnation it had"
	}
	if l.unplaced() {
		return verdictNoCrash, "it is not known what else was lost with it"
	}
	if place := p.lostTogether(u, l, 0, atAddress); place != "" {
		return verdictNoCrash, "it was lost with its " + place
	}
	return verdictCrash, "it has stayed away"
}

// returned returns the incarnation as which a lost worker has come back, 0 if it has not,
// and how that is known.
func (p *Planner) returned(l *loss, atAddress map[string]*worker) (incarnation int64, evidence string) {
	w := p.workers[l.worker]
	if w != nil && max(w.Incarnation, w.reportedIncarnation) > l.incarnation {
		return max(w.Incarnation, w.reportedIncarnation), "it has restarted"
	}
	if w != nil && w.registered {
		return 0, ""
	}
	next := atAddress[l.address]
	if next != nil && l.address != "" && next.Incarnation > l.incarnation && (l.unplaced() || next.Rack == l.rack) {
		l.rack, l.domain = next.Rack, next.Domain
		return next.Incarnation, "worker " + next.ID + " is at its address now"
	}
	return 0, ""
}

// readyToJudge reports whether those that were lost with a worker have had the time to
// register, too. The monotonic clock limits the wait if the time of day is wrong.
func (p *Planner) readyToJudge(l *loss, incarnation int64) bool {
	if p.wall.UnixMilli()-incarnation >= companionWait.Milliseconds() {
		return true
	}
	if l.judgeAt.IsZero() {
		l.judgeAt = p.now.Add(companionWait)
	}
	p.wakeBy(l.judgeAt)
	return !p.now.Before(l.judgeAt)
}

// awaySince returns since when a lost worker has been away.
func (p *Planner) awaySince(w *worker, l *loss) time.Time {
	if w != nil && !w.registered && !w.goneSince.IsZero() && w.goneSince.Before(l.since) {
		return w.goneSince
	}
	return l.since
}

// lostTogether returns the place, rack or failure domain, of which all other workers have
// been lost with a worker, "" if there is none. back is the incarnation as which the worker
// has come back, 0 if it has not. Workers that the same run has lost do not speak for the
// place.
func (p *Planner) lostTogether(u *unit, l *loss, back int64, atAddress map[string]*worker) string {
	if p.allLost(u, l, back, atAddress, func(w *worker) bool { return w.Domain == l.domain && w.Rack == l.rack }) {
		return "rack"
	}
	if p.allLost(u, l, back, atAddress, func(w *worker) bool { return w.Domain == l.domain }) {
		return "failure domain"
	}
	return ""
}

func (p *Planner) allLost(u *unit, l *loss, back int64, atAddress map[string]*worker, inPlace func(*worker) bool) bool {
	own := map[string]bool{}
	for i := range u.losses {
		if u.losses[i].run == l.run {
			own[u.losses[i].address] = true
		}
	}
	companions := 0
	for _, w := range p.workers {
		if !inPlace(w) || own[w.Address] {
			continue
		}
		switch {
		case w.registered && l.restartedWith(back, w.Incarnation):
			companions++
		case w.registered:
			return false
		case atAddress[w.Address] == nil && w.goneSince.Add(companionSpan).After(p.awaySince(p.workers[l.worker], l)):
			companions++
		}
	}
	return companions >= minCompanions
}

// restartedWith reports whether a worker with that incarnation has been restarted with the
// lost one, which has come back as another one, or, if back is 0, since the loss.
func (l *loss) restartedWith(back, incarnation int64) bool {
	if back == 0 {
		return incarnation > l.lostAt-crashClockSlack.Milliseconds()
	}
	from := max(min(l.lostAt, back)-crashClockSlack.Milliseconds(), back-companionSpan.Milliseconds())
	return incarnation > l.incarnation && incarnation >= from && incarnation <= back+companionSpan.Milliseconds()
}
