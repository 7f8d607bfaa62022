package planner

import (
	"maps"
	"time"

	"yuccapaddle"
)

// Load pattern: a worker crashes shortly after several tasks were started there, and one
// of these is to blame. Placed beside others again, it takes these with it, and they look
// as guilty as it is. So the tasks that may have done it are suspects: each is placed
// where nothing else runs, and gets no company until it has ended or run for a while. To
// find such a place they wait no longer than callers notice.

const (
	// recentStart is how long before the loss of a worker a start there counts as its
	// possible cause.
	recentStart = 3 * time.Second
	// suspectWait is the longest that a suspect waits for a place where nothing else runs.
	suspectWait = 2 * time.Second
	// apartWait is the longest that a suspect waits, for each crash counted, for a place
	// without another suspect. Each of them that is tried alone takes trustedAfter.
	apartWait = 10 * time.Second
	// idleApartWait is the longest that any unit waits for a place without a suspect while
	// more than half of the workers' capacity is free, since suspects occupy whole workers.
	idleApartWait = 2500 * time.Millisecond
	// idleUtilization is the utilization below which that holds.
	idleUtilization = 0.5
	// trustedAfter is how long a suspect has to run before it is none any more.
	trustedAfter = 3 * time.Second
	// crashAvoidance is how long a unit keeps off a worker that has crashed under it and is
	// back.
	crashAvoidance = 10 * time.Second
)

// Events of decisions on suspects.
const (
	EventSuspectAlone   = "suspect alone"
	EventSuspectCleared = "suspect cleared"
)

// company says which workers a unit may be placed on, by what runs there.
type company int

const (
	companyNone    company = iota // where nothing runs
	companyTrusted                // where no other suspect runs
	// companyReturned also allows a worker that has crashed under the unit and is back.
	companyReturned
	companyAny
)

// suspectAfterLoss reports whether a unit may be to blame for the loss of a member's worker:
// it was started there shortly before, or the member has lost one in an earlier run, too.
func (p *Planner) suspectAfterLoss(u *unit, member int, w *worker) bool {
	if p.startedRecently(u, &u.members[member], w) || u.crashes[member].runs > 0 {
		return true
	}
	for i := range u.losses {
		if l := &u.losses[i]; l.member == member && l.run != u.run && l.outcome != verdictNoCrash {
			return true
		}
	}
	return false
}

// setSuspect makes a unit a suspect, or clears it.
func (p *Planner) setSuspect(u *unit, suspect bool) {
	if u.suspect == suspect {
		return
	}
	u.suspect = suspect
	p.suspectHosts = nil
	p.markUnitDirty(u)
	p.changed = true
	if suspect {
		p.suspects[u] = true
		return
	}
	delete(p.suspects, u)
	p.addDecision(yuccapaddle.Decision{Event: EventSuspectCleared, Job: u.job.spec.ID, Task: u.taskID(0).String(), Run: u.run})
}

// clearTrusted clears a suspect that has run for a while on workers that answer.
func (p *Planner) clearTrusted(u *unit) {
	if !u.suspect || u.state != unitPlaced || u.stopping || !u.running() || p.now.Sub(u.placedAt) < trustedAfter {
		return
	}
	for i := range u.members {
		if !p.worker(u.members[i].worker).silentSince.IsZero() {
			return
		}
	}
	p.setSuspect(u, false)
}

// forgetSuspects drops the suspects that will not run again.
func (p *Planner) forgetSuspects() {
	for u := range p.suspects {
		if !u.countsCrashes() && !u.live() {
			delete(p.suspects, u)
			p.suspectHosts = nil
		}
	}
}

// suspectsOn returns the suspects that may be running on a worker.
func (p *Planner) suspectsOn(id string) []*unit {
	if p.suspectHosts == nil {
		p.suspectHosts = map[string][]*unit{}
		for u := range p.suspects {
			for i := range u.members {
				if m := &u.members[i]; !m.ended {
					p.suspectHosts[m.worker] = append(p.suspectHosts[m.worker], u)
				}
			}
		}
	}
	return p.suspectHosts[id]
}

// suspectBeside reports whether a suspect other than the unit may be running on a worker.
func (p *Planner) suspectBeside(u *unit, w *worker) bool {
	for _, v := range p.suspectsOn(w.ID) {
		if v != u {
			return true
		}
	}
	return false
}

// suits reports whether what runs on a worker, or has room claimed there, is such company
// as a unit may have.
func (p *Planner) suits(u *unit, w *worker, claimed yuccapaddle.Need, c company) bool {
	switch c {
	case companyNone:
		return len(w.runs) == 0 && claimed == (yuccapaddle.Need{}) && !p.crashedUnder(u, w)
	case companyTrusted:
		return !p.suspectBeside(u, w) && !p.crashedUnder(u, w) && (!u.suspect || claimed == (yuccapaddle.Need{}))
	case companyReturned:
		return !p.suspectBeside(u, w) && (!u.suspect || claimed == (yuccapaddle.Need{}))
	}
	return true
}

// tryPlaceSuspect places a suspect where nothing else runs, and reports whether it is done
// with for this round: it has been placed, or it waits for such a place.
func (p *Planner) tryPlaceSuspect(u *unit) (placed, done bool) {
	if p.awaitsVerdict(u) {
		return false, true
	}
	if workers := p.pick(u, p.claimedRoom(), companyNone); workers != nil {
		if !p.requestProofs(workers) {
			return false, true
		}
		p.assign(u, workers)
		u.placedAlone = true
		p.addDecision(yuccapaddle.Decision{Event: EventSuspectAlone, Job: u.job.spec.ID, Task: u.taskID(0).String(), Worker: workers[0], Run: u.run})
		return true, true
	}
	p.requestAdvice(u)
	until := u.waitingSince.Add(suspectWait)
	if p.now.Before(until) && p.couldHold(u) {
		p.wakeBy(until)
		return false, true
	}
	return false, false
}

// pickReluctantly chooses workers for a unit that has found none that it likes: those that
// have crashed under it and are back, and once it has waited long enough also those of
// suspects.
func (p *Planner) pickReluctantly(u *unit) []string {
	if u.choosy() {
		if workers := p.pick(u, p.claimedRoom(), companyReturned); workers != nil {
			return workers
		}
	}
	if len(p.suspects) == 0 {
		return nil
	}
	wait, bounded := p.waitApart(u)
	if !bounded {
		return nil
	}
	if until := u.waitingSince.Add(wait); p.now.Before(until) {
		p.wakeBy(until)
		return nil
	}
	return p.pick(u, p.claimedRoom(), companyAny)
}

// waitApart returns how long a unit waits at most for a place without a suspect. Ordinary
// units wait as long as it takes while most of the capacity is in use.
func (p *Planner) waitApart(u *unit) (wait time.Duration, bounded bool) {
	switch {
	case u.stepSpec().Endless || p.idle():
		return idleApartWait, true
	case u.suspect:
		return apartWait * time.Duration(max(u.mostCrashes(), 1)), true
	}
	return 0, false
}

// idle reports whether more than half of the usable workers' capacity is free.
func (p *Planner) idle() bool {
	total, used := yuccapaddle.Need{}, yuccapaddle.Need{}
	for _, w := range p.workers {
		if p.usable(w) {
			total, used = total.Add(w.capacity()), used.Add(w.used)
		}
	}
	return utilization(used, total) < idleUtilization
}

// awaitsVerdict reports whether a unit is about to be given up or not: another crash of it
// will be counted within companionWait, or not.
func (p *Planner) awaitsVerdict(u *unit) bool {
	for i := range u.losses {
		l := &u.losses[i]
		if l.outcome == verdictPending && u.crashes[l.member].runs > 0 && p.now.Before(l.judgeAt) {
			p.wakeBy(l.judgeAt)
			return true
		}
	}
	return false
}

// avoidCrashed keeps a unit off the address of a worker that has crashed under it.
func (p *Planner) avoidCrashed(u *unit, l *loss) {
	if l.address == "" {
		return
	}
	if u.avoidAddresses == nil {
		u.avoidAddresses = map[string]time.Time{}
	}
	u.avoidAddresses[l.address] = p.now.Add(crashAvoidance)
}

// couldHold reports whether the workers that have not crashed under a unit could hold it if
// they were empty.
func (p *Planner) couldHold(u *unit) bool {
	tasks := 0
	for _, w := range p.workers {
		if p.usable(w) && p.eligible(u, w) && !p.crashedUnder(u, w) {
			tasks += tasksThatFit(u, u.width(), w.capacity(), u.stepSpec().PerWorker)
		}
	}
	return tasks >= u.width()
}

// crashedUnder reports whether a worker is at the address of one that has crashed under a
// unit of late, or may have done so under a suspect.
func (p *Planner) crashedUnder(u *unit, w *worker) bool {
	if p.now.Before(u.avoidAddresses[w.Address]) {
		return true
	}
	if u.suspect {
		for i := range u.losses {
			if l := &u.losses[i]; l.address != "" && l.address == w.Address {
				return true
			}
		}
	}
	return false
}

// forgetAvoided drops the workers and addresses that a unit has avoided for long enough.
func (p *Planner) forgetAvoided(u *unit) {
	expired := func(_ string, until time.Time) bool { return !p.now.Before(until) }
	maps.DeleteFunc(u.avoidUntil, expired)
	maps.DeleteFunc(u.avoidAddresses, expired)
}

// choosy reports whether there are workers that the unit keeps off and others of its step
// may not.
func (u *unit) choosy() bool {
	return u.suspect || len(u.avoidUntil) > 0 || len(u.avoidAddresses) > 0
}
