package scheduler

import (
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

const (
	// minAgeBeforeMove is how long after its placement a gang is not moved.
	minAgeBeforeMove = 30 * time.Second
	// moveInterval is the least time between plans that also look for gangs to
	// move, because that search takes longer than the rest of a plan.
	moveInterval = time.Second
)

// movable reports whether a gang may be asked to move: all its tasks have started
// and its request is repeatable, so that running a part of it again is harmless.
func (s *Scheduler) movable(g *yuccapaddle.Gang) bool {
	tg := s.gangs[g.Key]
	if tg == nil || tg.stopping || tg.moveFailed || g.Evicting() || !tg.released() || !tg.allReached(phaseStarted) {
		return false
	}
	return s.state.Request(g.Key).Repeatable && s.now.Sub(g.PlacedAt) >= minAgeBeforeMove
}

// move asks a gang to save its work. Once all its tasks have checkpointed, it is
// stopped and its request requeued; if they do not within the eviction grace, it
// stays where it is.
func (s *Scheduler) move(g *yuccapaddle.Gang, reason string) {
	if g == nil || !s.movable(g) {
		return
	}
	s.propose(keeper.Move(g.Key, reason, s.now.Add(s.evictionGrace()), s.now))
	s.requestCheckpoints(s.gangs[g.Key])
}

// cancelMove lets a gang continue that did not save its work in time. It is not
// asked again, and claims on its workers are dropped.
func (s *Scheduler) cancelMove(tg *trackedGang) {
	tg.moveFailed = true
	s.propose(keeper.CancelMove(tg.gang.Key, s.now))
	workers := map[string]bool{}
	for _, m := range tg.gang.Members {
		workers[m.Worker] = true
	}
	var blocked []string
	for key, claim := range s.claims {
		for _, m := range claim.gang.Members {
			if workers[m.Worker] {
				blocked = append(blocked, key)
				break
			}
		}
	}
	sort.Strings(blocked)
	for _, key := range blocked {
		s.dropClaim(key)
	}
}
