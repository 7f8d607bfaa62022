// Package guarantor binds every guaranteed shape to concrete cells of workers, its
// home. It packs the largest shapes first and returns those that do not fit. Homes
// never overlap, so every guarantee can be reclaimed by evicting borrowers.
package guarantor

import (
	"fmt"
	"sort"

	"yuccapaddle"
	"yuccapaddle/internal/mapper"
)

// Guarantor packs the shapes of one site.
type Guarantor struct {
	site    *yuccapaddle.Site
	workers []yuccapaddle.WorkerView
	index   map[string]int
}

// shape is one of the Count copies of a guarantee.
type shape struct {
	id        string
	workspace string
	yuccapaddle.Guarantee
}

// New returns a Guarantor for the site.
func New(site *yuccapaddle.Site, m *mapper.Mapper) *Guarantor {
	return &Guarantor{site: site, workers: m.Workers(), index: m.Index()}
}

// Assign binds all shapes to usable workers. Previous homes that still fit are
// kept; if some shapes then find no room, all are packed anew and the result is
// used if it has fewer shortages. Each shortage describes, for operators, a shape
// that finds no room.
func (g *Guarantor) Assign(usable func(worker string) bool, previous []yuccapaddle.Home) (homes []yuccapaddle.Home, shortages []string) {
	homes, shortages = g.pack(usable, previous)
	if len(shortages) == 0 || len(previous) == 0 {
		return homes, shortages
	}
	repacked, repackedShortages := g.pack(usable, nil)
	if len(repackedShortages) < len(shortages) {
		return repacked, repackedShortages
	}
	return homes, shortages
}

// Check verifies, before a site is accepted, that all guarantees fit together on the
// declared capacity and, if SurviveDomainLoss is set, also without any one failure
// domain. It returns every shortage. Failure domains that operators have taken out
// count as capacity, so that taking one out is never refused for lack of room.
func (g *Guarantor) Check() []string {
	_, shortages := g.pack(func(string) bool { return true }, nil)
	if !g.site.SurviveDomainLoss {
		return shortages
	}
	for _, d := range g.site.Domains {
		outside := func(w string) bool { return g.workers[g.index[w]].Domain != d.Name }
		_, more := g.pack(outside, nil)
		for _, s := range more {
			shortages = append(shortages, fmt.Sprintf("with failure domain %q out: %s", d.Name, s))
		}
	}
	return shortages
}

// shapes returns all guaranteed shapes, those with the most accelerators first.
func (g *Guarantor) shapes() []shape {
	var out []shape
	for _, ws := range g.site.Workspaces {
		for i, guarantee := range ws.Guarantees {
			for n := range guarantee.Count {
				out = append(out, shape{id: fmt.Sprintf("%s/%d/%d", ws.Name, i, n), workspace: ws.Name, Guarantee: guarantee})
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		needA, needB := out[a].Workers*out[a].Accelerators, out[b].Workers*out[b].Accelerators
		if needA != needB {
			return needA > needB
		}
		return out[a].Accelerators > out[b].Accelerators
	})
	return out
}

// pack keeps the previous homes that still fit and finds cells for the other shapes.
func (g *Guarantor) pack(usable func(string) bool, previous []yuccapaddle.Home) (homes []yuccapaddle.Home, shortages []string) {
	free := make([]int, len(g.workers))
	for i, w := range g.workers {
		if usable(w.Name) {
			free[i] = w.Accelerators
		}
	}
	previousByID := map[string]yuccapaddle.Home{}
	for _, h := range previous {
		previousByID[h.ID] = h
	}
	var unplaced []shape
	for _, s := range g.shapes() {
		h, ok := previousByID[s.id]
		if ok && g.matches(s, h) && g.take(free, h.Cells) {
			homes = append(homes, h)
			continue
		}
		unplaced = append(unplaced, s)
	}
	for _, s := range unplaced {
		cells := g.findCells(free, s)
		if cells == nil {
			shortages = append(shortages, describeShortage(s))
			continue
		}
		g.take(free, cells)
		domain := g.workers[g.index[cells[0].Worker]].Domain
		homes = append(homes, yuccapaddle.Home{ID: s.id, Workspace: s.workspace, Domain: domain, Span: s.Span, Cells: cells})
	}
	sort.Slice(homes, func(a, b int) bool { return homes[a].ID < homes[b].ID })
	return homes, shortages
}

func describeShortage(s shape) string {
	where := ""
	if s.Domain != "" {
		where = fmt.Sprintf(" in failure domain %q", s.Domain)
	}
	return fmt.Sprintf("workspace %q: no room%s for a guaranteed shape of %d workers with %d accelerators each within one %s",
		s.workspace, where, s.Workers, s.Accelerators, s.Span)
}

// matches reports whether a previous home still has the declared shape.
func (g *Guarantor) matches(s shape, h yuccapaddle.Home) bool {
	if len(h.Cells) != s.Workers || h.Span != s.Span || (s.Domain != "" && h.Domain != s.Domain) {
		return false
	}
	for _, c := range h.Cells {
		if c.Accelerators != s.Accelerators {
			return false
		}
	}
	return true
}

// take subtracts the cells from the free accelerators. If they do not fit, it
// returns false and changes nothing.
func (g *Guarantor) take(free []int, cells []yuccapaddle.Cell) bool {
	for _, c := range cells {
		i, ok := g.index[c.Worker]
		if !ok || free[i] < c.Accelerators {
			return false
		}
	}
	for _, c := range cells {
		free[g.index[c.Worker]] -= c.Accelerators
	}
	return true
}

// findCells returns cells for a shape, or nil if it does not fit. It prefers racks
// with the least free room, so that the others stay whole, and then the group of
// workers with the least room left over.
func (g *Guarantor) findCells(free []int, s shape) []yuccapaddle.Cell {
	rackFree := map[string]int{}
	for i := range g.workers {
		rackFree[g.workers[i].Unit(yuccapaddle.SpanRack)] += free[i]
	}
	var best []int
	bestLeft, bestRoom := 0, 0
	for _, group := range g.groups(s) {
		chosen, left := g.bestFit(free, group, s)
		if chosen == nil {
			continue
		}
		room := g.rackRoom(rackFree, chosen)
		if best == nil || room < bestRoom || (room == bestRoom && left < bestLeft) {
			best, bestLeft, bestRoom = chosen, left, room
		}
	}
	if best == nil {
		return nil
	}
	cells := make([]yuccapaddle.Cell, 0, len(best))
	for _, i := range best {
		cells = append(cells, yuccapaddle.Cell{Worker: g.workers[i].Name, Accelerators: s.Accelerators})
	}
	return cells
}

// rackRoom returns the number of free accelerators in the workers' racks.
func (g *Guarantor) rackRoom(rackFree map[string]int, workers []int) int {
	n := 0
	seen := map[string]bool{}
	for _, i := range workers {
		rack := g.workers[i].Unit(yuccapaddle.SpanRack)
		if !seen[rack] {
			n += rackFree[rack]
		}
		seen[rack] = true
	}
	return n
}

// groups groups the workers that the shape may use by the units of its span.
func (g *Guarantor) groups(s shape) [][]int {
	byName := map[string]int{}
	var out [][]int
	for i := range g.workers {
		w := &g.workers[i]
		if s.Domain != "" && w.Domain != s.Domain {
			continue
		}
		name := w.Unit(s.Span)
		n, ok := byName[name]
		if !ok {
			n = len(out)
			byName[name] = n
			out = append(out, nil)
		}
		out[n] = append(out[n], i)
	}
	return out
}

// bestFit returns the workers of a group with the least sufficient room, nil if there
// are too few. left is the number of accelerators that stay free on them.
func (g *Guarantor) bestFit(free, group []int, s shape) (workers []int, left int) {
	var candidates []int
	for _, i := range group {
		if free[i] >= s.Accelerators {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) < s.Workers {
		return nil, 0
	}
	sort.SliceStable(candidates, func(a, b int) bool { return free[candidates[a]] < free[candidates[b]] })
	candidates = candidates[:s.Workers]
	for _, i := range candidates {
		left += free[i] - s.Accelerators
	}
	return candidates, left
}
