package planner

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sharer"
)

// shareAgeing is how long the oldest waiting job of a priority waits until it goes before
// those of workspaces with a smaller share. Only one job at a time does: if all old jobs
// did, a long queue would be served in the order of acceptance and not by weight.
const shareAgeing = 30 * time.Second

// orderByShare reorders the waiting units of each priority by what their workspaces hold for
// their weights, if the rules give any workspace a weight. The units of a job stay
// together.
func (p *Planner) orderByShare(list []*unit) []*unit {
	weights := p.weights()
	if len(weights) == 0 {
		return list
	}
	total := p.usableCapacity()
	used := map[string]yuccapaddle.Need{}
	for i := range p.rules.Workspaces {
		name := p.rules.Workspaces[i].Name
		used[name] = p.quotas.Used(name)
	}
	ordered := make([]*unit, 0, len(list))
	for start := 0; start < len(list); {
		end := start
		for end < len(list) && list[end].job.priority == list[start].job.priority {
			end++
		}
		jobs := splitByJob(list[start:end])
		claims := p.shareClaims(jobs)
		for _, i := range sharer.Order(claims, used, weights, total) {
			ordered = append(ordered, jobs[i]...)
		}
		for i := range claims { // they come before those of lower priority
			used[claims[i].Workspace] = used[claims[i].Workspace].Add(claims[i].Need)
		}
		start = end
	}
	return ordered
}

// weights returns the weights of the workspaces that have one.
func (p *Planner) weights() map[string]int {
	var weights map[string]int
	for i := range p.rules.Workspaces {
		if g := &p.rules.Workspaces[i]; g.Weight > 0 {
			if weights == nil {
				weights = map[string]int{}
			}
			weights[g.Name] = g.Weight
		}
	}
	return weights
}

// splitByJob groups consecutive units of the same job.
func splitByJob(list []*unit) [][]*unit {
	var jobs [][]*unit
	for start := 0; start < len(list); {
		end := start
		for end < len(list) && list[end].job == list[start].job {
			end++
		}
		jobs = append(jobs, list[start:end])
		start = end
	}
	return jobs
}

// shareClaims returns a claim for each job: what its waiting units need. The jobs are in the
// order of their acceptance.
func (p *Planner) shareClaims(jobs [][]*unit) []sharer.Claim {
	claims := make([]sharer.Claim, len(jobs))
	for i, units := range jobs {
		claims[i].Workspace = units[0].job.spec.Workspace
		for _, u := range units {
			claims[i].Need = claims[i].Need.Add(u.stepSpec().Need.Times(u.width()))
		}
	}
	if len(jobs) > 0 && p.now.Sub(jobs[0][0].waitingSince) > shareAgeing {
		claims[0].Aged = true
	}
	return claims
}

// usableCapacity returns the capacity of all workers that may get new runs.
func (p *Planner) usableCapacity() yuccapaddle.Need {
	total := yuccapaddle.Need{}
	for _, w := range p.workers {
		if p.usable(w) {
			total = total.Add(w.Capacity)
		}
	}
	return total
}
