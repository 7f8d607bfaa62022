package placer

import (
	"maps"
	"slices"
	"sort"
	"time"

	"yuccapaddle"
)

const (
	// moveWait is how long a gang waits before others are moved for it.
	moveWait = 2 * time.Second
	// movesAtOnce is the largest number of gangs moved for one request.
	movesAtOnce = 8
	// moveTries is the number of waiting requests for which a pass looks for
	// moves.
	moveTries = 4
)

// makeRoom looks for a unit in which the request fits once some borrowers have
// gone on elsewhere, where there is room for all of them; borrowers of an aged
// gang's room may have to wait. It moves the least work that will do, and only
// for one request at a time.
func (p *pass) makeRoom(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	var best yuccapaddle.Placement
	r := w.Request
	if p.moving || p.moveTries >= moveTries || p.v.Movable == nil || p.quick(r) || p.v.Now.Sub(w.Since) < moveWait {
		return best, false
	}
	p.moveTries++
	bestCost, found := 0, false
	for _, group := range p.unitGroups(r.Span) {
		members, moves, cost := p.clear(group, w)
		if members == nil || (found && cost >= bestCost) {
			continue
		}
		if !p.aged(w) && !p.fitElsewhere(members, r, moves) {
			continue
		}
		best = yuccapaddle.Placement{
			Key: r.Key(), Domain: p.v.Workers[group[0]].Domain, Members: members, Claim: true, Moves: moves,
		}
		bestCost, found = cost, true
	}
	p.moving = found
	return best, found
}

// clear chooses workers of a group for the request, and the gangs that have to
// leave them. cost is the number of accelerators that those gangs hold. members
// is nil if the group cannot be cleared for less than the request needs, or for
// as much if it is aged.
func (p *pass) clear(group []int, w yuccapaddle.Waiting) (members []yuccapaddle.Member, moves []string, cost int) {
	r := w.Request
	gone := map[string]bool{}
	room := p.roomWithout(gone)
	left := r.Tasks
	candidates := slices.Clone(group)
	for left > 0 {
		i, keys, ok := p.cheapest(candidates, w, gone, room)
		if !ok || len(gone)+len(keys) > movesAtOnce {
			return nil, nil, 0
		}
		for _, key := range keys {
			gone[key] = true
			moves = append(moves, key)
			cost += p.v.Gangs[key].Need()
		}
		if cost > r.Need() || (cost == r.Need() && !p.aged(w)) {
			return nil, nil, 0
		}
		room = p.roomWithout(gone)
		n := min(room(i)/r.Accelerators, left)
		members = append(members, yuccapaddle.Member{Worker: p.v.Workers[i].Name, First: r.Tasks - left, Count: n})
		left -= n
		candidates = slices.DeleteFunc(candidates, func(c int) bool { return c == i })
	}
	return members, moves, cost
}

// cheapest returns the worker that gives room for a task with the fewest moved
// accelerators for each task, and the gangs that have to leave it.
func (p *pass) cheapest(workers []int, w yuccapaddle.Waiting, gone map[string]bool, room func(int) int) (best int, moves []string, ok bool) {
	r := w.Request
	bestPrice := 0.0
	for _, i := range workers {
		if w.Avoid[p.v.Workers[i].Name] || p.reserved[i] {
			continue
		}
		slots, keys, cost := room(i)/r.Accelerators, []string(nil), 0
		if slots == 0 {
			keys, cost = p.movableOn(i, gone)
			slots = p.clearedRoom(i, keys, room) / r.Accelerators
		}
		if slots == 0 {
			continue
		}
		price := float64(cost) / float64(slots)
		if !ok || price < bestPrice {
			best, moves, bestPrice, ok = i, keys, price, true
		}
	}
	return best, moves, ok
}

// roomWithout returns the free room of each worker once some gangs have gone.
func (p *pass) roomWithout(gone map[string]bool) func(i int) int {
	gain := map[string]int{}
	for key := range gone {
		g := p.v.Gangs[key]
		for _, m := range g.Members {
			gain[m.Worker] += m.Count * g.Accelerators
		}
	}
	return func(i int) int { return p.free[i] + gain[p.v.Workers[i].Name] }
}

func (p *pass) clearedRoom(i int, keys []string, room func(int) int) int {
	n := room(i)
	for _, key := range keys {
		n += heldOn(p.v.Gangs[key], p.v.Workers[i].Name)
	}
	return n
}

// movableOn lists the borrowers on a worker that can be moved and are not yet
// among those that go, and the accelerators that they hold.
func (p *pass) movableOn(i int, gone map[string]bool) (keys []string, need int) {
	p.indexGangs()
	for _, g := range p.onWorker[p.v.Workers[i].Name] {
		if gone[g.Key] || p.victim[g.Key] || g.Home != "" || !p.v.Movable(g) {
			continue
		}
		keys = append(keys, g.Key)
		need += g.Need()
	}
	sort.Strings(keys)
	return keys, need
}

// fitElsewhere reports whether the moved gangs find room, the largest first,
// when the request has what it needs.
func (p *pass) fitElsewhere(members []yuccapaddle.Member, r *yuccapaddle.Request, moves []string) bool {
	trial := *p
	trial.free, trial.rackFree = slices.Clone(p.free), slices.Clone(p.rackFree)
	trial.barred, trial.held = map[borrowKey]bool{}, maps.Clone(p.held)
	gangs := make([]*yuccapaddle.Gang, 0, len(moves))
	for _, key := range moves {
		g := p.v.Gangs[key]
		gangs = append(gangs, g)
		trial.shift(g.Members, g.Accelerators, 1)
	}
	trial.shift(members, r.Accelerators, -1)
	sort.SliceStable(gangs, func(a, b int) bool { return gangs[a].Need() > gangs[b].Need() })
	for _, g := range gangs {
		placement, _, ok := trial.borrow(yuccapaddle.Waiting{Request: p.v.Request(g.Key)})
		if !ok {
			return false
		}
		trial.shift(placement.Members, g.Accelerators, -1)
	}
	return true
}

// shift gives the members' accelerators back, or takes them with sign -1.
func (p *pass) shift(members []yuccapaddle.Member, accelerators, sign int) {
	for _, m := range members {
		if i, ok := p.v.Index[m.Worker]; ok {
			p.free[i] += sign * m.Count * accelerators
			p.rackFree[p.rackOf[i]] += sign * m.Count * accelerators
		}
	}
}
