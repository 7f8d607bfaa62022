// Package prioritizer orders waiting work of one priority by what a delay costs its
// callers. It does no I/O and reads no clock.
package prioritizer

import (
	"cmp"
	"time"
)

// Load pattern: more work of one priority arrives than the cluster holds for a while. In the
// order of acceptance all of it waits so long that all of it is late; and one wide job is
// served before the many small ones that would fit into the same room and time.

// maxWaitFactor bounds how long a job gives way: one that has waited for this many times
// what its objective allows goes first.
const maxWaitFactor = 8

// Waiting describes a job that waits for room.
type Waiting struct {
	// Since is when it was accepted, and Objective when its caller expects it to be done.
	Since, Objective time.Time
	// LatestStart is when its remaining runs have to start to be done by the objective, as
	// far as can be told.
	LatestStart time.Time
	// Cost is what these runs take of the cluster, in core-seconds.
	Cost float64
	// AlwaysFirst marks tasks that must always be at work, which have no objective.
	AlwaysFirst bool
}

// class says how the delay of a job counts. Lower classes go first.
type class int

const (
	classFirst  class = iota // has waited long enough, or must always go first
	classInTime              // can still be done by its objective
	classLate                // is late already, so that a little more delay costs its caller no more
)

func (w *Waiting) class(now time.Time) class {
	switch {
	case w.AlwaysFirst, now.Sub(w.Since) > maxWaitFactor*w.Objective.Sub(w.Since):
		return classFirst
	case now.After(w.LatestStart):
		return classLate
	}
	return classInTime
}

// Compare returns a negative number if a goes before b, a positive one if b goes before a,
// and 0 if the time of acceptance decides. Of jobs that can still be in time, that with the
// least time to spare goes first. Of late ones, that which takes least of the cluster's
// time, so that the most callers wait no longer; its time to spare does not matter any more.
func Compare(a, b *Waiting, now time.Time) int {
	ca, cb := a.class(now), b.class(now)
	switch {
	case ca != cb:
		return cmp.Compare(ca, cb)
	case ca == classInTime:
		return a.LatestStart.Compare(b.LatestStart)
	case ca == classLate:
		return cmp.Compare(a.Cost, b.Cost)
	}
	return 0
}
