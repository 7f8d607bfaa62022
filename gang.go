package yuccapaddle

import (
	"strconv"
	"time"
)

// Member is the share of a gang that one worker runs: the ranks First to
// First+Count-1.
type Member struct {
	Worker string `json:"w"`
	First  int    `json:"f"`
	Count  int    `json:"n"`
}

// Ranks lists the ranks of the member.
func (m Member) Ranks() []int {
	ranks := make([]int, m.Count)
	for i := range ranks {
		ranks[i] = m.First + i
	}
	return ranks
}

// GangState is the committed state of a placed gang.
type GangState string

// States of a gang.
const (
	// GangClaimed: its workers are held, but others must be evicted first.
	GangClaimed GangState = "claimed"
	// GangReserving: no start has been sent, so it certainly has not run.
	GangReserving GangState = "reserving"
	// GangReleased: starts may have been sent.
	GangReleased GangState = "released"
)

// Gang is one attempt to run a request on chosen workers of one failure
// domain.
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
	// Boots are the incarnations of the upstreams when the gang was placed. An
	// upstream of the same incarnation that does not know the lease has
	// certainly never started it.
	Boots map[string]string `json:"b,omitempty"`
	// EvictBy is the end of the grace for a checkpoint, zero while the gang is
	// wanted; EvictFor says why it must go.
	EvictBy  time.Time `json:"eb,omitzero"`
	EvictFor string    `json:"ef,omitempty"`
	// Moving: it goes only if its work is saved by EvictBy, and stays otherwise.
	Moving bool `json:"mv,omitempty"`
}

// Lease names the lease of this attempt on its workers.
func (g *Gang) Lease() string {
	return g.Key + "/" + strconv.Itoa(g.Attempt)
}

// Evicting reports whether the gang has been told to go.
func (g *Gang) Evicting() bool {
	return !g.EvictBy.IsZero()
}

// Leaving reports whether the gang will be gone soon for certain.
func (g *Gang) Leaving() bool {
	return g.Evicting() && !g.Moving
}

// Need is the number of accelerators that the gang holds.
func (g *Gang) Need() int {
	n := 0
	for _, m := range g.Members {
		n += m.Count * g.Accelerators
	}
	return n
}
