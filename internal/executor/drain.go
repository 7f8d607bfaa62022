package executor

import "context"

// Drain stops placing new runs on a worker if drain is set, and resumes it otherwise.
// empty reports whether the worker has no runs; mustStay reports whether taking it down
// now would make more tasks of a step unavailable than the step allows. Without an
// answer from the loop, the worker counts as busy, and as one that must stay.
func (e *Executor) Drain(ctx context.Context, worker string, drain bool) (empty, mustStay bool) {
	type workerUse struct{ empty, mustStay bool }
	use, err := runOnLoop(ctx, e, func() workerUse { return workerUse{e.plan.SetMaintenance(worker, drain), e.plan.MustStay(worker)} })
	if err != nil {
		return false, true
	}
	return use.empty, use.mustStay
}
