// Package placer implements the default placement policy. Guaranteed work is placed
// in the homes of its workspace, which are the cells of workers bound to its
// guarantees, and evicts borrowers from them if needed. Other work borrows any free
// accelerators, including those of homes. The policy does not use declared run
// times.
package placer

import (
	"sort"
	"time"

	"yuccapaddle"
)

const (
	// quickRunLimit is how long a quick gang may run before it counts as overlong.
	quickRunLimit = time.Minute
	// maxOverlongGangs is the number of overlong quick gangs that a workspace may
	// have before its quick requests are treated as batch requests.
	maxOverlongGangs = 2
)

// Placer implements yuccapaddle.Policy.
type Placer struct {
	name  string
	moves bool
}

var _ yuccapaddle.Policy = (*Placer)(nil)

// Option configures a Placer.
type Option func(*Placer)

// WithoutMoves disables moving running gangs to make room, as in earlier versions:
// they leave their workers only when a guarantee is reclaimed.
func WithoutMoves() Option {
	return func(p *Placer) { p.name, p.moves = "cells-without-moves", false }
}

// New returns a Placer that moves gangs unless WithoutMoves is given.
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
	for _, w := range p.orderQueue() {
		if p.overQuota(w.Request) {
			continue
		}
		placement, ok := p.place(w)
		if !ok && pl.moves {
			placement, ok = p.placeWithMoves(w)
		}
		if !ok {
			p.reserveFor(w)
			continue
		}
		p.applyPlacement(w.Request, placement)
		plan.Placements = append(plan.Placements, placement)
	}
	return plan
}

// pass is the working state of one call of Plan. Slices are indexed like the
// view's workers, except rackFree.
type pass struct {
	v             *yuccapaddle.View
	free          []int                          // free accelerators of each worker
	freeLater     []int                          // the same once all evictions are over
	inHomes       []int                          // accelerators of each worker that belong to homes
	homesOf       map[string][]int               // indexes into the view's homes, by workspace
	homeUsed      map[string]map[string]int      // accelerators that the owner uses, by home and worker
	homeWorkers   map[string]map[string]bool     // workers of each home
	held          map[string]int                 // accelerators, by workspace and by workspace/team
	quota         map[string]int                 // accelerators, by workspace and by workspace/team
	guaranteed    map[string]int                 // accelerators, by workspace
	overlongGangs map[string]int                 // by workspace
	isVictim      map[string]bool                // gangs to evict, by key
	reserved      map[int]bool                   // workers reserved for an aged gang
	noBorrowRoom  map[borrowKey]bool             // requests that found nothing to borrow in this pass
	noHomeRoom    map[homeKey]bool               // requests that found no home in this pass
	groupsBySpan  map[yuccapaddle.Span][][]int   // usable workers of each unit; filled by unitGroups
	gangsOn       map[string][]*yuccapaddle.Gang // by worker; nil until indexGangs
	rackOf        []int                          // index of each worker's rack in rackFree
	rackFree      []int                          // free accelerators of each rack
	// moveInProgress is true while gangs are being moved for any request.
	moveInProgress bool
	moveSearches   int // waiting requests for which moves were searched
}

// borrowKey holds everything that determines whether a request can borrow.
type borrowKey struct {
	tasks, accelerators int
	span                yuccapaddle.Span
	quick               bool
}

// homeKey holds everything that determines whether a home has room for a request.
type homeKey struct {
	workspace           string
	tasks, accelerators int
	span                yuccapaddle.Span
}

func newPass(v *yuccapaddle.View) *pass {
	p := &pass{
		v: v, free: make([]int, len(v.Workers)), freeLater: make([]int, len(v.Workers)), inHomes: make([]int, len(v.Workers)),
		homesOf: map[string][]int{}, homeUsed: map[string]map[string]int{}, homeWorkers: map[string]map[string]bool{},
		held: map[string]int{}, quota: map[string]int{}, guaranteed: map[string]int{}, overlongGangs: map[string]int{},
		isVictim: map[string]bool{}, reserved: map[int]bool{}, noBorrowRoom: map[borrowKey]bool{},
		noHomeRoom:   map[homeKey]bool{},
		groupsBySpan: map[yuccapaddle.Span][][]int{},
	}
	for i, w := range v.Workers {
		if w.Usable {
			p.free[i], p.freeLater[i] = w.Free, w.FreeLater
		}
	}
	for _, ws := range v.Site.Workspaces {
		p.quota[ws.Name] = ws.Quota
		for _, t := range ws.Teams {
			p.quota[ws.Name+"/"+t.Name] = t.Quota
		}
	}
	p.sumRackRoom()
	p.indexHomes()
	p.countGangs()
	return p
}

// sumRackRoom adds up the free accelerators of each rack. Work is placed in racks
// with little free room, so that others stay whole for large gangs.
func (p *pass) sumRackRoom() {
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

// rackRoom returns the number of free accelerators in the members' racks.
func (p *pass) rackRoom(members []yuccapaddle.Member) int {
	room, last := 0, -1
	for _, m := range members {
		if rack := p.rackOf[p.v.Index[m.Worker]]; rack != last {
			room += p.rackFree[rack]
			last = rack
		}
	}
	return room
}

// indexHomes fills the per-home fields and sums up what is guaranteed.
func (p *pass) indexHomes() {
	for n, h := range p.v.Homes {
		p.homesOf[h.Workspace] = append(p.homesOf[h.Workspace], n)
		p.homeUsed[h.ID] = map[string]int{}
		p.homeWorkers[h.ID] = make(map[string]bool, len(h.Cells))
		for _, c := range h.Cells {
			p.homeWorkers[h.ID][c.Worker] = true
			p.guaranteed[h.Workspace] += c.Accelerators
			if i, ok := p.v.Index[c.Worker]; ok {
				p.inHomes[i] += c.Accelerators
			}
		}
	}
}

// countGangs adds up what the placed gangs hold, and counts overlong gangs.
func (p *pass) countGangs() {
	for _, g := range p.v.Gangs {
		r := p.v.Request(g.Key)
		p.moveInProgress = p.moveInProgress || g.Moving
		p.held[g.Workspace] += g.Need()
		if r.Team != "" {
			p.held[g.Workspace+"/"+r.Team] += g.Need()
		}
		if r.Class == yuccapaddle.ClassQuick && p.v.Now.Sub(g.PlacedAt) > quickRunLimit {
			p.overlongGangs[g.Workspace]++
		}
		used := p.homeUsed[g.Home]
		if used == nil || g.WillLeave() {
			continue
		}
		for _, m := range g.Members {
			used[m.Worker] += m.Count * g.Accelerators
		}
	}
}

// isQuick reports whether a request is scheduled as quick work.
func (p *pass) isQuick(r *yuccapaddle.Request) bool {
	return r.Class == yuccapaddle.ClassQuick && p.overlongGangs[r.Workspace] <= maxOverlongGangs
}

// orderQueue sorts the waiting requests: quick ones first, then aged batch requests
// and then other batch requests; within each, by the accelerators that the
// workspace holds relative to its guarantees, then by service attained, then by
// age, the oldest first.
func (p *pass) orderQueue() []yuccapaddle.Waiting {
	type ranked struct {
		w     yuccapaddle.Waiting
		quick bool
		aged  bool
		share float64
	}
	rows := make([]ranked, 0, len(p.v.Waiting))
	for _, w := range p.v.Waiting {
		ws := w.Request.Workspace
		share := float64(p.held[ws]) / float64(max(p.guaranteed[ws], 1))
		rows = append(rows, ranked{w: w, quick: p.isQuick(w.Request), aged: p.isAged(w), share: share})
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

// isAged reports whether a batch request has waited for the configured ageing time.
func (p *pass) isAged(w yuccapaddle.Waiting) bool {
	ageing := time.Duration(p.v.Site.Limits.GangAgeingMS) * time.Millisecond
	return !p.isQuick(w.Request) && ageing > 0 && p.v.Now.Sub(w.Since) >= ageing
}

// overQuota reports whether the request would exceed its workspace's or team's quota.
func (p *pass) overQuota(r *yuccapaddle.Request) bool {
	if q := p.quota[r.Workspace]; q > 0 && p.held[r.Workspace]+r.Need() > q {
		return true
	}
	team := r.Workspace + "/" + r.Team
	q := p.quota[team]
	return r.Team != "" && q > 0 && p.held[team]+r.Need() > q
}

// place tries, in this order: a free home of the workspace, free accelerators on any
// worker, and a home of the workspace after evictions. Batch work borrows cells of
// homes only if it cannot reclaim a home of its own.
func (p *pass) place(w yuccapaddle.Waiting) (yuccapaddle.Placement, bool) {
	atHome, homeOK := p.placeInHome(w)
	if homeOK && !atHome.Claim {
		return atHome, true
	}
	borrowed, fromHomes, ok := p.borrow(w)
	if ok && (!homeOK || fromHomes == 0 || p.isQuick(w.Request)) {
		return borrowed, true
	}
	return atHome, homeOK
}

// applyPlacement updates the working state for a placement that was decided.
func (p *pass) applyPlacement(r *yuccapaddle.Request, placement yuccapaddle.Placement) {
	for _, key := range placement.Victims {
		p.isVictim[key] = true
		g := p.v.Gangs[key]
		for _, m := range g.Members {
			if i, ok := p.v.Index[m.Worker]; ok {
				p.freeLater[i] += m.Count * g.Accelerators
			}
		}
	}
	for _, m := range placement.Members {
		i := p.v.Index[m.Worker]
		p.free[i] -= m.Count * r.Accelerators
		p.rackFree[p.rackOf[i]] -= m.Count * r.Accelerators
		p.freeLater[i] -= m.Count * r.Accelerators
		if placement.Home != "" {
			p.homeUsed[placement.Home][m.Worker] += m.Count * r.Accelerators
		}
	}
	p.held[r.Workspace] += r.Need()
	if r.Team != "" {
		p.held[r.Workspace+"/"+r.Team] += r.Need()
	}
}
