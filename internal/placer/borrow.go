package placer

import (
	"sort"

	"yuccapaddle"
)

// borrow looks for free cells anywhere. intrusion counts the accelerators taken
// from workers whose unowned room does not suffice.
func (p *pass) borrow(w yuccapaddle.Waiting) (best yuccapaddle.Placement, intrusion int, ok bool) {
	r := w.Request
	key := borrowKey{tasks: r.Tasks, accelerators: r.Accelerators, span: r.Span, quick: p.quick(r)}
	if p.barred[key] && len(w.Avoid) == 0 {
		return best, 0, false
	}
	var score [scoreParts]int
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
		p.barred[key] = true // free room only shrinks within a pass
	}
	if ok {
		intrusion = score[scoreIntrusion]
	}
	return best, intrusion, ok
}

// Parts of a score, the most important first.
const (
	scoreRegion    = iota // 1 for a region other than the caller's
	scoreRacks            // racks used
	scoreRoom             // free room of those racks: the others stay whole for large gangs
	scoreIntrusion        // accelerators taken from homes
	scoreLeft             // room left on the workers themselves
	scoreParts
)

// score orders candidate placements, less is better.
func (p *pass) score(group []int, members []yuccapaddle.Member, r *yuccapaddle.Request) [scoreParts]int {
	var s [scoreParts]int
	racks := map[string]bool{}
	for _, m := range members {
		i := p.v.Index[m.Worker]
		racks[p.v.Workers[i].Rack] = true
		take := m.Count * r.Accelerators
		unowned := p.v.Workers[i].Accelerators - p.owner[i]
		s[scoreIntrusion] += max(take-min(unowned, p.free[i]), 0)
		s[scoreLeft] += p.free[i] - take
	}
	if r.Region != "" && p.v.Workers[group[0]].Region != r.Region {
		s[scoreRegion] = 1
	}
	s[scoreRacks] = len(racks)
	s[scoreRoom] = p.roomAround(members)
	return s
}

func less(a, b [scoreParts]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// unitGroups splits the usable workers into the units of a span.
func (p *pass) unitGroups(span yuccapaddle.Span) [][]int {
	if groups, ok := p.groups[span]; ok {
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
	p.groups[span] = out
	return out
}

// fillGroup spreads the tasks over the fewest racks of a group, then over the
// workers with the least sufficient room, so that large cells stay whole.
func (p *pass) fillGroup(group []int, w yuccapaddle.Waiting) []yuccapaddle.Member {
	r := w.Request
	total := 0
	byRack := map[string][]int{}
	var racks []string
	room := map[string]int{}
	for _, i := range group {
		n := p.free[i] / r.Accelerators
		if n <= 0 || w.Avoid[p.v.Workers[i].Name] || (p.reserved[i] && !p.backfills(r)) {
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
	left := r.Tasks
	for left > 0 {
		rack := pickRack(racks, room, left)
		picked := p.pickWorkers(byRack[rack], r.Accelerators, left)
		chosen = append(chosen, picked...)
		left -= room[rack]
		room[rack] = 0
	}
	return p.members(chosen, r)
}

// pickRack returns the rack with the least room that suffices, else the one
// with the most.
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

// pickWorkers orders a rack's workers so that the tasks fill whole workers and
// the remainder goes to the tightest one that takes it.
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

func tightest(workers []int, fits func(int) int, tasks int) int {
	best := workers[0]
	for _, i := range workers {
		if fits(i) >= tasks && fits(i) < fits(best) {
			best = i
		}
	}
	return best
}

func (p *pass) members(workers []int, r *yuccapaddle.Request) []yuccapaddle.Member {
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

// backfills reports whether a request may use room that is reserved for an aged
// gang: it is over soon, or it can be moved when the rest of the room is there.
func (p *pass) backfills(r *yuccapaddle.Request) bool {
	return p.quick(r) || r.Repeatable
}

// reserveFor keeps the largest unit of workers free of further borrowers for an
// aged gang that finds no room. Only the first such gang of a pass gets one. A
// unit does not count where owners use so much of their homes that the gang
// would not fit even if all borrowers left.
func (p *pass) reserveFor(w yuccapaddle.Waiting) {
	if !p.aged(w) || len(p.reserved) > 0 {
		return
	}
	var best []int
	bestRoom := -1
	for _, group := range p.unitGroups(w.Request.Span) {
		whole, room := 0, 0
		for _, i := range group {
			whole += (p.v.Workers[i].Accelerators - p.usedAtHome(i)) / w.Request.Accelerators
			room += p.later[i] / w.Request.Accelerators
		}
		if whole >= w.Request.Tasks && room > bestRoom {
			best, bestRoom = group, room
		}
	}
	for _, i := range best {
		p.reserved[i] = true
	}
}

// usedAtHome is the number of a worker's accelerators that gangs hold which were
// placed in their own homes.
func (p *pass) usedAtHome(i int) int {
	p.indexGangs()
	name, n := p.v.Workers[i].Name, 0
	for _, g := range p.onWorker[name] {
		if g.Home != "" {
			n += heldOn(g, name)
		}
	}
	return n
}

// heldOn is the number of accelerators that a gang holds on a worker.
func heldOn(g *yuccapaddle.Gang, worker string) int {
	n := 0
	for _, m := range g.Members {
		if m.Worker == worker {
			n += m.Count * g.Accelerators
		}
	}
	return n
}
