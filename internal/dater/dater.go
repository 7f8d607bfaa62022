// Package dater tells by which time the ledger had reached a revision. It rests on the host's
// steady clock only, so it holds whatever the time of day does.
package dater

import (
	"slices"
	"sync"
	"time"
)

const (
	// retention is how long a time is kept.
	retention = 30 * time.Second
	// spacing is the least time between two times that are kept, but for the latest.
	spacing = 250 * time.Millisecond
)

// reading is a revision that the ledger had reached by a time.
type reading struct {
	revision uint64
	at       time.Time
}

// Dater records which revisions the ledger had reached by which times. It is safe for
// concurrent use.
type Dater struct {
	mu       sync.Mutex
	readings []reading // both fields rise
}

// New returns a Dater without readings.
func New() *Dater {
	return &Dater{}
}

// Note records that the ledger has reached a revision by now.
func (d *Dater) Note(revision uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.readings)
	if n > 0 && revision <= d.readings[n-1].revision {
		return
	}
	if n > 1 && d.readings[n-1].at.Sub(d.readings[n-2].at) < spacing {
		d.readings = d.readings[:n-1]
	}
	d.readings = append(d.readings, reading{revision, now})
	d.dropOld(now)
}

// dropOld drops the readings beyond the retention time, but for the latest of them.
func (d *Dater) dropOld(now time.Time) {
	old := 0
	for old+1 < len(d.readings) && now.Sub(d.readings[old+1].at) > retention {
		old++
	}
	d.readings = slices.Delete(d.readings, 0, old)
}

// ReachedBy returns a time by which the ledger had certainly reached a revision, zero if none
// is known.
func (d *Dater) ReachedBy(revision uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.readings {
		if r.revision >= revision {
			return r.at
		}
	}
	return time.Time{}
}
