package placer

import (
	"maps"
	"slices"
	"sort"
	"time"

	"yuccapaddle"
)

const (
	// minWaitBeforeMove is how long a request waits before gangs are moved for it.
	minWaitBeforeMove = 2 * time.Second
	// maxMovedGangs limits the gangs that are moved for one request.
	maxMovedGangs = 8
	// maxMoveSearches limits the waiting requests for which one pass looks for gangs
	// to move.
	maxMoveSearches = 4
)

// placeWithMoves looks for a unit in which the request fits once some borrowers have
// been moved to other workers. All moved gangs must fit elsewhere at once, unless
// the request is aged: then they may have to wait. Of several units it chooses the
// one whose moved gangs hold the fewest accelerators. Gangs are moved for only one
// request at a time.
func (p *pass) placeWithMoves(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	var best yuccapaddle.Placement
	r := w.Request
	if p.moveInProgress || p.moveSearches >= maxMoveSearches || p.v.Movable == nil || p.isQuick(r) || p.v.Now.Sub(w.Since) < minWaitBeforeMove {
		return best, false
	}
	p.moveSearches++
	bestCost, found := 0, false
	for _, group := range p.unitGroups(r.Span) {
		members, moves, cost := p.clearGroup(group, w)
		if members == nil || (found && cost >= bestCost) {
			continue
		}
		if !p.isAged(w) && !p.fitElsewhere(members, r, moves) {
			continue
		}
		best = yuccapaddle.Placement{
			Key: r.Key(), Domain: p.v.Workers[group[0]].Domain, Members: members, Claim: true, Moves: moves,
		}
		bestCost, found = cost, true
	}
	p.moveInProgress = found
	return best, found
}

// clearGroup chooses workers of a group for the request, and the gangs to move away
// from them. cost is the number of accelerators that those gangs hold. It must be
// less than the request needs, or at most as much for an aged request; otherwise
// members is nil.
func (p *pass) clearGroup(group []int, w yuccapaddle.Waiting) (members []yuccapaddle.Member, moves []string, cost int) {
	r := w.Request
	moved := map[string]bool{}
	room := p.roomWithout(moved)
	remaining := r.Tasks
	candidates := slices.Clone(group)
	for remaining > 0 {
		i, keys, ok := p.cheapestWorker(candidates, w, moved, room)
		if !ok || len(moved)+len(keys) > maxMovedGangs {
			return nil, nil, 0
		}
		for _, key := range keys {
			moved[key] = true
			moves = append(moves, key)
			cost += p.v.Gangs[key].Need()
		}
		if cost > r.Need() || (cost == r.Need() && !p.isAged(w)) {
			return nil, nil, 0
		}
		room = p.roomWithout(moved)
		n := min(room(i)/r.Accelerators, remaining)
		members = append(members, yuccapaddle.Member{Worker: p.v.Workers[i].Name, First: r.Tasks - remaining, Count: n})
		remaining -= n
		candidates = slices.DeleteFunc(candidates, func(c int) bool { return c == i })
	}
	return members, moves, cost
}

// cheapestWorker returns the worker with the fewest moved accelerators per task that
// it makes room for, and the gangs to move away from it.
func (p *pass) cheapestWorker(workers []int, w yuccapaddle.Waiting, moved map[string]bool, room func(int) int) (best int, moves []string, ok bool) {
	r := w.Request
	bestCostPerTask := 0.0
	for _, i := range workers {
		if w.Avoid[p.v.Workers[i].Name] || p.reserved[i] {
			continue
		}
		tasks, keys, cost := room(i)/r.Accelerators, []string(nil), 0
		if tasks == 0 {
			keys, cost = p.movableOn(i, moved)
			tasks = p.roomAfterMoves(i, keys, room) / r.Accelerators
		}
		if tasks == 0 {
			continue
		}
		costPerTask := float64(cost) / float64(tasks)
		if !ok || costPerTask < bestCostPerTask {
			best, moves, bestCostPerTask, ok = i, keys, costPerTask, true
		}
	}
	return best, moves, ok
}

// roomWithout returns a function that gives a worker's free accelerators once the
// moved gangs have left.
func (p *pass) roomWithout(moved map[string]bool) func(i int) int {
	freed := map[string]int{}
	for key := range moved {
		g := p.v.Gangs[key]
		for _, m := range g.Members {
			freed[m.Worker] += m.Count * g.Accelerators
		}
	}
	return func(i int) int { return p.free[i] + freed[p.v.Workers[i].Name] }
}

// roomAfterMoves adds to a worker's room what the gangs with the keys hold on it.
func (p *pass) roomAfterMoves(i int, keys []string, room func(int) int) int {
	n := room(i)
	for _, key := range keys {
		n += heldOn(p.v.Gangs[key], p.v.Workers[i].Name)
	}
	return n
}

// movableOn returns the borrowers on a worker that can be moved and are not among
// the moved gangs yet, and the number of accelerators that they hold in all.
func (p *pass) movableOn(i int, moved map[string]bool) (keys []string, accelerators int) {
	p.indexGangs()
	for _, g := range p.gangsOn[p.v.Workers[i].Name] {
		if moved[g.Key] || p.isVictim[g.Key] || g.Home != "" || !p.v.Movable(g) {
			continue
		}
		keys = append(keys, g.Key)
		accelerators += g.Need()
	}
	sort.Strings(keys)
	return keys, accelerators
}

// fitElsewhere reports whether all moved gangs, placed largest first, still find
// room after the members have been placed.
func (p *pass) fitElsewhere(members []yuccapaddle.Member, r *yuccapaddle.Request, moves []string) bool {
	trial := *p
	trial.free, trial.rackFree = slices.Clone(p.free), slices.Clone(p.rackFree)
	trial.noBorrowRoom, trial.held = map[borrowKey]bool{}, maps.Clone(p.held)
	gangs := make([]*yuccapaddle.Gang, 0, len(moves))
	for _, key := range moves {
		g := p.v.Gangs[key]
		gangs = append(gangs, g)
		trial.adjustFree(g.Members, g.Accelerators, 1)
	}
	trial.adjustFree(members, r.Accelerators, -1)
	sort.SliceStable(gangs, func(a, b int) bool { return gangs[a].Need() > gangs[b].Need() })
	for _, g := range gangs {
		placement, _, ok := trial.borrow(yuccapaddle.Waiting{Request: p.v.Request(g.Key)})
		if !ok {
			return false
		}
		trial.adjustFree(placement.Members, g.Accelerators, -1)
	}
	return true
}

// adjustFree adds the members' accelerators to the free room, or subtracts them with
// sign -1.
func (p *pass) adjustFree(members []yuccapaddle.Member, accelerators, sign int) {
	for _, m := range members {
		if i, ok := p.v.Index[m.Worker]; ok {
			p.free[i] += sign * m.Count * accelerators
			p.rackFree[p.rackOf[i]] += sign * m.Count * accelerators
		}
	}
}
