// Package placer is the project's placement policy: guaranteed work goes to the
// cells of its workspace and evicts borrowers; other work borrows what is free.
// Declared run times are not read at all.
package placer

import (
	"sort"
	"time"

	"yuccapaddle"
)

const (
	// quickMost is how long a quick request may run before its workspace loses
	// the short path for as many requests.
	quickMost = time.Minute
	// overlongMost is the number of overlong quick gangs that a workspace may
	// have before its quick requests queue as batch.
	overlongMost = 2
)

// Placer implements yuccapaddle.Policy.
type Placer struct {
	name  string
	moves bool
}

var _ yuccapaddle.Policy = (*Placer)(nil)

// Option changes a Placer under construction.
type Option func(*Placer)

// WithoutMoves leaves running gangs where they are unless a guarantee is
// reclaimed, as earlier versions did.
func WithoutMoves() Option {
	return func(p *Placer) { p.name, p.moves = "cells-without-moves", false }
}

// New returns the policy.
func New(opts ...Option) *Placer {
	p := &Placer{name: "guaranteed-cells", moves: true}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Name implements yuccapaddle.Policy.
func (pl *Placer) Name() string {
	return pl.name
}

// Plan implements yuccapaddle.Policy.
func (pl *Placer) Plan(v *yuccapaddle.View) yuccapaddle.Plan {
	p := newPass(v)
	var plan yuccapaddle.Plan
	for _, w := range p.queue() {
		if p.overQuota(w.Request) {
			continue
		}
		placement, ok := p.place(w)
		if !ok && pl.moves {
			placement, ok = p.makeRoom(w)
		}
		if !ok {
			p.reserveFor(w)
			continue
		}
		p.commit(w.Request, placement)
		plan.Placements = append(plan.Placements, placement)
	}
	return plan
}

// pass is the working state of one Plan.
type pass struct {
	v        *yuccapaddle.View
	free     []int
	later    []int
	owner    []int // accelerators of each worker that belong to homes
	homes    map[string][]int
	homeUsed map[string]map[string]int
	homeHas  map[string]map[string]bool
	held     map[string]int // by workspace, and by workspace/team
	quota    map[string]int
	promised map[string]int
	overlong map[string]int
	victim   map[string]bool
	reserved map[int]bool
	barred   map[borrowKey]bool
	homeless map[homeKey]bool
	groups   map[yuccapaddle.Span][][]int
	onWorker map[string][]*yuccapaddle.Gang
	rackOf   []int // rack number of each worker
	rackFree []int // free accelerators of each rack
	// moving: gangs are being moved for a request already.
	moving    bool
	moveTries int
}

// borrowKey is all that decides whether a request can borrow.
type borrowKey struct {
	tasks, accelerators int
	span                yuccapaddle.Span
	quick               bool
}

// homeKey is all that decides whether a home has room for a request.
type homeKey struct {
	workspace           string
	tasks, accelerators int
	span                yuccapaddle.Span
}

func newPass(v *yuccapaddle.View) *pass {
	p := &pass{
		v: v, free: make([]int, len(v.Workers)), later: make([]int, len(v.Workers)), owner: make([]int, len(v.Workers)),
		homes: map[string][]int{}, homeUsed: map[string]map[string]int{}, homeHas: map[string]map[string]bool{},
		held: map[string]int{}, quota: map[string]int{}, promised: map[string]int{}, overlong: map[string]int{},
		victim: map[string]bool{}, reserved: map[int]bool{}, barred: map[borrowKey]bool{},
		homeless: map[homeKey]bool{},
		groups:   map[yuccapaddle.Span][][]int{},
	}
	for i, w := range v.Workers {
		if w.Usable {
			p.free[i], p.later[i] = w.Free, w.Later
		}
	}
	for _, ws := range v.Site.Workspaces {
		p.quota[ws.Name] = ws.Quota
		for _, t := range ws.Teams {
			p.quota[ws.Name+"/"+t.Name] = t.Quota
		}
	}
	p.countRacks()
	p.countHomes()
	p.countGangs()
	return p
}

// countRacks sums up the free room of each rack: work goes to the racks that
// have the least, so that others stay whole for large gangs.
func (p *pass) countRacks() {
	p.rackOf = make([]int, len(p.v.Workers))
	for i := range p.v.Workers {
		w := &p.v.Workers[i]
		if i == 0 || w.Rack != p.v.Workers[i-1].Rack || w.Domain != p.v.Workers[i-1].Domain {
			p.rackFree = append(p.rackFree, 0)
		}
		p.rackOf[i] = len(p.rackFree) - 1
		p.rackFree[p.rackOf[i]] += p.free[i]
	}
}

// roomAround is the free room of the racks that the members would use.
func (p *pass) roomAround(members []yuccapaddle.Member) int {
	room, last := 0, -1
	for _, m := range members {
		if rack := p.rackOf[p.v.Index[m.Worker]]; rack != last {
			room += p.rackFree[rack]
			last = rack
		}
	}
	return room
}

func (p *pass) countHomes() {
	for n, h := range p.v.Homes {
		p.homes[h.Workspace] = append(p.homes[h.Workspace], n)
		p.homeUsed[h.ID] = map[string]int{}
		p.homeHas[h.ID] = make(map[string]bool, len(h.Cells))
		for _, c := range h.Cells {
			p.homeHas[h.ID][c.Worker] = true
			p.promised[h.Workspace] += c.Accelerators
			if i, ok := p.v.Index[c.Worker]; ok {
				p.owner[i] += c.Accelerators
			}
		}
	}
}

func (p *pass) countGangs() {
	for _, g := range p.v.Gangs {
		r := p.v.Request(g.Key)
		p.moving = p.moving || g.Moving
		p.held[g.Workspace] += g.Need()
		if r.Team != "" {
			p.held[g.Workspace+"/"+r.Team] += g.Need()
		}
		if r.Class == yuccapaddle.ClassQuick && p.v.Now.Sub(g.PlacedAt) > quickMost {
			p.overlong[g.Workspace]++
		}
		used := p.homeUsed[g.Home]
		if used == nil || g.Leaving() {
			continue
		}
		for _, m := range g.Members {
			used[m.Worker] += m.Count * g.Accelerators
		}
	}
}

func (p *pass) quick(r *yuccapaddle.Request) bool {
	return r.Class == yuccapaddle.ClassQuick && p.overlong[r.Workspace] <= overlongMost
}

// queue orders the requests: quick ones first, then workspaces by their use in
// proportion to what they are promised, then the least served, then the oldest.
// A batch gang that has waited beyond the ageing time goes before other batch.
func (p *pass) queue() []yuccapaddle.Waiting {
	type ranked struct {
		w     yuccapaddle.Waiting
		quick bool
		aged  bool
		share float64
	}
	rows := make([]ranked, 0, len(p.v.Waiting))
	for _, w := range p.v.Waiting {
		ws := w.Request.Workspace
		share := float64(p.held[ws]) / float64(max(p.promised[ws], 1))
		rows = append(rows, ranked{w: w, quick: p.quick(w.Request), aged: p.aged(w), share: share})
	}
	sort.SliceStable(rows, func(a, b int) bool {
		x, y := &rows[a], &rows[b]
		switch {
		case x.quick != y.quick:
			return x.quick
		case x.aged != y.aged:
			return x.aged
		case x.share != y.share:
			return x.share < y.share
		case x.w.Attained != y.w.Attained:
			return x.w.Attained < y.w.Attained
		}
		return x.w.Since.Before(y.w.Since)
	})
	out := make([]yuccapaddle.Waiting, len(rows))
	for i := range rows {
		out[i] = rows[i].w
	}
	return out
}

func (p *pass) aged(w yuccapaddle.Waiting) bool {
	ageing := time.Duration(p.v.Site.Limits.GangAgeingMS) * time.Millisecond
	return !p.quick(w.Request) && ageing > 0 && p.v.Now.Sub(w.Since) >= ageing
}

func (p *pass) overQuota(r *yuccapaddle.Request) bool {
	if q := p.quota[r.Workspace]; q > 0 && p.held[r.Workspace]+r.Need() > q {
		return true
	}
	team := r.Workspace + "/" + r.Team
	q := p.quota[team]
	return r.Team != "" && q > 0 && p.held[team]+r.Need() > q
}

// place tries, in this order: own cells that are free, cells that are free
// anywhere, own cells after evictions. Batch work borrows the cells of other
// homes only when it has no cells of its own to reclaim.
func (p *pass) place(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	atHome, homeOK := p.placeHome(w)
	if homeOK && !atHome.Claim {
		return atHome, true
	}
	borrowed, intrusion, ok := p.borrow(w)
	if ok && (!homeOK || intrusion == 0 || p.quick(w.Request)) {
		return borrowed, true
	}
	return atHome, homeOK
}

func (p *pass) commit(r *yuccapaddle.Request, placement yuccapaddle.Placement) {
	for _, key := range placement.Victims {
		p.victim[key] = true
		g := p.v.Gangs[key]
		for _, m := range g.Members {
			if i, ok := p.v.Index[m.Worker]; ok {
				p.later[i] += m.Count * g.Accelerators
			}
		}
	}
	for _, m := range placement.Members {
		i := p.v.Index[m.Worker]
		p.free[i] -= m.Count * r.Accelerators
		p.rackFree[p.rackOf[i]] -= m.Count * r.Accelerators
		p.later[i] -= m.Count * r.Accelerators
		if placement.Home != "" {
			p.homeUsed[placement.Home][m.Worker] += m.Count * r.Accelerators
		}
	}
	p.held[r.Workspace] += r.Need()
	if r.Team != "" {
		p.held[r.Workspace+"/"+r.Team] += r.Need()
	}
}
