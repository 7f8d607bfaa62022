package scheduler

import (
	"maps"
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// tick acts on the deadlines that have passed, and runs the periodic work.
func (s *Scheduler) tick() {
	if s.cfg == nil {
		return
	}
	for _, key := range s.gangsWithDeadlines() {
		if tg := s.gangs[key]; tg != nil {
			s.tickGang(tg)
		}
	}
	s.tickUpstreams()
	s.endQuarantines()
	s.verifyPeriodically()
	s.queryUnsettled()
	for worker, until := range s.cooldownUntil {
		if !until.After(s.now) {
			delete(s.cooldownUntil, worker)
			s.needsPlan = true
		}
	}
	if s.state.HasWaiting() {
		s.needsPlan = true
	}
	if s.now.Before(s.nextPurgeAt) || s.stalled {
		return
	}
	s.nextPurgeAt = s.now.Add(purgeInterval)
	maps.DeleteFunc(s.refusedUntil, func(_ string, acceptBy time.Time) bool { return acceptBy.Before(s.now) })
	if retentionMS := s.cfg.Site.Limits.RetentionMS; retentionMS > 0 {
		for _, key := range s.state.Expired(s.now.Add(-time.Duration(retentionMS) * time.Millisecond)) {
			s.propose(keeper.Purge(key, s.now))
		}
	}
}

// gangsWithDeadlines returns the keys of the gangs to which a deadline may apply,
// in order. Most gangs are simply running, so the others are picked before sorting.
func (s *Scheduler) gangsWithDeadlines() []string {
	var out []string
	for key, tg := range s.gangs {
		if tg.stopping || tg.gang.Evicting() || !tg.allReached(phaseStarted) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// verifyPeriodically checks the invariants every verifyInterval.
func (s *Scheduler) verifyPeriodically() {
	if s.now.Before(s.nextVerifyAt) {
		return
	}
	s.nextVerifyAt = s.now.Add(verifyInterval)
	if err := s.Verify(); err != nil {
		s.emit(yuccapaddle.InvariantViolation{Err: err})
	}
}

func (s *Scheduler) tickGang(tg *trackedGang) {
	switch {
	case tg.stopping:
		s.tickStop(tg)
	case tg.gang.State == yuccapaddle.GangClaimed:
	case tg.gang.Moving && !s.now.Before(tg.gang.EvictBy):
		s.cancelMove(tg)
	case tg.gang.Evicting() && !s.now.Before(tg.gang.EvictBy):
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: tg.gang.EvictReason})
	case !tg.allReached(phaseStarted):
		s.tickLaunch(tg)
	}
}

// tickStop repeats stops that got no reply, until the leases have expired.
func (s *Scheduler) tickStop(tg *trackedGang) {
	expired := !s.now.Before(tg.leaseExpiredAt)
	for _, sh := range tg.shares {
		if sh.phase == phaseEnded {
			continue
		}
		if expired {
			sh.phase = phaseEnded
		} else if !s.now.Before(sh.retryAt) {
			s.sendStop(tg, sh)
		}
	}
	if expired {
		s.decideOutcome(tg)
	}
}

// advanceClaims starts to reserve the workers of claims that have become free, and
// drops claims on workers that have become unusable.
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

func (s *Scheduler) advanceClaim(tg *trackedGang) {
	g := tg.gang
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
	tg.launchDeadline = s.now.Add(launchTimeout)
	s.onCommit(func() { s.launch(tg) })
}

// dropClaim removes a claimed gang and requeues its request.
func (s *Scheduler) dropClaim(key string) {
	s.untrack(key)
	s.propose(keeper.Requeue(key, nil, false, 0, s.now))
	s.needsPlan = true
}

// tickLaunch repeats reservations and starts that got no answer, until
// launchDeadline.
func (s *Scheduler) tickLaunch(tg *trackedGang) {
	if s.now.After(tg.launchDeadline) {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "its start took too long"})
		return
	}
	for _, sh := range tg.shares {
		if sh.retryAt.IsZero() || s.now.Before(sh.retryAt) || !s.mayStart(tg.gang) {
			continue
		}
		switch sh.phase {
		case phaseReserving:
			s.sendReserve(tg, sh)
		case phaseReserved:
			if tg.released() {
				s.sendStart(tg, sh)
			}
		}
	}
}

// tickUpstreams stops the gangs of upstreams that have been silent for
// silenceTimeout: their tasks there end when the lease expires, and a gang must not
// run in part.
func (s *Scheduler) tickUpstreams() {
	for _, name := range s.topo.Upstreams() {
		u := s.upstreams[name]
		if u.silentSince.IsZero() || s.now.Sub(u.silentSince) < silenceTimeout {
			continue
		}
		if !u.timedOut {
			u.timedOut, s.needsHomes, s.needsPlan = true, true, true
		}
		for _, key := range s.state.GangKeys() {
			tg := s.gangs[key]
			if tg == nil || tg.stopping || tg.gang.State == yuccapaddle.GangClaimed || tg.shareOn(name) == nil {
				continue
			}
			s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "upstream " + name + " does not answer"})
		}
	}
}
