// Package verifier checks what must always hold, as pure functions over the
// state and over a recorded history. The daemon checks its own state with it
// and stops if an invariant is broken; tests check histories as well.
package verifier

import (
	"fmt"
	"time"

	"yuccapaddle"
)

// Verifier checks one state of the scheduler.
type Verifier struct {
	// Site is the configuration in force since Since.
	Site  *yuccapaddle.Site
	Since time.Time
	// Capacity returns a worker's accelerators, 0 if it is not declared.
	Capacity func(worker string) int
	Homes    []yuccapaddle.Home
	Gangs    map[string]*yuccapaddle.Gang
	Request  func(key string) *yuccapaddle.Request
}

// Check returns the first broken invariant it finds, nil if all hold.
func (v *Verifier) Check() error {
	for key, g := range v.Gangs {
		if err := v.gang(key, g); err != nil {
			return err
		}
	}
	if err := v.capacity(); err != nil {
		return err
	}
	return v.homes()
}

// gang checks that a gang is whole: every rank of its request once.
func (v *Verifier) gang(key string, g *yuccapaddle.Gang) error {
	r := v.Request(key)
	if r == nil {
		return fmt.Errorf("gang %q has no request", key)
	}
	next := 0
	for _, m := range g.Members {
		if m.First != next || m.Count <= 0 {
			return fmt.Errorf("gang %q has no rank %d: it is not whole", key, next)
		}
		next += m.Count
	}
	if next != r.Tasks || g.Accelerators != r.Accelerators {
		return fmt.Errorf("gang %q has %d tasks of %d accelerators, its request %d of %d", key, next, g.Accelerators, r.Tasks, r.Accelerators)
	}
	return nil
}

// capacity checks that no worker holds more than it has. A worker that shrank
// with the configuration may, as long as nothing was placed on it since.
func (v *Verifier) capacity() error {
	used := map[string]int{}
	fresh := map[string]bool{}
	for _, g := range v.Gangs {
		if g.State == yuccapaddle.GangClaimed {
			continue
		}
		for _, m := range g.Members {
			used[m.Worker] += m.Count * g.Accelerators
			fresh[m.Worker] = fresh[m.Worker] || g.PlacedAt.After(v.Since)
		}
	}
	for w, n := range used {
		if n > v.Capacity(w) && fresh[w] {
			return fmt.Errorf("worker %q holds %d accelerators and has %d", w, n, v.Capacity(w))
		}
	}
	return nil
}

// homes checks that every guarantee can be reclaimed: homes do not overlap, and
// no gang that may not be evicted holds more than its own home.
func (v *Verifier) homes() error {
	promised := map[string]int{}
	cells := map[string]map[string]int{}
	for _, h := range v.Homes {
		cells[h.ID] = map[string]int{}
		for _, c := range h.Cells {
			promised[c.Worker] += c.Accelerators
			cells[h.ID][c.Worker] += c.Accelerators
		}
	}
	for w, n := range promised {
		if n > v.Capacity(w) {
			return fmt.Errorf("worker %q is promised %d accelerators and has %d", w, n, v.Capacity(w))
		}
	}
	held := map[string]map[string]int{}
	for _, g := range v.Gangs {
		own := cells[g.Home]
		if own == nil || g.Leaving() {
			continue
		}
		if held[g.Home] == nil {
			held[g.Home] = map[string]int{}
		}
		for _, m := range g.Members {
			if own[m.Worker] > 0 {
				held[g.Home][m.Worker] += m.Count * g.Accelerators
			}
		}
	}
	for home, workers := range held {
		for w, n := range workers {
			if n > cells[home][w] {
				return fmt.Errorf("home %q holds %d accelerators on worker %q and is promised %d", home, n, w, cells[home][w])
			}
		}
	}
	return nil
}
