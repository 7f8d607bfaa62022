// Package verifier checks the invariants of the scheduler's state and of a
// recorded history of runs and outcomes, without side effects. The scheduler
// checks its own state regularly, and a broken invariant stops the process; tests
// check histories as well.
package verifier

import (
	"fmt"
	"time"

	"yuccapaddle"
)

// Verifier checks one state of the scheduler.
type Verifier struct {
	// Site is the configuration, in force since Since.
	Site  *yuccapaddle.Site
	Since time.Time
	// Capacity returns a worker's number of accelerators, 0 if it is not declared.
	Capacity func(worker string) int
	Homes    []yuccapaddle.Home
	// Gangs are by the key of their request, which Request looks up.
	Gangs   map[string]*yuccapaddle.Gang
	Request func(key string) *yuccapaddle.Request
}

// Check returns an error for the first broken invariant it finds, nil if all hold.
func (v *Verifier) Check() error {
	for key, g := range v.Gangs {
		if err := v.checkGang(key, g); err != nil {
			return err
		}
	}
	if err := v.checkCapacity(); err != nil {
		return err
	}
	return v.checkHomes()
}

// checkGang checks that the members of a gang cover every rank of its request
// exactly once and in order, and that its shape is that of the request.
func (v *Verifier) checkGang(key string, g *yuccapaddle.Gang) error {
	r := v.Request(key)
	if r == nil {
		return fmt.Errorf("gang %q has no request", key)
	}
	nextRank := 0
	for _, m := range g.Members {
		if m.First != nextRank || m.Count <= 0 {
			return fmt.Errorf("gang %q is incomplete: rank %d is missing or out of order", key, nextRank)
		}
		nextRank += m.Count
	}
	if nextRank != r.Tasks || g.Accelerators != r.Accelerators {
		return fmt.Errorf("gang %q has %d tasks of %d accelerators, but its request has %d tasks of %d", key, nextRank, g.Accelerators, r.Tasks, r.Accelerators)
	}
	return nil
}

// checkCapacity checks that no worker has more accelerators in use than it has.
// A worker whose capacity the current configuration reduced may exceed it until
// a gang is placed there.
func (v *Verifier) checkCapacity() error {
	used := map[string]int{}
	placedSince := map[string]bool{}
	for _, g := range v.Gangs {
		if g.State == yuccapaddle.GangClaimed {
			continue
		}
		for _, m := range g.Members {
			used[m.Worker] += m.Count * g.Accelerators
			placedSince[m.Worker] = placedSince[m.Worker] || g.PlacedAt.After(v.Since)
		}
	}
	for w, n := range used {
		if n > v.Capacity(w) && placedSince[w] {
			return fmt.Errorf("worker %q has %d accelerators in use, but a capacity of %d", w, n, v.Capacity(w))
		}
	}
	return nil
}

// checkHomes checks that every guarantee can be reclaimed: the homes on a worker
// fit its capacity together, and the gangs in a home, except those that are
// leaving, use no more of a worker than the home reserves there.
func (v *Verifier) checkHomes() error {
	reserved := map[string]int{}
	cellsByHome := map[string]map[string]int{}
	for _, h := range v.Homes {
		cellsByHome[h.ID] = map[string]int{}
		for _, c := range h.Cells {
			reserved[c.Worker] += c.Accelerators
			cellsByHome[h.ID][c.Worker] += c.Accelerators
		}
	}
	for w, n := range reserved {
		if n > v.Capacity(w) {
			return fmt.Errorf("worker %q has %d accelerators reserved by homes, but a capacity of %d", w, n, v.Capacity(w))
		}
	}
	usedByHome := map[string]map[string]int{}
	for _, g := range v.Gangs {
		homeCells := cellsByHome[g.Home]
		if homeCells == nil || g.WillLeave() {
			continue
		}
		if usedByHome[g.Home] == nil {
			usedByHome[g.Home] = map[string]int{}
		}
		for _, m := range g.Members {
			if homeCells[m.Worker] > 0 {
				usedByHome[g.Home][m.Worker] += m.Count * g.Accelerators
			}
		}
	}
	for home, workers := range usedByHome {
		for w, n := range workers {
			if n > cellsByHome[home][w] {
				return fmt.Errorf("home %q has %d accelerators in use on worker %q, where it reserves %d", home, n, w, cellsByHome[home][w])
			}
		}
	}
	return nil
}
