package scheduler

import (
	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// queryUnsettled sends stops for requests whose outcome is unknown, until the
// replies of all their upstreams tell what became of the tasks.
func (s *Scheduler) queryUnsettled() {
	if s.now.Before(s.nextUnsettledQueryAt) {
		return
	}
	s.nextUnsettledQueryAt = s.now.Add(unsettledQueryInterval)
	for _, g := range s.state.Unsettled() {
		tg := s.unsettledByLease[g.Lease()]
		if tg == nil {
			tg = s.splitByUpstream(g)
			tg.recovered = true
			for _, sh := range tg.shares {
				sh.phase, sh.mayHaveRun = phaseReserving, true
			}
			s.unsettledByLease[tg.lease] = tg
		}
		for _, sh := range tg.shares {
			if sh.phase != phaseEnded {
				s.sendStop(tg, sh)
			}
		}
	}
}

// handleUnsettledStop processes the reply to a stop sent by queryUnsettled.
func (s *Scheduler) handleUnsettledStop(e yuccapaddle.Stopped) {
	tg := s.unsettledByLease[e.Lease]
	if tg == nil || e.Err != nil {
		return
	}
	sh := tg.shareOn(e.Upstream)
	if sh == nil || sh.phase == phaseEnded {
		return
	}
	s.recordStopReply(tg, sh, e.Reply)
	if tg.allReached(phaseEnded) {
		s.settleUnknown(tg)
	}
}

// settleUnknown settles a request whose outcome was unknown, once all its upstreams
// have replied.
func (s *Scheduler) settleUnknown(tg *trackedGang) {
	delete(s.unsettledByLease, tg.lease)
	if len(tg.parts) == tg.taskCount() {
		s.complete(tg)
		return
	}
	ran, mayHaveRun := tg.runEvidence()
	o := s.state.Outcome(tg.gang.Key)
	o.Verdict, o.MayHaveRun, o.EndAt = yuccapaddle.VerdictFailed, ran || mayHaveRun, s.now
	switch {
	case ran && tg.unfinished:
		o.Reason = "it ran in part while this system was cut off from it, and it is not repeatable"
	case ran || mayHaveRun:
		// A completed outcome may have been announced while the journal was
		// unreachable.
		o.Verdict = yuccapaddle.VerdictUnknown
		o.Reason = "it may have run: an upstream restarted and no longer knows, and it is not repeatable"
	default:
		o.Reason = "it did not run: its upstream was cut off before the start, submit it again under a new id"
	}
	s.propose(keeper.EndSettled(&o, s.now))
	s.forgetResults(tg)
}
