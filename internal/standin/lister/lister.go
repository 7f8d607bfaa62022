// Package lister is an in-memory stand-in for the platform's host list, which shows
// changes with a lag.
package lister

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"yuccapaddle"
)

// Lister implements yuccapaddle.HostList. It is safe for concurrent use.
type Lister struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	hosts map[string]entry
}

// entry is a host before and after its last change, which shows from visibleAt on.
type entry struct {
	before, after yuccapaddle.Host
	visibleAt     time.Time
}

var _ yuccapaddle.HostList = (*Lister)(nil)

// New returns an empty list.
func New() *Lister {
	return &Lister{hosts: map[string]entry{}}
}

// SetFaults sets the lag of changes from now on, and whether the list fails.
func (l *Lister) SetFaults(lag time.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.down = lag, down
}

// Set adds or replaces a host. The change shows after the lag.
func (l *Lister) Set(h yuccapaddle.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	prev := l.hosts[h.Name].after
	l.hosts[h.Name] = entry{before: prev, after: h, visibleAt: time.Now().Add(l.lag)}
}

// Hosts implements yuccapaddle.HostList.
func (l *Lister) Hosts(context.Context) ([]yuccapaddle.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("the host list is down")
	}
	var out []yuccapaddle.Host
	for _, e := range l.hosts {
		h := e.after
		if time.Now().Before(e.visibleAt) {
			h = e.before
		}
		if h.Name != "" {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out, nil
}
