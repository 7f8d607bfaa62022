package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// evictReasonCancelled is the eviction reason recorded for a gang whose request
// was cancelled.
const evictReasonCancelled = "cancelled"

// recover resumes tracking the gangs that a former host placed. If the release of
// a gang was not committed, no start was sent, so the gang is stopped and its
// request requeued. The state of the other gangs comes with the upstreams'
// reports.
func (s *Scheduler) recover() {
	for _, key := range s.state.GangKeys() {
		g := s.state.Gang(key)
		tg := s.track(g)
		tg.recovered = true
		if g.State == yuccapaddle.GangClaimed {
			s.claims[key] = tg
			continue
		}
		for _, sh := range tg.shares {
			sh.phase = phaseReserving
		}
		tg.startedAt = g.PlacedAt
		switch {
		case g.EvictReason == evictReasonCancelled:
			s.beginStop(tg, stopCause{kind: stopCancelled})
		case g.State == yuccapaddle.GangReserving:
			s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "the host that placed it has gone"})
		}
	}
}

// mayStart reports whether a start may be sent now: the configuration is known
// to be current, and neither operators nor the platform are withdrawing any of
// the gang's workers.
func (s *Scheduler) mayStart(g *yuccapaddle.Gang) bool {
	if !s.permitUntil.After(s.now) || s.topo.DomainOut(g.Domain) {
		return false
	}
	for _, m := range g.Members {
		u := s.upstreams[s.topo.UpstreamOf(m.Worker)]
		if !s.topo.Accepts(m.Worker) || u == nil || u.leaving || u.listState == yuccapaddle.HostLeaving {
			return false
		}
	}
	return true
}

// launch sends the reservations of a gang whose placement is committed.
func (s *Scheduler) launch(tg *trackedGang) {
	if tg.stopping || s.gangs[tg.gang.Key] != tg {
		return
	}
	if !s.mayStart(tg.gang) {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "its place was taken away before the start"})
		return
	}
	for _, sh := range tg.shares {
		s.sendReserve(tg, sh)
	}
}

func (s *Scheduler) sendReserve(tg *trackedGang, sh *share) {
	r := s.state.Request(tg.gang.Key)
	sh.phase = phaseReserving
	sh.retryAt = s.now.Add(messageTimeout + retryDelay)
	s.emit(yuccapaddle.ReserveAction{Reservation: yuccapaddle.Reservation{
		Upstream: sh.upstream, Lease: tg.lease, Token: s.epoch, Members: sh.members,
		Accelerators: tg.gang.Accelerators, Payload: r.Payload, Resume: s.state.Resumes(tg.gang.Key),
		Start: tg.released(), NotAfter: s.notAfter(), Expiry: s.now.Add(s.maxLeaseTTL),
	}})
}

func (s *Scheduler) sendStart(tg *trackedGang, sh *share) {
	sh.retryAt = s.now.Add(messageTimeout + retryDelay)
	s.emit(yuccapaddle.StartAction{Command: s.leaseCommand(tg, sh)})
}

func (s *Scheduler) leaseCommand(tg *trackedGang, sh *share) yuccapaddle.LeaseCommand {
	return yuccapaddle.LeaseCommand{Upstream: sh.upstream, Lease: tg.lease, Token: s.epoch, NotAfter: s.notAfter()}
}

// notAfter returns the deadline of a message that may start tasks. It never
// exceeds the start permit.
func (s *Scheduler) notAfter() time.Time {
	limit := s.now.Add(messageTimeout)
	if s.permitUntil.Before(limit) {
		return s.permitUntil
	}
	return limit
}

// handleReserved processes an upstream's answer to a reservation. A refusal stops the
// gang; the refused share has ended already, unless an earlier reservation got no
// answer and may have succeeded.
func (s *Scheduler) handleReserved(e yuccapaddle.Reserved) {
	tg := s.gangsByLease[e.Lease]
	if tg == nil {
		s.stopOrphanLease(e.Upstream, e.Lease)
		return
	}
	sh := tg.shareOn(e.Upstream)
	if sh == nil || sh.phase > phaseReserving {
		return
	}
	switch {
	case errors.Is(e.Err, yuccapaddle.ErrRefused):
		s.coolDownRefusers(e.Upstream, e.Err)
		if !tg.stopping {
			if !sh.reserveUnanswered {
				sh.phase = phaseEnded
			}
			s.beginStop(tg, stopCause{kind: stopInterrupted, reason: e.Err.Error()})
		}
	case e.Err != nil:
		sh.reserveUnanswered = true
		sh.retryAt = s.now.Add(retryDelay)
	default:
		s.markReserved(tg, sh)
	}
}

// markReserved records that an upstream holds the lease. Once all upstreams do,
// the release of the gang is committed before any start is sent.
func (s *Scheduler) markReserved(tg *trackedGang, sh *share) {
	sh.phase, sh.confirmedAt = phaseReserved, s.now
	if tg.released() {
		s.markStarted(tg, sh)
		return
	}
	if tg.stopping || !tg.allReached(phaseReserved) {
		return
	}
	if !s.mayStart(tg.gang) {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "its place was taken away before the start"})
		return
	}
	s.propose(keeper.Release(tg.gang.Key, s.now))
	s.onCommit(func() { s.startAll(tg) })
}

// startAll sends the starts of a gang whose release is committed.
func (s *Scheduler) startAll(tg *trackedGang) {
	if tg.stopping || s.gangs[tg.gang.Key] != tg {
		return
	}
	if !s.mayStart(tg.gang) {
		s.beginStop(tg, stopCause{kind: stopInterrupted, reason: "its place was taken away before the start"})
		return
	}
	for _, sh := range tg.shares {
		sh.mayHaveRun = true
		s.sendStart(tg, sh)
	}
}

func (s *Scheduler) handleStarted(e yuccapaddle.Started) {
	tg := s.gangsByLease[e.Lease]
	if tg == nil {
		return
	}
	sh := tg.shareOn(e.Upstream)
	if sh == nil || sh.phase >= phaseStarted {
		return
	}
	switch {
	case errors.Is(e.Err, yuccapaddle.ErrRefused):
		s.coolDownRefusers(e.Upstream, e.Err)
		if !tg.stopping {
			s.beginStop(tg, stopCause{kind: stopInterrupted, reason: e.Err.Error()})
		}
	case e.Err != nil:
		sh.retryAt = s.now.Add(retryDelay)
	default:
		s.markStarted(tg, sh)
	}
}

// markStarted records that the tasks of a share run, or have run.
func (s *Scheduler) markStarted(tg *trackedGang, sh *share) {
	sh.phase, sh.ran = phaseStarted, true
	if sh.confirmedAt.IsZero() {
		sh.confirmedAt = s.now
	}
	if tg.startedAt.IsZero() && tg.allReached(phaseStarted) {
		tg.startedAt = s.now
	}
}

// coolDownRefusers excludes the worker named by a refusal from placements for
// refusalCooldown; if none is named, all workers of the upstream.
func (s *Scheduler) coolDownRefusers(upstream string, err error) {
	var we *yuccapaddle.WorkerError
	if errors.As(err, &we) && we.Worker != "" {
		s.cooldownUntil[we.Worker] = s.now.Add(refusalCooldown)
		return
	}
	for _, w := range s.topo.Workers() {
		if s.topo.UpstreamOf(w.Name) == upstream {
			s.cooldownUntil[w.Name] = s.now.Add(refusalCooldown)
		}
	}
}

// stopOrphanLease stops a lease that belongs to no placed gang.
func (s *Scheduler) stopOrphanLease(upstream, lease string) {
	s.emit(yuccapaddle.StopAction{Command: yuccapaddle.LeaseCommand{
		Upstream: upstream, Lease: lease, Token: s.epoch, NotAfter: s.now.Add(messageTimeout),
	}})
}

// complete settles a request of which every task has finished, and announces the
// outcome before it is committed.
func (s *Scheduler) complete(tg *trackedGang) {
	key := tg.gang.Key
	o := s.state.Outcome(key)
	o.Verdict, o.MayHaveRun, o.EndAt = yuccapaddle.VerdictDone, true, s.now
	o.Parts = make([]json.RawMessage, tg.taskCount())
	for rank := range o.Parts {
		o.Parts[rank] = tg.parts[rank]
	}
	s.recordSuccess(tg)
	s.finish(tg, keeper.End(&o, s.now))
	s.emit(yuccapaddle.Announce{Outcome: o})
}

// finish stops tracking a gang and proposes the record of its outcome; once that
// is committed, the upstreams drop the results.
func (s *Scheduler) finish(tg *trackedGang, r keeper.Record) {
	s.end(tg, r)
	s.forgetResults(tg)
}

// end stops tracking a gang and proposes the record of its outcome. The upstreams keep
// the results, which are asked for until they settle the outcome.
func (s *Scheduler) end(tg *trackedGang, r keeper.Record) {
	s.untrack(tg.gang.Key)
	s.propose(r)
	s.needsPlan = true
}

// forgetResults has the upstreams drop the results of a gang once the records
// proposed so far are committed.
func (s *Scheduler) forgetResults(tg *trackedGang) {
	shares := tg.shares
	s.onCommit(func() {
		for _, sh := range shares {
			if sh.phase != phaseUnsent {
				s.emit(yuccapaddle.ForgetAction{Command: yuccapaddle.LeaseCommand{
					Upstream: sh.upstream, Lease: tg.lease, Token: s.epoch, NotAfter: s.now.Add(messageTimeout),
				}})
			}
		}
	})
}

// workerReason prefixes a reason given to callers with the worker, if known.
func workerReason(worker, reason string) string {
	if worker == "" {
		return reason
	}
	return fmt.Sprintf("worker %s: %s", worker, reason)
}
