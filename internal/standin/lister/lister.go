// Package lister is a small stand-in for the platform's host list. It shows
// changes only after a lag.
package lister

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"yuccapaddle"
)

// Lister implements yuccapaddle.HostList.
type Lister struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	hosts map[string]row
}

type row struct {
	old, now  yuccapaddle.Host
	visibleAt time.Time
}

var _ yuccapaddle.HostList = (*Lister)(nil)

// New returns an empty list.
func New() *Lister {
	return &Lister{hosts: map[string]row{}}
}

// SetFaults sets how old the list is, and whether it answers at all.
func (l *Lister) SetFaults(lag time.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.down = lag, down
}

// Set changes a host; the change shows after the lag.
func (l *Lister) Set(h yuccapaddle.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.hosts[h.Name].now
	l.hosts[h.Name] = row{old: old, now: h, visibleAt: time.Now().Add(l.lag)}
}

// Hosts implements yuccapaddle.HostList.
func (l *Lister) Hosts(context.Context) ([]yuccapaddle.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("the host list is down")
	}
	var out []yuccapaddle.Host
	for _, r := range l.hosts {
		h := r.now
		if time.Now().Before(r.visibleAt) {
			h = r.old
		}
		if h.Name != "" {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out, nil
}
