package planner

import (
	"cmp"
	"slices"

	"yuccapaddle"
)

// place names the piece of hardware around a worker that a gang with the span may
// not leave.
func (s *worker) place(span yuccapaddle.Span) string {
	switch span {
	case yuccapaddle.SpanWorker:
		return s.ID
	case yuccapaddle.SpanRack:
		return s.Domain + "/" + s.Rack
	case yuccapaddle.SpanDomain:
		return s.Domain
	}
	return ""
}

// inSpan fills the piece of hardware that is left with the least room, nil if none
// holds n tasks.
func inSpan(rooms []room, span yuccapaddle.Span, n int) []string {
	var best []room
	least := 0
	for _, group := range groupBy(rooms, func(r room) string { return r.s.place(span) }) {
		tasks, free := 0, 0
		for _, r := range group {
			tasks += r.tasks
			free += r.free.GPU
		}
		if tasks >= n && (best == nil || free < least) {
			best, least = group, free
		}
	}
	if best == nil {
		return nil
	}
	return fewestRacks(best, n)
}

// offersInSpan chooses the cheapest offers within one piece of hardware.
func offersInSpan(list []offer, span yuccapaddle.Span, n int) []offer {
	var best []offer
	for _, group := range groupBy(list, func(o offer) string { return o.s.place(span) }) {
		if chosen := choose(group, n); chosen != nil && (best == nil || total(chosen) < total(best)) {
			best = chosen
		}
	}
	return best
}

// groupBy splits a list by a key, in the order of the keys.
func groupBy[T any](list []T, key func(T) string) [][]T {
	groups := map[string][]T{}
	for _, x := range list {
		groups[key(x)] = append(groups[key(x)], x)
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	ordered := make([][]T, 0, len(names))
	for _, name := range names {
		ordered = append(ordered, groups[name])
	}
	return ordered
}
