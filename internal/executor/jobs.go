package executor

import (
	"context"

	"go.uber.org/zap"

	"yuccapaddle"
)

// submission is a job that waits for the commit in work to end. Its channel
// tells whether it has been taken in.
type submission struct {
	job   *yuccapaddle.Job
	taken chan bool
}

// Submit takes a job in and returns once it is committed. While commits do not
// get through it is refused, which is true of it: only jobs that have been taken
// in are ever part of a commit.
func (e *Executor) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	s := submission{job: j, taken: make(chan bool, 1)}
	if !e.post(func() { e.receive(s) }) {
		return yuccapaddle.ErrNotTaken
	}
	select {
	case ok := <-s.taken:
		if !ok {
			return ErrRefused
		}
	case <-ctx.Done():
		return yuccapaddle.ErrUnknown
	case <-e.done:
		return yuccapaddle.ErrUnknown
	}
	return e.ask(ctx, func() {})
}

// receive takes a job in, or lets it wait for the commit in work.
func (e *Executor) receive(s submission) {
	if e.committing {
		e.arriving = append(e.arriving, s)
		return
	}
	e.takeIn(s)
}

func (e *Executor) takeIn(s submission) {
	e.plan.Submit(s.job)
	s.taken <- true
}

// stalled reports whether the commit in work takes so long that the ledger is
// taken to be away.
func (e *Executor) stalled() bool {
	return e.committing && e.now.Sub(e.committedAt) > stallTime
}

func (e *Executor) turnAway(s submission) {
	e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", "the ledger does not answer"),
		zap.Int64("commit_ms_ago", e.now.Sub(e.committedAt).Milliseconds()))
	s.taken <- false
}

// admit settles the jobs that have waited for a commit.
func (e *Executor) admit() {
	waiting := e.arriving
	e.arriving = nil
	for _, s := range waiting {
		switch {
		case !e.committing:
			e.takeIn(s)
		case e.stalled():
			e.turnAway(s)
		default:
			e.arriving = append(e.arriving, s)
		}
	}
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
