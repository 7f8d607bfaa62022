package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

// candidate is a worker with room for at least one of the tasks to be placed.
type candidate struct {
	w           *worker
	free        yuccapaddle.Need
	tasks       int // number that fit
	quarantined bool
}

// pick chooses a worker for each task of a unit, nil if there is no room. claimed is the
// room on each worker that is kept for other units, and c what may run on the workers.
func (p *Planner) pick(u *unit, claimed map[string]yuccapaddle.Need, c company) []string {
	candidates := p.candidates(u, u.width(), claimed, c)
	if p.needsProvenWorkers(u) {
		if list := p.chooseWorkers(u, p.provenOnly(candidates)); list != nil {
			return list
		}
	}
	if list := p.leastStalled(u, candidates); list != nil {
		return list
	}
	return p.chooseWorkers(u, candidates)
}

// chooseWorkers chooses a candidate for each task of a unit, as its step asks for data
// locality, span and rack. It returns nil if there is no room, or if it is better to
// wait for room in a rack.
func (p *Planner) chooseWorkers(u *unit, candidates []candidate) []string {
	step, n := u.stepSpec(), u.width()
	if step.DataRack != "" {
		if list := takeAll(inRack(candidates, step.DataRack), n); list != nil || p.shouldWaitForRack(u, step.DataRack) {
			return list
		}
	}
	if step.Span != "" {
		return fillInSpan(candidates, step.Span, n)
	}
	if step.Gang && n > 1 {
		if list := fillOneRack(candidates, n); list != nil {
			return list
		}
		if step.OneRack && p.shouldWaitForRack(u, "") {
			return nil
		}
		return fillFewestRacks(candidates, n)
	}
	return takeAll(candidates, n)
}

// pickUpTo chooses workers for up to n single tasks of the unit's step.
func (p *Planner) pickUpTo(u *unit, n int, claimed map[string]yuccapaddle.Need) []string {
	candidates := p.candidates(u, n, claimed, companyTrusted)
	rack := u.stepSpec().DataRack
	if rack == "" {
		return takeUpTo(candidates, n)
	}
	list := takeUpTo(inRack(candidates, rack), n)
	if len(list) == n || p.shouldWaitForRack(u, rack) {
		return list
	}
	rest := slices.DeleteFunc(candidates, func(c candidate) bool { return c.w.Rack == rack })
	return append(list, takeUpTo(rest, n-len(list))...)
}

// shouldWaitForRack reports whether a unit should go on waiting for room in the rack (in
// any one rack, if none is named): it could fit there, and has waited less than running
// elsewhere would add to its run time.
func (p *Planner) shouldWaitForRack(u *unit, rack string) bool {
	if !p.rackCouldHold(u, rack) {
		return false
	}
	wait := time.Duration(float64(u.stepSpec().Estimate) * (p.limits.RemoteSlowdown - 1) * float64(time.Millisecond))
	until := u.waitingSince.Add(wait)
	if p.now.Before(until) {
		p.wakeBy(until)
		return true
	}
	return false
}

// rackCouldHold reports whether the unit would fit into the rack (into any one, if none
// is named) if its usable workers were empty.
func (p *Planner) rackCouldHold(u *unit, rack string) bool {
	count := map[string]int{}
	for _, w := range p.workers {
		if (rack == "" || w.Rack == rack) && p.usable(w) && p.eligible(u, w) {
			count[w.Rack] += tasksThatFit(u, u.width(), w.capacity(), u.stepSpec().PerWorker)
		}
	}
	for _, n := range count {
		if n >= u.width() {
			return true
		}
	}
	return false
}

// eligible reports whether a worker is compatible and may get one more run, and the unit has
// the ticket that its queue may require.
func (p *Planner) eligible(u *unit, w *worker) bool {
	return p.compatible(u, w) && p.hasTicket(u, w) && p.endsLeft(w, 1) > 0
}

// compatible reports whether a worker belongs to the unit's service and has the label
// that its step requires.
func (p *Planner) compatible(u *unit, w *worker) bool {
	return w.Service == p.service(u.job) && (u.stepSpec().Label == "" || w.hasLabel(u.stepSpec().Label))
}

// candidates lists the workers with room for at least one of n tasks of the unit: those
// with the least free room first, then those that register more than counts, quarantined ones
// last. It leaves out workers that the
// unit avoids, those where it may not have the company, and the reserve for urgent jobs.
func (p *Planner) candidates(u *unit, n int, claimed map[string]yuccapaddle.Need, c company) []candidate {
	var list []candidate
	for id, w := range p.workers {
		if !p.usable(w) || w.overCapacity() || !p.eligible(u, w) || p.now.Before(u.avoidUntil[id]) || !p.suits(u, w, claimed[id], c) {
			continue
		}
		free := w.free().Sub(claimed[id])
		if fit := p.endsLeft(w, tasksThatFit(u, n, free, p.perWorkerLeft(u, w))); fit > 0 {
			list = append(list, candidate{w: w, free: free, tasks: fit, quarantined: p.quarantined(w)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			compareBool(a.quarantined, b.quarantined),
			compareBool(a.w.growing(), b.w.growing()),
			cmp.Compare(a.free.GPU, b.free.GPU),
			cmp.Compare(a.free.CPU, b.free.CPU),
			cmp.Compare(a.w.ID, b.w.ID),
		)
	})
	return p.excludeReserve(u, list)
}

// perWorkerLeft returns how many more tasks of the unit's step its PerWorker limit allows
// on the worker: 0 if there is no limit, -1 if the limit has been reached.
func (p *Planner) perWorkerLeft(u *unit, w *worker) int {
	limit := u.stepSpec().PerWorker
	if limit == 0 {
		return 0
	}
	for _, x := range w.runs {
		if x.u.job == u.job && x.u.occurrence == u.occurrence && x.u.stepIndex == u.stepIndex {
			limit--
		}
	}
	limit -= p.claimedBeside(u, w)
	if limit <= 0 {
		return -1
	}
	return limit
}

// claimedBeside returns for how many tasks other units of the unit's step claim room on the
// worker.
func (p *Planner) claimedBeside(u *unit, w *worker) int {
	n := 0
	for v := range p.claims {
		if v == u || v.key() != u.key() {
			continue
		}
		for _, id := range v.claim {
			if id == w.ID {
				n++
			}
		}
	}
	return n
}

// tasksThatFit returns how many of n tasks of the unit's step fit into the free capacity,
// up to limit: 0 means no limit, and a negative limit allows none.
func tasksThatFit(u *unit, n int, free yuccapaddle.Need, limit int) int {
	need := u.stepSpec().Room()
	if limit != 0 {
		n = min(n, max(limit, 0))
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

// takeAll returns a worker for each of n tasks, from the first candidates on, or nil if
// the candidates do not hold n tasks.
func takeAll(candidates []candidate, n int) []string {
	if list := takeUpTo(candidates, n); len(list) == n {
		return list
	}
	return nil
}

// takeUpTo is like takeAll, but returns fewer workers if there is not enough room.
func takeUpTo(candidates []candidate, n int) []string {
	list := make([]string, 0, n)
	for _, c := range candidates {
		for range min(c.tasks, n-len(list)) {
			list = append(list, c.w.ID)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

func inRack(candidates []candidate, rack string) []candidate {
	var list []candidate
	for _, c := range candidates {
		if c.w.Rack == rack {
			list = append(list, c)
		}
	}
	return list
}

// candidateGroup holds the candidates in one rack, or in another location, and their
// sums.
type candidateGroup struct {
	candidates []candidate
	tasks      int
	freeGPUs   int
}

func groupByRack(candidates []candidate) []candidateGroup {
	return groupBy(candidates, func(w *worker) string { return w.Rack })
}

// groupBy groups the candidates whose workers are in the same location.
func groupBy(candidates []candidate, location func(*worker) string) []candidateGroup {
	index := map[string]int{}
	var list []candidateGroup
	for _, c := range candidates {
		i, ok := index[location(c.w)]
		if !ok {
			i = len(list)
			index[location(c.w)] = i
			list = append(list, candidateGroup{})
		}
		list[i].candidates = append(list[i].candidates, c)
		list[i].tasks += c.tasks
		list[i].freeGPUs += c.free.GPU
	}
	return list
}

// fillOneRack places n tasks in the fullest rack that can hold them all, nil if none can.
func fillOneRack(candidates []candidate, n int) []string {
	return takeAll(tightestGroup(groupByRack(candidates), n), n)
}

// tightestGroup returns the candidates of the group that has the fewest free accelerators
// of those that can hold n tasks, nil if none can.
func tightestGroup(list []candidateGroup, n int) []candidate {
	slices.SortStableFunc(list, func(a, b candidateGroup) int { return cmp.Compare(a.freeGPUs, b.freeGPUs) })
	for _, g := range list {
		if g.tasks >= n {
			return g.candidates
		}
	}
	return nil
}

// fillFewestRacks spreads n tasks over as few racks as it can, by filling those with room
// for the most tasks first. It returns nil if all racks together cannot hold them.
func fillFewestRacks(candidates []candidate, n int) []string {
	list := groupByRack(candidates)
	slices.SortStableFunc(list, func(a, b candidateGroup) int { return cmp.Compare(b.tasks, a.tasks) })
	var ordered []candidate
	for _, g := range list {
		ordered = append(ordered, g.candidates...)
	}
	return takeAll(ordered, n)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
