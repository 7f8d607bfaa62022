package keeper

import (
	"encoding/json"
	"fmt"
	"time"

	"yuccapaddle"
)

// snapshot is the encoded form of the state. The other fields of Keeper are derived.
type snapshot struct {
	Requests   map[string]*requestState     `json:"jobs"`
	Gangs      map[string]*yuccapaddle.Gang `json:"gangs"`
	Quarantine map[string]time.Time         `json:"quarantine"`
}

// Snapshot returns the state encoded as JSON.
func (k *Keeper) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Requests: k.requests, Gangs: k.gangs, Quarantine: k.quarantinedUntil})
}

// Restore replaces the state by one that Snapshot encoded. On an error the state is
// unchanged.
func (k *Keeper) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("snapshot cannot be decoded: %w", err)
	}
	restored := New()
	for key, rs := range s.Requests {
		if rs == nil || rs.Request == nil {
			return fmt.Errorf("snapshot entry %q has no request", key)
		}
		restored.requests[key] = rs
		if rs.UnsettledGang != nil {
			restored.unsettled[key] = true
		}
		if rs.Outcome == nil && s.Gangs[key] == nil {
			restored.waitingIn[rs.Request.Workspace]++
			restored.queue[key] = true
		}
	}
	for key, g := range s.Gangs {
		if g == nil || restored.requests[key] == nil {
			return fmt.Errorf("snapshot gang %q has no request", key)
		}
		restored.gangs[key] = g
		if g.State != yuccapaddle.GangClaimed {
			restored.addUsed(g, 1)
		}
	}
	for w, until := range s.Quarantine {
		restored.quarantinedUntil[w] = until
	}
	*k = *restored
	return nil
}
