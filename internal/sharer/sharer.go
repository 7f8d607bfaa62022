// Package sharer divides a full cluster among workspaces in proportion to their weights.
package sharer

import "yuccapaddle"

// Load pattern: several workspaces send more than the cluster holds. In the order of
// acceptance the one that sends the most gets the most.

// Holding is what a workspace holds now, and its weight; a weight of 0 counts as 1.
type Holding struct {
	Used   yuccapaddle.Need
	Weight int
}

// Least returns the index of the workspace that gets room next: the one with the least
// dominant share of the total for its weight, the first of equal ones. Only present use
// counts, so that an idle workspace gains nothing for the past.
func Least(list []Holding, total yuccapaddle.Need) int {
	least := 0
	for i := range list {
		if list[i].weightedShare(total) < list[least].weightedShare(total) {
			least = i
		}
	}
	return least
}

// weightedShare returns the largest share of any resource that a workspace holds, in
// proportion to its weight.
func (h *Holding) weightedShare(total yuccapaddle.Need) float64 {
	share := max(ratio(h.Used.CPU, total.CPU), ratio(h.Used.Memory, total.Memory), ratio(h.Used.GPU, total.GPU))
	return share / float64(max(h.Weight, 1))
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
