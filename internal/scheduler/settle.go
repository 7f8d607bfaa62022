package scheduler

import (
	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// probe asks the upstreams of requests whose outcome is unknown what became of
// them, until all have told.
func (s *Scheduler) probe() {
	if s.now.Before(s.probeAt) {
		return
	}
	s.probeAt = s.now.Add(probeInterval)
	for _, g := range s.state.Unsettled() {
		lg := s.unsettled[g.Lease()]
		if lg == nil {
			lg = s.split(g)
			lg.recovered = true
			for _, sh := range lg.shares {
				sh.phase, sh.maybe = phaseAsked, true
			}
			s.unsettled[lg.lease] = lg
		}
		for _, sh := range lg.shares {
			if sh.phase != phaseOver {
				s.sendStop(lg, sh)
			}
		}
	}
}

// probed takes in an upstream's word on an unsettled request.
func (s *Scheduler) probed(e yuccapaddle.Stopped) {
	lg := s.unsettled[e.Lease]
	if lg == nil || e.Err != nil {
		return
	}
	sh := lg.share(e.Upstream)
	if sh == nil || sh.phase == phaseOver {
		return
	}
	s.settleShare(lg, sh, e.Reply)
	if lg.all(phaseOver) {
		s.settleUnknown(lg)
	}
}

func (s *Scheduler) settleUnknown(lg *liveGang) {
	delete(s.unsettled, lg.lease)
	if len(lg.parts) == lg.tasks() {
		s.complete(lg)
		return
	}
	ran, maybe := lg.evidence()
	o := s.state.Outcome(lg.gang.Key)
	o.Verdict, o.Ran, o.EndAt = yuccapaddle.VerdictFailed, ran || maybe, s.now
	switch {
	case ran && lg.unfinished:
		o.Reason = "it ran in part while this system was cut off from it, and it is not repeatable"
	case ran || maybe:
		// An answer may have been given out while the journal was out of reach.
		o.Verdict = yuccapaddle.VerdictUnknown
		o.Reason = "it may have run: an upstream restarted and no longer knows, and it is not repeatable"
	default:
		o.Reason = "it did not run: its upstream was cut off before the start, submit it again under a new id"
	}
	s.propose(keeper.Settle(&o, s.now))
	s.forgetShares(lg)
}
