package scheduler

import (
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

const (
	// moveQuiet is how long a gang runs undisturbed after it was placed.
	moveQuiet = 30 * time.Second
	// moveInterval lies between two plans that look for gangs to move, which
	// takes longer than the rest of a plan.
	moveInterval = time.Second
)

// movable reports whether a gang may be asked to go on elsewhere: it runs, and
// running a part of it again would do no harm.
func (s *Scheduler) movable(g *yuccapaddle.Gang) bool {
	lg := s.live[g.Key]
	if lg == nil || lg.stopping || lg.fixed || g.Evicting() || !lg.released() || !lg.all(phaseStarted) {
		return false
	}
	return s.state.Request(g.Key).Repeatable && s.now.Sub(g.PlacedAt) >= moveQuiet
}

// move asks a gang to save its work. Once all its tasks have, it is stopped and
// queued again; if they have not in time, it stays where it is.
func (s *Scheduler) move(g *yuccapaddle.Gang, why string) {
	if g == nil || !s.movable(g) {
		return
	}
	s.propose(keeper.Move(g.Key, why, s.now.Add(s.grace()), s.now))
	s.askToSave(s.live[g.Key])
}

// stay lets a gang go on that could not save its work in time. It is not asked
// again, and the claims that waited for its room are given up.
func (s *Scheduler) stay(lg *liveGang) {
	lg.fixed = true
	s.propose(keeper.Stay(lg.gang.Key, s.now))
	held := map[string]bool{}
	for _, m := range lg.gang.Members {
		held[m.Worker] = true
	}
	var waiting []string
	for key, claim := range s.claims {
		for _, m := range claim.gang.Members {
			if held[m.Worker] {
				waiting = append(waiting, key)
				break
			}
		}
	}
	sort.Strings(waiting)
	for _, key := range waiting {
		s.dropClaim(key)
	}
}
