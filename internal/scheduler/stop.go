package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// stopKind is why a gang is stopped. It decides what becomes of the request once
// no share of the gang can run any more.
type stopKind int

const (
	stopInterrupted stopKind = iota // stopped before it was done: run again if that is allowed
	stopFailed                      // a task failed: counts as a failed attempt
	stopCancelled                   // the caller cancelled the request
)

type stopCause struct {
	kind    stopKind
	reason  string
	failure *yuccapaddle.Failure
}

// evict asks a gang to save its work; it is stopped when it has, at the latest at
// the end of the eviction grace. A gang that has not been released is stopped at
// once, and a claim is dropped.
func (s *Scheduler) evict(g *yuccapaddle.Gang, reason string) {
	tg := s.gangs[g.Key]
	if tg == nil || tg.stopping || g.WillLeave() {
		return
	}
	s.needsPlan = true
	if g.State == yuccapaddle.GangClaimed {
		s.dropClaim(g.Key)
		return
	}
	if !tg.released() {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: reason})
		return
	}
	s.propose(keeper.Evict(g.Key, reason, s.now.Add(s.evictionGrace()), s.now))
	s.requestCheckpoints(tg)
}

// requestCheckpoints asks all upstreams of a gang to checkpoint its tasks.
func (s *Scheduler) requestCheckpoints(tg *trackedGang) {
	for _, sh := range tg.shares {
		sh.checkpointed = map[int]bool{}
		c := s.leaseCommand(tg, sh)
		c.NotAfter = s.now.Add(messageTimeout)
		s.emit(yuccapaddle.CheckpointAction{Command: c})
	}
}

// beginStop ends the leases of all shares. Leases are not renewed from now on, so
// that one at an unreachable upstream has certainly expired at leaseExpiredAt. If
// the gang is being stopped already, only a cancellation changes the cause.
func (s *Scheduler) beginStop(tg *trackedGang, cause stopCause) {
	if tg.stopping {
		if cause.kind == stopCancelled {
			tg.stopCause = cause
		}
		return
	}
	tg.stopping, tg.stopCause = true, cause
	tg.leaseExpiredAt = s.now.Add(s.maxLeaseTTL + leaseSkewMargin)
	for _, sh := range tg.shares {
		switch sh.phase {
		case phaseUnsent:
			sh.phase = phaseEnded
		case phaseEnded:
		default:
			sh.mayHaveRun = sh.mayHaveRun || tg.released()
			s.sendStop(tg, sh)
		}
	}
	s.decideOutcome(tg)
}

func (s *Scheduler) sendStop(tg *trackedGang, sh *share) {
	c := s.leaseCommand(tg, sh)
	c.NotAfter = s.now.Add(messageTimeout)
	sh.retryAt = s.now.Add(messageTimeout + retryDelay)
	s.emit(yuccapaddle.StopAction{Command: c})
}

func (s *Scheduler) handleStopped(e yuccapaddle.Stopped) {
	if e.Err == nil && !e.Reply.Of(e.Lease) {
		e.Err = yuccapaddle.ErrNoAnswer // the reply is to the stop of another lease
	}
	tg := s.gangsByLease[e.Lease]
	if tg == nil {
		s.handleUnsettledStop(e)
		return
	}
	if !tg.stopping {
		return
	}
	sh := tg.shareOn(e.Upstream)
	if sh == nil || sh.phase == phaseEnded {
		return
	}
	if e.Err != nil {
		sh.retryAt = s.now.Add(retryDelay)
		return
	}
	s.recordStopReply(tg, sh, e.Reply)
	s.decideOutcome(tg)
}

// recordStopReply ends a share and records from the upstream's reply whether its
// tasks ran. A reply without tasks proves that they did not only if the upstream
// has not restarted since the gang was placed.
func (s *Scheduler) recordStopReply(tg *trackedGang, sh *share, reply yuccapaddle.StopReply) {
	sh.phase = phaseEnded
	if len(reply.Tasks) == 0 {
		sameIncarnation := reply.Boot == tg.gang.Incarnations[sh.upstream]
		if sameIncarnation && !sh.ran {
			sh.mayHaveRun, sh.endKnown = false, true
		}
		return
	}
	sh.mayHaveRun, sh.endKnown = false, true
	for _, t := range reply.Tasks {
		if t.State != yuccapaddle.TaskNeverStarted {
			sh.ran = true
		}
		tg.unfinished = tg.unfinished || t.State != yuccapaddle.TaskDone
		if t.Checkpointed {
			sh.checkpointed[t.Rank] = true
		}
		if t.State == yuccapaddle.TaskDone {
			if _, ok := tg.parts[t.Rank]; !ok {
				tg.parts[t.Rank] = t.Part
			}
		}
	}
}

// decideOutcome decides what becomes of the request once every share has ended.
func (s *Scheduler) decideOutcome(tg *trackedGang) {
	if s.gangs[tg.gang.Key] != tg || !tg.allReached(phaseEnded) {
		return
	}
	if len(tg.parts) == tg.taskCount() {
		s.complete(tg) // the last tasks finished before they could be stopped
		return
	}
	ran, mayHaveRun := tg.runEvidence()
	switch {
	case tg.stopCause.kind == stopCancelled:
		s.settle(tg, yuccapaddle.VerdictCancelled, cancelReason(ran || mayHaveRun || s.state.MayHaveRun(tg.gang.Key)), ran || mayHaveRun)
	case !ran && !mayHaveRun:
		s.requeue(tg, false)
	case s.state.Request(tg.gang.Key).Repeatable:
		s.retryOrFail(tg)
	case tg.stopCause.kind != stopFailed && ran && tg.allCheckpointed() && tg.allEndsKnown():
		s.requeue(tg, true) // continues from the checkpoint, which counts as the same run
	case ran && (tg.unfinished || !tg.recovered):
		s.settle(tg, yuccapaddle.VerdictFailed, "it ran and is not repeatable: "+tg.stopCause.reason, true)
	default:
		s.settle(tg, yuccapaddle.VerdictUnknown, "it may have run and is not repeatable: "+tg.stopCause.reason, true)
	}
}

func cancelReason(mayHaveRun bool) string {
	if mayHaveRun {
		return "cancelled after it had started"
	}
	return "cancelled before it started"
}

// settle ends the request of a stopped gang with a verdict.
func (s *Scheduler) settle(tg *trackedGang, v yuccapaddle.Verdict, reason string, mayHaveRun bool) {
	o := s.state.Outcome(tg.gang.Key)
	o.Verdict, o.Reason, o.EndAt = v, reason, s.now
	o.MayHaveRun = mayHaveRun || s.state.MayHaveRun(tg.gang.Key)
	if tg.stopCause.failure != nil {
		o.Failures = append(append([]yuccapaddle.Failure(nil), o.Failures...), *tg.stopCause.failure)
	}
	if v != yuccapaddle.VerdictUnknown && (tg.mayHaveAnswered() || s.state.MaybeAnswered(tg.gang.Key)) {
		s.finish(tg, maybeAnsweredRecord(&o, s.now))
		return
	}
	if v == yuccapaddle.VerdictUnknown {
		s.end(tg, keeper.End(&o, s.now))
		return
	}
	s.finish(tg, keeper.End(&o, s.now))
}

// maybeAnsweredRecord returns a record that settles a request as unknown, so that
// the outcome cannot contradict one that may have been announced while the journal
// was unreachable.
func maybeAnsweredRecord(o *yuccapaddle.Outcome, now time.Time) keeper.Record {
	o.Verdict, o.MayHaveRun = yuccapaddle.VerdictUnknown, true
	o.Reason += "; an upstream restarted and no longer knows whether an earlier attempt was answered"
	return keeper.EndSettled(o, now)
}

// requeue returns the request of a stopped gang to the queue. If resume is set, it
// continues from its checkpoint.
func (s *Scheduler) requeue(tg *trackedGang, resume bool) {
	ran, mayHaveRun := tg.runEvidence()
	service := 0.0
	if !tg.startedAt.IsZero() {
		service = s.now.Sub(tg.startedAt).Seconds() * float64(tg.gang.Need())
	}
	s.untrack(tg.gang.Key)
	r := keeper.Requeue(tg.gang.Key, tg.stopCause.failure, ran || mayHaveRun, service, s.now)
	if resume {
		r = keeper.MarkResume(r, tg.parts)
	}
	if tg.mayHaveAnswered() {
		r = keeper.MarkMaybeAnswered(r)
	}
	s.propose(r)
	s.needsPlan = true
	s.forgetResults(tg)
}

// retryOrFail requeues a repeatable request, or settles it as failed if it has no
// attempts left.
func (s *Scheduler) retryOrFail(tg *trackedGang) {
	if tg.stopCause.kind != stopFailed || s.attemptsLeft(tg) {
		s.requeue(tg, tg.allCheckpointed())
		return
	}
	s.dropStrikes(tg.gang.Key)
	s.settle(tg, yuccapaddle.VerdictFailed, "it failed on every worker tried, last: "+tg.stopCause.reason, true)
}
