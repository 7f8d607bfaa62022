package planner

import "yuccapaddle"

// Load pattern: jobs larger than the whole cluster, which would wait until their
// callers give up. Those that say so are refused at once.

// Hopeless returns why a job could not be placed if all registered workers were
// empty, or nothing if it could be, or if the workers are not known yet.
func (p *Planner) Hopeless(in *yuccapaddle.Job) string {
	if !p.listed || len(p.workers) == 0 {
		return ""
	}
	j := newJob(in)
	for i := range in.Steps { // the tasks of a step ask for the same
		u := &unit{job: j, step: i}
		if most := p.capacityFor(u); most < u.width() {
			return p.lacks(u) + "; the registered workers hold " + itoa(most) + " such tasks"
		}
	}
	return ""
}

// capacityFor is how many tasks of a unit the registered workers could hold within
// its span if they were empty.
func (p *Planner) capacityFor(u *unit) int {
	most := 0
	tasks := map[string]int{}
	for _, s := range p.workers {
		if !p.fitsKind(u, s) {
			continue
		}
		place := s.place(u.spec().Span)
		tasks[place] += tasksIn(u, u.width(), s.Capacity, u.spec().PerWorker)
		most = max(most, tasks[place])
	}
	return most
}
