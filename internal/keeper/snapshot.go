package keeper

import (
	"encoding/json"
	"fmt"
	"time"

	"yuccapaddle"
)

type snapshot struct {
	Jobs       map[string]*job              `json:"jobs"`
	Gangs      map[string]*yuccapaddle.Gang `json:"gangs"`
	Quarantine map[string]time.Time         `json:"quarantine"`
}

// Snapshot encodes the state.
func (k *Keeper) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Jobs: k.jobs, Gangs: k.gangs, Quarantine: k.quarantine})
}

// Restore replaces the state by an encoded one.
func (k *Keeper) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("snapshot cannot be decoded: %w", err)
	}
	fresh := New()
	for key, j := range s.Jobs {
		if j == nil || j.Request == nil {
			return fmt.Errorf("snapshot entry %q has no request", key)
		}
		fresh.jobs[key] = j
		if j.Last != nil {
			fresh.unsettled[key] = true
		}
		if j.Outcome == nil && s.Gangs[key] == nil {
			fresh.waiting[j.Request.Workspace]++
			fresh.queue[key] = true
		}
	}
	for key, g := range s.Gangs {
		if g == nil || fresh.jobs[key] == nil {
			return fmt.Errorf("snapshot gang %q has no request", key)
		}
		fresh.gangs[key] = g
		if g.State != yuccapaddle.GangClaimed {
			fresh.hold(g, 1)
		}
	}
	for w, until := range s.Quarantine {
		fresh.quarantine[w] = until
	}
	*k = *fresh
	return nil
}
