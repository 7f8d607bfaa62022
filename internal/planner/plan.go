package planner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"yuccapaddle"
)

const (
	// stallTimeout is how long a run may make no progress before it is stopped and its
	// unit placed elsewhere. With PlanLimits.LearnStalls, runs may be stopped before.
	stallTimeout = 3500 * time.Millisecond
	// tickInterval is the time between two calls of tick.
	tickInterval = 100 * time.Millisecond
)

// Plan handles what has become due by the time set with SetTime and, if anything relevant
// has changed, places waiting units.
func (p *Planner) Plan() {
	if !p.wakeAt.IsZero() && !p.now.Before(p.wakeAt) {
		p.wakeAt = time.Time{}
		p.changed = true
	}
	if !p.now.Before(p.nextTick) {
		p.tick()
	}
	p.settleLosses()
	if !p.changed {
		return
	}
	p.changed = false
	p.recordUrgentDemand()
	p.placeWaiting()
}

// tick handles what becomes due by the passage of time alone: occurrences, stops to
// resend, stalled runs, runs on workers that leave, and expired jobs.
func (p *Planner) tick() {
	for _, j := range p.jobsToCheck() {
		if j.expectsOccurrence() {
			p.openOccurrences(j)
		}
		if j.busy() {
			p.checkRuns(j)
		}
	}
	p.moveLeaving()
	p.forgetSuspects()
	p.removeExpired()
	p.nextTick = p.now.Add(tickInterval)
	p.wakeBy(p.nextTick)
}

// jobsToCheck lists the jobs that tick checks by ID: what is decided of one may depend on those
// before it, as with several runs that stand still on one worker.
func (p *Planner) jobsToCheck() []*job {
	var list []*job
	for _, j := range p.jobs {
		if j.expectsOccurrence() || j.busy() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return list
}

// expectsOccurrence reports whether an occurrence of the job has not been opened yet.
func (j *job) expectsOccurrence() bool {
	return !j.state.Final() && j.openedOccurrences < j.spec.Occurrences()
}

// checkRuns resends stops that have had no effect, and stops stalled runs. Endless tasks
// and those that may run only once are not checked for progress.
func (p *Planner) checkRuns(j *job) {
	for _, u := range j.units {
		switch {
		case !u.live():
		case u.stopping:
			p.releaseKept(u)
			if p.now.Sub(u.stopSentAt) > stopResendInterval {
				p.stop(u, "the stop has had no effect yet")
			}
		case u.state == unitPlaced && !u.stepSpec().Endless && !u.job.spec.Once:
			p.stopStalled(u)
		}
		p.clearTrusted(u)
	}
}

// stopStalled stops a unit if one of its tasks has made no progress for stallTimeout, or
// stands still by what is learned of its run time, and quarantines that task's worker.
func (p *Planner) stopStalled(u *unit) {
	i, ok := p.stalledMember(u)
	if !ok {
		return
	}
	w := p.worker(u.members[i].worker)
	p.quarantine(w)
	p.avoidWorker(u, w.ID)
	p.noteStall(w, u)
	p.stop(u, "task "+u.taskID(i).String()+" stands still")
}

// placeWaiting places the waiting units in order. Consecutive single tasks of one step
// need the same and are placed in one pass. Once a single unit of a step could not be
// placed, others of the step that keep off no workers are skipped for this round.
func (p *Planner) placeWaiting() {
	p.workspaceNeeds = nil
	p.quotas.ReleaseReserved()
	p.reserveOrphans()
	p.quotaWaits, p.quotaVictims, p.unplaceable = map[stepKey]bool{}, map[string]*quotaVictims{}, map[stepKey]bool{}
	list := p.waitingUnits()
	if weights := p.weights(); len(weights) > 0 {
		p.placeByShare(list, weights)
		return
	}
	p.placeInOrder(list)
}

// placeInOrder places waiting units one after the other.
func (p *Planner) placeInOrder(list []*unit) {
	for i := 0; i < len(list); {
		u := list[i]
		n := countSimilar(list[i:])
		i += n
		if u.job.state.Final() || p.failIfExhausted(u) {
			continue
		}
		if n > 1 {
			p.placeSimilar(list[i-n : i])
			continue
		}
		if p.unplaceable[u.key()] && !u.choosy() {
			continue
		}
		switch {
		case p.tryPlace(u):
		case p.awaitsProof(u):
			p.reserveClaimed(u)
		default:
			p.unplaceable[u.key()] = p.unplaceable[u.key()] || !u.suspect
			p.noteWait(u)
			p.reserveClaimed(u)
		}
	}
}

// countSimilar returns how many units at the head of a list can be placed in one pass:
// single tasks of one step that are not urgent and may all go to the same workers. It
// is at least 1.
func countSimilar(list []*unit) int {
	batchable := func(u *unit) bool {
		return !u.stepSpec().Gang && !u.choosy() && u.claim == nil && u.failures == 0 && u.job.priority != 0
	}
	n := 0
	for n < len(list) && batchable(list[n]) && list[n].key() == list[0].key() {
		n++
	}
	return max(n, 1)
}

// placeSimilar places as many as it can of the units that countSimilar counted.
func (p *Planner) placeSimilar(list []*unit) {
	n := min(len(list), p.quotaFitting(list[0]))
	var workers []string
	if n > 0 {
		workers = p.pickUpTo(list[0], n, p.claimedRoom())
	}
	for i, id := range workers {
		p.place(list[i], []string{id})
	}
	if len(workers) < len(list) {
		next := list[len(workers)]
		if !p.reserveOrPreempt(next) {
			p.requestAdvice(next)
		}
		p.noteWait(next)
	}
}

func (u *unit) key() stepKey {
	return stepKey{u.job.spec.ID, u.occurrence, u.stepIndex}
}

// noteWait logs what a unit waits for, once until it is placed.
func (p *Planner) noteWait(u *unit) {
	if u.waitNoted {
		return
	}
	u.waitNoted = true
	detail := p.quotaWait(u)
	if detail == "" {
		detail = p.neededRoom(u)
	}
	p.addDecision(yuccapaddle.Decision{
		Event: "waits", Job: u.job.spec.ID, Task: u.taskID(0).String(), Run: u.run, Detail: detail,
	})
}

// stepKey identifies a step of one occurrence among all jobs.
type stepKey struct {
	job        string
	occurrence int
	step       int
}

// waitingUnits lists the units that are ready to be placed and of which no worker lists a run,
// by priority with urgent jobs first, then by the cost of a delay if the settings ask for that, then by the time when the
// job was accepted. It updates the jobs' priority.
func (p *Planner) waitingUnits() []*unit {
	var list []*unit
	listed := p.orphanTasks()
	for _, j := range p.jobs {
		if j.state.Final() {
			continue
		}
		j.priority = p.priority(j)
		for _, u := range j.units {
			if u.state == unitWaiting && u.ready() && !u.runsAmong(listed) {
				p.forgetAvoided(u)
				list = append(list, u)
			}
		}
	}
	slices.SortFunc(list, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.job.priority, b.job.priority),
			cmp.Compare(a.job.spec.Accepted, b.job.spec.Accepted),
			a.compare(b),
		)
	})
	p.orderByDelayCost(list)
	return list
}

// compare orders units by the ID of their task.
func (u *unit) compare(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.job.spec.ID, v.job.spec.ID),
		cmp.Compare(u.occurrence, v.occurrence),
		cmp.Compare(u.stepIndex, v.stepIndex),
		cmp.Compare(u.taskIndex, v.taskIndex),
	)
}

// priority returns the priority of the job: 0 is urgent, and a higher number gives way to a
// lower one.
func (p *Planner) priority(j *job) int {
	terms, _ := p.rules.TermsOf(j.spec)
	return terms.Priority
}

// service returns the service whose workers run the job. After its queue has been removed it
// is the one that the job keeps.
func (p *Planner) service(j *job) string {
	if q := p.rules.Queue(j.spec.Queue); q != nil {
		return q.Service
	}
	return j.spec.Service
}

// keepTerms has the jobs of queues that the next rules do not name keep the terms and the
// service that they have had last. What differs from a job's record is committed, so that
// every later host goes by the same.
func (p *Planner) keepTerms(next *yuccapaddle.Rules) {
	for _, j := range p.jobs {
		q := p.rules.Queue(j.spec.Queue)
		if q == nil || next.Queue(j.spec.Queue) != nil || j.state.Final() {
			continue
		}
		terms := q.Terms()
		if j.spec.Terms != nil && *j.spec.Terms == terms && j.spec.Service == q.Service {
			continue
		}
		j.spec.Terms, j.spec.Service = &terms, q.Service
		j.specChanged = true
		p.markDirty(j)
	}
}

// tryPlace places a unit and reports whether it has. If there is no room it requests
// advice, and preempts other units for an urgent one.
func (p *Planner) tryPlace(u *unit) bool {
	if p.mayBeGivenUp(u) {
		return false
	}
	if p.reserveOrPreempt(u) {
		return false
	}
	if u.claim != nil {
		return p.tryPlaceClaimed(u)
	}
	if u.suspect {
		if placed, done := p.tryPlaceSuspect(u); done {
			return placed
		}
	}
	workers := p.pick(u, p.claimedRoom(), companyTrusted)
	if workers == nil {
		workers = p.pickReluctantly(u)
	}
	if workers == nil {
		p.requestAdvice(u)
		return p.preempt(u)
	}
	return p.place(u, workers)
}

// tryPlaceClaimed places a unit on the workers of its claim once all have room and are proven.
// It drops the claim and places the unit anew if a worker has become unusable or will lack
// room even once what is being stopped has ended, or if room or a proof is still missing after
// claimTimeout.
func (p *Planner) tryPlaceClaimed(u *unit) bool {
	taken, tasks := map[string]yuccapaddle.Need{}, map[string]int{}
	for _, id := range u.claim {
		w := p.workers[id]
		tasks[id]++
		if w == nil || !p.usable(w) || !p.compatible(u, w) || p.suspectBeside(u, w) || p.beyondLimit(u, w, tasks[id]) {
			u.claim = nil
			return p.tryPlace(u)
		}
		taken[id] = taken[id].Add(u.stepSpec().Room())
		if !taken[id].Fits(w.free()) {
			if p.now.Sub(u.claimedAt) > claimTimeout || !taken[id].Fits(w.freeOnceStopped()) {
				u.claim = nil
				return p.tryPlace(u)
			}
			return false
		}
	}
	workers := u.claim
	if !p.requestProofs(workers) && p.now.Sub(u.claimedAt) <= claimTimeout {
		return false
	}
	u.claim = nil
	return p.place(u, workers)
}

// beyondLimit reports whether so many tasks of a unit on a worker are more than its step's
// PerWorker limit allows.
func (p *Planner) beyondLimit(u *unit, w *worker, tasks int) bool {
	left := p.perWorkerLeft(u, w)
	return left != 0 && tasks > left
}

// claimedRoom returns the room on each worker that is kept for units with a claim.
func (p *Planner) claimedRoom() map[string]yuccapaddle.Need {
	claimed := map[string]yuccapaddle.Need{}
	for u := range p.claims {
		if u.claim == nil || u.job.state.Final() {
			delete(p.claims, u)
			continue
		}
		for _, id := range u.claim {
			claimed[id] = claimed[id].Add(u.stepSpec().Room())
		}
	}
	return claimed
}

// assign starts a new run of a unit on the workers, one for each member.
func (p *Planner) assign(u *unit, workers []string) {
	u.run++
	u.state, u.stopping, u.failureCounted = unitPlaced, false, false
	u.placedAt, u.placedAtMS, u.placedAtKnown = p.now, p.wall.UnixMilli(), true
	u.startedAt, u.resumed = p.now, u.checkpoint != ""
	p.permitStarts(u)
	u.waitNoted, u.placedAlone = false, false
	if u.suspect {
		p.suspectHosts = nil
	}
	u.members = make([]member, len(workers))
	for i, id := range workers {
		w := p.workers[id]
		u.members[i] = member{
			worker: id, incarnation: max(w.Incarnation, w.reportedIncarnation), address: w.Address, capacity: w.capacity(),
			progressAt: p.now, pace: fullPace, unsent: true,
		}
		w.addRun(u, i)
		p.batch.Starts = append(p.batch.Starts, p.startOrder(u, id, i))
		p.addDecision(yuccapaddle.Decision{
			Event: "placed", Job: u.job.spec.ID, Task: u.taskID(i).String(), Worker: id, Run: u.run,
			Detail: "waited " + strconv.FormatInt(p.now.Sub(u.waitingSince).Milliseconds(), 10) + " ms",
		})
	}
	p.markUnitDirty(u)
}

func itoa(n int) string { return strconv.Itoa(n) }
