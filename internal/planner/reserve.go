package planner

import (
	"time"

	"yuccapaddle"
)

// Load pattern: urgent gangs come in bursts on a cluster that wide batch jobs
// have filled. Each gang then stops tasks that have run for some seconds, which
// start again and are stopped again by the next. So work that can wait leaves as
// many workers empty as urgent work has lately needed beyond what it needs now.

const (
	// reserveWindow is how far back the need of urgent work is looked at.
	reserveWindow = 8 * time.Second
	// reserveMost is the largest part of all accelerators that is kept free, and
	// reserveFrom the part in use from which anything is.
	reserveMost = 0.35
	reserveFrom = 0.55
	// reserveWait is the part of its slack that a job waits for the reserve.
	reserveWait = 0.4
)

// peak is the need of urgent work at a time, in accelerators.
type peak struct {
	at   time.Time
	need int
}

// observeUrgent notes how many accelerators urgent work holds or waits for.
func (p *Planner) observeUrgent() {
	need := 0
	for _, j := range p.jobs {
		if j.state.Final() || p.priority(j) != 0 {
			continue
		}
		for _, u := range j.units {
			switch {
			case u.live():
				need += u.held() * u.spec().Need.GPU
			case u.state == unitWaiting && u.ready():
				need += u.width() * u.spec().Need.GPU
			}
		}
	}
	p.urgent = need
	// Only peaks that no later one exceeds can become the highest.
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].need <= need {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, peak{p.now, need})
	for p.now.Sub(p.peaks[0].at) > reserveWindow {
		p.peaks = p.peaks[1:]
	}
}

// reserve is the number of accelerators on empty workers that work which can
// wait has to leave alone.
func (p *Planner) reserve() int {
	if len(p.peaks) == 0 {
		return 0
	}
	total, used := yuccapaddle.Need{}, yuccapaddle.Need{}
	for _, s := range p.workers {
		if p.usable(s) {
			total, used = total.Add(s.Capacity), used.Add(s.used)
		}
	}
	if part(used, total) < reserveFrom {
		return 0
	}
	return min(p.peaks[0].need-p.urgent, int(reserveMost*float64(total.GPU)))
}

// part is the largest part of any kind of capacity that is in use.
func part(used, total yuccapaddle.Need) float64 {
	return max(ratio(used.CPU, total.CPU), ratio(used.Memory, total.Memory), ratio(used.GPU, total.GPU))
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// spare takes from the rooms of a unit that can wait the empty workers that are
// kept for urgent work.
func (p *Planner) spare(u *unit, rooms []room) []room {
	if p.unreserved || u.job.priority == 0 || p.overdue(u) {
		return rooms
	}
	keep := p.reserve()
	if keep <= 0 {
		return rooms
	}
	empty := 0
	for _, r := range rooms {
		if r.s.used == (yuccapaddle.Need{}) {
			empty += r.s.Capacity.GPU
		}
	}
	list := rooms[:0:0]
	for _, r := range rooms {
		if r.s.used == (yuccapaddle.Need{}) {
			if empty-r.s.Capacity.GPU < keep {
				continue
			}
			empty -= r.s.Capacity.GPU
		}
		list = append(list, r)
	}
	return list
}

// overdue reports whether a unit has waited for so much of its slack that it
// should not wait for the sake of urgent work that may come.
func (p *Planner) overdue(u *unit) bool {
	q := p.rules.Queue(u.job.in.Queue)
	if q == nil {
		return false
	}
	slack := max(q.Stretch-1, 0)*float64(u.spec().Estimate) + float64(q.ObjectiveMS)
	return p.now.Sub(u.waitsFrom).Seconds()*1000 > reserveWait*slack
}
