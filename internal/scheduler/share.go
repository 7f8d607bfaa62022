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
	phaseIdle     phase = iota // nothing has been sent
	phaseAsked                 // a reservation was sent, or may have been by a former host
	phaseReserved              // the upstream holds the lease
	phaseStarted               // the tasks run, or have ended
	phaseOver                  // the upstream will not run the lease any more
)

// share is the part of a gang that lies on one upstream.
type share struct {
	upstream     string
	members      []yuccapaddle.Member
	phase        phase
	ackAt        time.Time
	retryAt      time.Time
	ran          bool // a task certainly ran
	maybe        bool // a task may have run
	unsure       bool // a reservation was sent and not answered
	told         bool // the upstream has told how its tasks ended
	checkpointed map[int]bool
}

// liveGang is a placed gang and what is known of it at this moment.
type liveGang struct {
	gang     *yuccapaddle.Gang
	lease    string
	shares   []*share
	parts    map[int]json.RawMessage
	launchBy time.Time
	stopping bool
	lapseBy  time.Time
	ending   ending
	fixed    bool // it could not save its work when it was asked to move
	startAt  time.Time
	savedAt  time.Time
	// recovered: a former host placed it, and may have given out its answer
	// before it could commit that. unfinished: a task certainly did not end well,
	// so that no answer can have been given out.
	recovered  bool
	unfinished bool
}

func (s *Scheduler) track(g *yuccapaddle.Gang) *liveGang {
	lg := s.split(g)
	s.live[g.Key] = lg
	s.leases[lg.lease] = lg
	s.touch(g)
	return lg
}

// split divides a gang into its shares. Tasks that an earlier attempt has
// finished are in none of them.
func (s *Scheduler) split(g *yuccapaddle.Gang) *liveGang {
	lg := &liveGang{gang: g, lease: g.Lease(), parts: map[int]json.RawMessage{}, launchBy: s.now.Add(launchTime)}
	maps.Copy(lg.parts, s.state.Parts(g.Key))
	byUpstream := map[string]*share{}
	for _, m := range without(g.Members, lg.parts) {
		name := s.topo.UpstreamOf(m.Worker)
		sh := byUpstream[name]
		if sh == nil {
			sh = &share{upstream: name, checkpointed: map[int]bool{}}
			byUpstream[name] = sh
			lg.shares = append(lg.shares, sh)
		}
		sh.members = append(sh.members, m)
	}
	return lg
}

// without leaves out the ranks of finished parts.
func without(members []yuccapaddle.Member, parts map[int]json.RawMessage) []yuccapaddle.Member {
	if len(parts) == 0 {
		return members
	}
	var out []yuccapaddle.Member
	for _, m := range members {
		open := false // the last member of out goes on with the next rank
		for _, rank := range m.Ranks() {
			_, done := parts[rank]
			switch {
			case done:
				open = false
			case open:
				out[len(out)-1].Count++
			default:
				out = append(out, yuccapaddle.Member{Worker: m.Worker, First: rank, Count: 1})
				open = true
			}
		}
	}
	return out
}

func (s *Scheduler) forgetLive(key string) {
	if lg := s.live[key]; lg != nil {
		s.touch(lg.gang)
		delete(s.leases, lg.lease)
		delete(s.claims, key)
		delete(s.live, key)
	}
}

func (lg *liveGang) share(upstream string) *share {
	for _, sh := range lg.shares {
		if sh.upstream == upstream {
			return sh
		}
	}
	return nil
}

func (lg *liveGang) released() bool {
	return lg.gang.State == yuccapaddle.GangReleased
}

func (lg *liveGang) all(least phase) bool {
	for _, sh := range lg.shares {
		if sh.phase < least {
			return false
		}
	}
	return true
}

// allTold reports whether every upstream has told how its tasks ended.
func (lg *liveGang) allTold() bool {
	for _, sh := range lg.shares {
		if !sh.told && (sh.ran || sh.maybe) {
			return false
		}
	}
	return true
}

func (lg *liveGang) tasks() int {
	n := 0
	for _, m := range lg.gang.Members {
		n += m.Count
	}
	return n
}

// evidence tells whether a task certainly ran, and whether one may have.
func (lg *liveGang) evidence() (ran, maybe bool) {
	for _, sh := range lg.shares {
		ran = ran || sh.ran
		maybe = maybe || sh.maybe
	}
	return ran, maybe
}

// blank reports whether a former host may have given out the answer of this
// attempt, and nobody can tell any more.
func (lg *liveGang) blank() bool {
	ran, maybe := lg.evidence()
	return lg.recovered && !lg.unfinished && (ran || maybe)
}

// workerOf returns the worker of a rank.
func (lg *liveGang) workerOf(rank int) string {
	for _, m := range lg.gang.Members {
		if rank >= m.First && rank < m.First+m.Count {
			return m.Worker
		}
	}
	return ""
}
