package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// EventEnded is the event of decisions that report the end of a run.
const EventEnded = "ended"

const (
	// quarantineTime is how long a worker is in quarantine for each failure since a task
	// was last done there.
	quarantineTime = 6 * time.Second
	// maxQuarantine is the longest quarantine. A unit avoids a worker that has failed it
	// for as long.
	maxQuarantine = 24 * time.Second
	// stopResendInterval is the time after which a stop without effect is sent again.
	stopResendInterval = 700 * time.Millisecond
)

// notListed is the reason for the end of a run that its worker does not list any more.
const notListed = "the worker does not list it"

// NextPoll returns the number of a new poll of a worker; polls of all workers share one
// sequence. Replies may arrive out of order, and a reply proves nothing about runs that
// were confirmed after its poll was sent.
func (p *Planner) NextPoll() int64 {
	p.lastPoll++
	return p.lastPoll
}

// HandlePollReply handles a worker's reply to the poll with that number: the runs in
// progress there and those that have ended.
func (p *Planner) HandlePollReply(id string, reply *yuccapaddle.HoldReply, poll int64) {
	w := p.worker(id)
	if w.reportedIncarnation != reply.Incarnation {
		p.noteRestart(w, reply.Incarnation)
	}
	for i := range reply.Ended {
		if reply.Ended[i].Number <= w.appliedEnd {
			continue
		}
		p.handleEnd(w, &reply.Ended[i])
		w.appliedEnd = reply.Ended[i].Number
	}
	running := make(map[yuccapaddle.TaskID]bool, len(reply.Running))
	for i := range reply.Running {
		running[reply.Running[i].Task] = true
		p.observeRun(w, &reply.Running[i])
	}
	if !reply.Truncated {
		p.clearOrphans(w, running, poll)
		p.handleMissing(w, running, poll)
	}
	p.adjustPaces(w, reply.Running)
	p.clearAnswered(w, poll)
	w.silentSince, w.answeredAt = time.Time{}, p.now
	w.noteAddress()
	p.clearLeaving(w)
	p.noteProof(w)
	p.planLook(w)
}

// noteRestart records that a worker has restarted. Confirmed runs that it no longer lists
// are ended by handleMissing. Starts in flight may reach the restarted worker and need
// no special handling.
func (p *Planner) noteRestart(w *worker, incarnation int64) {
	if w.reportedIncarnation != 0 {
		p.addDecision(yuccapaddle.Decision{Event: "worker restarted", Worker: w.ID})
	}
	w.reportedIncarnation, w.appliedEnd, w.withheld, w.answeredAddress = incarnation, 0, nil, ""
}

// assignments returns a copy of the worker's runs, which may be changed while it is iterated, in
// the order of their tasks.
func (w *worker) assignments() []assignment {
	list := make([]assignment, 0, len(w.runs))
	for _, x := range w.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, assignment.compare)
	return list
}

// observeRun handles a run that a worker lists as in progress. It stops a run that no unit
// expects there.
func (p *Planner) observeRun(w *worker, r *yuccapaddle.Run) {
	x, ok := w.runs[r.Task]
	if !ok || x.u.run != r.Run {
		if _, known := w.orphans[r.Task]; !known {
			p.addDecision(yuccapaddle.Decision{Event: "orphan run", Task: r.Task.String(), Worker: w.ID, Run: r.Run})
		}
		w.orphans[r.Task] = p.lastPoll
		p.batch.Stops = append(p.batch.Stops, yuccapaddle.RunStop{Worker: w.ID, Task: r.Task, Run: r.Run})
		return
	}
	m := &x.u.members[x.member]
	p.noteReport(x.u, m, r)
	m.noteCarriedOut()
	m.reported, m.adopted, m.kept, m.incarnation = true, false, false, w.reportedIncarnation
	p.confirmRun(m)
	p.noteSettled(x.u, m)
	if m.firstAt.IsZero() {
		m.firstPercent, m.firstAt = r.Percent, p.now
	}
	if r.Percent != m.percent {
		m.percent, m.progressAt = r.Percent, p.now
	}
	if r.Checkpoint != "" {
		x.u.checkpoint = r.Checkpoint
	}
	p.markJobRunning(x.u)
}

// orphanTasks returns the tasks of which a worker lists a run that no unit expects there.
func (p *Planner) orphanTasks() map[yuccapaddle.TaskID]bool {
	tasks := map[yuccapaddle.TaskID]bool{}
	for _, w := range p.workers {
		for t := range w.orphans {
			tasks[t] = true
		}
	}
	return tasks
}

// runsAmong reports whether one of the unit's tasks is among the tasks.
func (u *unit) runsAmong(tasks map[yuccapaddle.TaskID]bool) bool {
	if len(tasks) == 0 {
		return false
	}
	for i := range u.width() {
		if tasks[u.taskID(i)] {
			return true
		}
	}
	return false
}

// clearOrphans removes the orphans that a poll sent after they were seen no longer lists.
func (p *Planner) clearOrphans(w *worker, running map[yuccapaddle.TaskID]bool, poll int64) {
	for t, seenAtPoll := range w.orphans {
		if !running[t] && poll > seenAtPoll {
			delete(w.orphans, t)
			p.changed = true
		}
	}
}

// confirmRun records that the worker has answered for the run: it has it, has had it or
// has confirmed its stop. A later poll that does not list the run proves that it is not
// in progress.
func (p *Planner) confirmRun(m *member) {
	m.unsent = false
	if !m.confirmed {
		m.confirmed, m.confirmedPoll = true, p.lastPoll
	}
}

// markJobRunning moves the unit's job from queued to running.
func (p *Planner) markJobRunning(u *unit) {
	if u.job.state == yuccapaddle.JobQueued {
		u.job.state = yuccapaddle.JobRunning
		p.markDirty(u.job)
	}
}

// handleMissing ends confirmed runs that a worker does not list any more, unless their starts may
// be carried out late, and has startUnsent handle runs that a former host placed there and may
// not have started.
func (p *Planner) handleMissing(w *worker, running map[yuccapaddle.TaskID]bool, poll int64) {
	var unsent, vanished, lost []assignment
	for _, x := range w.assignments() {
		m := &x.u.members[x.member]
		restarted := w.restartedUnder(m)
		switch {
		case running[x.u.taskID(x.member)] || poll <= m.confirmedPoll:
			continue
		case m.confirmed && !restarted && (m.kept || p.mayRestartLate(w, x)):
			p.keep(x, notListed)
			continue
		case m.confirmed || m.adopted && restarted:
			vanished = append(vanished, x)
		case m.adopted && !x.u.stopping:
			unsent = append(unsent, x)
		}
		if restarted {
			lost = append(lost, x)
		}
	}
	p.noteLosses(w, lost)
	for _, x := range vanished {
		t := x.u.taskID(x.member)
		p.addDecision(yuccapaddle.Decision{Event: "run vanished", Job: t.Job, Task: t.String(), Worker: w.ID, Run: x.u.run})
		p.endMember(w, x.u, x.member, notListed)
	}
	p.startUnsent(w, unsent)
}

// startUnsent starts the runs that a former host placed on a worker and that the worker
// does not have. The former host may have failed between the transactions of one batch:
// the records can then give a run the room of another one whose end they do not contain.
// Runs that do not fit are stopped; of equal priority, the jobs accepted last go first.
func (p *Planner) startUnsent(w *worker, unsent []assignment) {
	if len(unsent) == 0 {
		return
	}
	slices.SortFunc(unsent, func(a, b assignment) int {
		return cmp.Or(cmp.Compare(p.priority(a.u.job), p.priority(b.u.job)), cmp.Compare(b.u.job.spec.Accepted, a.u.job.spec.Accepted),
			cmp.Compare(a.u.taskID(a.member).String(), b.u.taskID(b.member).String()))
	})
	free := w.free()
	for _, x := range unsent {
		free = free.Add(x.u.stepSpec().Room())
	}
	for _, x := range unsent {
		// The reply proves that the worker refuses what the former host may have sent.
		x.u.members[x.member].adopted, x.u.members[x.member].unsent = false, true
		if x.u.stopping { // because of another of its members
			continue
		}
		if x.u.job.spec.Once {
			p.stop(x.u, "a former host may have started it")
			continue
		}
		if !p.quotaAllows(x.u) {
			p.stop(x.u, "its workspace's quota has been lowered")
			continue
		}
		if room := x.u.stepSpec().Room(); room.Fits(free) {
			free = free.Sub(room)
			p.permitStarts(x.u)
			p.resendStart(w, x)
			continue
		}
		p.stop(x.u, "its room on worker "+w.ID+" was given to another")
	}
}

// handleEnd handles the end of a run that a worker reports.
func (p *Planner) handleEnd(w *worker, e *yuccapaddle.End) {
	j := p.jobs[e.Task.Job]
	if j == nil {
		return
	}
	x, ok := w.runs[e.Task]
	if !ok || x.u.run != e.Run {
		p.addDecision(yuccapaddle.Decision{Event: "old run ended", Job: e.Task.Job, Task: e.Task.String(), Worker: w.ID, Run: e.Run, Detail: string(e.Cause)})
		if u := j.unitOf(e.Task); u != nil {
			p.withholdAck(w, u, e)
		}
		return
	}
	u := x.u
	p.addDecision(yuccapaddle.Decision{Event: EventEnded, Job: e.Task.Job, Task: e.Task.String(), Worker: w.ID, Run: e.Run, Detail: string(e.Cause)})
	if e.Checkpoint != "" {
		u.checkpoint = e.Checkpoint
	}
	u.members[x.member].noteCarriedOut()
	p.withholdAck(w, u, e)
	p.markJobRunning(u)
	switch e.Cause {
	case yuccapaddle.EndDone:
		p.setSuspect(u, false)
		p.noteRunTime(x)
		u.succeeded = !u.stepSpec().Endless
		w.strikes = 0
		w.quarantinedUntil, w.stalledUntil = time.Time{}, time.Time{}
		if u.placedAt.After(w.lastGoodStart) {
			w.lastGoodStart = u.placedAt
		}
	case yuccapaddle.EndFailed:
		p.countFailure(w, u)
		p.setSuspect(u, false)
	}
	if e.Cause != yuccapaddle.EndDone && p.mayRestartLate(w, x) {
		p.keep(x, string(e.Cause))
		return
	}
	p.endMember(w, u, x.member, string(e.Cause))
}

// countFailure counts the current run as a failure of the unit, once for all its members,
// quarantines the worker and has the unit avoid it.
func (p *Planner) countFailure(w *worker, u *unit) {
	if !u.failureCounted {
		u.failureCounted = true
		u.failures++
		p.markUnitDirty(u)
	}
	p.quarantine(w)
	p.avoidWorker(u, w.ID)
}

// quarantine records a failure of a worker and puts it in quarantine; repeated failures
// prolong it.
func (p *Planner) quarantine(w *worker) {
	p.recordFailure(w)
	w.strikes++
	w.quarantinedUntil = p.now.Add(min(quarantineTime*time.Duration(w.strikes), maxQuarantine))
}

// avoidWorker keeps a unit off a worker for maxQuarantine.
func (p *Planner) avoidWorker(u *unit, id string) {
	if u.avoidUntil == nil {
		u.avoidUntil = map[string]time.Time{}
	}
	u.avoidUntil[id] = p.now.Add(maxQuarantine)
}

// endMember records the end of a member and frees its room. It stops the other members of
// a gang unless one has succeeded. Once all have ended, a unit that is not done waits
// again.
func (p *Planner) endMember(w *worker, u *unit, i int, reason string) {
	m := &u.members[i]
	if m.ended {
		return
	}
	m.ended = true
	p.noteLate(assignment{u, i})
	w.removeRun(u, i)
	p.changed = true
	if u.suspect {
		p.suspectHosts = nil
	}
	p.markUnitDirty(u)
	if u.live() {
		if !u.succeeded && !u.stopping && u.stepSpec().Gang {
			p.stop(u, "a member has ended: "+reason)
		}
		p.markDoneIfSucceeded(u)
		return
	}
	p.markDoneIfSucceeded(u)
	if u.succeeded {
		return
	}
	u.mayHaveStartedBefore = u.mayHaveStartedBefore || u.mayHaveStarted()
	u.state, u.stopping, u.failureCounted, u.members = unitWaiting, false, false, nil
	u.waitingSince = p.now
	if u.job.state.Final() {
		return
	}
	u.lastEndReason = reason
	p.failIfExhausted(u)
}

// failIfExhausted fails the job of a unit that may not run again, and reports whether it
// has. The job may run only once and an earlier run may have started, or the unit crashes
// its workers, or it has used up the attempts of its queue.
func (p *Planner) failIfExhausted(u *unit) bool {
	if u.job.spec.Once && u.mayHaveStartedBefore {
		u.job.reason = "task " + u.taskID(0).String() + " may have run and is not repeatable: " + u.lastEndReason
		p.finish(u.job, yuccapaddle.JobFailed)
		return true
	}
	if p.failIfCrashing(u) {
		return true
	}
	terms, _ := p.rules.TermsOf(u.job.spec)
	if terms.Attempts <= 0 || u.failures < terms.Attempts || u.stepSpec().Endless {
		return false
	}
	u.job.reason = "task " + u.taskID(0).String() + " has failed " + itoa(u.failures) + " times"
	p.finish(u.job, yuccapaddle.JobFailed)
	return true
}

// markDoneIfSucceeded marks a unit as done once a member has succeeded.
func (p *Planner) markDoneIfSucceeded(u *unit) {
	if u.succeeded && u.state != unitDone {
		u.markDone()
		p.completeIfDone(u.job)
	}
}

// HandleLeaseExpiry handles the expiry of every lease that a silent worker can hold: none of its
// runs can be in progress any more, unless a start is carried out late. It is called again for
// as long as the worker is silent and busy.
func (p *Planner) HandleLeaseExpiry(id string) {
	w := p.worker(id)
	late := func(x assignment) bool { return p.mayRunLate(w, x) }
	runs := slices.DeleteFunc(w.assignments(), late)
	if len(runs) > 0 {
		p.addDecision(yuccapaddle.Decision{Event: "leases over", Worker: id})
	}
	p.noteLosses(w, runs)
	for _, x := range runs {
		p.endMember(w, x.u, x.member, "the lease is over")
	}
	p.changed = p.changed || len(w.orphans) > 0
	clear(w.orphans)
}
