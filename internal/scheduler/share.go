package scheduler

import (
	"encoding/json"
	"maps"
	"time"

	"yuccapaddle"
)

// phase is how far a share of a gang has got, as far as this host knows.
type phase int

const (
	phaseUnsent    phase = iota // nothing has been sent
	phaseReserving              // a reservation was sent, or may have been by a former host
	phaseReserved               // the upstream holds the lease
	phaseStarted                // the tasks run, or have ended
	phaseEnded                  // the upstream will not run the lease any more
)

// share is the part of a gang that lies on one upstream.
type share struct {
	upstream          string
	members           []yuccapaddle.Member
	phase             phase
	confirmedAt       time.Time
	retryAt           time.Time
	ran               bool // a task certainly ran
	mayHaveRun        bool // a task may have run
	reserveUnanswered bool // a reservation was sent and not answered
	endKnown          bool // the upstream has told how its tasks ended
	checkpointed      map[int]bool
}

// trackedGang is a placed gang and what is known of it at this moment.
type trackedGang struct {
	gang           *yuccapaddle.Gang
	lease          string
	shares         []*share
	parts          map[int]json.RawMessage
	launchDeadline time.Time
	stopping       bool
	leaseExpiredAt time.Time
	cause          stopCause
	moveFailed     bool // it could not save its work when it was asked to move
	startedAt      time.Time
	checkpointedAt time.Time
	// recovered: a former host placed it, and may have given out its answer
	// before it could commit that. unfinished: a task certainly did not end well,
	// so that no answer can have been given out.
	recovered  bool
	unfinished bool
}

func (s *Scheduler) track(g *yuccapaddle.Gang) *trackedGang {
	tg := s.splitByUpstream(g)
	s.gangs[g.Key] = tg
	s.gangsByLease[tg.lease] = tg
	s.noteUsageChange(g)
	return tg
}

// splitByUpstream divides a gang into its shares. Tasks that an earlier attempt has
// finished are in none of them.
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

// withoutFinished leaves out the ranks of finished parts.
func withoutFinished(members []yuccapaddle.Member, parts map[int]json.RawMessage) []yuccapaddle.Member {
	if len(parts) == 0 {
		return members
	}
	var out []yuccapaddle.Member
	for _, m := range members {
		extend := false // the last member of out goes on with the next rank
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

func (s *Scheduler) untrack(key string) {
	if tg := s.gangs[key]; tg != nil {
		s.noteUsageChange(tg.gang)
		delete(s.gangsByLease, tg.lease)
		delete(s.claims, key)
		delete(s.gangs, key)
	}
}

func (tg *trackedGang) share(upstream string) *share {
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

func (tg *trackedGang) allReached(atLeast phase) bool {
	for _, sh := range tg.shares {
		if sh.phase < atLeast {
			return false
		}
	}
	return true
}

// allEndsKnown reports whether every upstream has told how its tasks ended.
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

// runEvidence tells whether a task certainly ran, and whether one may have.
func (tg *trackedGang) runEvidence() (ran, mayHaveRun bool) {
	for _, sh := range tg.shares {
		ran = ran || sh.ran
		mayHaveRun = mayHaveRun || sh.mayHaveRun
	}
	return ran, mayHaveRun
}

// mayHaveAnswered reports whether a former host may have given out the answer of this
// attempt, and nobody can tell any more.
func (tg *trackedGang) mayHaveAnswered() bool {
	ran, mayHaveRun := tg.runEvidence()
	return tg.recovered && !tg.unfinished && (ran || mayHaveRun)
}

// workerOf returns the worker of a rank.
func (tg *trackedGang) workerOf(rank int) string {
	for _, m := range tg.gang.Members {
		if rank >= m.First && rank < m.First+m.Count {
			return m.Worker
		}
	}
	return ""
}
