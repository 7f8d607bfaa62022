package scheduler

import (
	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/verifier"
)

// plan asks the policy and carries out what it wants.
func (s *Scheduler) plan() {
	waiting := s.state.Waiting()
	if len(waiting) == 0 {
		return
	}
	if len(waiting) > longQueue {
		s.planAt = s.now.Add(planInterval)
	}
	for i := range waiting {
		s.relent(&waiting[i])
	}
	view := s.view(waiting)
	for _, p := range s.policy.Plan(view).Placements {
		s.place(&p)
	}
}

// relent lets a request back onto workers where it failed a while ago, so that
// it is not kept waiting when there are no others.
func (s *Scheduler) relent(w *yuccapaddle.Waiting) {
	failures := s.state.Failures(w.Request.Key())
	if n := len(failures); n > 0 && s.now.Sub(failures[n-1].At) >= avoidTime {
		w.Avoid = nil
	}
}

func (s *Scheduler) view(waiting []yuccapaddle.Waiting) *yuccapaddle.View {
	v := &yuccapaddle.View{
		Now: s.now, Site: &s.cfg.Site, Workers: s.topo.Workers(), Index: s.topo.Index(), Homes: s.homes,
		Waiting: waiting, Gangs: s.state.Gangs(), Request: s.state.Request, Lost: s.lostWork,
	}
	if !s.now.Before(s.moveAt) {
		v.Movable, s.moveAt = s.movable, s.now.Add(moveInterval)
	}
	for i := range v.Workers {
		w := &v.Workers[i]
		w.Usable = s.usable(w.Name)
		w.Free = w.Accelerators - s.state.Used(w.Name) - s.foreign(w.Name)
		w.Later = w.Free
	}
	for _, g := range v.Gangs {
		s.countGang(v, g)
	}
	return v
}

// countGang takes claims off the free room, and counts as free later what goes.
func (s *Scheduler) countGang(v *yuccapaddle.View, g *yuccapaddle.Gang) {
	lg := s.live[g.Key]
	going := g.Leaving() || (lg != nil && lg.stopping)
	claimed := g.State == yuccapaddle.GangClaimed
	if !going && !claimed {
		return
	}
	for _, m := range g.Members {
		i, ok := v.Index[m.Worker]
		if !ok {
			continue
		}
		n := m.Count * g.Accelerators
		if claimed {
			v.Workers[i].Free -= n
			v.Workers[i].Later -= n
			continue
		}
		v.Workers[i].Later += n
	}
}

// lostWork is what an eviction of the gang would lose: everything since it was
// placed or last saved.
func (s *Scheduler) lostWork(g *yuccapaddle.Gang) float64 {
	since := g.PlacedAt
	if lg := s.live[g.Key]; lg != nil && lg.savedAt.After(since) {
		since = lg.savedAt
	}
	return s.now.Sub(since).Seconds() * float64(g.Need())
}

func (s *Scheduler) place(p *yuccapaddle.Placement) {
	r := s.state.Request(p.Key)
	g := &yuccapaddle.Gang{
		Key: p.Key, Attempt: s.state.Attempt(p.Key) + 1, Workspace: r.Workspace, Domain: p.Domain,
		Members: p.Members, Accelerators: r.Accelerators, State: yuccapaddle.GangReserving,
		Home: p.Home, PlacedAt: s.now, Boots: map[string]string{},
	}
	for _, m := range p.Members {
		name := s.topo.UpstreamOf(m.Worker)
		g.Boots[name] = s.upstreams[name].boot
	}
	if p.Claim {
		g.State = yuccapaddle.GangClaimed
	} else if len(g.Boots) == 1 {
		g.State = yuccapaddle.GangReleased // one message reserves and starts all
	}
	s.propose(keeper.Place(g, s.now))
	lg := s.track(s.state.Gang(p.Key))
	for _, key := range p.Victims {
		s.evict(s.state.Gang(key), "workspace "+r.Workspace+" reclaims its guarantee")
	}
	for _, key := range p.Moves {
		s.move(s.state.Gang(key), "room for request "+p.Key)
	}
	if p.Claim {
		s.claims[p.Key] = lg
		return
	}
	s.onCommit(func() { s.launch(lg) })
}

// Leases lists the leases to renew at an upstream: those that it has confirmed
// and that nobody is ending.
func (s *Scheduler) Leases(upstream string) []string {
	var out []string
	for lease, lg := range s.leases {
		sh := lg.share(upstream)
		if sh == nil || lg.stopping {
			continue
		}
		recovering := sh.phase == phaseAsked && lg.released()
		if sh.phase == phaseReserved || sh.phase == phaseStarted || recovering {
			out = append(out, lease)
		}
	}
	return out
}

// Usage returns the accelerators held on each busy worker, and the workers that
// get no new work now.
func (s *Scheduler) Usage() (used map[string]int, unusable []string) {
	used = map[string]int{}
	if s.topo == nil {
		return used, nil
	}
	for _, w := range s.topo.Workers() {
		if n := s.state.Used(w.Name); n > 0 {
			used[w.Name] = n
		}
		if !s.usable(w.Name) {
			unusable = append(unusable, w.Name)
		}
	}
	return used, unusable
}

// Verify returns a broken invariant of the state, nil if all hold.
func (s *Scheduler) Verify() error {
	if s.topo == nil {
		return nil
	}
	v := verifier.Verifier{
		Site: &s.cfg.Site, Since: s.configAt, Capacity: s.topo.Capacity, Homes: s.homes,
		Gangs: s.state.Gangs(), Request: s.state.Request,
	}
	return v.Check()
}
