package yuccapaddle

import (
	"strconv"
	"time"
)

// Member is the part of a gang that runs on one worker: the ranks First to
// First+Count-1.
type Member struct {
	Worker string `json:"w"`
	First  int    `json:"f"`
	Count  int    `json:"n"`
}

// Ranks returns the ranks of the member in ascending order.
func (m Member) Ranks() []int {
	ranks := make([]int, m.Count)
	for i := range ranks {
		ranks[i] = m.First + i
	}
	return ranks
}

// GangState is the stored state of a placed gang.
type GangState string

// States of a gang.
const (
	// GangClaimed means that its workers are claimed, but other gangs must be
	// evicted from them first.
	GangClaimed GangState = "claimed"
	// GangReserving means that no start has been sent, so the gang has not run.
	GangReserving GangState = "reserving"
	// GangReleased means that starts may have been sent.
	GangReleased GangState = "released"
)

// Gang is one attempt to run a request on selected workers of one failure
// domain. Home is the ID of the Home that it was placed on, if any.
type Gang struct {
	Key          string    `json:"k"`
	Attempt      int       `json:"a"`
	Workspace    string    `json:"ws"`
	Domain       string    `json:"d"`
	Members      []Member  `json:"m"`
	Accelerators int       `json:"x"`
	State        GangState `json:"s"`
	Home         string    `json:"h,omitempty"`
	PlacedAt     time.Time `json:"at"`
	// Incarnations maps each upstream to its incarnation ID at the time of
	// placement. If the incarnation is unchanged and the upstream does not know the
	// lease, it has never started it.
	Incarnations map[string]string `json:"b,omitempty"`
	// EvictBy is the end of the checkpoint grace period before an eviction, zero if
	// the gang is not being evicted; EvictReason is the reason for it.
	EvictBy     time.Time `json:"eb,omitzero"`
	EvictReason string    `json:"ef,omitempty"`
	// Moving means that the gang is evicted only if it is checkpointed by EvictBy;
	// otherwise it keeps running where it is.
	Moving bool `json:"mv,omitempty"`
}

// Lease returns the name of this attempt's lease.
func (g *Gang) Lease() string {
	return g.Key + "/" + strconv.Itoa(g.Attempt)
}

// Evicting reports whether an eviction of the gang is in progress, including a
// move that may be given up.
func (g *Gang) Evicting() bool {
	return !g.EvictBy.IsZero()
}

// WillLeave reports whether the gang is being evicted unconditionally.
func (g *Gang) WillLeave() bool {
	return g.Evicting() && !g.Moving
}

// Need returns the number of accelerators that the gang uses.
func (g *Gang) Need() int {
	n := 0
	for _, m := range g.Members {
		n += m.Count * g.Accelerators
	}
	return n
}
