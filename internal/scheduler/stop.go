package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// endingKind is what follows once a gang is certainly not running any more.
type endingKind int

const (
	endRequeue endingKind = iota // interrupted: run again if that is allowed
	endFail                      // a task failed
	endCancel                    // the caller cancelled
)

type ending struct {
	kind    endingKind
	why     string
	failure *yuccapaddle.Failure
}

// evict asks a gang to save its work and to go within the grace.
func (s *Scheduler) evict(g *yuccapaddle.Gang, why string) {
	lg := s.live[g.Key]
	if lg == nil || lg.stopping || g.Leaving() {
		return
	}
	s.dirty = true
	if g.State == yuccapaddle.GangClaimed {
		s.dropClaim(g.Key)
		return
	}
	if !lg.released() {
		s.beginStop(lg, ending{kind: endRequeue, why: why})
		return
	}
	s.propose(keeper.Evict(g.Key, why, s.now.Add(s.grace()), s.now))
	s.askToSave(lg)
}

// askToSave asks all upstreams of a gang for checkpoints.
func (s *Scheduler) askToSave(lg *liveGang) {
	for _, sh := range lg.shares {
		sh.checkpointed = map[int]bool{}
		c := s.command(lg, sh)
		c.NotAfter = s.now.Add(messageTime)
		s.do(yuccapaddle.CheckpointAction{Command: c})
	}
}

// beginStop ends the leases of all shares. Renewals stop now, so that a lease
// whose upstream cannot be reached has lapsed for certain at lapseBy.
func (s *Scheduler) beginStop(lg *liveGang, e ending) {
	if lg.stopping {
		if e.kind == endCancel {
			lg.ending = e
		}
		return
	}
	lg.stopping, lg.ending = true, e
	lg.lapseBy = s.now.Add(s.lease + lapseMargin)
	for _, sh := range lg.shares {
		switch sh.phase {
		case phaseIdle:
			sh.phase = phaseOver
		case phaseOver:
		default:
			sh.maybe = sh.maybe || lg.released()
			s.sendStop(lg, sh)
		}
	}
	s.conclude(lg)
}

func (s *Scheduler) sendStop(lg *liveGang, sh *share) {
	c := s.command(lg, sh)
	c.NotAfter = s.now.Add(messageTime)
	sh.retryAt = s.now.Add(messageTime + retryTime)
	s.do(yuccapaddle.StopAction{Command: c})
}

func (s *Scheduler) stopped(e yuccapaddle.Stopped) {
	if e.Err == nil && !e.Reply.Of(e.Lease) {
		e.Err = yuccapaddle.ErrNoAnswer // it answers another stop
	}
	lg := s.leases[e.Lease]
	if lg == nil {
		s.probed(e)
		return
	}
	if !lg.stopping {
		return
	}
	sh := lg.share(e.Upstream)
	if sh == nil || sh.phase == phaseOver {
		return
	}
	if e.Err != nil {
		sh.retryAt = s.now.Add(retryTime)
		return
	}
	s.settleShare(lg, sh, e.Reply)
	s.conclude(lg)
}

// settleShare reads from the upstream's last word whether the share ran.
func (s *Scheduler) settleShare(lg *liveGang, sh *share, reply yuccapaddle.StopReply) {
	sh.phase = phaseOver
	if len(reply.Tasks) == 0 {
		sameBoot := reply.Boot == lg.gang.Boots[sh.upstream]
		if sameBoot && !sh.ran {
			sh.maybe, sh.told = false, true
		}
		return
	}
	sh.maybe, sh.told = false, true
	for _, t := range reply.Tasks {
		if t.State != yuccapaddle.TaskNeverStarted {
			sh.ran = true
		}
		lg.unfinished = lg.unfinished || t.State != yuccapaddle.TaskDone
		if t.Checkpointed {
			sh.checkpointed[t.Rank] = true
		}
		if t.State == yuccapaddle.TaskDone {
			if _, ok := lg.parts[t.Rank]; !ok {
				lg.parts[t.Rank] = t.Part
			}
		}
	}
}

// conclude decides what becomes of the request once every share is over.
func (s *Scheduler) conclude(lg *liveGang) {
	if s.live[lg.gang.Key] != lg || !lg.all(phaseOver) {
		return
	}
	if len(lg.parts) == lg.tasks() {
		s.complete(lg) // the last tasks finished before they could be stopped
		return
	}
	ran, maybe := lg.evidence()
	switch {
	case lg.ending.kind == endCancel:
		s.settle(lg, yuccapaddle.VerdictCancelled, cancelReason(ran || maybe || s.state.Ran(lg.gang.Key)), ran || maybe)
	case !ran && !maybe:
		s.requeue(lg, false)
	case s.state.Request(lg.gang.Key).Repeatable:
		s.retry(lg)
	case lg.ending.kind != endFail && ran && lg.allCheckpointed() && lg.allTold():
		s.requeue(lg, true) // goes on where it was saved: still the same run
	case ran && (lg.unfinished || !lg.recovered):
		s.settle(lg, yuccapaddle.VerdictFailed, "it ran and is not repeatable: "+lg.ending.why, true)
	default:
		s.settle(lg, yuccapaddle.VerdictUnknown, "it may have run and is not repeatable: "+lg.ending.why, true)
	}
}

func cancelReason(ran bool) string {
	if ran {
		return "cancelled after it had started"
	}
	return "cancelled before it started"
}

func (s *Scheduler) settle(lg *liveGang, v yuccapaddle.Verdict, reason string, ran bool) {
	o := s.state.Outcome(lg.gang.Key)
	o.Verdict, o.Reason, o.EndAt = v, reason, s.now
	o.Ran = ran || s.state.Ran(lg.gang.Key)
	if lg.ending.failure != nil {
		o.Failures = append(append([]yuccapaddle.Failure(nil), o.Failures...), *lg.ending.failure)
	}
	if v != yuccapaddle.VerdictUnknown && (lg.blank() || s.state.Blank(lg.gang.Key)) {
		s.end(lg, perhapsAnswered(&o, s.now))
		return
	}
	s.end(lg, keeper.End(&o, s.now))
}

// perhapsAnswered keeps an outcome from contradicting an answer that may have
// been given out while the journal was out of reach.
func perhapsAnswered(o *yuccapaddle.Outcome, now time.Time) keeper.Record {
	o.Verdict, o.Ran = yuccapaddle.VerdictUnknown, true
	o.Reason += "; an upstream restarted and no longer knows whether an earlier attempt was answered"
	return keeper.Settle(o, now)
}

func (s *Scheduler) requeue(lg *liveGang, resume bool) {
	ran, maybe := lg.evidence()
	service := 0.0
	if !lg.startAt.IsZero() {
		service = s.now.Sub(lg.startAt).Seconds() * float64(lg.gang.Need())
	}
	s.forgetLive(lg.gang.Key)
	r := keeper.Requeue(lg.gang.Key, lg.ending.failure, ran || maybe, service, s.now)
	if resume {
		r = keeper.Resume(r, lg.parts)
	}
	if lg.blank() {
		r = keeper.Blank(r)
	}
	s.propose(r)
	s.dirty = true
	s.forgetShares(lg)
}

// retry runs a repeatable request again unless it has failed on enough
// different workers, in which case it is parked with its failures.
func (s *Scheduler) retry(lg *liveGang) {
	if lg.ending.kind != endFail || s.attemptsLeft(lg) {
		s.requeue(lg, lg.allCheckpointed())
		return
	}
	s.pardon(lg.gang.Key)
	s.settle(lg, yuccapaddle.VerdictFailed, "it failed on every worker tried, last: "+lg.ending.why, true)
}
