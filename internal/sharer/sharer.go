// Package sharer divides a full cluster among workspaces in proportion to their weights.
package sharer

import (
	"slices"

	"yuccapaddle"
)

// Claim is work of one workspace that waits for room. Claims of one workspace are taken in
// the order in which they are given. An aged claim goes before the others, whatever its
// workspace holds.
type Claim struct {
	Workspace string
	Need      yuccapaddle.Need
	Aged      bool
}

// Load pattern: several workspaces send more than the cluster holds. In the order of
// acceptance the one that sends the most gets the most.

// Order returns the indexes of the claims in the order in which they get room: of the first
// claim of each workspace always that of the workspace with the least dominant share of the
// total for its weight. Each claim that is taken counts as use from then on. used is what
// the workspaces hold now: only present use counts, so that an idle workspace gains nothing
// for the past. A workspace without a weight has weight 1.
func Order(claims []Claim, used map[string]yuccapaddle.Need, weights map[string]int, total yuccapaddle.Need) []int {
	order := make([]int, 0, len(claims))
	queues := map[string][]int{}
	var names []string // in the order of their first claim, which decides between equal shares
	for i, c := range claims {
		if c.Aged {
			order = append(order, i)
			continue
		}
		if queues[c.Workspace] == nil {
			names = append(names, c.Workspace)
		}
		queues[c.Workspace] = append(queues[c.Workspace], i)
	}
	holds := make(map[string]yuccapaddle.Need, len(names))
	for _, n := range names {
		holds[n] = used[n]
	}
	for _, i := range order {
		ws := claims[i].Workspace
		holds[ws] = holds[ws].Add(claims[i].Need)
	}
	for len(names) > 0 {
		least := 0
		for k := range names {
			if weightedShare(holds[names[k]], total, weights[names[k]]) < weightedShare(holds[names[least]], total, weights[names[least]]) {
				least = k
			}
		}
		ws := names[least]
		i := queues[ws][0]
		order = append(order, i)
		holds[ws] = holds[ws].Add(claims[i].Need)
		if queues[ws] = queues[ws][1:]; len(queues[ws]) == 0 {
			names = slices.Delete(names, least, least+1)
		}
	}
	return order
}

// weightedShare returns the largest share of any resource that a workspace holds, in
// proportion to its weight.
func weightedShare(held, total yuccapaddle.Need, weight int) float64 {
	share := max(ratio(held.CPU, total.CPU), ratio(held.Memory, total.Memory), ratio(held.GPU, total.GPU))
	return share / float64(max(weight, 1))
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
