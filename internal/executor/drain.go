package executor

import "context"

// Drain stops placing new runs on a worker if drain is set, and resumes it otherwise.
// empty reports whether the worker has no runs; needed reports whether taking it down
// now would leave more tasks of a step down than the step allows. Without an answer
// from the loop, the worker counts as busy and needed.
func (e *Executor) Drain(ctx context.Context, worker string, drain bool) (empty, needed bool) {
	type workerUse struct{ empty, needed bool }
	use, err := runOnLoop(ctx, e, func() workerUse { return workerUse{e.plan.SetMaintenance(worker, drain), e.plan.MustStay(worker)} })
	if err != nil {
		return false, true
	}
	return use.empty, use.needed
}
