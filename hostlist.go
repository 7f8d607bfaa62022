package yuccapaddle

import "context"

// HostState says what the platform's host list knows of a host.
type HostState string

// States of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the platform's host list. Role is "entry" for hosts of
// this system and "upstream" for back ends.
type Host struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Role    string    `json:"role"`
	State   HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags behind reality.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
