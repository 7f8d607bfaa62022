package placer

import (
	"sort"

	"yuccapaddle"
)

// borrow looks for free accelerators on any usable worker, whether or not they
// belong to a home. fromHomes counts the accelerators of the placement that lie in
// cells of homes.
func (p *pass) borrow(w yuccapaddle.Waiting) (best yuccapaddle.Placement, fromHomes int, ok bool) {
	r := w.Request
	key := borrowKey{tasks: r.Tasks, accelerators: r.Accelerators, span: r.Span, quick: p.isQuick(r)}
	if p.noBorrowRoom[key] && len(w.Avoid) == 0 {
		return best, 0, false
	}
	var score [scoreCriteria]int
	for _, group := range p.unitGroups(r.Span) {
		members := p.fillGroup(group, w)
		if members == nil {
			continue
		}
		s := p.score(group, members, r)
		if ok && !less(s, score) {
			continue
		}
		score, ok = s, true
		best = yuccapaddle.Placement{Key: r.Key(), Domain: p.v.Workers[group[0]].Domain, Members: members}
	}
	if !ok && len(w.Avoid) == 0 {
		p.noBorrowRoom[key] = true // free room only shrinks during a pass
	}
	if ok {
		fromHomes = score[scoreFromHomes]
	}
	return best, fromHomes, ok
}

// Criteria of a score, the most important first.
const (
	scoreRegion     = iota // 1 for a region other than the one requested
	scoreRacks             // number of racks used
	scoreRackRoom          // free room of those racks; packing full racks keeps the others whole for large gangs
	scoreFromHomes         // accelerators taken from cells of homes
	scoreWorkerRoom        // free room left on the chosen workers
	scoreCriteria
)

// score rates a candidate placement; the lowest score, compared criterion by
// criterion, is the best.
func (p *pass) score(group []int, members []yuccapaddle.Member, r *yuccapaddle.Request) [scoreCriteria]int {
	var s [scoreCriteria]int
	racks := map[string]bool{}
	for _, m := range members {
		i := p.v.Index[m.Worker]
		racks[p.v.Workers[i].Rack] = true
		needed := m.Count * r.Accelerators
		outsideHomes := p.v.Workers[i].Accelerators - p.inHomes[i]
		s[scoreFromHomes] += max(needed-min(outsideHomes, p.free[i]), 0)
		s[scoreWorkerRoom] += p.free[i] - needed
	}
	if r.Region != "" && p.v.Workers[group[0]].Region != r.Region {
		s[scoreRegion] = 1
	}
	s[scoreRacks] = len(racks)
	s[scoreRackRoom] = p.rackRoom(members)
	return s
}

func less(a, b [scoreCriteria]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// unitGroups groups the usable workers by the span's units.
func (p *pass) unitGroups(span yuccapaddle.Span) [][]int {
	if groups, ok := p.groupsBySpan[span]; ok {
		return groups
	}
	byName := map[string]int{}
	var out [][]int
	for i := range p.v.Workers {
		if !p.v.Workers[i].Usable {
			continue
		}
		name := p.v.Workers[i].Unit(span)
		n, ok := byName[name]
		if !ok {
			n = len(out)
			byName[name] = n
			out = append(out, nil)
		}
		out[n] = append(out[n], i)
	}
	p.groupsBySpan[span] = out
	return out
}

// fillGroup assigns the tasks to as few racks of the group as possible and, within
// a rack, by best fit, so that large free blocks stay whole. It returns nil if the
// tasks do not fit.
func (p *pass) fillGroup(group []int, w yuccapaddle.Waiting) []yuccapaddle.Member {
	r := w.Request
	total := 0
	byRack := map[string][]int{}
	var racks []string
	room := map[string]int{}
	for _, i := range group {
		n := p.free[i] / r.Accelerators
		if n <= 0 || w.Avoid[p.v.Workers[i].Name] || (p.reserved[i] && !p.mayBackfill(r)) {
			continue
		}
		rack := p.v.Workers[i].Rack
		if len(byRack[rack]) == 0 {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], i)
		room[rack] += n
		total += n
	}
	if total < r.Tasks {
		return nil
	}
	var chosen []int
	remaining := r.Tasks
	for remaining > 0 {
		rack := pickRack(racks, room, remaining)
		picked := p.pickWorkers(byRack[rack], r.Accelerators, remaining)
		chosen = append(chosen, picked...)
		remaining -= room[rack]
		room[rack] = 0
	}
	return p.assignRanks(chosen, r)
}

// pickRack returns the rack with the least room that holds all tasks or, if none
// does, the one with the most room. Room is counted in tasks.
func pickRack(racks []string, room map[string]int, tasks int) string {
	best := racks[0]
	for _, name := range racks[1:] {
		a, b := room[name], room[best]
		enoughA, enoughB := a >= tasks, b >= tasks
		if (enoughA && !enoughB) || (enoughA && enoughB && a < b) || (!enoughA && !enoughB && a > b) {
			best = name
		}
	}
	return best
}

// pickWorkers selects workers of a rack, those with the most room first, until all
// tasks are assigned; the last tasks go to the worker with the least sufficient
// room.
func (p *pass) pickWorkers(workers []int, accelerators, tasks int) []int {
	fits := func(i int) int { return p.free[i] / accelerators }
	sort.SliceStable(workers, func(a, b int) bool { return fits(workers[a]) > fits(workers[b]) })
	var out []int
	for n, i := range workers {
		if tasks <= 0 {
			break
		}
		if fits(i) > tasks {
			i = tightest(workers[n:], fits, tasks)
		}
		out = append(out, i)
		tasks -= fits(i)
	}
	return out
}

// tightest returns the worker with the least room that holds all tasks.
func tightest(workers []int, fits func(int) int, tasks int) int {
	best := workers[0]
	for _, i := range workers {
		if fits(i) >= tasks && fits(i) < fits(best) {
			best = i
		}
	}
	return best
}

// assignRanks assigns consecutive ranks to the workers, in order.
func (p *pass) assignRanks(workers []int, r *yuccapaddle.Request) []yuccapaddle.Member {
	var out []yuccapaddle.Member
	first := 0
	for _, i := range workers {
		n := min(p.free[i]/r.Accelerators, r.Tasks-first)
		if n <= 0 {
			break
		}
		out = append(out, yuccapaddle.Member{Worker: p.v.Workers[i].Name, First: first, Count: n})
		first += n
	}
	return out
}

// mayBackfill reports whether a request may use room that is reserved for an aged
// gang: it ends soon, or it can be moved once the rest of the room is free.
func (p *pass) mayBackfill(r *yuccapaddle.Request) bool {
	return p.isQuick(r) || r.Repeatable
}

// reserveFor reserves the unit that will have the most room for an aged gang that
// could not be placed: of borrowers, only requests that may backfill are placed
// there. Only the first such gang of a pass gets a reservation. Units in which
// owners use so much of their homes that the gang would not fit even without any
// borrowers are skipped.
func (p *pass) reserveFor(w yuccapaddle.Waiting) {
	if !p.isAged(w) || len(p.reserved) > 0 {
		return
	}
	var best []int
	bestRoom := -1
	for _, group := range p.unitGroups(w.Request.Span) {
		reclaimable, room := 0, 0
		for _, i := range group {
			reclaimable += (p.v.Workers[i].Accelerators - p.heldByOwners(i)) / w.Request.Accelerators
			room += p.freeLater[i] / w.Request.Accelerators
		}
		if reclaimable >= w.Request.Tasks && room > bestRoom {
			best, bestRoom = group, room
		}
	}
	for _, i := range best {
		p.reserved[i] = true
	}
}

// heldByOwners returns the number of a worker's accelerators that are held by gangs
// placed in homes of their own workspace.
func (p *pass) heldByOwners(i int) int {
	p.indexGangs()
	name, n := p.v.Workers[i].Name, 0
	for _, g := range p.gangsOn[name] {
		if g.Home != "" {
			n += heldOn(g, name)
		}
	}
	return n
}

// heldOn returns the number of accelerators that a gang holds on a worker.
func heldOn(g *yuccapaddle.Gang, worker string) int {
	n := 0
	for _, m := range g.Members {
		if m.Worker == worker {
			n += m.Count * g.Accelerators
		}
	}
	return n
}
