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
			if j := p.jobs[t.Job]; j != nil && t.Step >= 0 && t.Step < len(j.spec.Steps) {
				p.quotas.Reserve(j.spec.Workspace, j.spec.Steps[t.Step].Need)
			}
		}
	}
}

// reserveOrPreempt handles a unit that the quota of its workspace keeps waiting, and reports
// whether it does. What is left of the quota is kept for the waiting tasks of its step, so
// that narrow units that come later do not keep a wide one waiting for ever, and runs of
// lower priority in the same workspace are stopped for an urgent one.
func (p *Planner) reserveOrPreempt(u *unit) bool {
	if p.quotaFitting(u) >= u.width() {
		return false
	}
	u.claim = nil
	if p.quotaWaits[u.key()] {
		return true // handled for all units of the step
	}
	p.quotaWaits[u.key()] = true
	workspace, need := u.job.spec.Workspace, u.stepSpec().Need
	n := min(u.waitingTasks(), p.quotas.FittingBeside(workspace, need, p.endlessUse(workspace)))
	if n < u.width() {
		return true // nothing that ends by itself makes room for it
	}
	if u.job.priority == 0 && !u.stepSpec().Spare {
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

// endlessUse returns what the endless tasks of a workspace hold of its quota.
func (p *Planner) endlessUse(workspace string) yuccapaddle.Need {
	sum := yuccapaddle.Need{}
	for _, j := range p.jobs {
		if j.spec.Workspace != workspace || !j.busy() {
			continue
		}
		for _, u := range j.units {
			if u.stepSpec().Endless && u.live() {
				sum = sum.Add(u.quotaNeed())
			}
		}
	}
	return sum
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

// quotaVictims are the runs of a workspace that may be stopped for its urgent units, the
// cheapest first, and what those that are being stopped hold of its quota.
type quotaVictims struct {
	runs     []*unit
	stopping yuccapaddle.Need
}

// preemptForQuota stops runs of lower priority in the unit's workspace until n tasks of its
// step fit into the quota, those first that lose the least work. What is being stopped
// already counts as stopped. It stops nothing if the unit could not start then, for want of
// quota or of room.
func (p *Planner) preemptForQuota(u *unit, n int) {
	workspace, need := u.job.spec.Workspace, u.stepSpec().Need
	victims := p.victimsInQuota(workspace)
	freed, count := victims.stopping, 0
	for _, v := range victims.runs {
		if p.quotas.FittingWithout(workspace, need, freed) >= n {
			break
		}
		freed = freed.Add(v.quotaNeed())
		count++
	}
	if count == 0 || p.quotas.FittingWithout(workspace, need, freed) < u.width() {
		return
	}
	if p.pick(u, p.claimedRoom(), companyTrusted) == nil && p.cheapestSlots(u) == nil {
		return
	}
	for _, v := range victims.runs[:count] {
		p.stop(v, "its quota is for "+u.job.spec.ID)
	}
	victims.runs, victims.stopping = victims.runs[count:], freed
}

// victimsInQuota returns the victims in a workspace, which it looks for once in a round of
// placement. Runs on a worker that does not answer are none: their stop cannot be sent, and
// they hold the quota until their leases have ended.
func (p *Planner) victimsInQuota(workspace string) *quotaVictims {
	if v := p.quotaVictims[workspace]; v != nil {
		return v
	}
	victims := &quotaVictims{}
	costs := map[*unit]float64{}
	for _, j := range p.jobs {
		if j.spec.Workspace != workspace || !j.busy() {
			continue
		}
		for _, v := range j.units {
			switch {
			case !v.live() || p.onSilentWorker(v):
			case v.stopping:
				victims.stopping = victims.stopping.Add(v.quotaNeed())
			case p.priority(j) > 0 && (!v.stepSpec().LimitsUnavailable || p.mayDisrupt(v)):
				victims.runs = append(victims.runs, v)
				costs[v] = p.lostWork(v)
			}
		}
	}
	slices.SortFunc(victims.runs, func(a, b *unit) int { return cmp.Or(cmp.Compare(costs[a], costs[b]), a.compare(b)) })
	p.quotaVictims[workspace] = victims
	return victims
}

// onSilentWorker reports whether a member of the unit is on a worker that does not answer.
func (p *Planner) onSilentWorker(u *unit) bool {
	for i := range u.members {
		if m := &u.members[i]; !m.ended && p.worker(m.worker).unresponsive {
			return true
		}
	}
	return false
}

// quotaAllows reports whether the start of a run that has been placed keeps its workspace
// within its quota, which may have been lowered since. A gang of which a start was sent goes
// on as a whole.
func (p *Planner) quotaAllows(u *unit) bool {
	for i := range u.members {
		if m := &u.members[i]; !m.ended && !m.unsent {
			return true
		}
	}
	return !p.quotas.Exceeded(u.job.spec.Workspace, u.stepSpec().Need)
}

// quotaNeed returns what the unit's runs hold of its workspace's quota.
func (u *unit) quotaNeed() yuccapaddle.Need {
	return u.stepSpec().Need.Times(u.liveMembers())
}

// InfeasibleByQuota returns why the quota of its workspace never lets a job run, "" if it does: a
// gang, or a single task, needs more than the whole quota.
func (p *Planner) InfeasibleByQuota(spec *yuccapaddle.Job) string {
	j := newJob(spec)
	for i := range spec.Steps { // one unit for each step: all of its units need the same
		u := &unit{job: j, stepIndex: i}
		if most := p.quotas.FittingBeside(spec.Workspace, u.stepSpec().Need, yuccapaddle.Need{}); most < u.width() {
			return p.neededQuota(u) + "; its quota allows " + itoa(most) + " such tasks at once"
		}
	}
	return ""
}

// quotaWait says that a unit waits for its workspace's quota and in which resources, "" if
// it does not.
func (p *Planner) quotaWait(u *unit) string {
	if u.claim != nil {
		return "" // its quota is kept for it
	}
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
