package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/quotakeeper"
)

// worker is the state of one worker. The embedded Worker is its latest registration, as far as
// that counts.
type worker struct {
	yuccapaddle.Worker
	registered bool // in the latest list of registrations
	used       yuccapaddle.Need
	quotas     *quotakeeper.QuotaKeeper          // counts the runs for their workspaces
	runs       map[yuccapaddle.TaskID]assignment // that may be in progress there
	// orphans are runs that the worker lists and no unit expects, each with the number of
	// the latest poll of any worker when it was listed.
	orphans             map[yuccapaddle.TaskID]int64
	appliedEnd          int64 // number of the latest end that has been applied
	withheld            []withheldEnd
	reportedIncarnation int64     // Incarnation in its latest reply to a poll
	answeredAt          time.Time // when that arrived
	answeredAddress     string    // where the worker has answered so
	strikes             int       // failures and stalls since a task was last done there
	lastGoodStart       time.Time // latest start of a task that was done there
	lastFailure         time.Time
	quarantinedUntil    time.Time
	stalledAt           time.Time // when a run there was last found standing still
	stalls              int       // found there since a run made progress, see stalledThere
	stalledUntil        time.Time // others are preferred until then, unless it makes progress
	goneSince           time.Time // when it was first missing from the registrations
	silentSince         time.Time // when it left the first poll without an answer, zero if it answers
	leavingIncarnation  int64     // the latest one that was draining or to go into maintenance
	startBackoffUntil   time.Time // it gets no new runs until then
	proofDueAt          time.Time // it is asked to prove itself again then, zero if it was not asked
	refutedUntil        time.Time // see refuted
	unresponsive        bool      // the latest poll had no answer
	inMaintenance       bool      // it gets no new runs, for its machine's maintenance
	fixed               fixedFields
	room                room           // see capacity
	former              formerCapacity // at hosts that were active before
	// highestCapacity holds the most of each resource that has counted in its present
	// incarnation.
	highestCapacity yuccapaddle.Need
}

// assignment is a member of a unit that is placed on a worker.
type assignment struct {
	u      *unit
	member int // index in u.members
}

// compare orders assignments by the ID of their task.
func (x assignment) compare(y assignment) int {
	return cmp.Or(x.u.compare(y.u), cmp.Compare(x.member, y.member))
}

// worker returns the worker with an ID, and adds it if it is unknown.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{runs: map[yuccapaddle.TaskID]assignment{}, orphans: map[yuccapaddle.TaskID]int64{}, quotas: p.quotas}
		w.ID = id
		p.workers[id] = w
	}
	return w
}

// addRun assigns the unit's member i to the worker.
func (w *worker) addRun(u *unit, i int) {
	w.runs[u.taskID(i)] = assignment{u, i}
	w.used = w.used.Add(u.stepSpec().Room())
	w.quotas.Add(u.job.spec.Workspace, u.stepSpec().Need)
	u.job.liveMembers++
}

// removeRun undoes addRun.
func (w *worker) removeRun(u *unit, i int) {
	if _, ok := w.runs[u.taskID(i)]; !ok {
		return
	}
	delete(w.runs, u.taskID(i))
	w.used = w.used.Sub(u.stepSpec().Room())
	w.quotas.Remove(u.job.spec.Workspace, u.stepSpec().Need)
	u.job.liveMembers--
}

// free returns the capacity that no run holds.
func (w *worker) free() yuccapaddle.Need {
	return w.capacity().Sub(w.used)
}

// Busy reports whether runs may be in progress on the worker, or have ended there and not
// been reported yet.
func (p *Planner) Busy(id string) bool {
	w := p.workers[id]
	return w != nil && (len(w.runs) > 0 || len(w.orphans) > 0)
}

// BusyWorkers lists the IDs of the busy workers, in order.
func (p *Planner) BusyWorkers() []string {
	var list []string
	for id := range p.workers {
		if p.Busy(id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// AppliedEnd returns the number of the worker's latest end that has been applied, 0 if
// there is none.
func (p *Planner) AppliedEnd(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.appliedEnd
	}
	return 0
}

// ReportedIncarnation returns the incarnation of a worker that AppliedEnd refers to, 0 if it
// has not answered yet.
func (p *Planner) ReportedIncarnation(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.reportedIncarnation
	}
	return 0
}

// Staying reports whether a worker is registered, answers, and is not known to be about to
// leave: it is not draining, nor in maintenance, nor in a closed failure domain.
func (p *Planner) Staying(id string) bool {
	w := p.workers[id]
	return w != nil && w.registered && !w.unresponsive && !w.Draining && !w.inMaintenance && w.leavingIncarnation == 0 && !p.rules.Closed[w.Domain]
}

// Worker returns the latest registration of a worker, and whether the worker is known.
func (p *Planner) Worker(id string) (yuccapaddle.Worker, bool) {
	w := p.workers[id]
	if w == nil {
		return yuccapaddle.Worker{}, false
	}
	return w.Worker, true
}

// NoteFailedRead records that the registrations could not be read. The workers may not have
// reached the store either, so what differed in a read before has to stand anew.
func (p *Planner) NoteFailedRead() {
	p.readFailed = true
}

// dropPending forgets what was pending in the registrations read so far.
func (p *Planner) dropPending() {
	for _, w := range p.workers {
		w.room.dropPending()
		w.fixed.dropPending()
	}
}

// SetRegistrations replaces the registrations with those of all workers that are
// registered now. readAt is the time before they were read: they are at least as new.
func (p *Planner) SetRegistrations(list []yuccapaddle.Worker, readAt time.Time) {
	present := make(map[string]bool, len(list))
	if p.readFailed {
		p.dropPending()
		p.readFailed, p.changed = false, true
	}
	first := !p.workersKnown
	p.workersKnown = true
	if first {
		p.addDecision(yuccapaddle.Decision{Event: "workers listed", Detail: itoa(len(list)) + " for the first time"})
	}
	for i := range list {
		present[list[i].ID] = true
		w := p.worker(list[i].ID)
		settled := p.settle(w, &list[i], readAt)
		reg := &settled
		if !w.registered || w.Draining != reg.Draining || w.Incarnation != reg.Incarnation || w.Capacity != reg.Capacity {
			p.changed = true
			if !first || reg.Draining {
				p.addDecision(yuccapaddle.Decision{Event: "worker listed", Worker: reg.ID, Detail: describeWorker(reg) + w.capacityChange(reg)})
			}
		}
		if w.Incarnation != reg.Incarnation {
			w.forgetProof()
		}
		if reg.Draining {
			p.setLeaving(w, reg.Incarnation)
		}
		address := w.addressAfter(reg)
		w.Worker, w.registered, w.goneSince = *reg, true, time.Time{}
		w.Address = address
	}
	p.usualCapacities = nil
	for i := range list {
		p.updateRoom(p.workers[list[i].ID], readAt)
	}
	p.settleBy = p.now
	for id, w := range p.workers {
		if present[id] {
			continue
		}
		w.room.dropPending()
		w.fixed.dropPending()
		if w.registered {
			w.registered, w.goneSince = false, p.now
			p.addDecision(yuccapaddle.Decision{Event: "worker gone", Worker: id})
		}
		if !w.registered && len(w.runs) == 0 && len(w.orphans) == 0 && p.now.Sub(w.goneSince) > goneRetention {
			delete(p.workers, id)
		}
	}
}

// addressAfter returns the worker's address once its next registration is in force. An
// incarnation has one address for life, so while it answers there, another one in its
// registration is another writer's.
func (w *worker) addressAfter(reg *yuccapaddle.Worker) string {
	if w.answeredAddress != "" && !w.unresponsive && w.reportedIncarnation == reg.Incarnation {
		return w.answeredAddress
	}
	return reg.Address
}

// noteAddress records the address at which the worker has answered as the incarnation that its
// registration names.
func (w *worker) noteAddress() {
	if w.registered && w.reportedIncarnation == w.Incarnation {
		w.answeredAddress = w.Address
	}
}

// goneRetention is how long a worker that is no longer registered and runs nothing is
// kept.
const goneRetention = 30 * time.Second

func describeWorker(reg *yuccapaddle.Worker) string {
	if reg.Draining {
		return reg.Domain + " " + reg.Rack + " draining"
	}
	return reg.Domain + " " + reg.Rack
}

// usable reports whether the worker may get new runs.
func (p *Planner) usable(w *worker) bool {
	return p.unusableReason(w) == ""
}

// unusableReason says why the worker may not get new runs, "" if it may. A worker with
// orphans may not, since it is unknown how much capacity they hold.
func (p *Planner) unusableReason(w *worker) string {
	switch {
	case !w.registered:
		return "gone"
	case w.unresponsive:
		return "silent"
	case w.Draining:
		return "draining"
	case p.rules.Closed[w.Domain]:
		return "domain out"
	case w.inMaintenance:
		return "emptied for maintenance"
	case p.now.Before(w.startBackoffUntil):
		return "refuses starts"
	case len(w.orphans) > 0:
		return "runs what nobody wants"
	case w.fixed.isPending():
		return "registered otherwise than before"
	case p.refuted(w):
		return "answers as another than is registered"
	}
	return ""
}

// SetMaintenance takes a worker out of placement for the maintenance of its machine, or
// back in if maintenance is false, and reports whether nothing runs there.
func (p *Planner) SetMaintenance(id string, maintenance bool) bool {
	w := p.worker(id)
	if maintenance {
		p.setLeaving(w, w.Incarnation)
	}
	if w.inMaintenance != maintenance {
		w.inMaintenance = maintenance
		p.changed = true
	}
	return len(w.runs) == 0
}

// MustStay reports whether taking the worker down now would interrupt a task of a
// step with LimitsUnavailable that may not be disrupted.
func (p *Planner) MustStay(id string) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	for _, x := range w.runs {
		if x.u.stepSpec().LimitsUnavailable && x.u.running() && !p.mayDisrupt(x.u) {
			return true
		}
	}
	return false
}

// Registered reports whether the worker is registered.
func (p *Planner) Registered(id string) bool {
	w := p.workers[id]
	return w != nil && w.registered
}

// SetResponsive records whether a worker answers polls.
func (p *Planner) SetResponsive(id string, responsive bool) {
	w := p.worker(id)
	if !responsive && w.silentSince.IsZero() {
		w.silentSince = p.now
	}
	w.unresponsive = !responsive
	p.changed = true
}

// setLeaving records that a worker's incarnation is to leave or to go into maintenance: its
// loss is then no crash, also for a later host. Incarnation 0 takes that back.
func (p *Planner) setLeaving(w *worker, incarnation int64) {
	w.leavingIncarnation = incarnation
	for _, x := range w.runs {
		m := &x.u.members[x.member]
		leaving := m.incarnation != 0 && m.incarnation <= incarnation
		if m.leaving != leaving {
			m.leaving = leaving
			p.markUnitDirty(x.u)
		}
	}
}

// clearLeaving takes back that a worker is to leave once it answers as it was and that no
// longer holds. What was to leave may be an incarnation that it has never had, if another
// writer has registered that.
func (p *Planner) clearLeaving(w *worker) {
	if w.leavingIncarnation != 0 && w.leavingIncarnation >= w.reportedIncarnation && w.registered && !w.Draining && !w.inMaintenance {
		p.setLeaving(w, 0)
	}
}

// Startable reports whether a start may still be sent: the worker is usable and is not that
// of a suspect alone, the run has not ended or been stopped since the start was ordered, and
// it keeps within the capacities and the quota that are known now.
func (p *Planner) Startable(st *yuccapaddle.RunStart) bool {
	w := p.workers[st.Worker]
	if w == nil || !p.usable(w) {
		return false
	}
	x, ok := w.runs[st.Task]
	return ok && x.u.run == st.Run && !x.u.stopping && p.now.Before(x.u.sendBy) && (x.u.suspect || !p.aloneThere(w)) && p.fitsCapacity(w, x) && p.quotaAllows(x.u)
}

// aloneThere reports whether a suspect was placed on a worker because nothing else ran
// there.
func (p *Planner) aloneThere(w *worker) bool {
	for _, v := range p.suspectsOn(w.ID) {
		if v.placedAlone {
			return true
		}
	}
	return false
}

// quarantined reports whether the worker is in quarantine after failures: other workers
// are preferred for new runs, and nothing is preempted for a new run there.
func (p *Planner) quarantined(w *worker) bool {
	return p.now.Before(w.quarantinedUntil)
}

func (w *worker) hasLabel(l string) bool {
	for _, have := range w.Labels {
		if have == l {
			return true
		}
	}
	return false
}
