package executor

import "context"

// Drain has a worker get no new runs for as long as want holds. It reports
// whether nothing runs there, and whether taking it down now would have too many
// tasks of a step away.
func (e *Executor) Drain(ctx context.Context, worker string, want bool) (empty, needed bool) {
	type answer struct{ empty, needed bool }
	answers := make(chan answer, 1)
	if !e.post(func() { answers <- answer{e.plan.Empty(worker, want), e.plan.Spared(worker)} }) {
		return false, true
	}
	select {
	case a := <-answers:
		return a.empty, a.needed
	case <-ctx.Done():
	case <-e.done:
	}
	return false, true
}
