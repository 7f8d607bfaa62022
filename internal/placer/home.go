package placer

import (
	"sort"

	"yuccapaddle"
)

// placeHome looks for the home of the request's workspace that costs the least
// lost work.
func (p *pass) placeHome(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	var best yuccapaddle.Placement
	key := homeKey{w.Request.Workspace, w.Request.Tasks, w.Request.Accelerators, w.Request.Span}
	if p.homeless[key] && len(w.Avoid) == 0 {
		return best, false
	}
	bestLost, bestRoom, found := 0.0, 0, false
	for _, n := range p.homes[w.Request.Workspace] {
		h := &p.v.Homes[n]
		members := p.fillHome(h, w)
		if members == nil {
			continue
		}
		victims, lost, ok := p.victims(members, w.Request.Accelerators)
		if !ok {
			continue
		}
		claim := !p.fitsNow(members, w.Request.Accelerators)
		room := p.roomAround(members)
		better := !found || (best.Claim && !claim)
		if best.Claim == claim {
			better = better || lost < bestLost || (lost == bestLost && room < bestRoom)
		}
		if !better {
			continue
		}
		best = yuccapaddle.Placement{
			Key: w.Request.Key(), Domain: h.Domain, Members: members, Home: h.ID, Claim: claim, Victims: victims,
		}
		bestLost, bestRoom, found = lost, room, true
	}
	if !found && len(w.Avoid) == 0 {
		p.homeless[key] = true // homes only fill up within a pass
	}
	return best, found
}

// fillHome spreads the tasks over the cells of a home that the owner does not
// use yet, within the span of the request. It returns nil if they do not fit.
func (p *pass) fillHome(h *yuccapaddle.Home, w yuccapaddle.Waiting) []yuccapaddle.Member {
	r := w.Request
	used := p.homeUsed[h.ID]
	fits := map[string]int{}
	var units []string
	cells := map[string][]yuccapaddle.Cell{}
	for _, c := range h.Cells {
		i, ok := p.v.Index[c.Worker]
		if !ok || !p.v.Workers[i].Usable || w.Avoid[c.Worker] {
			continue
		}
		n := (c.Accelerators - used[c.Worker]) / r.Accelerators
		if n <= 0 {
			continue
		}
		unit := p.v.Workers[i].Unit(r.Span)
		if fits[unit] == 0 {
			units = append(units, unit)
		}
		fits[unit] += n
		c.Accelerators = n
		cells[unit] = append(cells[unit], c)
	}
	sort.SliceStable(units, func(a, b int) bool { return fits[units[a]] < fits[units[b]] })
	for _, unit := range units {
		if fits[unit] >= r.Tasks {
			return spread(cells[unit], r.Tasks)
		}
	}
	return nil
}

// spread fills the cells in order; a cell's Accelerators is the number of tasks
// that it can take.
func spread(cells []yuccapaddle.Cell, tasks int) []yuccapaddle.Member {
	sort.SliceStable(cells, func(a, b int) bool { return cells[a].Accelerators > cells[b].Accelerators })
	var out []yuccapaddle.Member
	first := 0
	for _, c := range cells {
		n := min(c.Accelerators, tasks-first)
		if n == 0 {
			break
		}
		out = append(out, yuccapaddle.Member{Worker: c.Worker, First: first, Count: n})
		first += n
	}
	return out
}

func (p *pass) fitsNow(members []yuccapaddle.Member, accelerators int) bool {
	for _, m := range members {
		if p.free[p.v.Index[m.Worker]] < m.Count*accelerators {
			return false
		}
	}
	return true
}

// victims picks the gangs to evict so that the members fit, those that lose the
// least work first. ok is false if evictions cannot make room, which happens
// only while a home is being moved.
func (p *pass) victims(members []yuccapaddle.Member, accelerators int) (keys []string, lost float64, ok bool) {
	gain := map[string]int{}
	chosen := map[string]bool{}
	for _, m := range members {
		i := p.v.Index[m.Worker]
		short := m.Count*accelerators - p.later[i] - gain[m.Worker]
		if short <= 0 {
			continue
		}
		for _, g := range p.borrowersOn(m.Worker) {
			if short <= 0 {
				break
			}
			if chosen[g.Key] {
				continue
			}
			chosen[g.Key] = true
			keys = append(keys, g.Key)
			lost += p.v.Lost(g)
			for _, gm := range g.Members {
				gain[gm.Worker] += gm.Count * g.Accelerators
				if gm.Worker == m.Worker {
					short -= gm.Count * g.Accelerators
				}
			}
		}
		if short > 0 {
			return nil, 0, false
		}
	}
	return keys, lost, true
}

// borrowersOn lists the gangs that may be evicted from a worker, the least loss
// first, and those that can be run again before those that can't.
func (p *pass) borrowersOn(worker string) []*yuccapaddle.Gang {
	p.indexGangs()
	var out []*yuccapaddle.Gang
	for _, g := range p.onWorker[worker] {
		if !p.victim[g.Key] && !p.homeHas[g.Home][worker] {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		ra, rb := p.v.Request(out[a].Key).Repeatable, p.v.Request(out[b].Key).Repeatable
		if ra != rb {
			return ra
		}
		la, lb := p.v.Lost(out[a]), p.v.Lost(out[b])
		if la != lb {
			return la < lb
		}
		return out[a].Key < out[b].Key
	})
	return out
}

func (p *pass) indexGangs() {
	if p.onWorker != nil {
		return
	}
	p.onWorker = map[string][]*yuccapaddle.Gang{}
	for _, g := range p.v.Gangs {
		if g.Leaving() {
			continue
		}
		for _, m := range g.Members {
			p.onWorker[m.Worker] = append(p.onWorker[m.Worker], g)
		}
	}
}
