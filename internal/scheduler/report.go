package scheduler

import (
	"time"

	"yuccapaddle"
)

// reported takes in what an upstream says of its tasks and workers.
func (s *Scheduler) reported(e yuccapaddle.Reported) {
	r := &e.Report
	u := s.upstreams[r.Upstream]
	if u == nil || s.topo == nil {
		return
	}
	if !u.heard || !u.silentSince.IsZero() || u.leaving != r.Leaving {
		s.dirty, s.rehome = true, true
	}
	u.heard, u.gone, u.silentSince, u.leaving, u.boot = true, false, time.Time{}, r.Leaving, r.Boot
	for _, c := range r.Workers {
		s.condition(c)
	}
	present := map[string]bool{}
	for i := range r.Tasks {
		present[r.Tasks[i].Lease] = true
		s.task(r.Upstream, &r.Tasks[i])
	}
	if r.Full {
		s.findLost(r.Upstream, e.SentAt, present)
	}
	for _, lease := range r.Missing {
		if lg := s.leases[lease]; lg != nil {
			s.loseShare(lg, lg.share(r.Upstream), e.SentAt)
		}
	}
}

func (s *Scheduler) condition(c yuccapaddle.WorkerCondition) {
	old := s.conditions[c.Worker]
	s.conditions[c.Worker] = c
	if old.Down != c.Down || old.Leaving != c.Leaving {
		s.dirty, s.rehome = true, true
	}
}

// findLost closes shares that a full report does not list although the upstream
// had confirmed them before the sync was sent.
func (s *Scheduler) findLost(upstream string, sentAt time.Time, present map[string]bool) {
	for _, key := range s.state.GangKeys() {
		lg := s.live[key]
		if lg == nil || present[lg.lease] {
			continue
		}
		s.loseShare(lg, lg.share(upstream), sentAt)
	}
}

func (s *Scheduler) loseShare(lg *liveGang, sh *share, sentAt time.Time) {
	if sh == nil || lg.stopping || !sh.ackAt.Before(sentAt) {
		return
	}
	recovering := sh.phase == phaseAsked && lg.released() && sh.ackAt.IsZero() && sh.retryAt.IsZero()
	if sh.phase != phaseReserved && sh.phase != phaseStarted && !recovering {
		return
	}
	s.beginStop(lg, ending{kind: endRequeue, why: "upstream " + sh.upstream + " has lost the lease"})
}

// task takes in the state of one task. Parts are kept by lease and rank, so
// that late, repeated or reordered reports do no harm.
func (s *Scheduler) task(upstream string, t *yuccapaddle.TaskReport) {
	lg := s.leases[t.Lease]
	if lg == nil {
		s.strayTask(upstream, t)
		return
	}
	sh := lg.share(upstream)
	if sh == nil || lg.workerOf(t.Rank) != t.Worker || sh.phase == phaseOver {
		return
	}
	if t.Checkpointed {
		s.checkpointed(lg, sh, t.Rank)
	}
	switch t.State {
	case yuccapaddle.TaskReserved:
		s.taskReserved(lg, sh)
	case yuccapaddle.TaskRunning:
		s.running(lg, sh)
	case yuccapaddle.TaskDone:
		s.running(lg, sh)
		s.taskDone(lg, t)
	case yuccapaddle.TaskFailed:
		s.running(lg, sh)
		s.taskFailed(lg, t)
	case yuccapaddle.TaskStopped:
		s.running(lg, sh)
		s.taskEnded(lg, t)
	case yuccapaddle.TaskNeverStarted:
		s.taskEnded(lg, t)
	}
}

func (s *Scheduler) taskReserved(lg *liveGang, sh *share) {
	if sh.phase == phaseAsked && !lg.released() {
		s.hold(lg, sh)
		return
	}
	if sh.phase == phaseAsked {
		// A former host committed the release but its start did not arrive.
		sh.phase, sh.ackAt = phaseReserved, s.now
	}
	if sh.phase != phaseReserved || !lg.released() || lg.stopping || !sh.retryAt.Before(s.now) {
		return
	}
	sh.maybe = true
	if !s.mayStart(lg.gang) {
		sh.retryAt = s.now // the report does not come again: tickLaunch sends the start
		return
	}
	s.sendStart(lg, sh)
}

func (s *Scheduler) taskDone(lg *liveGang, t *yuccapaddle.TaskReport) {
	if _, ok := lg.parts[t.Rank]; !ok {
		lg.parts[t.Rank] = t.Part
	}
	if len(lg.parts) == lg.tasks() && !lg.stopping {
		s.complete(lg)
	}
}

func (s *Scheduler) taskFailed(lg *liveGang, t *yuccapaddle.TaskReport) {
	if lg.stopping {
		return
	}
	s.strike(t.Worker, lg.gang.Key)
	f := &yuccapaddle.Failure{Attempt: lg.gang.Attempt, Worker: t.Worker, Reason: t.Error, At: s.now}
	s.beginStop(lg, ending{kind: endFail, why: t.Error, failure: f})
}

func (s *Scheduler) taskEnded(lg *liveGang, t *yuccapaddle.TaskReport) {
	if lg.stopping {
		return
	}
	s.beginStop(lg, ending{kind: endRequeue, why: describe(t.Worker, t.Error)})
}

// strayTask handles a task of a lease that is not placed any more. A request
// whose fate was unknown is settled by it.
func (s *Scheduler) strayTask(upstream string, t *yuccapaddle.TaskReport) {
	active := t.State == yuccapaddle.TaskReserved || t.State == yuccapaddle.TaskRunning
	if active {
		s.stopOrphan(upstream, t.Lease)
		return
	}
	if s.unsettled[t.Lease] != nil {
		return // it is being asked for
	}
	lease := t.Lease
	s.onCommit(func() {
		s.do(yuccapaddle.ForgetAction{Command: yuccapaddle.LeaseCommand{
			Upstream: upstream, Lease: lease, Token: s.epoch, NotAfter: s.now.Add(messageTime),
		}})
	})
}

func (s *Scheduler) checkpointed(lg *liveGang, sh *share, rank int) {
	sh.checkpointed[rank] = true
	lg.savedAt = s.now
	if lg.gang.Evicting() && !lg.stopping && lg.allCheckpointed() {
		s.beginStop(lg, ending{kind: endRequeue, why: lg.gang.EvictFor})
	}
}

// allCheckpointed reports whether every task has saved its work or is done.
func (lg *liveGang) allCheckpointed() bool {
	for _, sh := range lg.shares {
		for _, m := range sh.members {
			for _, rank := range m.Ranks() {
				if _, done := lg.parts[rank]; !done && !sh.checkpointed[rank] {
					return false
				}
			}
		}
	}
	return true
}

func (s *Scheduler) silent(upstream string) {
	u := s.upstreams[upstream]
	if u == nil || !u.silentSince.IsZero() {
		return
	}
	u.silentSince = s.now
	s.dirty = true
}

func (s *Scheduler) listed(hosts []yuccapaddle.Host) {
	for _, h := range hosts {
		u := s.upstreams[h.Name]
		if u == nil || u.listed == h.State {
			continue
		}
		u.listed = h.State
		s.dirty = true
	}
}
