package planner

// mayPreempt reports whether a victim may be stopped for an urgent unit: it is of lower
// priority, or its workspace is not within its guarantee and the urgent unit's is. A
// victim of a step with LimitsUnavailable may be stopped only if mayDisrupt allows it.
func (p *Planner) mayPreempt(victim, u *unit) bool {
	if victim.stepSpec().LimitsUnavailable {
		return p.mayDisrupt(victim)
	}
	if p.priority(victim.job) > u.job.priority {
		return true
	}
	return victim.job != u.job && p.withinGuarantee(u.job) && !p.withinGuarantee(victim.job)
}

// mayDisrupt reports whether one more task of the unit's step may be taken down: the job is
// not urgent, and fewer than MaxUnavailable tasks are unavailable. A task is unavailable if
// it is being stopped, does not run or has not reached 100% progress.
func (p *Planner) mayDisrupt(u *unit) bool {
	if p.priority(u.job) == 0 {
		return false
	}
	unavailable := 0
	for _, x := range u.job.units {
		if x.stepIndex == u.stepIndex && x.occurrence == u.occurrence && (x.stopping || !x.running() || x.progress() < fullPace) {
			unavailable++
		}
	}
	return unavailable < u.stepSpec().MaxUnavailable
}

// withinGuarantee reports whether a job is urgent and the urgent jobs of its workspace
// together need no more accelerators than the workspace is guaranteed.
func (p *Planner) withinGuarantee(j *job) bool {
	if p.priority(j) != 0 {
		return false
	}
	grant := p.rules.Workspace(j.spec.Workspace)
	return grant != nil && p.workspaceNeed(j.spec.Workspace) <= grant.Guaranteed
}

// workspaceNeed returns the number of accelerators that the urgent jobs of a workspace
// that have not ended need.
func (p *Planner) workspaceNeed(workspace string) int {
	if p.workspaceNeeds == nil {
		p.workspaceNeeds = map[string]int{}
		for _, j := range p.jobs {
			if !j.state.Final() && p.priority(j) == 0 {
				p.workspaceNeeds[j.spec.Workspace] += j.acceleratorNeed()
			}
		}
	}
	return p.workspaceNeeds[workspace]
}

// acceleratorNeed returns the number of accelerators that all tasks of one occurrence
// need together.
func (j *job) acceleratorNeed() int {
	n := 0
	for i := range j.spec.Steps {
		n += j.spec.Steps[i].Count * j.spec.Steps[i].Need.GPU
	}
	return n
}
