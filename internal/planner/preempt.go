package planner

import (
	"cmp"
	"slices"
	"time"

	"yuccapaddle"
)

const (
	// claimTime is how long freed room is kept for the unit that it was freed for.
	claimTime = 2 * time.Second
	// coresPerGPU is what an accelerator counts against a core when work is lost.
	coresPerGPU = 8
)

// offer is room for one more task on a worker once the victims have gone. Cost
// is the work that is lost for it.
type offer struct {
	s       *worker
	victims []*unit
	cost    float64
}

// preempt frees room for an urgent unit by stopping less urgent ones. It reports
// whether the unit was placed, which is never at once.
func (p *Planner) preempt(u *unit) bool {
	if u.job.priority != 0 || u.spec().Spare {
		return false
	}
	best := p.cheapest(u)
	if best == nil {
		return false
	}
	u.claim, u.claimedAt = nil, p.now
	p.claims[u] = true
	for _, o := range best {
		u.claim = append(u.claim, o.s.ID)
		for _, v := range o.victims {
			if !v.stopping {
				p.stop(v, "its room is for "+u.job.in.ID)
			}
		}
	}
	p.wakeBy(p.now.Add(claimTime))
	return false
}

// cheapest chooses an offer for each task of the unit: within its span, or within one
// rack if the unit asks for that and a rack is large enough, else anywhere.
func (p *Planner) cheapest(u *unit) []offer {
	var all []offer
	reserved := p.reserved()
	for id, s := range p.workers {
		if !p.usable(s) || !p.suits(u, s) || p.now.Before(u.avoid[id]) || p.rests(s) {
			continue
		}
		all = append(all, p.offers(u, s, reserved[id])...)
	}
	step := u.spec()
	if step.Span != "" {
		return chooseWithin(all, u.width(), func(s *worker) string { return s.place(step.Span) })
	}
	var best []offer
	switch {
	case step.DataRack != "":
		best = choose(slices.DeleteFunc(slices.Clone(all), func(o offer) bool { return o.s.Rack != step.DataRack }), u.width())
	case step.OneRack && u.width() > 1:
		best = chooseWithin(all, u.width(), func(s *worker) string { return s.Rack })
	}
	if best == nil {
		best = choose(all, u.width())
	}
	return best
}

// chooseWithin takes the n cheapest offers of workers that have the same place, nil if
// there is no place with as many.
func chooseWithin(list []offer, n int, place func(*worker) string) []offer {
	groups := map[string][]offer{}
	for _, o := range list {
		groups[place(o.s)] = append(groups[place(o.s)], o)
	}
	var best []offer
	for _, g := range groups {
		if chosen := choose(g, n); chosen != nil && (best == nil || total(chosen) < total(best)) {
			best = chosen
		}
	}
	return best
}

// offers lists the room for one, two and more tasks on a worker, each with the
// victims that it needs beyond those before it.
func (p *Planner) offers(u *unit, s *worker, reserved yuccapaddle.Need) []offer {
	free := s.free().Sub(reserved)
	var victims []*unit
	for _, x := range s.runs {
		switch {
		case x.u.stopping:
			free = free.Add(x.u.spec().Room())
		case p.yields(x.u, u):
			victims = append(victims, x.u)
		}
	}
	slices.SortFunc(victims, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(a.job.in.ID, b.job.in.ID), cmp.Compare(a.index, b.index))
	})
	most := p.perWorker(u, s)
	var list []offer
	have := tasksIn(u, u.width(), free, most)
	for range have {
		list = append(list, offer{s: s})
	}
	var pending []*unit
	cost := 0.0
	for _, v := range victims {
		free = free.Add(v.spec().Room())
		pending = append(pending, v)
		cost += p.loss(v)
		if n := tasksIn(u, u.width(), free, most); n > have {
			list = append(list, offer{s: s, victims: pending, cost: cost})
			for range n - have - 1 {
				list = append(list, offer{s: s})
			}
			have, pending, cost = n, nil, 0
		}
	}
	return list
}

// choose takes the n cheapest offers, nil if there are fewer. The offers of a
// worker are taken in their order, since each builds on those before it.
func choose(list []offer, n int) []offer {
	if len(list) < n {
		return nil
	}
	// Offers behind a dear one of the same worker cannot be had without it.
	most := map[*worker]float64{}
	keys := make([]float64, len(list))
	for i, o := range list {
		most[o.s] = max(most[o.s], o.cost)
		keys[i] = most[o.s]
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(list[a].s.ID, list[b].s.ID), cmp.Compare(a, b))
	})
	chosen := make([]offer, 0, n)
	for _, i := range order[:n] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

func total(list []offer) float64 {
	sum := 0.0
	for _, o := range list {
		sum += o.cost
	}
	return sum
}

// loss is the work that a stop throws away, in core-seconds: all of a run that
// writes no checkpoints, and the time to go on for one that does.
func (p *Planner) loss(u *unit) float64 {
	cores := float64(u.held()) * (float64(u.spec().Need.CPU)/1000 + coresPerGPU*float64(u.spec().Need.GPU))
	run := p.now.Sub(u.placedAt).Seconds()
	if u.spec().Saves {
		run = min(run, p.limits.Restore.Seconds())
	}
	if u.job.in.Once {
		run += onceLoss
	}
	return (run + stopLoss) * cores
}

// onceLoss is what the stop of a task that may not run again counts beside its
// work, in seconds of the room: others are stopped first.
const onceLoss = 3600

// stopLoss is what each stop costs beside the lost work, in seconds of the room.
const stopLoss = 0.5
