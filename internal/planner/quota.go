package planner

import (
	"cmp"
	"slices"
	"strings"

	"yuccapaddle"
)

// Load pattern: one workspace sends many times its usual load. Its quota leaves the rest of
// the cluster to the others, and within the quota its urgent jobs do not wait behind its
// own batch jobs.

// quotaFitting returns how many more tasks of the unit's step its workspace may start.
func (p *Planner) quotaFitting(u *unit) int {
	return p.quotas.Fitting(u.job.spec.Workspace, u.stepSpec().Need)
}

// reserveOrphans counts the runs that workers list and no unit expects: they hold part of
// the quota until they have ended.
func (p *Planner) reserveOrphans() {
	for _, w := range p.workers {
		for t := range w.orphans {
			if j := p.jobs[t.Job]; j != nil && t.Step < len(j.spec.Steps) {
				p.quotas.Reserve(j.spec.Workspace, j.spec.Steps[t.Step].Need)
			}
		}
	}
}

// keepWithinQuota reports whether the quota of its workspace keeps a unit waiting. If so, what
// is left of the quota is kept for the waiting tasks of its step, so that narrow units that
// come later do not keep a wide one waiting for ever, and runs of lower priority in the same
// workspace are stopped for an urgent one.
func (p *Planner) keepWithinQuota(u *unit) bool {
	if p.quotaFitting(u) >= u.width() {
		return false
	}
	u.claim = nil
	workspace, need := u.job.spec.Workspace, u.stepSpec().Need
	n := min(u.waitingTasks(), p.quotas.FittingAlone(workspace, need))
	if n < u.width() {
		return true // the quota has been lowered, so nothing can be kept for it
	}
	if u.job.priority == 0 {
		p.preemptForQuota(u, n)
	}
	p.quotas.Reserve(workspace, need.Times(n))
	return true
}

// reserveClaimed keeps the quota of a unit for which room is being freed.
func (p *Planner) reserveClaimed(u *unit) {
	if u.claim != nil {
		p.quotas.Reserve(u.job.spec.Workspace, u.stepSpec().Need.Times(u.width()))
	}
}

// waitingTasks returns how many tasks of the unit's step wait: all of a gang, or those of
// all single units.
func (u *unit) waitingTasks() int {
	if u.stepSpec().Gang {
		return u.width()
	}
	n := 0
	for _, v := range u.job.units {
		if v.state == unitWaiting && v.stepIndex == u.stepIndex && v.occurrence == u.occurrence {
			n++
		}
	}
	return n
}

// preemptForQuota stops runs of lower priority in the unit's workspace until n tasks of its
// step fit into the quota, those first that lose the least work. What is being stopped
// already counts as stopped. It stops nothing if the unit could not start then.
func (p *Planner) preemptForQuota(u *unit, n int) {
	workspace, need := u.job.spec.Workspace, u.stepSpec().Need
	candidates, freed := p.quotaVictims(u)
	var victims []*unit
	for _, v := range candidates {
		if p.quotas.FittingWithout(workspace, need, freed) >= n {
			break
		}
		freed = freed.Add(v.quotaNeed())
		victims = append(victims, v)
	}
	if p.quotas.FittingWithout(workspace, need, freed) < u.width() {
		return
	}
	for _, v := range victims {
		p.stop(v, "its quota is for "+u.job.spec.ID)
	}
}

// quotaVictims lists the runs in the unit's workspace that may be stopped for it, the
// cheapest first, and returns what those that are being stopped hold of the quota.
func (p *Planner) quotaVictims(u *unit) (victims []*unit, stopping yuccapaddle.Need) {
	for _, j := range p.jobs {
		if j.spec.Workspace != u.job.spec.Workspace || !j.busy() {
			continue
		}
		for _, v := range j.units {
			switch {
			case !v.live():
			case v.stopping:
				stopping = stopping.Add(v.quotaNeed())
			case p.priority(j) > u.job.priority && p.mayPreempt(v, u):
				victims = append(victims, v)
			}
		}
	}
	slices.SortFunc(victims, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(p.lostWork(a), p.lostWork(b)), a.compare(b))
	})
	return victims, stopping
}

// quotaNeed returns what the unit's runs hold of its workspace's quota.
func (u *unit) quotaNeed() yuccapaddle.Need {
	return u.stepSpec().Need.Times(u.liveMembers())
}

// Unallowable returns why the quota of its workspace never lets a job run, "" if it does: a
// gang, or a single task, needs more than the whole quota.
func (p *Planner) Unallowable(spec *yuccapaddle.Job) string {
	j := newJob(spec)
	for i := range spec.Steps { // one unit for each step: all of its units need the same
		u := &unit{job: j, stepIndex: i}
		if most := p.quotas.FittingAlone(spec.Workspace, u.stepSpec().Need); most < u.width() {
			return p.neededQuota(u) + "; its quota allows " + itoa(most) + " such tasks at once"
		}
	}
	return ""
}

// quotaWait says that a unit waits for its workspace's quota and in which resources, "" if
// it does not.
func (p *Planner) quotaWait(u *unit) string {
	short := p.quotas.Short(u.job.spec.Workspace, u.stepSpec().Need, u.width())
	if len(short) == 0 {
		return ""
	}
	return p.neededQuota(u) + "; short of " + strings.Join(short, " and ")
}

func (p *Planner) neededQuota(u *unit) string {
	return "for the quota of workspace " + u.job.spec.Workspace + ": " + itoa(u.width()) + " tasks of " + describeNeed(u.stepSpec().Need)
}

// Workspaces lists the workspaces that have a quota or a weight, with what they use.
func (p *Planner) Workspaces() []yuccapaddle.WorkspaceStatus {
	var list []yuccapaddle.WorkspaceStatus
	for i := range p.rules.Workspaces {
		g := &p.rules.Workspaces[i]
		if g.Quota != (yuccapaddle.Need{}) || g.Weight != 0 {
			list = append(list, yuccapaddle.WorkspaceStatus{Name: g.Name, Weight: g.Weight, Quota: g.Quota, Used: p.quotas.Used(g.Name)})
		}
	}
	return list
}
