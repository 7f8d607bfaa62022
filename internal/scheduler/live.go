package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

// evictCancelled is the reason recorded for a gang whose caller cancelled it.
const evictCancelled = "cancelled"

// recover takes up the gangs of a former host. Where no start was committed,
// none was sent: such gangs are closed and queued again. For the others the
// upstreams are asked.
func (s *Scheduler) recover() {
	for _, key := range s.state.GangKeys() {
		g := s.state.Gang(key)
		lg := s.track(g)
		lg.recovered = true
		if g.State == yuccapaddle.GangClaimed {
			s.claims[key] = lg
			continue
		}
		for _, sh := range lg.shares {
			sh.phase = phaseAsked
		}
		lg.startAt = g.PlacedAt
		switch {
		case g.EvictFor == evictCancelled:
			s.beginStop(lg, ending{kind: endCancel})
		case g.State == yuccapaddle.GangReserving:
			s.beginStop(lg, ending{kind: endRequeue, why: "the host that placed it has gone"})
		}
	}
}

// mayStart reports whether a start may be sent now: the configuration is known
// to be fresh, and neither operators nor the platform take the place away.
func (s *Scheduler) mayStart(g *yuccapaddle.Gang) bool {
	if !s.permit.After(s.now) || s.topo.Out(g.Domain) {
		return false
	}
	for _, m := range g.Members {
		u := s.upstreams[s.topo.UpstreamOf(m.Worker)]
		if !s.topo.Accepts(m.Worker) || u == nil || u.leaving || u.listed == yuccapaddle.HostLeaving {
			return false
		}
	}
	return true
}

// launch sends the reservations of a gang that is committed.
func (s *Scheduler) launch(lg *liveGang) {
	if lg.stopping || s.live[lg.gang.Key] != lg {
		return
	}
	if !s.mayStart(lg.gang) {
		s.beginStop(lg, ending{kind: endRequeue, why: "its place was taken away before the start"})
		return
	}
	for _, sh := range lg.shares {
		s.sendReserve(lg, sh)
	}
}

func (s *Scheduler) sendReserve(lg *liveGang, sh *share) {
	r := s.state.Request(lg.gang.Key)
	sh.phase = phaseAsked
	sh.retryAt = s.now.Add(messageTime + retryTime)
	s.do(yuccapaddle.ReserveAction{Reservation: yuccapaddle.Reservation{
		Upstream: sh.upstream, Lease: lg.lease, Token: s.epoch, Members: sh.members,
		Accelerators: lg.gang.Accelerators, Payload: r.Payload, Resume: s.state.Resumes(lg.gang.Key),
		Start: lg.released(), NotAfter: s.notAfter(), Expiry: s.now.Add(s.lease),
	}})
}

func (s *Scheduler) sendStart(lg *liveGang, sh *share) {
	sh.retryAt = s.now.Add(messageTime + retryTime)
	s.do(yuccapaddle.StartAction{Command: s.command(lg, sh)})
}

func (s *Scheduler) command(lg *liveGang, sh *share) yuccapaddle.LeaseCommand {
	return yuccapaddle.LeaseCommand{Upstream: sh.upstream, Lease: lg.lease, Token: s.epoch, NotAfter: s.notAfter()}
}

// notAfter is the deadline of a message that may start something.
func (s *Scheduler) notAfter() time.Time {
	limit := s.now.Add(messageTime)
	if s.permit.Before(limit) {
		return s.permit
	}
	return limit
}

func (s *Scheduler) reserved(e yuccapaddle.Reserved) {
	lg := s.leases[e.Lease]
	if lg == nil {
		s.stopOrphan(e.Upstream, e.Lease)
		return
	}
	sh := lg.share(e.Upstream)
	if sh == nil || sh.phase > phaseAsked {
		return
	}
	switch {
	case errors.Is(e.Err, yuccapaddle.ErrRefused):
		s.blameRefusal(e.Upstream, e.Err)
		if !lg.stopping {
			if !sh.unsure {
				sh.phase = phaseOver
			}
			s.beginStop(lg, ending{kind: endRequeue, why: e.Err.Error()})
		}
	case e.Err != nil:
		sh.unsure = true
		sh.retryAt = s.now.Add(retryTime)
	default:
		s.hold(lg, sh)
	}
}

// hold notes that an upstream holds the lease; when all do, the gang is
// released by a committed record before any start is sent.
func (s *Scheduler) hold(lg *liveGang, sh *share) {
	sh.phase, sh.ackAt = phaseReserved, s.now
	if lg.released() {
		s.running(lg, sh)
		return
	}
	if lg.stopping || !lg.all(phaseReserved) {
		return
	}
	if !s.mayStart(lg.gang) {
		s.beginStop(lg, ending{kind: endRequeue, why: "its place was taken away before the start"})
		return
	}
	s.propose(keeper.Release(lg.gang.Key, s.now))
	s.onCommit(func() { s.startAll(lg) })
}

func (s *Scheduler) startAll(lg *liveGang) {
	if lg.stopping || s.live[lg.gang.Key] != lg {
		return
	}
	if !s.mayStart(lg.gang) {
		s.beginStop(lg, ending{kind: endRequeue, why: "its place was taken away before the start"})
		return
	}
	for _, sh := range lg.shares {
		sh.maybe = true
		s.sendStart(lg, sh)
	}
}

func (s *Scheduler) started(e yuccapaddle.Started) {
	lg := s.leases[e.Lease]
	if lg == nil {
		return
	}
	sh := lg.share(e.Upstream)
	if sh == nil || sh.phase >= phaseStarted {
		return
	}
	switch {
	case errors.Is(e.Err, yuccapaddle.ErrRefused):
		s.blameRefusal(e.Upstream, e.Err)
		if !lg.stopping {
			s.beginStop(lg, ending{kind: endRequeue, why: e.Err.Error()})
		}
	case e.Err != nil:
		sh.retryAt = s.now.Add(retryTime)
	default:
		s.running(lg, sh)
	}
}

func (s *Scheduler) running(lg *liveGang, sh *share) {
	sh.phase, sh.ran = phaseStarted, true
	if sh.ackAt.IsZero() {
		sh.ackAt = s.now
	}
	if lg.startAt.IsZero() && lg.all(phaseStarted) {
		lg.startAt = s.now
	}
}

// blameRefusal keeps a worker, or an upstream's workers, out of placements for
// a short while after a refusal.
func (s *Scheduler) blameRefusal(upstream string, err error) {
	var we *yuccapaddle.WorkerError
	if errors.As(err, &we) && we.Worker != "" {
		s.cooling[we.Worker] = s.now.Add(coolTime)
		return
	}
	for _, w := range s.topo.Workers() {
		if s.topo.UpstreamOf(w.Name) == upstream {
			s.cooling[w.Name] = s.now.Add(coolTime)
		}
	}
}

func (s *Scheduler) stopOrphan(upstream, lease string) {
	s.do(yuccapaddle.StopAction{Command: yuccapaddle.LeaseCommand{
		Upstream: upstream, Lease: lease, Token: s.epoch, NotAfter: s.now.Add(messageTime),
	}})
}

// complete settles a request whose parts are all there.
func (s *Scheduler) complete(lg *liveGang) {
	key := lg.gang.Key
	o := s.state.Outcome(key)
	o.Verdict, o.Ran, o.EndAt = yuccapaddle.VerdictDone, true, s.now
	o.Parts = make([]json.RawMessage, lg.tasks())
	for rank := range o.Parts {
		o.Parts[rank] = lg.parts[rank]
	}
	s.credit(lg)
	s.end(lg, keeper.End(&o, s.now))
	s.do(yuccapaddle.Announce{Outcome: o})
}

// end commits the outcome and then lets the upstreams drop the results.
func (s *Scheduler) end(lg *liveGang, r keeper.Record) {
	s.forgetLive(lg.gang.Key)
	s.propose(r)
	s.dirty = true
	s.forgetShares(lg)
}

func (s *Scheduler) forgetShares(lg *liveGang) {
	shares := lg.shares
	s.onCommit(func() {
		for _, sh := range shares {
			if sh.phase != phaseIdle {
				s.do(yuccapaddle.ForgetAction{Command: yuccapaddle.LeaseCommand{
					Upstream: sh.upstream, Lease: lg.lease, Token: s.epoch, NotAfter: s.now.Add(messageTime),
				}})
			}
		}
	})
}

// describe names a gang for reasons given to callers.
func describe(worker, reason string) string {
	if worker == "" {
		return reason
	}
	return fmt.Sprintf("worker %s: %s", worker, reason)
}
