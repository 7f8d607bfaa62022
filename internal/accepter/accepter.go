// Package accepter bounds the memory that accepted jobs take, so that one workspace does not
// take it all.
package accepter

// Accepter counts the memory of accepted jobs by workspace, in bytes. It is not safe for
// concurrent use.
type Accepter struct {
	limit int64
	total int64
	used  map[string]int64
}

// New returns an Accepter for up to limit bytes, 0 for no limit.
func New(limit int64) *Accepter {
	return &Accepter{limit: limit, used: map[string]int64{}}
}

// Accepts reports whether a workspace may have a further job of n bytes: with it the workspace
// has no more than what is left for the others. So one alone gets half of the memory, two
// that fill it a third each, and there is always some left for the next one.
func (a *Accepter) Accepts(workspace string, n int64) bool {
	return a.limit == 0 || a.used[workspace]+n <= a.limit-a.total-n
}

// Add counts a job that was accepted, whether or not there is room for it.
func (a *Accepter) Add(workspace string, n int64) {
	a.total += n
	a.used[workspace] += n
}

// Remove counts a job off.
func (a *Accepter) Remove(workspace string, n int64) {
	a.total -= n
	if a.used[workspace] -= n; a.used[workspace] <= 0 {
		delete(a.used, workspace)
	}
}

// Total returns the memory of all jobs in bytes.
func (a *Accepter) Total() int64 {
	return a.total
}
