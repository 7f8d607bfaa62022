package scheduler

import (
	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/verifier"
)

// plan has the policy place waiting requests, and carries out its placements.
func (s *Scheduler) plan() {
	waiting := s.state.Waiting()
	if len(waiting) == 0 {
		return
	}
	if len(waiting) > longQueueLen {
		s.nextPlanAt = s.now.Add(planInterval)
	}
	for i := range waiting {
		s.allowFailedWorkers(&waiting[i])
	}
	view := s.policyView(waiting)
	for _, p := range s.policy.Plan(view).Placements {
		s.place(&p)
	}
}

// allowFailedWorkers lets a request use the workers on which it failed once
// failureCooldown has passed, so that it does not wait forever when there are no
// others.
func (s *Scheduler) allowFailedWorkers(w *yuccapaddle.Waiting) {
	failures := s.state.Failures(w.Request.Key())
	if n := len(failures); n > 0 && s.now.Sub(failures[n-1].At) >= failureCooldown {
		w.Avoid = nil
	}
}

// policyView returns the input for the policy.
func (s *Scheduler) policyView(waiting []yuccapaddle.Waiting) *yuccapaddle.View {
	v := &yuccapaddle.View{
		Now: s.now, Site: &s.cfg.Site, Workers: s.topo.Workers(), Index: s.topo.Index(), Homes: s.homes,
		Waiting: waiting, Gangs: s.state.Gangs(), Request: s.state.Request, LostWork: s.lostWork,
	}
	if !s.now.Before(s.nextMovePlanAt) {
		v.Movable, s.nextMovePlanAt = s.movable, s.now.Add(moveInterval)
	}
	for i := range v.Workers {
		w := &v.Workers[i]
		w.Usable = s.usable(w.Name)
		w.Free = w.Accelerators - s.state.Used(w.Name) - s.externalUsage(w.Name)
		w.FreeLater = w.Free
	}
	for _, g := range v.Gangs {
		s.applyGang(v, g)
	}
	return v
}

// applyGang subtracts a claimed gang from the free accelerators, and adds a gang
// that is stopping or being evicted to those that will be free later.
func (s *Scheduler) applyGang(v *yuccapaddle.View, g *yuccapaddle.Gang) {
	tg := s.gangs[g.Key]
	leaving := g.WillLeave() || (tg != nil && tg.stopping)
	claimed := g.State == yuccapaddle.GangClaimed
	if !leaving && !claimed {
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
			v.Workers[i].FreeLater -= n
			continue
		}
		v.Workers[i].FreeLater += n
	}
}

// lostWork returns the work that evicting a gang would lose, in
// accelerator-seconds: all since its placement or its last checkpoint.
func (s *Scheduler) lostWork(g *yuccapaddle.Gang) float64 {
	since := g.PlacedAt
	if tg := s.gangs[g.Key]; tg != nil && tg.checkpointedAt.After(since) {
		since = tg.checkpointedAt
	}
	return s.now.Sub(since).Seconds() * float64(g.Need())
}

// place proposes the record of a placement. Its reservations are sent once the
// record is committed; a claim first waits for the evictions and moves.
func (s *Scheduler) place(p *yuccapaddle.Placement) {
	r := s.state.Request(p.Key)
	g := &yuccapaddle.Gang{
		Key: p.Key, Attempt: s.state.Attempt(p.Key) + 1, Workspace: r.Workspace, Domain: p.Domain,
		Members: p.Members, Accelerators: r.Accelerators, State: yuccapaddle.GangReserving,
		Home: p.Home, PlacedAt: s.now, Incarnations: map[string]string{},
	}
	for _, m := range p.Members {
		name := s.topo.UpstreamOf(m.Worker)
		g.Incarnations[name] = s.upstreams[name].boot
	}
	if p.Claim {
		g.State = yuccapaddle.GangClaimed
	} else if len(g.Incarnations) == 1 {
		g.State = yuccapaddle.GangReleased // one message reserves and starts all tasks
	}
	s.propose(keeper.Place(g, s.now))
	tg := s.track(s.state.Gang(p.Key))
	for _, key := range p.Victims {
		s.evict(s.state.Gang(key), "workspace "+r.Workspace+" reclaims its guarantee")
	}
	for _, key := range p.Moves {
		s.move(s.state.Gang(key), "room for request "+p.Key)
	}
	if p.Claim {
		s.claims[p.Key] = tg
		return
	}
	s.onCommit(func() { s.launch(tg) })
}

// RenewableLeases returns the leases to renew at an upstream, unordered: those that it
// has confirmed and those of released gangs that it may have started, except leases that
// are being stopped.
func (s *Scheduler) RenewableLeases(upstream string) []string {
	var out []string
	for lease, tg := range s.gangsByLease {
		sh := tg.shareOn(upstream)
		if sh == nil || tg.stopping {
			continue
		}
		mayHaveStarted := sh.phase == phaseReserving && tg.released()
		if sh.phase == phaseReserved || sh.phase == phaseStarted || mayHaveStarted {
			out = append(out, lease)
		}
	}
	return out
}

// Usage returns the number of accelerators held on each busy worker, and the
// workers on which no new work may be placed now.
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

// Verify checks the invariants of the state and returns an error that names a
// broken one, nil if all hold.
func (s *Scheduler) Verify() error {
	if s.topo == nil {
		return nil
	}
	v := verifier.Verifier{
		Site: &s.cfg.Site, Since: s.configuredAt, Capacity: s.topo.Capacity, Homes: s.homes,
		Gangs: s.state.Gangs(), Request: s.state.Request,
	}
	return v.Check()
}
