package planner

import "yuccapaddle"

// Load pattern: jobs larger than the whole cluster, which would wait until their callers
// give up. Jobs that are submitted as Strict are refused at once instead.

// Infeasible returns why a job could not be placed even if all registered workers were
// empty, or "" if it could be, or if the workers are not known yet.
func (p *Planner) Infeasible(spec *yuccapaddle.Job) string {
	if !p.workersKnown || len(p.workers) == 0 {
		return ""
	}
	j := newJob(spec)
	for i := range spec.Steps { // one unit for each step: all of its units need the same
		u := &unit{job: j, stepIndex: i}
		if most := p.capacityFor(u, (*worker).capacity); most < u.width() {
			reason := p.neededRoom(u) + "; the registered workers hold " + itoa(most) + " such tasks"
			if full := p.capacityFor(u, (*worker).highest); full >= u.width() {
				reason += " at present, and " + itoa(full) + " with the capacity that they have had"
			}
			return reason
		}
	}
	return ""
}

// capacityFor returns how many tasks of a unit, up to its width, the known workers could
// hold within its span if they were empty and had the given capacity.
func (p *Planner) capacityFor(u *unit, capacity func(*worker) yuccapaddle.Need) int {
	most := 0
	tasks := map[string]int{}
	for _, w := range p.workers {
		if !p.compatible(u, w) {
			continue
		}
		place := w.location(u.stepSpec().Span)
		tasks[place] += tasksThatFit(u, u.width(), capacity(w), u.stepSpec().PerWorker)
		most = max(most, tasks[place])
	}
	return most
}
