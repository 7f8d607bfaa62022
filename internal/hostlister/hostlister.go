// Package hostlister reads the platform's host list over HTTP.
package hostlister

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/caller"
)

const callTimeout = time.Second

// HostLister implements yuccapaddle.HostList.
type HostLister struct {
	url    string
	caller *caller.Caller
}

var _ yuccapaddle.HostList = (*HostLister)(nil)

// New returns the host list that is served at address, host:port.
func New(address string) *HostLister {
	return &HostLister{url: "http://" + address + "/v1/hosts", caller: caller.New()}
}

// Hosts implements yuccapaddle.HostList.
func (l *HostLister) Hosts(ctx context.Context) ([]yuccapaddle.Host, error) {
	var out []yuccapaddle.Host
	if err := l.caller.Call(ctx, fasthttp.MethodGet, l.url, nil, &out, callTimeout); err != nil {
		return nil, fmt.Errorf("read the host list: %w", err)
	}
	return out, nil
}
