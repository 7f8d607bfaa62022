package scheduler

import (
	"encoding/json"
	"maps"
	"time"

	"yuccapaddle"
)

// phase is the progress of a share of a gang, as far as this host knows.
type phase int

const (
	phaseUnsent    phase = iota // nothing has been sent
	phaseReserving              // a reservation was sent, or may have been by a former host
	phaseReserved               // the upstream holds the lease
	phaseStarted                // the tasks run, or have ended
	phaseEnded                  // the upstream will never run tasks of the lease again
)

// share is the part of a gang that one upstream runs.
type share struct {
	upstream          string
	members           []yuccapaddle.Member
	phase             phase
	confirmedAt       time.Time    // when the upstream first confirmed the lease
	retryAt           time.Time    // earliest time to send the next message; zero until this host has one to send
	ran               bool         // a task certainly ran
	mayHaveRun        bool         // a task may have run
	reserveUnanswered bool         // a reservation got no answer, so the upstream may hold the lease
	endKnown          bool         // the upstream has reported how each of its tasks ended
	checkpointed      map[int]bool // by rank
}

// trackedGang is a gang with its volatile state: a placed gang, or the last gang of
// a request whose outcome is unknown.
type trackedGang struct {
	gang           *yuccapaddle.Gang
	lease          string
	shares         []*share
	parts          map[int]json.RawMessage // results of finished tasks, by rank
	launchDeadline time.Time
	stopping       bool
	leaseExpiredAt time.Time // when all its leases have certainly expired; set while stopping
	stopCause      stopCause
	moveFailed     bool // it did not save its work in time when it was asked to move
	startedAt      time.Time
	checkpointedAt time.Time
	// recovered: an earlier host may have announced the outcome without
	// committing it. unfinished: a task certainly did not complete, so that no
	// completed outcome can have been announced.
	recovered  bool
	unfinished bool
}

// track starts to track a placed gang.
func (s *Scheduler) track(g *yuccapaddle.Gang) *trackedGang {
	tg := s.splitByUpstream(g)
	s.gangs[g.Key] = tg
	s.gangsByLease[tg.lease] = tg
	s.noteUsageChange(g)
	return tg
}

// splitByUpstream divides a gang into one share per upstream. Tasks that an earlier
// attempt has finished are in none of them.
func (s *Scheduler) splitByUpstream(g *yuccapaddle.Gang) *trackedGang {
	tg := &trackedGang{gang: g, lease: g.Lease(), parts: map[int]json.RawMessage{}, launchDeadline: s.now.Add(launchTimeout)}
	maps.Copy(tg.parts, s.state.Parts(g.Key))
	byUpstream := map[string]*share{}
	for _, m := range withoutFinished(g.Members, tg.parts) {
		name := s.topo.UpstreamOf(m.Worker)
		sh := byUpstream[name]
		if sh == nil {
			sh = &share{upstream: name, checkpointed: map[int]bool{}}
			byUpstream[name] = sh
			tg.shares = append(tg.shares, sh)
		}
		sh.members = append(sh.members, m)
	}
	return tg
}

// withoutFinished returns members without the ranks that have a part.
func withoutFinished(members []yuccapaddle.Member, parts map[int]json.RawMessage) []yuccapaddle.Member {
	if len(parts) == 0 {
		return members
	}
	var out []yuccapaddle.Member
	for _, m := range members {
		extend := false // the last member of out can be extended by the next rank
		for _, rank := range m.Ranks() {
			_, done := parts[rank]
			switch {
			case done:
				extend = false
			case extend:
				out[len(out)-1].Count++
			default:
				out = append(out, yuccapaddle.Member{Worker: m.Worker, First: rank, Count: 1})
				extend = true
			}
		}
	}
	return out
}

// untrack stops tracking the gang of a request, if there is one.
func (s *Scheduler) untrack(key string) {
	if tg := s.gangs[key]; tg != nil {
		s.noteUsageChange(tg.gang)
		delete(s.gangsByLease, tg.lease)
		delete(s.claims, key)
		delete(s.gangs, key)
	}
}

// shareOn returns the share that an upstream runs, nil if it runs none.
func (tg *trackedGang) shareOn(upstream string) *share {
	for _, sh := range tg.shares {
		if sh.upstream == upstream {
			return sh
		}
	}
	return nil
}

func (tg *trackedGang) released() bool {
	return tg.gang.State == yuccapaddle.GangReleased
}

// allReached reports whether every share is in the phase atLeast or a later one.
func (tg *trackedGang) allReached(atLeast phase) bool {
	for _, sh := range tg.shares {
		if sh.phase < atLeast {
			return false
		}
	}
	return true
}

// allEndsKnown reports whether it is known how the tasks of every share that may
// have run ended.
func (tg *trackedGang) allEndsKnown() bool {
	for _, sh := range tg.shares {
		if !sh.endKnown && (sh.ran || sh.mayHaveRun) {
			return false
		}
	}
	return true
}

func (tg *trackedGang) taskCount() int {
	n := 0
	for _, m := range tg.gang.Members {
		n += m.Count
	}
	return n
}

// runEvidence reports whether a task certainly ran, and whether one may have run.
func (tg *trackedGang) runEvidence() (ran, mayHaveRun bool) {
	for _, sh := range tg.shares {
		ran = ran || sh.ran
		mayHaveRun = mayHaveRun || sh.mayHaveRun
	}
	return ran, mayHaveRun
}

// mayHaveAnswered reports whether an earlier host may have announced the outcome of
// this attempt, and there is no evidence left to decide it.
func (tg *trackedGang) mayHaveAnswered() bool {
	ran, mayHaveRun := tg.runEvidence()
	return tg.recovered && !tg.unfinished && (ran || mayHaveRun)
}

// workerOf returns the worker of a rank, "" if there is no such rank.
func (tg *trackedGang) workerOf(rank int) string {
	for _, m := range tg.gang.Members {
		if rank >= m.First && rank < m.First+m.Count {
			return m.Worker
		}
	}
	return ""
}
