package planner

// yields reports whether a unit may be stopped for an urgent one: if it is less
// urgent, or if its workspace uses more than its guarantee and the other's does
// not. Tasks that have to be kept at work are not stopped.
func (p *Planner) yields(v, u *unit) bool {
	if v.spec().Kept {
		return p.kept(v)
	}
	if p.priority(v.job) > u.job.priority {
		return true
	}
	return v.job != u.job && p.within(u.job) && !p.within(v.job)
}

// kept reports whether one more task of the unit's step may be away.
func (p *Planner) kept(v *unit) bool {
	if p.priority(v.job) == 0 {
		return false
	}
	away := 0
	for _, x := range v.job.units {
		if x.step == v.step && x.occurrence == v.occurrence && (x.stopping || !x.working() || x.progress() < fullPace) {
			away++
		}
	}
	return away < v.spec().MayMiss
}

// within reports whether the urgent jobs of a job's workspace that have not
// ended need no more than its guarantee.
func (p *Planner) within(j *job) bool {
	if p.priority(j) != 0 {
		return false
	}
	t := p.rules.Workspace(j.in.Workspace)
	return t != nil && p.needs(j.in.Workspace) <= t.Guaranteed
}

// needs is the number of accelerators that the urgent jobs of a workspace need.
func (p *Planner) needs(workspace string) int {
	if p.needed == nil {
		p.needed = map[string]int{}
		for _, j := range p.jobs {
			if !j.state.Final() && p.priority(j) == 0 {
				p.needed[j.in.Workspace] += j.need()
			}
		}
	}
	return p.needed[workspace]
}

// need is the number of accelerators of all tasks of one occurrence.
func (j *job) need() int {
	n := 0
	for i := range j.in.Steps {
		n += j.in.Steps[i].Count * j.in.Steps[i].Need.GPU
	}
	return n
}
