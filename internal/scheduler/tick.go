package scheduler

import (
	"maps"
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// tick lets deadlines pass.
func (s *Scheduler) tick() {
	if s.cfg == nil {
		return
	}
	for _, key := range s.restless() {
		if lg := s.live[key]; lg != nil {
			s.tickGang(lg)
		}
	}
	s.tickUpstreams()
	s.endQuarantines()
	s.verify()
	s.probe()
	for worker, until := range s.cooling {
		if !until.After(s.now) {
			delete(s.cooling, worker)
			s.dirty = true
		}
	}
	if s.state.HasWaiting() {
		s.dirty = true
	}
	if s.now.Before(s.purgeAt) || s.stalled {
		return
	}
	s.purgeAt = s.now.Add(purgeInterval)
	maps.DeleteFunc(s.refused, func(_ string, acceptBy time.Time) bool { return acceptBy.Before(s.now) })
	if keep := s.cfg.Site.Limits.RetentionMS; keep > 0 {
		for _, key := range s.state.Expired(s.now.Add(-time.Duration(keep) * time.Millisecond)) {
			s.propose(keeper.Purge(key, s.now))
		}
	}
}

// restless lists the gangs that a deadline may concern, in order. Most gangs
// just run, and are passed over without sorting them.
func (s *Scheduler) restless() []string {
	var out []string
	for key, lg := range s.live {
		if lg.stopping || lg.gang.Evicting() || !lg.all(phaseStarted) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// verify checks the invariants once a second.
func (s *Scheduler) verify() {
	if s.now.Before(s.verifyAt) {
		return
	}
	s.verifyAt = s.now.Add(verifyInterval)
	if err := s.Verify(); err != nil {
		s.do(yuccapaddle.Broken{Err: err})
	}
}

func (s *Scheduler) tickGang(lg *liveGang) {
	switch {
	case lg.stopping:
		s.tickStop(lg)
	case lg.gang.State == yuccapaddle.GangClaimed:
	case lg.gang.Moving && !s.now.Before(lg.gang.EvictBy):
		s.stay(lg)
	case lg.gang.Evicting() && !s.now.Before(lg.gang.EvictBy):
		s.beginStop(lg, ending{kind: endRequeue, why: lg.gang.EvictFor})
	case !lg.all(phaseStarted):
		s.tickLaunch(lg)
	}
}

func (s *Scheduler) tickStop(lg *liveGang) {
	lapsed := !s.now.Before(lg.lapseBy)
	for _, sh := range lg.shares {
		if sh.phase == phaseOver {
			continue
		}
		if lapsed {
			sh.phase = phaseOver
		} else if !s.now.Before(sh.retryAt) {
			s.sendStop(lg, sh)
		}
	}
	if lapsed {
		s.conclude(lg)
	}
}

// advanceClaims moves claims on whose victims have gone.
func (s *Scheduler) advanceClaims() {
	keys := make([]string, 0, len(s.claims))
	for key := range s.claims {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.advanceClaim(s.claims[key])
	}
}

func (s *Scheduler) advanceClaim(lg *liveGang) {
	g := lg.gang
	for _, m := range g.Members {
		if !s.usable(m.Worker) {
			s.dropClaim(g.Key)
			return
		}
		if s.topo.Capacity(m.Worker)-s.state.Used(m.Worker) < m.Count*g.Accelerators {
			return
		}
	}
	if !s.canPlan() {
		return
	}
	delete(s.claims, g.Key)
	s.propose(keeper.Reserve(g.Key, s.now))
	lg.launchBy = s.now.Add(launchTime)
	s.onCommit(func() { s.launch(lg) })
}

// dropClaim puts a claimed request back into the queue.
func (s *Scheduler) dropClaim(key string) {
	s.forgetLive(key)
	s.propose(keeper.Requeue(key, nil, false, 0, s.now))
	s.dirty = true
}

func (s *Scheduler) tickLaunch(lg *liveGang) {
	if s.now.After(lg.launchBy) {
		s.beginStop(lg, ending{kind: endRequeue, why: "its start took too long"})
		return
	}
	for _, sh := range lg.shares {
		if sh.retryAt.IsZero() || s.now.Before(sh.retryAt) || !s.mayStart(lg.gang) {
			continue
		}
		switch sh.phase {
		case phaseAsked:
			s.sendReserve(lg, sh)
		case phaseReserved:
			if lg.released() {
				s.sendStart(lg, sh)
			}
		}
	}
}

// tickUpstreams stops gangs whose upstream has been silent for too long: their
// tasks there end with the lease, and no gang is to run in part.
func (s *Scheduler) tickUpstreams() {
	for _, name := range s.topo.Upstreams() {
		u := s.upstreams[name]
		if u.silentSince.IsZero() || s.now.Sub(u.silentSince) < silenceTime {
			continue
		}
		if !u.gone {
			u.gone, s.rehome, s.dirty = true, true, true
		}
		for _, key := range s.state.GangKeys() {
			lg := s.live[key]
			if lg == nil || lg.stopping || lg.gang.State == yuccapaddle.GangClaimed || lg.share(name) == nil {
				continue
			}
			s.beginStop(lg, ending{kind: endRequeue, why: "upstream " + name + " does not answer"})
		}
	}
}
