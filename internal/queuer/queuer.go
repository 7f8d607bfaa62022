// Package queuer implements the baseline policy that the placer is measured against:
// strict first in, first out, without evictions.
package queuer

import "yuccapaddle"

// Queuer implements yuccapaddle.Policy.
type Queuer struct {
	name        string
	bestFit     bool
	partitioned bool
}

var _ yuccapaddle.Policy = (*Queuer)(nil)

// Option configures a Queuer.
type Option func(*Queuer)

// WithBestFit chooses the unit with the least sufficient room instead of the first
// one.
func WithBestFit() Option {
	return func(q *Queuer) { q.name, q.bestFit = "fifo-best-fit", true }
}

// WithPartition limits each workspace to the accelerators that it is guaranteed, and
// queues its requests separately.
func WithPartition() Option {
	return func(q *Queuer) { q.partitioned = true }
}

// New returns a Queuer, first fit and unpartitioned unless options change that.
func New(opts ...Option) *Queuer {
	q := &Queuer{name: "fifo-first-fit"}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Name implements yuccapaddle.Policy.
func (q *Queuer) Name() string {
	return q.name
}

// Plan implements yuccapaddle.Policy. The first request that does not fit blocks all
// later ones or, with partitions, the later ones of its workspace.
func (q *Queuer) Plan(v *yuccapaddle.View) yuccapaddle.Plan {
	free := make([]int, len(v.Workers))
	for i, w := range v.Workers {
		if w.Usable {
			free[i] = w.Free
		}
	}
	held, guaranteed := map[string]int{}, map[string]int{}
	for _, g := range v.Gangs {
		held[g.Workspace] += g.Need()
	}
	for _, h := range v.Homes {
		for _, c := range h.Cells {
			guaranteed[h.Workspace] += c.Accelerators
		}
	}
	var plan yuccapaddle.Plan
	blocked := map[string]bool{}
	for _, w := range v.Waiting {
		r := w.Request
		queue := ""
		if q.partitioned {
			queue = r.Workspace
		}
		if blocked[queue] {
			continue
		}
		overGuarantee := q.partitioned && held[r.Workspace]+r.Need() > guaranteed[r.Workspace]
		members := q.fit(v, free, r)
		if overGuarantee || members == nil {
			blocked[queue] = true
			continue
		}
		for _, m := range members {
			free[v.Index[m.Worker]] -= m.Count * r.Accelerators
		}
		held[r.Workspace] += r.Need()
		domain := v.Workers[v.Index[members[0].Worker]].Domain
		plan.Placements = append(plan.Placements, yuccapaddle.Placement{Key: r.Key(), Domain: domain, Members: members})
	}
	return plan
}

// fit returns the members in the first unit with enough room, or with best fit in the
// one with the least room, and nil if none has enough.
func (q *Queuer) fit(v *yuccapaddle.View, free []int, r *yuccapaddle.Request) []yuccapaddle.Member {
	var best []yuccapaddle.Member
	bestRoom := 0
	for start := 0; start < len(v.Workers); {
		end := start + 1
		for end < len(v.Workers) && v.Workers[start].Unit(r.Span) == v.Workers[end].Unit(r.Span) {
			end++
		}
		members, room := fillUnit(v, free, r, start, end)
		start = end
		if members == nil || (best != nil && room >= bestRoom) {
			continue
		}
		best, bestRoom = members, room
		if !q.bestFit {
			break
		}
	}
	return best
}

// fillUnit assigns the tasks to the unit's workers, those from start to end-1, in
// order. room is the number of free accelerators in the unit before that; out is nil
// if the tasks do not fit.
func fillUnit(v *yuccapaddle.View, free []int, r *yuccapaddle.Request, start, end int) (out []yuccapaddle.Member, room int) {
	first := 0
	for i := start; i < end; i++ {
		room += free[i]
		n := min(free[i]/r.Accelerators, r.Tasks-first)
		if n <= 0 {
			continue
		}
		out = append(out, yuccapaddle.Member{Worker: v.Workers[i].Name, First: first, Count: n})
		first += n
	}
	if first < r.Tasks {
		return nil, 0
	}
	return out, room
}
