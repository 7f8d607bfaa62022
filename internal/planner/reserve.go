package planner

import (
	"time"

	"yuccapaddle"
)

// Load pattern: urgent gangs arrive in bursts on a cluster that wide batch jobs have
// filled. Each gang preempts tasks that have run for some seconds; they are started
// again and preempted by the next gang. So jobs that are not urgent leave as many
// accelerators on empty workers as the recent peak of urgent demand exceeds the current
// demand.

const (
	// reserveWindow is how far back the peak of urgent demand is taken.
	reserveWindow = 8 * time.Second
	// maxReserveShare is the largest share of all accelerators that is kept free.
	maxReserveShare = 0.35
	// minReserveUtilization is the utilization of the cluster below which none are kept.
	minReserveUtilization = 0.55
	// reserveSlackShare is the share of its slack after which a waiting unit may use the
	// reserve.
	reserveSlackShare = 0.4
)

// demandPeak is the urgent demand at a time, in accelerators.
type demandPeak struct {
	at     time.Time
	demand int
}

// recordUrgentDemand records how many accelerators urgent jobs hold or wait for.
func (p *Planner) recordUrgentDemand() {
	demand := 0
	for _, j := range p.jobs {
		if j.state.Final() || p.priority(j) != 0 {
			continue
		}
		for _, u := range j.units {
			switch {
			case u.live():
				demand += u.liveMembers() * u.stepSpec().Need.GPU
			case u.state == unitWaiting && u.ready():
				demand += u.width() * u.stepSpec().Need.GPU
			}
		}
	}
	p.urgentDemand = demand
	// An earlier demand that is not higher can no longer be the peak of the window.
	for len(p.demandPeaks) > 0 && p.demandPeaks[len(p.demandPeaks)-1].demand <= demand {
		p.demandPeaks = p.demandPeaks[:len(p.demandPeaks)-1]
	}
	p.demandPeaks = append(p.demandPeaks, demandPeak{p.now, demand})
	for p.now.Sub(p.demandPeaks[0].at) > reserveWindow {
		p.demandPeaks = p.demandPeaks[1:]
	}
}

// reserveSize returns the number of accelerators on empty workers that jobs which are not
// urgent have to leave free; there is no reserve if it is 0 or less.
func (p *Planner) reserveSize() int {
	if len(p.demandPeaks) == 0 {
		return 0
	}
	total, used := yuccapaddle.Need{}, yuccapaddle.Need{}
	for _, w := range p.workers {
		if p.usable(w) {
			total, used = total.Add(w.capacity()), used.Add(w.used)
		}
	}
	if utilization(used, total) < minReserveUtilization {
		return 0
	}
	return min(p.demandPeaks[0].demand-p.urgentDemand, int(maxReserveShare*float64(total.GPU)))
}

// utilization returns the share in use of the resource that is used most, from 0 to 1.
func utilization(used, total yuccapaddle.Need) float64 {
	return max(ratio(used.CPU, total.CPU), ratio(used.Memory, total.Memory), ratio(used.GPU, total.GPU))
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// excludeReserve leaves out as many empty workers as are kept free for urgent jobs, unless
// the unit is urgent itself or has waited enough.
func (p *Planner) excludeReserve(u *unit, candidates []candidate) []candidate {
	if p.noReserve || u.job.priority == 0 || p.waitedEnough(u) {
		return candidates
	}
	keep := p.reserveSize()
	if keep <= 0 {
		return candidates
	}
	empty := 0
	for _, c := range candidates {
		if c.w.used == (yuccapaddle.Need{}) {
			empty += c.w.capacity().GPU
		}
	}
	list := candidates[:0:0]
	for _, c := range candidates {
		if c.w.used == (yuccapaddle.Need{}) {
			if empty-c.w.capacity().GPU < keep {
				continue
			}
			empty -= c.w.capacity().GPU
		}
		list = append(list, c)
	}
	return list
}

// waitedEnough reports whether a unit has waited for such a share of its slack that it may
// use the reserve. Its slack is the time that its queue's objective leaves beyond its
// estimated run time.
func (p *Planner) waitedEnough(u *unit) bool {
	terms, ok := p.rules.TermsOf(u.job.spec)
	if !ok {
		return false
	}
	slack := max(terms.Stretch-1, 0)*float64(u.stepSpec().Estimate) + float64(terms.ObjectiveMS)
	return p.now.Sub(u.waitingSince).Seconds()*1000 > reserveSlackShare*slack
}
