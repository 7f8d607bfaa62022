// Package guarantor binds every guaranteed shape to concrete cells of workers.
// It packs the largest shapes first and returns what does not fit. The cells of
// two shapes never overlap, which is what makes every guarantee reclaimable.
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

// shape is one copy of a guarantee that has to be placed.
type shape struct {
	id        string
	workspace string
	yuccapaddle.Guarantee
}

// New returns a Guarantor for the site.
func New(site *yuccapaddle.Site, m *mapper.Mapper) *Guarantor {
	return &Guarantor{site: site, workers: m.Workers(), index: m.Index()}
}

// Assign binds all shapes to usable workers. Homes of former that still fit
// stay where they are; if others then find no room, all are packed anew.
// Shortages say in plain words which shapes find no room.
func (g *Guarantor) Assign(usable func(worker string) bool, former []yuccapaddle.Home) (homes []yuccapaddle.Home, shortages []string) {
	homes, shortages = g.pack(usable, former)
	if len(shortages) == 0 || len(former) == 0 {
		return homes, shortages
	}
	fresh, still := g.pack(usable, nil)
	if len(still) < len(shortages) {
		return fresh, still
	}
	return homes, shortages
}

// Check proves at acceptance that all guarantees fit together on the declared
// capacity and, if the site asks for it, with any one failure domain out. It
// returns every shortage. Failure domains that are out count as capacity here:
// an exit at short notice is never refused for want of room.
func (g *Guarantor) Check() []string {
	_, short := g.pack(func(string) bool { return true }, nil)
	if !g.site.SurviveDomainLoss {
		return short
	}
	for _, d := range g.site.Domains {
		without := func(w string) bool { return g.workers[g.index[w]].Domain != d.Name }
		_, lost := g.pack(without, nil)
		for _, s := range lost {
			short = append(short, fmt.Sprintf("with failure domain %q out: %s", d.Name, s))
		}
	}
	return short
}

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
		wa, wb := out[a].Workers*out[a].Accelerators, out[b].Workers*out[b].Accelerators
		if wa != wb {
			return wa > wb
		}
		return out[a].Accelerators > out[b].Accelerators
	})
	return out
}

func (g *Guarantor) pack(usable func(string) bool, former []yuccapaddle.Home) (homes []yuccapaddle.Home, shortages []string) {
	free := make([]int, len(g.workers))
	for i, w := range g.workers {
		if usable(w.Name) {
			free[i] = w.Accelerators
		}
	}
	kept := map[string]yuccapaddle.Home{}
	for _, h := range former {
		kept[h.ID] = h
	}
	var rest []shape
	for _, s := range g.shapes() {
		h, ok := kept[s.id]
		if ok && g.matches(s, h) && g.take(free, h.Cells) {
			homes = append(homes, h)
			continue
		}
		rest = append(rest, s)
	}
	for _, s := range rest {
		cells := g.find(free, s)
		if cells == nil {
			shortages = append(shortages, describe(s))
			continue
		}
		g.take(free, cells)
		domain := g.workers[g.index[cells[0].Worker]].Domain
		homes = append(homes, yuccapaddle.Home{ID: s.id, Workspace: s.workspace, Domain: domain, Span: s.Span, Cells: cells})
	}
	sort.Slice(homes, func(a, b int) bool { return homes[a].ID < homes[b].ID })
	return homes, shortages
}

func describe(s shape) string {
	where := ""
	if s.Domain != "" {
		where = fmt.Sprintf(" in failure domain %q", s.Domain)
	}
	return fmt.Sprintf("workspace %q: no room%s for a guaranteed shape of %d workers with %d accelerators each within one %s",
		s.workspace, where, s.Workers, s.Accelerators, s.Span)
}

// matches reports whether a former home has the shape that is wanted now.
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

// find returns cells for a shape in the racks that have the least room left, so
// that the others stay whole, and there in the group of workers that it fills
// best.
func (g *Guarantor) find(free []int, s shape) []yuccapaddle.Cell {
	room := map[string]int{}
	for i := range g.workers {
		room[g.workers[i].Unit(yuccapaddle.SpanRack)] += free[i]
	}
	var best []int
	bestLeft, bestRoom := 0, 0
	for _, group := range g.groups(s) {
		fit, left := g.fit(free, group, s)
		if fit == nil {
			continue
		}
		around := g.roomAround(room, fit)
		if best == nil || around < bestRoom || (around == bestRoom && left < bestLeft) {
			best, bestLeft, bestRoom = fit, left, around
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

// roomAround is the room of the racks that some workers are in.
func (g *Guarantor) roomAround(room map[string]int, workers []int) int {
	n := 0
	seen := map[string]bool{}
	for _, i := range workers {
		rack := g.workers[i].Unit(yuccapaddle.SpanRack)
		if !seen[rack] {
			n += room[rack]
		}
		seen[rack] = true
	}
	return n
}

// groups splits the workers into the units of the shape's span.
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

// fit picks the workers of a group with the least sufficient room. left is the
// room that stays free on them.
func (g *Guarantor) fit(free, group []int, s shape) (workers []int, left int) {
	var can []int
	for _, i := range group {
		if free[i] >= s.Accelerators {
			can = append(can, i)
		}
	}
	if len(can) < s.Workers {
		return nil, 0
	}
	sort.SliceStable(can, func(a, b int) bool { return free[can[a]] < free[can[b]] })
	can = can[:s.Workers]
	for _, i := range can {
		left += free[i] - s.Accelerators
	}
	return can, left
}
