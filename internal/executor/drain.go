package executor

import "context"

// Drain has a worker get no new runs for as long as want holds. It reports
// whether nothing runs there, and whether taking it down now would have too many
// tasks of a step away.
func (e *Executor) Drain(ctx context.Context, worker string, want bool) (empty, needed bool) {
	type answer struct{ empty, needed bool }
	a, err := query(ctx, e, func() answer { return answer{e.plan.Empty(worker, want), e.plan.Spared(worker)} })
	if err != nil {
		return false, true
	}
	return a.empty, a.needed
}
