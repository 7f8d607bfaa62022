package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle/internal/prioritizer"
)

const (
	// usualRunTime is the quantile of the learned run times from which a job's objective is
	// computed, and likelyRunTime the one with which it counts as able to be in time: with
	// the median, half of those that start last would be late all the same.
	usualRunTime  = 0.5
	likelyRunTime = 0.75
)

// waitingUnit is a unit with what a delay of it costs.
type waitingUnit struct {
	u    *unit
	cost *prioritizer.Waiting
}

// orderByDelayCost reorders the waiting units of each priority by what a delay costs their
// callers, if the settings ask for that. Units for which it is equal keep their order.
func (p *Planner) orderByDelayCost(list []*unit) {
	if !p.limits.OrderByDelayCost {
		return
	}
	costs := map[stepKey]*prioritizer.Waiting{} // every unit of a step has the same
	waiting := make([]waitingUnit, len(list))
	for i, u := range list {
		key := u.key()
		if costs[key] == nil {
			costs[key] = p.delayCost(u)
		}
		waiting[i] = waitingUnit{u, costs[key]}
	}
	slices.SortStableFunc(waiting, func(a, b waitingUnit) int {
		return cmp.Or(cmp.Compare(a.u.job.priority, b.u.job.priority), prioritizer.Compare(a.cost, b.cost, p.wall))
	})
	for i := range waiting {
		list[i] = waiting[i].u
	}
}

// delayCost returns what decides about the cost of a delay of the unit's step.
func (p *Planner) delayCost(u *unit) *prioritizer.Waiting {
	since := u.job.spec.Due(u.occurrence)
	if since.IsZero() {
		since = time.UnixMilli(u.job.spec.Accepted)
	}
	step := u.stepSpec()
	left := p.chainTimes(u.job, likelyRunTime)[u.stepIndex]
	cores := float64(u.waitingTasks()) * (float64(step.Need.CPU)/1000 + coresPerGPU*float64(step.Need.GPU))
	w := &prioritizer.Waiting{Since: since, Objective: since, Cost: left.Seconds() * cores, AlwaysFirst: step.Endless}
	if terms, ok := p.rules.TermsOf(u.job.spec); ok {
		longest := slices.Max(p.chainTimes(u.job, usualRunTime))
		w.Objective = since.Add(time.Duration(max(terms.Stretch, 1)*float64(longest)) + time.Duration(terms.ObjectiveMS)*time.Millisecond)
	}
	w.LatestStart = w.Objective.Add(-left)
	return w
}

// chainTimes returns for each step how long it and those that depend on it take one after
// the other, by a quantile of the learned run times.
func (p *Planner) chainTimes(j *job, quantile float64) []time.Duration {
	steps := j.spec.Steps
	times := make([]time.Duration, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		times[s] += p.stepTime(j, s, quantile)
		for _, before := range steps[s].After { // its own time is added later
			times[before] = max(times[before], times[s])
		}
	}
	return times
}

// stepTime returns how long a task of the step takes, as learned from earlier jobs of its
// queue. The caller's estimate counts only while too few have ended.
func (p *Planner) stepTime(j *job, step int, quantile float64) time.Duration {
	if took, ok := p.runTimes.Quantile(j.spec.Queue, step, quantile); ok {
		return took
	}
	return time.Duration(j.spec.Steps[step].Estimate) * time.Millisecond
}
