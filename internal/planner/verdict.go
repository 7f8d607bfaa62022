package planner

import "time"

// The verdict on a loss rests on the registrations and the answers of workers alone, so that
// each host comes to the same one.

const (
	// companionWait is how long after the return of a worker others of its rack and failure
	// domain may still register, before its loss is judged.
	companionWait = 1500 * time.Millisecond
	// companionSpan is the longest time between the restarts of workers that were lost
	// together.
	companionSpan = 3 * time.Second
	// companionAbsence is the longest that workers are away which were lost together with one
	// that has not come back.
	companionAbsence = 10 * time.Second
	// crashClockSlack allows for the difference between clocks when a restart is compared
	// with the time of a loss.
	crashClockSlack = time.Second
	// minCompanions is how many other workers of a rack or failure domain have to be lost
	// with a worker for its loss to be that of the rack or failure domain.
	minCompanions = 2
	// A worker is lost in a crowd if minCrowd others, and one in crowdShare of all, are lost
	// with it.
	minCrowd   = 4
	crowdShare = 10
	// lostForGood is how long a worker has to be away without having come back for its loss
	// to count as a crash.
	lostForGood = goneRetention
)

// verdict is what a loss has turned out to be.
type verdict int

const (
	verdictPending verdict = iota
	verdictCrash
	verdictNoCrash
)

// finding is what is known of a loss.
type finding struct {
	outcome     verdict
	evidence    string
	crowd       bool // many other workers were lost at the same time
	beforeStart bool // the worker seems to have restarted before the start
}

// judge says what is known of a loss.
func (p *Planner) judge(u *unit, l *loss, atAddress map[string]*worker) finding {
	if l.answered {
		return finding{outcome: verdictNoCrash, evidence: "it answers with the incarnation it had"}
	}
	back, evidence := p.returned(l, atAddress)
	w := p.workers[l.worker]
	switch {
	case back != 0 && !p.readyToJudge(l, back):
		return finding{}
	case back != 0:
	case p.now.Before(p.awaySince(w, l).Add(lostForGood)):
		return finding{}
	case w != nil && w.registered:
		return finding{outcome: verdictNoCrash, evidence: "it is registered with the incarnation it had"}
	case l.unplaced():
		return finding{outcome: verdictNoCrash, evidence: "it is not known what else was lost with it"}
	default:
		evidence = "it has stayed away"
	}
	l.away = back == 0
	lost := p.lostWith(u, l, back, atAddress)
	if place := lost.place(l); place != "" && !l.recent {
		l.away = false
		return finding{outcome: verdictNoCrash, evidence: "it was lost with its " + place}
	}
	return finding{outcome: verdictCrash, evidence: evidence, crowd: lost.crowd(), beforeStart: back != 0 && back < l.placedAt}
}

// returned returns the incarnation as which a lost worker has come back, 0 if it has not,
// and how that is known. If its rack and failure domain are unknown, those of the worker
// that is at its address now become the loss's.
func (p *Planner) returned(l *loss, atAddress map[string]*worker) (incarnation int64, evidence string) {
	w := p.workers[l.worker]
	if w != nil && p.provenIncarnation(w) > l.incarnation {
		return p.provenIncarnation(w), "it has restarted"
	}
	if w != nil && w.registered {
		return 0, ""
	}
	next := atAddress[l.address]
	if next != nil && l.address != "" && next.Incarnation > l.incarnation && (l.unplaced() || next.Rack == l.rack) {
		if !p.requestProofs([]string{next.ID}) {
			p.awaitProof(l)
			return 0, ""
		}
		l.rack, l.domain = next.Rack, next.Domain
		return next.Incarnation, "worker " + next.ID + " is at its address now"
	}
	return 0, ""
}

// awaitProof has the judgement of a loss wait until the worker at the lost one's address has
// proved itself, as long as for others that were lost with it.
func (p *Planner) awaitProof(l *loss) {
	if l.judgeAt.IsZero() {
		l.judgeAt = p.now.Add(companionWait)
	}
	p.wakeBy(l.judgeAt)
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

// others are the workers other than a lost one, without those that the same run has lost:
// they do not speak for another cause than the run.
type others struct {
	lost, living []*worker
}

// lostWith returns the others, divided by whether they were lost at the same time. back is
// the incarnation as which the lost worker has come back, 0 if it has not.
func (p *Planner) lostWith(u *unit, l *loss, back int64, atAddress map[string]*worker) others {
	var o others
	own := u.addressesOf(l.run)
	since := p.awaySince(p.workers[l.worker], l)
	for _, w := range p.workers {
		switch {
		case own[w.Address]:
		case w.registered && l.restartedWith(back, w.Incarnation):
			o.lost = append(o.lost, w)
		case w.registered:
			o.living = append(o.living, w)
		case atAddress[w.Address] == nil && w.goneSince.Sub(since).Abs() <= companionSpan:
			o.lost = append(o.lost, w)
		}
	}
	return o
}

// place returns the place around a lost worker, rack or failure domain, of which all others
// have been lost, too, "" if there is none.
func (o *others) place(l *loss) string {
	inRack := func(w *worker) bool { return w.Domain == l.domain && w.Rack == l.rack }
	inDomain := func(w *worker) bool { return w.Domain == l.domain }
	switch {
	case count(o.living, inRack) == 0 && count(o.lost, inRack) >= minCompanions:
		return "rack"
	case count(o.living, inDomain) == 0 && count(o.lost, inDomain) >= minCompanions:
		return "failure domain"
	}
	return ""
}

// crowd reports whether many workers were lost at the same time, more than a task does.
func (o *others) crowd() bool {
	return len(o.lost) >= minCrowd && len(o.lost)*crowdShare >= len(o.lost)+len(o.living)
}

// count returns how many workers meet the condition.
func count(list []*worker, condition func(*worker) bool) int {
	n := 0
	for _, w := range list {
		if condition(w) {
			n++
		}
	}
	return n
}

// addressesOf returns the addresses of the workers of a run, as far as they are known.
func (u *unit) addressesOf(run int) map[string]bool {
	list := map[string]bool{}
	for i := range u.losses {
		if u.losses[i].run == run {
			list[u.losses[i].address] = true
		}
	}
	if run == u.run {
		for i := range u.members {
			list[u.members[i].address] = true
		}
	}
	return list
}

// restartedWith reports whether a worker with that incarnation was restarted when the lost
// one was: it has come back as back, or, if that is 0, it has not.
func (l *loss) restartedWith(back, incarnation int64) bool {
	from, until := l.lostAt-crashClockSlack.Milliseconds(), l.lostAt+companionAbsence.Milliseconds()
	if back != 0 {
		from = max(min(l.lostAt, back)-crashClockSlack.Milliseconds(), back-companionSpan.Milliseconds())
		until = back + companionSpan.Milliseconds()
	}
	return incarnation > l.incarnation && incarnation >= from && incarnation <= until
}
