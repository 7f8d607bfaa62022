// Package tracker keeps track of the run ends that have been applied and are not covered
// by a commit yet, and of the workers that still list them.
package tracker

import "slices"

// Tracker holds the uncommitted ends of each job. It is not safe for concurrent use.
type Tracker struct {
	added int64 // ends so far
	ends  map[string][]end
}

// end is an uncommitted end. The worker lists it for as long as it has that incarnation.
type end struct {
	number      int64 // in the order in which they were added
	worker      string
	incarnation int64
}

// New returns a Tracker without ends.
func New() *Tracker {
	return &Tracker{ends: map[string][]end{}}
}

// Add adds an end of a run of the job that a worker has listed.
func (t *Tracker) Add(job, worker string, incarnation int64) {
	t.added++
	t.ends[job] = append(t.ends[job], end{t.added, worker, incarnation})
}

// Mark returns a mark for Commit that stands for all ends added so far.
func (t *Tracker) Mark() int64 {
	return t.added
}

// Commit removes the ends that were added before the mark was taken.
func (t *Tracker) Commit(mark int64) {
	for job, list := range t.ends {
		list = slices.DeleteFunc(list, func(e end) bool { return e.number <= mark })
		if len(list) == 0 {
			delete(t.ends, job)
			continue
		}
		t.ends[job] = list
	}
}

// Listed reports whether each uncommitted end of the job is on a worker for which lists
// returns true, so that a later active host can read it there.
func (t *Tracker) Listed(job string, lists func(worker string, incarnation int64) bool) bool {
	return !slices.ContainsFunc(t.ends[job], func(e end) bool { return !lists(e.worker, e.incarnation) })
}
