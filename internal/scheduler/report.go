package scheduler

import (
	"slices"
	"time"

	"yuccapaddle"
)

// handleReport processes an upstream's report on its tasks and workers.
func (s *Scheduler) handleReport(e yuccapaddle.Reported) {
	r := &e.Report
	u := s.upstreams[r.Upstream]
	if u == nil || s.topo == nil {
		return
	}
	if !u.reported || !u.silentSince.IsZero() || u.leaving != r.Leaving {
		s.needsPlan, s.needsHomes = true, true
	}
	u.reported, u.timedOut, u.silentSince, u.leaving, u.boot = true, false, time.Time{}, r.Leaving, r.Boot
	for _, c := range r.Workers {
		s.setCondition(c)
	}
	listed := map[string]bool{}
	for i := range r.Tasks {
		listed[r.Tasks[i].Lease] = true
		s.handleTask(r.Upstream, &r.Tasks[i])
	}
	if r.Full {
		s.handleUnlistedShares(r.Upstream, e.SentAt, listed)
	}
	for _, lease := range r.Missing {
		if tg := s.gangsByLease[lease]; tg != nil {
			s.handleLostShare(tg, tg.shareOn(r.Upstream), e.SentAt)
		}
	}
}

// setCondition stores the reported condition of a worker.
func (s *Scheduler) setCondition(c yuccapaddle.WorkerCondition) {
	old := s.conditions[c.Worker]
	s.conditions[c.Worker] = c
	if old.Down != c.Down || old.Leaving != c.Leaving {
		s.needsPlan, s.needsHomes = true, true
	}
}

// handleUnlistedShares stops the gangs of leases that a full report does not list,
// although the upstream had confirmed them before the sync was sent.
func (s *Scheduler) handleUnlistedShares(upstream string, sentAt time.Time, listed map[string]bool) {
	for _, key := range s.state.GangKeys() {
		tg := s.gangs[key]
		if tg == nil || listed[tg.lease] {
			continue
		}
		s.handleLostShare(tg, tg.shareOn(upstream), sentAt)
	}
}

// handleLostShare stops a gang of which an upstream has lost a share. A share
// confirmed only after the sync was sent may be missing from its report, and is
// left alone. A released share taken over from a former host counts as confirmed.
func (s *Scheduler) handleLostShare(tg *trackedGang, sh *share, sentAt time.Time) {
	if sh == nil || tg.stopping || !sh.confirmedAt.Before(sentAt) {
		return
	}
	recovering := sh.phase == phaseReserving && tg.released() && sh.confirmedAt.IsZero() && sh.retryAt.IsZero()
	if sh.phase != phaseReserved && sh.phase != phaseStarted && !recovering {
		return
	}
	s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "upstream " + sh.upstream + " has lost the lease"})
}

// handleTask processes the reported state of one task. Parts are kept by lease and
// rank, so that late, repeated or reordered reports are harmless.
func (s *Scheduler) handleTask(upstream string, t *yuccapaddle.TaskReport) {
	tg := s.gangsByLease[t.Lease]
	if tg == nil {
		s.handleOrphanTask(upstream, t)
		return
	}
	sh := tg.shareOn(upstream)
	if sh == nil || tg.workerOf(t.Rank) != t.Worker || sh.phase == phaseEnded {
		return
	}
	if t.Checkpointed {
		s.handleCheckpoint(tg, sh, t.Rank)
	}
	switch t.State {
	case yuccapaddle.TaskReserved:
		s.handleTaskReserved(tg, sh)
	case yuccapaddle.TaskRunning:
		s.markStarted(tg, sh)
	case yuccapaddle.TaskDone:
		s.markStarted(tg, sh)
		s.handleTaskDone(tg, t)
	case yuccapaddle.TaskFailed:
		s.markStarted(tg, sh)
		s.handleTaskFailed(tg, t)
	case yuccapaddle.TaskStopped:
		s.markStarted(tg, sh)
		s.handleTaskInterrupted(tg, t)
	case yuccapaddle.TaskNeverStarted:
		s.handleTaskInterrupted(tg, t)
	}
}

// handleTaskReserved handles a task whose lease is held but which has not been
// started. If its gang is released, the start has not arrived and is sent again.
func (s *Scheduler) handleTaskReserved(tg *trackedGang, sh *share) {
	if sh.phase == phaseReserving && !tg.released() {
		s.markReserved(tg, sh)
		return
	}
	if sh.phase == phaseReserving {
		// A former host committed the release, but its start did not arrive.
		sh.phase, sh.confirmedAt = phaseReserved, s.now
	}
	if sh.phase != phaseReserved || !tg.released() || tg.stopping || !sh.retryAt.Before(s.now) {
		return
	}
	sh.mayHaveRun = true
	if !s.mayStart(tg.gang) {
		sh.retryAt = s.now // the report is not repeated; tickLaunch sends the start
		return
	}
	s.sendStart(tg, sh)
}

func (s *Scheduler) handleTaskDone(tg *trackedGang, t *yuccapaddle.TaskReport) {
	if _, ok := tg.parts[t.Rank]; !ok {
		tg.parts[t.Rank] = t.Part
	}
	if len(tg.parts) == tg.taskCount() && !tg.stopping {
		s.complete(tg)
	}
}

func (s *Scheduler) handleTaskFailed(tg *trackedGang, t *yuccapaddle.TaskReport) {
	if tg.stopping {
		return
	}
	s.addStrike(t.Worker, tg.gang.Key)
	f := &yuccapaddle.Failure{Attempt: tg.gang.Attempt, Worker: t.Worker, Reason: t.Error, At: s.now}
	s.beginStop(tg, stopCause{kind: stopFailed, reason: t.Error, failure: f})
}

// handleTaskInterrupted handles a task that the upstream stopped, or never started.
func (s *Scheduler) handleTaskInterrupted(tg *trackedGang, t *yuccapaddle.TaskReport) {
	if tg.stopping {
		return
	}
	s.beginStop(tg, stopCause{kind: stopInterrupted, reason: workerReason(t.Worker, t.Error)})
}

// handleOrphanTask handles a task whose lease belongs to no placed gang. The lease
// is stopped if the task is still active; otherwise its results are dropped, unless
// they are needed to settle a request whose outcome is unknown.
func (s *Scheduler) handleOrphanTask(upstream string, t *yuccapaddle.TaskReport) {
	active := t.State == yuccapaddle.TaskReserved || t.State == yuccapaddle.TaskRunning
	if active {
		s.stopOrphanLease(upstream, t.Lease)
		return
	}
	if s.isUnsettled(t.Lease) {
		return // the reply to the stop settles the request
	}
	lease := t.Lease
	s.onCommit(func() {
		s.emit(yuccapaddle.ForgetAction{Command: yuccapaddle.LeaseCommand{
			Upstream: upstream, Lease: lease, Token: s.epoch, NotAfter: s.now.Add(messageTimeout),
		}})
	})
}

// isUnsettled reports whether a lease belongs to a request whose outcome is unknown. A host
// that has just become active may not have asked for it yet.
func (s *Scheduler) isUnsettled(lease string) bool {
	if s.unsettledByLease[lease] != nil {
		return true
	}
	return slices.ContainsFunc(s.state.Unsettled(), func(g *yuccapaddle.Gang) bool { return g.Lease() == lease })
}

// handleCheckpoint records that a task has saved its work, and stops the gang if it
// is being evicted and all its tasks have.
func (s *Scheduler) handleCheckpoint(tg *trackedGang, sh *share, rank int) {
	sh.checkpointed[rank] = true
	tg.checkpointedAt = s.now
	if tg.gang.Evicting() && !tg.stopping && tg.allCheckpointed() {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: tg.gang.EvictReason})
	}
}

// allCheckpointed reports whether every task has saved its work or is done.
func (tg *trackedGang) allCheckpointed() bool {
	for _, sh := range tg.shares {
		for _, m := range sh.members {
			for _, rank := range m.Ranks() {
				if _, done := tg.parts[rank]; !done && !sh.checkpointed[rank] {
					return false
				}
			}
		}
	}
	return true
}

func (s *Scheduler) handleSyncFailure(upstream string) {
	u := s.upstreams[upstream]
	if u == nil || !u.silentSince.IsZero() {
		return
	}
	u.silentSince = s.now
	s.needsPlan = true
}

func (s *Scheduler) handleHostList(hosts []yuccapaddle.Host) {
	for _, h := range hosts {
		u := s.upstreams[h.Name]
		if u == nil || u.listState == h.State {
			continue
		}
		u.listState = h.State
		s.needsPlan = true
	}
}
