package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// Status is a summary for operators.
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
	for id, s := range p.workers {
		if s.used.GPU > 0 {
			st.Used[id] = s.used.GPU
		}
		if !s.listed && len(s.runs) == 0 {
			continue
		}
		st.Workers = append(st.Workers, yuccapaddle.WorkerStatus{
			ID: id, Rack: s.Rack, Domain: s.Domain, Accelerators: s.Capacity.GPU, Used: s.used.GPU, State: p.standing(s),
		})
		if !p.usable(s) {
			st.Unusable = append(st.Unusable, id)
		}
		if p.rests(s) {
			st.Quarantined = append(st.Quarantined, id)
		}
	}
	slices.Sort(st.Unusable)
	slices.Sort(st.Quarantined)
	slices.SortFunc(st.Workers, func(a, b yuccapaddle.WorkerStatus) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return st
}

// standing says whether a worker gets new work, and if not, or only last, why.
func (p *Planner) standing(s *worker) string {
	if why := p.bar(s); why != "" {
		return why
	}
	if p.rests(s) {
		return "quarantined"
	}
	return "in"
}

// View returns what operators are told of a job, nil if there is none.
func (p *Planner) View(id string) *yuccapaddle.JobView {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	v := &yuccapaddle.JobView{
		ID: id, Queue: j.in.Queue, Workspace: j.in.Workspace, State: j.state, Priority: p.priority(j),
		Accepted: time.UnixMilli(j.in.Accepted).UTC(), Why: j.why,
	}
	rows := map[stepAt]int{}
	for _, u := range j.units {
		at := stepAt{u.occurrence, u.step}
		i, ok := rows[at]
		if !ok {
			i = len(v.Steps)
			rows[at] = i
			v.Steps = append(v.Steps, yuccapaddle.StepView{Occurrence: u.occurrence, Step: u.step, Tasks: u.spec().Count})
		}
		p.addUnit(&v.Steps[i], u)
	}
	return v
}

func (p *Planner) addUnit(v *yuccapaddle.StepView, u *unit) {
	v.Failures += u.fails
	switch {
	case u.state == unitDone:
		v.Done += u.width()
	case u.state == unitPlaced:
		v.Placed += u.held()
		for i := range u.members {
			if !u.members[i].over {
				v.Workers = append(v.Workers, u.members[i].worker)
			}
		}
	case v.Waits == "" && !u.job.state.Final():
		v.Waits = p.waitsFor(u)
	}
}

// waitsFor says what a waiting unit lacks.
func (p *Planner) waitsFor(u *unit) string {
	if step, blocked := u.blocker(); blocked {
		return "step " + itoa(step) + " is not done"
	}
	suited, usable := 0, 0
	for _, s := range p.workers {
		if !p.fitsKind(u, s) || !u.spec().Room().Fits(s.Capacity) {
			continue
		}
		suited++
		if p.usable(s) {
			usable++
		}
	}
	counts := ": " + itoa(usable) + " of " + itoa(suited) + " suited workers get new work"
	return p.lacks(u) + counts
}

// lacks says which room a unit waits for.
func (p *Planner) lacks(u *unit) string {
	need := u.spec().Need
	why := "room"
	switch {
	case u.claim != nil:
		why = "room that is being freed"
	case p.advised(u):
		why = "room on a worker with a ticket"
	case u.spec().Label != "":
		why = "room on a worker with label " + u.spec().Label
	case u.spec().Span == yuccapaddle.SpanWorker:
		why = "room on one worker"
	case u.spec().Span == yuccapaddle.SpanRack:
		why = "room in one rack"
	}
	return "for " + why + ": " + itoa(u.width()) + " tasks of " + itoa(need.CPU) + " cpu, " + itoa(need.Memory) + " MB, " + itoa(need.GPU) + " gpu"
}
