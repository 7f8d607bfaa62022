package executor

import (
	"context"

	"yuccapaddle"
)

// Submit takes a job in and returns once it is committed.
func (e *Executor) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	return e.ask(ctx, func() { e.plan.Submit(j) })
}

// Cancel cancels a job and returns once that is committed.
func (e *Executor) Cancel(ctx context.Context, id, queue string) (bool, error) {
	found := false
	err := e.ask(ctx, func() {
		if _, q, ok := e.plan.State(id); ok && q == queue {
			found = e.plan.Cancel(id)
		}
	})
	return found, err
}

// ask has the loop run f, and waits until its effects are committed.
func (e *Executor) ask(ctx context.Context, f func()) error {
	asked := make(chan chan struct{}, 1)
	sent := e.post(func() {
		f()
		asked <- e.wait()
	})
	if !sent {
		return yuccapaddle.ErrNotTaken
	}
	var committed chan struct{}
	select {
	case committed = <-asked:
	case <-ctx.Done():
		return yuccapaddle.ErrUnknown
	case <-e.done:
		return yuccapaddle.ErrUnknown
	}
	select {
	case <-committed:
		return nil
	case <-ctx.Done():
		return yuccapaddle.ErrUnknown
	case <-e.done:
		return yuccapaddle.ErrUnknown
	}
}

// Show returns the committed state of a job.
func (e *Executor) Show(ctx context.Context, id, queue string) (yuccapaddle.JobState, bool, error) {
	type answer struct {
		state yuccapaddle.JobState
		ok    bool
	}
	answers := make(chan answer, 1)
	sent := e.post(func() {
		s, ok := e.shown[id]
		if !ok {
			var q string
			_, q, ok = e.plan.State(id)
			s = shownJob{yuccapaddle.JobQueued, q}
		}
		answers <- answer{s.state, ok && s.queue == queue}
	})
	if !sent {
		return "", false, yuccapaddle.ErrNotTaken
	}
	select {
	case a := <-answers:
		return a.state, a.ok, nil
	case <-ctx.Done():
		return "", false, yuccapaddle.ErrUnknown
	case <-e.done:
		return "", false, yuccapaddle.ErrUnknown
	}
}

// Pending returns the number of jobs of each queue that have not begun.
func (e *Executor) Pending(ctx context.Context) map[string]int64 {
	answers := make(chan map[string]int64, 1)
	if !e.post(func() { answers <- e.plan.Pending() }) {
		return nil
	}
	select {
	case m := <-answers:
		return m
	case <-ctx.Done():
	case <-e.done:
	}
	return nil
}

// Epoch is the number of this writer.
func (e *Executor) Epoch() uint64 {
	return e.rec.Epoch()
}
