package yuccapaddle

import (
	"fmt"
	"time"
)

// Config is the operators' configuration. It is stored in the platform's service
// under one key, together with the latest segment of its audit trail, so that
// a change and its audit entry are committed atomically.
type Config struct {
	Revision uint64  `json:"revision"`
	ChangeID string  `json:"changeId"`
	Site     Site    `json:"site"`
	Audit    []Audit `json:"audit"`
	// Segments is the number of full audit segments stored under audit/<n>.
	Segments int `json:"segments"`
}

// Site is the part of the configuration that operators edit: capacity,
// guarantees, quotas and limits.
type Site struct {
	Name       string      `json:"name"`
	Domains    []Domain    `json:"domains"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// SurviveDomainLoss requires that all guarantees still fit when any one
	// failure domain is out of service.
	SurviveDomainLoss bool     `json:"surviveDomainLoss,omitempty"`
	DrainedUpstreams  []string `json:"drainedUpstreams,omitempty"`
	DrainedWorkers    []string `json:"drainedWorkers,omitempty"`
}

// Domain is a failure domain with its upstreams. Out means that operators have
// taken it out of service.
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

// Workspace is a tenant with capacity guarantees and quotas.
type Workspace struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees"`
	// Quota is the maximum number of accelerators in use at once, 0 for no limit.
	Quota int    `json:"quota,omitempty"`
	Teams []Team `json:"teams,omitempty"`
}

// Team is a group of a workspace's callers with its own quota.
type Team struct {
	Name  string `json:"name"`
	Quota int    `json:"quota"`
}

// Guarantee is capacity reserved for a workspace: Count shapes of Workers workers
// each, with Accelerators accelerators on every worker. The workers of a shape are
// adjacent within one unit of Span, and in the failure domain Domain if it is set.
type Guarantee struct {
	Count        int    `json:"count"`
	Workers      int    `json:"workers"`
	Accelerators int    `json:"accelerators"`
	Span         Span   `json:"span"`
	Domain       string `json:"domain,omitempty"`
}

// Limits are the limits on accepted requests and on evictions, retries and
// quarantine. Fields ending in MS are in milliseconds.
type Limits struct {
	WaitingPerWorkspace int `json:"waitingPerWorkspace"`
	Attempts            int `json:"attempts"`
	EvictionGraceMS     int `json:"evictionGraceMs"`
	RetentionMS         int `json:"retentionMs"`
	QuarantineStrikes   int `json:"quarantineStrikes"`
	QuarantineMS        int `json:"quarantineMs"`
	GangAgeingMS        int `json:"gangAgeingMs"`
}

// Audit is the audit entry of one accepted configuration change.
type Audit struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Action   string    `json:"action"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Diff is the RFC 7386 merge patch from the previous site to the new one.
	Diff string `json:"diff,omitempty"`
}

// WorkerName returns the name of the rack's worker at the index.
func (r *Rack) WorkerName(index int) string {
	return fmt.Sprintf("%s-%02d", r.Name, index)
}
