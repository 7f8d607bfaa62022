package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccapaddle"
)

const (
	// claimTimeout is how long a claim is kept while its workers still lack room.
	claimTimeout = 2 * time.Second
	// coresPerGPU is the weight of an accelerator, in cores, when lost work is compared.
	coresPerGPU = 8
)

// slot is room for one more task on a worker once the victims have stopped.
type slot struct {
	w       *worker
	victims []*unit
	cost    float64 // lost work of the victims, in core-seconds
}

// preempt frees room for an urgent unit by stopping others, and claims that room for it.
// Like tryPlace it reports whether the unit has been placed, which is always false: the
// victims have to stop first.
func (p *Planner) preempt(u *unit) bool {
	if u.job.priority != 0 || u.stepSpec().Spare {
		return false
	}
	best := p.cheapestSlots(u)
	if best == nil {
		return false
	}
	u.claim, u.claimedAt = nil, p.now
	p.claims[u] = true
	for _, s := range best {
		u.claim = append(u.claim, s.w.ID)
		for _, v := range s.victims {
			if !v.stopping {
				p.stop(v, "its room is for "+u.job.spec.ID)
			}
		}
	}
	p.wakeBy(p.now.Add(claimTimeout))
	return false
}

// cheapestSlots chooses a slot for each task of the unit so that the least work is lost.
// The slots lie within the unit's span if it has one. Otherwise they lie in the rack of
// its data, or in one rack if it asks for that, or anywhere if no rack has enough slots.
// It returns nil if there are too few.
func (p *Planner) cheapestSlots(u *unit) []slot {
	var all []slot
	claimed := p.claimedRoom()
	for id, w := range p.workers {
		if !p.usable(w) || !p.eligible(u, w) || p.now.Before(u.avoidUntil[id]) || p.crashedUnder(u, w) || p.quarantined(w) || p.suspectBeside(u, w) {
			continue
		}
		all = append(all, p.slots(u, w, claimed[id])...)
	}
	step := u.stepSpec()
	if step.Span != "" {
		return takeCheapestWithin(all, u.width(), func(w *worker) string { return w.location(step.Span) })
	}
	var best []slot
	switch {
	case step.DataRack != "":
		best = takeCheapest(slices.DeleteFunc(slices.Clone(all), func(s slot) bool { return s.w.Rack != step.DataRack }), u.width())
	case step.OneRack && u.width() > 1:
		best = takeCheapestWithin(all, u.width(), func(w *worker) string { return w.Rack })
	}
	if best == nil {
		best = takeCheapest(all, u.width())
	}
	return best
}

// takeCheapestWithin takes the n cheapest slots of the location where their total cost is
// lowest, nil if no location has n slots. Of equal costs the first location by name counts.
func takeCheapestWithin(list []slot, n int, location func(*worker) string) []slot {
	groups := map[string][]slot{}
	for _, s := range list {
		groups[location(s.w)] = append(groups[location(s.w)], s)
	}
	var best []slot
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if chosen := takeCheapest(groups[name], n); chosen != nil && (best == nil || totalCost(chosen) < totalCost(best)) {
			best = chosen
		}
	}
	return best
}

// slots lists the slots for the unit's tasks on a worker. Each builds on the slots before
// it and has only the further victims that it needs. Room of units that are stopping
// already counts as free. A worker that is over its capacity has no slot before the victims'
// room makes up for that.
func (p *Planner) slots(u *unit, w *worker, claimed yuccapaddle.Need) []slot {
	free := w.free()
	var victims []*unit
	for _, x := range w.runs {
		switch {
		case x.u.stopping:
			free = free.Add(x.u.stepSpec().Room())
		case p.mayPreempt(x.u, u):
			victims = append(victims, x.u)
		}
	}
	slices.SortFunc(victims, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(p.lostWork(a), p.lostWork(b)), a.compare(b))
	})
	limit := p.perWorkerLeft(u, w)
	tasks := func() int {
		if free.Negative() {
			return 0
		}
		return tasksThatFit(u, u.width(), free.Sub(claimed), limit)
	}
	var list []slot
	have := tasks()
	for range have {
		list = append(list, slot{w: w})
	}
	var nextVictims []*unit
	cost := 0.0
	for _, v := range victims {
		free = free.Add(v.stepSpec().Room())
		nextVictims = append(nextVictims, v)
		cost += p.lostWork(v)
		if n := tasks(); n > have {
			list = append(list, slot{w: w, victims: nextVictims, cost: cost})
			for range n - have - 1 {
				list = append(list, slot{w: w})
			}
			have, nextVictims, cost = n, nil, 0
		}
	}
	return list
}

// takeCheapest takes the n cheapest slots, nil if there are fewer. The slots of one worker
// are taken in their order, since each builds on those before it.
func takeCheapest(list []slot, n int) []slot {
	if len(list) < n {
		return nil
	}
	// A slot cannot be had without the slots before it on the same worker, so it sorts by
	// the highest cost among them.
	maxCost := map[*worker]float64{}
	keys := make([]float64, len(list))
	for i, s := range list {
		maxCost[s.w] = max(maxCost[s.w], s.cost)
		keys[i] = maxCost[s.w]
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(list[a].w.ID, list[b].w.ID), cmp.Compare(a, b))
	})
	chosen := make([]slot, 0, n)
	for _, i := range order[:n] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

func totalCost(list []slot) float64 {
	sum := 0.0
	for _, s := range list {
		sum += s.cost
	}
	return sum
}

// lostWork returns the cost of stopping a unit, in core-seconds: all work of the current
// run, or at most the time to restore a checkpoint if the unit writes them, and the
// penalties.
func (p *Planner) lostWork(u *unit) float64 {
	cores := float64(u.liveMembers()) * (float64(u.stepSpec().Need.CPU)/1000 + coresPerGPU*float64(u.stepSpec().Need.GPU))
	seconds := p.now.Sub(u.placedAt).Seconds()
	if u.stepSpec().WritesCheckpoints {
		seconds = min(seconds, p.limits.Restore.Seconds())
	}
	if u.job.spec.Once {
		seconds += oncePenaltySeconds
	}
	return (seconds + stopPenaltySeconds) * cores
}

// oncePenaltySeconds is added to the run time of a task that may not run again when its
// lost work is computed, so that other tasks are stopped first.
const oncePenaltySeconds = 3600

// stopPenaltySeconds is the overhead of a stop; it is added to the run time likewise.
const stopPenaltySeconds = 0.5
