package planner

import (
	"slices"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sharer"
)

const (
	// shareAgeing is how long a job waits until it may go before those of workspaces with a
	// smaller share.
	shareAgeing = 30 * time.Second
	// ageingInterval is the least time between two jobs that do: if all old jobs did, a long
	// queue would be served in the order of acceptance and not by weight.
	ageingInterval = 10 * time.Second
	// maxAgedJobs is how many of the oldest jobs are tried in a round: some may never get
	// room.
	maxAgedJobs = 4
)

// waitingJobs are the jobs of one workspace that wait for room, each as its waiting units.
type waitingJobs struct {
	workspace string
	jobs      [][]*unit
}

// placeByShare places the waiting units of each priority: always the next job of the
// workspace that holds the least for its weight by then. So a job without room takes nothing
// from its workspace. The units of a job stay together.
func (p *Planner) placeByShare(list []*unit, weights map[string]int) {
	total := p.usableCapacity()
	for start := 0; start < len(list); {
		end := start
		for end < len(list) && list[end].job.priority == list[start].job.priority {
			end++
		}
		jobs := splitByJob(list[start:end])
		aged := p.placeAged(jobs)
		p.placeJobs(splitByWorkspace(jobs, aged), weights, total)
		start = end
	}
}

// placeAged places the job that has waited the longest of those that get room, if that is
// long enough, and returns its index, -1 if there is none.
func (p *Planner) placeAged(jobs [][]*unit) int {
	if p.now.Sub(p.agedAt) < ageingInterval {
		return -1
	}
	var aged []int
	for i, units := range jobs {
		if p.now.Sub(units[0].waitingSince) >= shareAgeing {
			aged = append(aged, i)
		}
	}
	slices.SortStableFunc(aged, func(a, b int) int { return jobs[a][0].waitingSince.Compare(jobs[b][0].waitingSince) })
	for _, i := range aged[:min(len(aged), maxAgedJobs)] {
		p.placeInOrder(jobs[i])
		if slices.ContainsFunc(jobs[i], func(u *unit) bool { return u.state != unitWaiting }) {
			p.agedAt = p.now
			return i
		}
	}
	return -1
}

// placeJobs places the waiting jobs of one priority.
func (p *Planner) placeJobs(waiting []waitingJobs, weights map[string]int, total yuccapaddle.Need) {
	for len(waiting) > 0 {
		holdings := make([]sharer.Holding, len(waiting))
		for i := range waiting {
			holdings[i] = sharer.Holding{Used: p.quotas.Used(waiting[i].workspace), Weight: weights[waiting[i].workspace]}
		}
		i := sharer.Least(holdings, total)
		p.placeInOrder(waiting[i].jobs[0])
		if waiting[i].jobs = waiting[i].jobs[1:]; len(waiting[i].jobs) == 0 {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
}

// splitByWorkspace groups jobs by their workspaces, in the order of the first job of each. It
// leaves out the job at an index.
func splitByWorkspace(jobs [][]*unit, without int) []waitingJobs {
	var list []waitingJobs
	index := map[string]int{}
	for k, units := range jobs {
		if k == without {
			continue
		}
		workspace := units[0].job.spec.Workspace
		i, ok := index[workspace]
		if !ok {
			i = len(list)
			index[workspace] = i
			list = append(list, waitingJobs{workspace: workspace})
		}
		list[i].jobs = append(list[i].jobs, units)
	}
	return list
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

// usableCapacity returns the capacity of all workers that may get new runs.
func (p *Planner) usableCapacity() yuccapaddle.Need {
	total := yuccapaddle.Need{}
	for _, w := range p.workers {
		if p.usable(w) {
			total = total.Add(w.capacity())
		}
	}
	return total
}
