package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// Status returns a summary of jobs and workers for operators.
func (p *Planner) Status() yuccapaddle.EngineStatus {
	st := yuccapaddle.EngineStatus{Jobs: len(p.jobs), Used: map[string]int{}}
	for _, j := range p.jobs {
		for _, u := range j.units {
			switch {
			case u.live():
				st.Gangs++
			case u.state == unitWaiting && !j.state.Final():
				st.Waiting++
			}
		}
	}
	for id, w := range p.workers {
		if w.used.GPU > 0 {
			st.Used[id] = w.used.GPU
		}
		if !w.registered && len(w.runs) == 0 {
			continue
		}
		st.Workers = append(st.Workers, yuccapaddle.WorkerStatus{
			ID: id, Rack: w.Rack, Domain: w.Domain, Accelerators: w.capacity().GPU, Used: w.used.GPU, State: p.workerState(w),
		})
		if !p.usable(w) {
			st.Unusable = append(st.Unusable, id)
		}
		if p.quarantined(w) {
			st.Quarantined = append(st.Quarantined, id)
		}
	}
	st.Workspaces = p.Workspaces()
	slices.Sort(st.Unusable)
	slices.Sort(st.Quarantined)
	slices.SortFunc(st.Workers, func(a, b yuccapaddle.WorkerStatus) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return st
}

// workerState returns the state of a worker for operators: "in" if it gets new runs,
// "quarantined" if others are preferred, "over capacity" if it gets none until runs have
// ended or its capacity has grown, or else why it gets none.
func (p *Planner) workerState(w *worker) string {
	if reason := p.unusableReason(w); reason != "" {
		return reason
	}
	if w.overCapacity() {
		return stateOverCapacity
	}
	if p.quarantined(w) {
		return "quarantined"
	}
	return "in"
}

// View returns the details of a job for operators, nil if there is no such job.
func (p *Planner) View(id string) *yuccapaddle.JobView {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	v := &yuccapaddle.JobView{
		ID: id, Queue: j.spec.Queue, Workspace: j.spec.Workspace, State: j.state, Priority: p.priority(j),
		Accepted: time.UnixMilli(j.spec.Accepted).UTC(), Reason: j.reason,
	}
	index := map[occurrenceStep]int{}
	for _, u := range j.units {
		key := occurrenceStep{u.occurrence, u.stepIndex}
		i, ok := index[key]
		if !ok {
			i = len(v.Steps)
			index[key] = i
			v.Steps = append(v.Steps, yuccapaddle.StepView{Occurrence: u.occurrence, Step: u.stepIndex, Tasks: u.stepSpec().Count})
		}
		p.addUnitView(&v.Steps[i], u)
	}
	return v
}

// addUnitView adds a unit to the view of its step.
func (p *Planner) addUnitView(v *yuccapaddle.StepView, u *unit) {
	v.Failures += u.failures
	for _, c := range u.crashes {
		v.Crashes += c.runs
	}
	switch {
	case u.state == unitDone:
		v.Done += u.width()
	case u.state == unitPlaced:
		v.Placed += u.liveMembers()
		for i := range u.members {
			if !u.members[i].ended {
				v.Workers = append(v.Workers, u.members[i].worker)
			}
		}
	case v.Waits == "" && !u.job.state.Final():
		v.Waits = p.waitReason(u)
	}
}

// waitReason says what a waiting unit waits for: an earlier step, its quota, or room.
func (p *Planner) waitReason(u *unit) string {
	if step, blocked := u.blockingStep(); blocked {
		return "step " + itoa(step) + " is not done"
	}
	if reason := p.quotaWait(u); reason != "" {
		return reason
	}
	suited, usable := 0, 0
	for _, w := range p.workers {
		if !p.compatible(u, w) || !u.stepSpec().Room().Fits(w.capacity()) {
			continue
		}
		suited++
		if p.usable(w) && !w.overCapacity() {
			usable++
		}
	}
	counts := ": " + itoa(usable) + " of " + itoa(suited) + " suited workers get new work"
	return p.neededRoom(u) + counts
}

// neededRoom says what room a unit needs.
func (p *Planner) neededRoom(u *unit) string {
	need := u.stepSpec().Need
	reason := "room"
	switch {
	case u.claim != nil:
		reason = "room that is being freed"
	case u.suspect:
		reason = "room on a worker where nothing else runs, since it may have crashed one"
	case p.needsTicket(u):
		reason = "room on a worker with a ticket"
	case u.stepSpec().Label != "":
		reason = "room on a worker with label " + u.stepSpec().Label
	case u.stepSpec().Span == yuccapaddle.SpanWorker:
		reason = "room on one worker"
	case u.stepSpec().Span == yuccapaddle.SpanRack:
		reason = "room in one rack"
	}
	return "for " + reason + ": " + itoa(u.width()) + " tasks of " + itoa(need.CPU) + " cpu, " + itoa(need.Memory) + " MB, " + itoa(need.GPU) + " gpu"
}
