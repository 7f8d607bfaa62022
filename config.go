package yuccapaddle

import (
	"fmt"
	"time"
)

// Config is the operators' configuration. It lives in the platform's service
// under one key, together with the latest segment of its audit trail, so that
// a change and its audit entry commit together or not at all.
type Config struct {
	Revision uint64  `json:"revision"`
	ChangeID string  `json:"changeId"`
	Site     Site    `json:"site"`
	Audit    []Audit `json:"audit"`
	// Segments counts the full audit segments kept under audit/<n>.
	Segments int `json:"segments"`
}

// Site is what operators write: capacity, guarantees, quotas and limits.
type Site struct {
	Name       string      `json:"name"`
	Domains    []Domain    `json:"domains"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// SurviveDomainLoss asks that all guarantees fit with any one failure
	// domain out.
	SurviveDomainLoss bool     `json:"surviveDomainLoss,omitempty"`
	DrainedUpstreams  []string `json:"drainedUpstreams,omitempty"`
	DrainedWorkers    []string `json:"drainedWorkers,omitempty"`
}

// Domain is a failure domain with its upstreams.
type Domain struct {
	Name      string     `json:"name"`
	Region    string     `json:"region"`
	Out       bool       `json:"out,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is a back end that runs the workers of some racks.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Racks   []Rack `json:"racks"`
}

// Rack is a group of adjacent workers, named <rack>-<index>.
type Rack struct {
	Name         string `json:"name"`
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
}

// Workspace is a tenant with guaranteed shapes and quotas.
type Workspace struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees"`
	// Quota is the most accelerators it may hold at once, 0 for no limit.
	Quota int    `json:"quota,omitempty"`
	Teams []Team `json:"teams,omitempty"`
}

// Team is a group of callers with a quota of its own.
type Team struct {
	Name  string `json:"name"`
	Quota int    `json:"quota"`
}

// Guarantee is Count cells of Workers whole or partial workers each, with
// Accelerators accelerators on every worker, adjacent within Span.
type Guarantee struct {
	Count        int    `json:"count"`
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
	Span         Span   `json:"span"`
	Domain       string `json:"domain,omitempty"`
}

// Limits bound the requests that the system takes in. Times are in
// milliseconds.
type Limits struct {
	WaitingPerWorkspace int `json:"waitingPerWorkspace"`
	Attempts            int `json:"attempts"`
	EvictionGraceMS     int `json:"evictionGraceMs"`
	RetentionMS         int `json:"retentionMs"`
	QuarantineStrikes   int `json:"quarantineStrikes"`
	QuarantineMS        int `json:"quarantineMs"`
	GangAgeingMS        int `json:"gangAgeingMs"`
}

// Audit is one accepted change.
type Audit struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Action   string    `json:"action"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Diff is the RFC 7386 merge patch from the former site to the new one.
	Diff string `json:"diff,omitempty"`
}

// WorkerName is the name of the rack's worker with the index.
func (r *Rack) WorkerName(index int) string {
	return fmt.Sprintf("%s-%02d", r.Name, index)
}
