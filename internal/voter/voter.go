// Package voter decides which active host this host may confirm. A host that was replaced may
// not know it yet, and counts on the confirmations of a majority. So a host never confirms an
// epoch below the highest that it has known, and a process confirms none before it has learned
// from the ledger which epoch is the latest: it cannot know what was known before its start.
package voter

import "sync"

// Voter is safe for concurrent use. Its zero value has not learned anything.
type Voter struct {
	mu       sync.Mutex
	highest  uint64
	informed bool
}

// New returns a Voter that knows no epoch.
func New() *Voter {
	return &Voter{}
}

// Note records that a host is, or was, active in an epoch.
func (v *Voter) Note(epoch uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highest = max(v.highest, epoch)
}

// NoteLatest records that the ledger has told this process, since its start, that no epoch was
// later than this one.
func (v *Voter) NoteLatest(epoch uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highest = max(v.highest, epoch)
	v.informed = true
}

// Highest returns the highest epoch that was noted, 0 if there is none.
func (v *Voter) Highest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.highest
}

// MayConfirm reports whether this host may confirm that it knows of no epoch later than this
// one.
func (v *Voter) MayConfirm(epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.informed && epoch >= v.highest
}
