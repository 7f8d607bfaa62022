// Package queuer is the baseline that the project's policy is measured against:
// strictly first in, first out, without evictions.
package queuer

import "yuccapaddle"

// Queuer implements yuccapaddle.Policy.
type Queuer struct {
	name      string
	best      bool
	partition bool
}

var _ yuccapaddle.Policy = (*Queuer)(nil)

// Option changes a Queuer under construction.
type Option func(*Queuer)

// WithBestFit takes the unit that is left with the least room, in place of the
// first that fits.
func WithBestFit() Option {
	return func(q *Queuer) { q.name, q.best = "fifo-best-fit", true }
}

// WithPartition keeps each workspace within what it is guaranteed.
func WithPartition() Option {
	return func(q *Queuer) { q.partition = true }
}

// New returns the policy.
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

// Plan implements yuccapaddle.Policy. The first request that does not fit holds
// up all behind it; with partitions, all behind it in its workspace.
func (q *Queuer) Plan(v *yuccapaddle.View) yuccapaddle.Plan {
	free := make([]int, len(v.Workers))
	for i, w := range v.Workers {
		if w.Usable {
			free[i] = w.Free
		}
	}
	held, promised := map[string]int{}, map[string]int{}
	for _, g := range v.Gangs {
		held[g.Workspace] += g.Need()
	}
	for _, h := range v.Homes {
		for _, c := range h.Cells {
			promised[h.Workspace] += c.Accelerators
		}
	}
	var plan yuccapaddle.Plan
	blocked := map[string]bool{}
	for _, w := range v.Waiting {
		r := w.Request
		queue := ""
		if q.partition {
			queue = r.Workspace
		}
		if blocked[queue] {
			continue
		}
		over := q.partition && held[r.Workspace]+r.Need() > promised[r.Workspace]
		members := q.fit(v, free, r)
		if over || members == nil {
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

// fit returns the members of the first unit that fits, or of the tightest.
func (q *Queuer) fit(v *yuccapaddle.View, free []int, r *yuccapaddle.Request) []yuccapaddle.Member {
	var best []yuccapaddle.Member
	bestLeft := 0
	for start := 0; start < len(v.Workers); {
		end := start + 1
		for end < len(v.Workers) && v.Workers[start].Unit(r.Span) == v.Workers[end].Unit(r.Span) {
			end++
		}
		members, left := fill(v, free, r, start, end)
		start = end
		if members == nil || (best != nil && left >= bestLeft) {
			continue
		}
		best, bestLeft = members, left
		if !q.best {
			break
		}
	}
	return best
}

// fill takes the workers of a unit in order; left is the room that remains.
func fill(v *yuccapaddle.View, free []int, r *yuccapaddle.Request, start, end int) (out []yuccapaddle.Member, left int) {
	first := 0
	for i := start; i < end; i++ {
		left += free[i]
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
	return out, left
}
