package yuccapaddle

import "context"

// HostState is the state of a host in the platform's host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list. Role is "entry" for hosts of
// this system and "upstream" for back ends.
type Host struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Role    string    `json:"role"`
	State   HostState `json:"state"`
}

// HostList reads the platform's list of hosts, which may be out of date.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
