package placer

import (
	"sort"

	"yuccapaddle"
)

// placeInHome looks for room in the homes of the request's workspace. It prefers a
// home that is free now, then the one whose evictions lose the least work, then the
// one in the fullest racks.
func (p *pass) placeInHome(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	var best yuccapaddle.Placement
	key := homeKey{w.Request.Workspace, w.Request.Tasks, w.Request.Accelerators, w.Request.Span}
	if p.noHomeRoom[key] && len(w.Avoid) == 0 {
		return best, false
	}
	bestLostWork, bestRoom, found := 0.0, 0, false
	for _, n := range p.homesOf[w.Request.Workspace] {
		h := &p.v.Homes[n]
		members := p.fillHome(h, w)
		if members == nil {
			continue
		}
		victims, lostWork, ok := p.chooseVictims(members, w.Request.Accelerators)
		if !ok {
			continue
		}
		claim := !p.fitsNow(members, w.Request.Accelerators)
		room := p.rackRoom(members)
		better := !found || (best.Claim && !claim)
		if best.Claim == claim {
			better = better || lostWork < bestLostWork || (lostWork == bestLostWork && room < bestRoom)
		}
		if !better {
			continue
		}
		best = yuccapaddle.Placement{
			Key: w.Request.Key(), Domain: h.Domain, Members: members, Home: h.ID, Claim: claim, Victims: victims,
		}
		bestLostWork, bestRoom, found = lostWork, room, true
	}
	if !found && len(w.Avoid) == 0 {
		p.noHomeRoom[key] = true // homes only fill up during a pass
	}
	return best, found
}

// fillHome assigns the tasks to cells of a home that the owner does not use, within
// one unit of the request's span: the unit with the least sufficient room. It
// returns nil if they do not fit.
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

// spread assigns the tasks to the cells with the most room first. Accelerators of a
// cell is here the number of tasks that the cell holds.
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

// fitsNow reports whether the members fit without evictions.
func (p *pass) fitsNow(members []yuccapaddle.Member, accelerators int) bool {
	for _, m := range members {
		if p.free[p.v.Index[m.Worker]] < m.Count*accelerators {
			return false
		}
	}
	return true
}

// chooseVictims selects the gangs to evict so that the members fit, in the order of
// borrowersOn. lostWork is in accelerator-seconds. ok is false if evictions cannot
// make room, which happens only while a home is being moved to other cells.
func (p *pass) chooseVictims(members []yuccapaddle.Member, accelerators int) (keys []string, lostWork float64, ok bool) {
	freed := map[string]int{}
	chosen := map[string]bool{}
	for _, m := range members {
		i := p.v.Index[m.Worker]
		missing := m.Count*accelerators - p.freeLater[i] - freed[m.Worker]
		if missing <= 0 {
			continue
		}
		for _, g := range p.borrowersOn(m.Worker) {
			if missing <= 0 {
				break
			}
			if chosen[g.Key] {
				continue
			}
			chosen[g.Key] = true
			keys = append(keys, g.Key)
			lostWork += p.v.LostWork(g)
			for _, gm := range g.Members {
				freed[gm.Worker] += gm.Count * g.Accelerators
				if gm.Worker == m.Worker {
					missing -= gm.Count * g.Accelerators
				}
			}
		}
		if missing > 0 {
			return nil, 0, false
		}
	}
	return keys, lostWork, true
}

// borrowersOn returns the gangs that may be evicted from a worker: repeatable ones
// first, then those that lose the least work.
func (p *pass) borrowersOn(worker string) []*yuccapaddle.Gang {
	p.indexGangs()
	var out []*yuccapaddle.Gang
	for _, g := range p.gangsOn[worker] {
		if !p.isVictim[g.Key] && !p.homeWorkers[g.Home][worker] {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		ra, rb := p.v.Request(out[a].Key).Repeatable, p.v.Request(out[b].Key).Repeatable
		if ra != rb {
			return ra
		}
		la, lb := p.v.LostWork(out[a]), p.v.LostWork(out[b])
		if la != lb {
			return la < lb
		}
		return out[a].Key < out[b].Key
	})
	return out
}

// indexGangs fills gangsOn on first use; gangs that are being evicted are left out.
func (p *pass) indexGangs() {
	if p.gangsOn != nil {
		return
	}
	p.gangsOn = map[string][]*yuccapaddle.Gang{}
	for _, g := range p.v.Gangs {
		if g.WillLeave() {
			continue
		}
		for _, m := range g.Members {
			p.gangsOn[m.Worker] = append(p.gangsOn[m.Worker], g)
		}
	}
}
