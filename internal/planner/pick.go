package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// room is what a worker offers to one unit.
type room struct {
	s     *worker
	free  yuccapaddle.Need
	tasks int  // that fit
	rests bool // it has failed of late
}

// pick chooses a worker for each task of a unit, nil if there is no room.
// reserved is room that is kept for others.
func (p *Planner) pick(u *unit, reserved map[string]yuccapaddle.Need) []string {
	rooms := p.rooms(u, u.width(), reserved)
	if p.careful(u) {
		if list := p.choose(u, p.proven(rooms)); list != nil {
			return list
		}
	}
	return p.choose(u, rooms)
}

// choose takes a room for each task of a unit, nil if there are too few.
func (p *Planner) choose(u *unit, rooms []room) []string {
	step, n := u.spec(), u.width()
	if step.DataRack != "" {
		if list := fill(inRack(rooms, step.DataRack), n); list != nil || p.patient(u, step.DataRack) {
			return list
		}
	}
	if step.Span != "" {
		return inSpan(rooms, step.Span, n)
	}
	if step.Gang && n > 1 {
		if list := oneRack(rooms, n); list != nil {
			return list
		}
		if step.OneRack && p.patient(u, "") {
			return nil
		}
		return fewestRacks(rooms, n)
	}
	return fill(rooms, n)
}

// pickSome chooses workers for as many as it can of n single tasks like the unit.
func (p *Planner) pickSome(u *unit, n int, reserved map[string]yuccapaddle.Need) []string {
	rooms := p.rooms(u, n, reserved)
	rack := u.spec().DataRack
	if rack == "" {
		return take(rooms, n)
	}
	list := take(inRack(rooms, rack), n)
	if len(list) == n || p.patient(u, rack) {
		return list
	}
	rest := slices.DeleteFunc(rooms, func(r room) bool { return r.s.Rack == rack })
	return append(list, take(rest, n-len(list))...)
}

// patient reports whether a unit should go on waiting for a rack of its own
// rather than run slowly now.
func (p *Planner) patient(u *unit, rack string) bool {
	if !p.rackCouldHold(u, rack) {
		return false
	}
	wait := time.Duration(u.spec().Estimate) * time.Millisecond * time.Duration(p.limits.Remote-1)
	until := u.waitsFrom.Add(wait)
	if p.now.Before(until) {
		p.wakeBy(until)
		return true
	}
	return false
}

// rackCouldHold reports whether a rack (any, if none is named) is large enough
// for the unit when it is empty.
func (p *Planner) rackCouldHold(u *unit, rack string) bool {
	count := map[string]int{}
	for _, s := range p.workers {
		if (rack == "" || s.Rack == rack) && p.usable(s) && p.suits(u, s) {
			count[s.Rack] += tasksIn(u, u.width(), s.Capacity, u.spec().PerWorker)
		}
	}
	for _, n := range count {
		if n >= u.width() {
			return true
		}
	}
	return false
}

// suits reports whether a worker may run the unit now.
func (p *Planner) suits(u *unit, s *worker) bool {
	return p.fitsKind(u, s) && p.ticketed(u, s)
}

// fitsKind reports whether a worker is of the service and kind that the unit
// needs.
func (p *Planner) fitsKind(u *unit, s *worker) bool {
	return s.Service == p.service(u.job) && (u.spec().Label == "" || s.label(u.spec().Label))
}

// rooms lists the workers with room for some of n tasks, those with the least room
// left first; workers that have failed of late come last.
func (p *Planner) rooms(u *unit, n int, reserved map[string]yuccapaddle.Need) []room {
	var list []room
	for id, s := range p.workers {
		if !p.usable(s) || !p.suits(u, s) || p.now.Before(u.avoid[id]) {
			continue
		}
		free := s.free().Sub(reserved[id])
		if fit := tasksIn(u, n, free, p.perWorker(u, s)); fit > 0 {
			list = append(list, room{s: s, free: free, tasks: fit, rests: p.rests(s)})
		}
	}
	slices.SortFunc(list, func(a, b room) int {
		return cmp.Or(
			compareBool(a.rests, b.rests),
			cmp.Compare(a.free.GPU, b.free.GPU),
			cmp.Compare(a.free.CPU, b.free.CPU),
			cmp.Compare(a.s.ID, b.s.ID),
		)
	})
	return p.spare(u, list)
}

// perWorker is how many tasks of the unit's step may still go to a worker, 0 for
// no limit, less than 0 for none.
func (p *Planner) perWorker(u *unit, s *worker) int {
	most := u.spec().PerWorker
	if most == 0 {
		return 0
	}
	for _, x := range s.runs {
		if x.u.job == u.job && x.u.occurrence == u.occurrence && x.u.step == u.step {
			most--
		}
	}
	if most <= 0 {
		return -1
	}
	return most
}

// tasksIn is how many of n tasks fit into free room, at most most unless that is 0.
func tasksIn(u *unit, n int, free yuccapaddle.Need, most int) int {
	need := u.spec().Room()
	if most != 0 {
		n = min(n, max(most, 0))
	}
	if need.CPU > 0 {
		n = min(n, free.CPU/need.CPU)
	}
	if need.Memory > 0 {
		n = min(n, free.Memory/need.Memory)
	}
	if need.GPU > 0 {
		n = min(n, free.GPU/need.GPU)
	}
	return max(n, 0)
}

// fill takes the first rooms, nil if they do not hold n tasks.
func fill(rooms []room, n int) []string {
	if list := take(rooms, n); len(list) == n {
		return list
	}
	return nil
}

// take takes the first rooms, for up to n tasks.
func take(rooms []room, n int) []string {
	list := make([]string, 0, n)
	for _, r := range rooms {
		for range min(r.tasks, n-len(list)) {
			list = append(list, r.s.ID)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

func inRack(rooms []room, rack string) []room {
	var list []room
	for _, r := range rooms {
		if r.s.Rack == rack {
			list = append(list, r)
		}
	}
	return list
}

// rack is a rack, or another piece of hardware, with the rooms in it.
type rack struct {
	rooms []room
	tasks int
	free  int
}

func racks(rooms []room) []rack {
	return group(rooms, func(s *worker) string { return s.Rack })
}

// group gathers the rooms of the workers that have the same place.
func group(rooms []room, place func(*worker) string) []rack {
	index := map[string]int{}
	var list []rack
	for _, r := range rooms {
		i, ok := index[place(r.s)]
		if !ok {
			i = len(list)
			index[place(r.s)] = i
			list = append(list, rack{})
		}
		list[i].rooms = append(list[i].rooms, r)
		list[i].tasks += r.tasks
		list[i].free += r.free.GPU
	}
	return list
}

// oneRack fills the rack that is left with the least room.
func oneRack(rooms []room, n int) []string {
	return fill(tightest(racks(rooms), n), n)
}

// tightest returns the rooms of the piece of hardware that is left with the least
// room, nil if none holds n tasks.
func tightest(list []rack, n int) []room {
	slices.SortStableFunc(list, func(a, b rack) int { return cmp.Compare(a.free, b.free) })
	for _, k := range list {
		if k.tasks >= n {
			return k.rooms
		}
	}
	return nil
}

// fewestRacks fills the racks with the most room first.
func fewestRacks(rooms []room, n int) []string {
	list := racks(rooms)
	slices.SortStableFunc(list, func(a, b rack) int { return cmp.Compare(b.tasks, a.tasks) })
	var ordered []room
	for _, k := range list {
		ordered = append(ordered, k.rooms...)
	}
	return fill(ordered, n)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
