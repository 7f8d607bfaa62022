package executor

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

// submission is a job that waits for the commit in work to end. Its channel
// gets nil once it has been taken in, or why it is not.
type submission struct {
	job   *yuccapaddle.Job
	taken chan error
}

// Submit takes a job in and returns once it is committed. While commits do not
// get through it is refused, which is true of it: only jobs that have been taken
// in are ever part of a commit.
func (e *Executor) Submit(ctx context.Context, j *yuccapaddle.Job) error {
	s := submission{job: j, taken: make(chan error, 1)}
	if !e.post(func() { e.receive(s) }) {
		return yuccapaddle.ErrNotTaken
	}
	select {
	case err := <-s.taken:
		if err != nil {
			return err
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
	if s.job.Strict {
		if why := e.plan.Hopeless(s.job); why != "" {
			e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", why))
			s.taken <- &yuccapaddle.HopelessError{Why: why}
			return
		}
	}
	e.plan.Submit(s.job)
	s.taken <- nil
}

// stalled reports whether the commit in work takes so long that the ledger is
// taken to be away.
func (e *Executor) stalled() bool {
	return e.committing && e.now.Sub(e.committedAt) > stallTime
}

func (e *Executor) turnAway(s submission) {
	e.log.Info("refused", zap.String("job", s.job.ID), zap.String("detail", "the ledger does not answer"),
		zap.Int64("commit_ms_ago", e.now.Sub(e.committedAt).Milliseconds()))
	s.taken <- ErrRefused
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
		if _, q, ok := e.plan.Report(id); ok && (queue == "" || q == queue) {
			found = e.plan.Cancel(id)
		}
	})
	return err == nil && found, err // without an answer the loop may still be at it
}

// ask has the loop run f, and waits until its effects are committed.
func (e *Executor) ask(ctx context.Context, f func()) error {
	committed, err := query(ctx, e, func() chan struct{} {
		f()
		return e.wait()
	})
	if err != nil {
		return err
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

// query has the loop run f and returns what it gives. Errors are ErrNotTaken if f
// does not run, and ErrUnknown if it may.
func query[T any](ctx context.Context, e *Executor, f func() T) (T, error) {
	answers := make(chan T, 1)
	var none T
	if !e.post(func() { answers <- f() }) {
		return none, yuccapaddle.ErrNotTaken
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
	case <-e.done:
	}
	return none, yuccapaddle.ErrUnknown
}

// Show returns what is committed of a job, once it is final or at until.
func (e *Executor) Show(ctx context.Context, id, queue string, until time.Time) (yuccapaddle.JobReport, bool, error) {
	for {
		a, err := query(ctx, e, func() sight { return e.see(id, queue, until) })
		if err != nil || a.ended == nil {
			return a.JobReport, a.found, err
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-a.ended:
		case <-timer.C:
		case <-ctx.Done():
		case <-e.done:
		}
		timer.Stop()
		e.post(func() { e.leave(id, a.ended) })
	}
}

// sight is what is committed of a job. The channel is closed when that is final,
// unless it is or there is no time left to wait.
type sight struct {
	yuccapaddle.JobReport
	found bool
	ended chan struct{}
}

func (e *Executor) see(id, queue string, until time.Time) sight {
	s, ok := e.shown[id]
	if !ok {
		var q string
		_, q, ok = e.plan.Report(id)
		s = shownJob{yuccapaddle.JobReport{State: yuccapaddle.JobQueued}, q}
	}
	a := sight{JobReport: s.JobReport, found: ok && (queue == "" || s.queue == queue)}
	if a.found && !s.State.Final() && time.Now().Before(until) {
		a.ended = make(chan struct{})
		e.watchers[id] = append(e.watchers[id], a.ended)
	}
	return a
}

// leave forgets a waiter for the end of a job, if it still waits.
func (e *Executor) leave(id string, ended chan struct{}) {
	list := slices.DeleteFunc(e.watchers[id], func(c chan struct{}) bool { return c == ended })
	if len(list) == 0 {
		delete(e.watchers, id)
		return
	}
	e.watchers[id] = list
}

// wake tells those who wait for the end of a job.
func (e *Executor) wake(id string) {
	for _, ended := range e.watchers[id] {
		close(ended)
	}
	delete(e.watchers, id)
}

// View returns what operators are told of a job, nil if there is none.
func (e *Executor) View(ctx context.Context, id string) (*yuccapaddle.JobView, error) {
	return query(ctx, e, func() *yuccapaddle.JobView { return e.plan.View(id) })
}

// Status returns a summary for operators.
func (e *Executor) Status(ctx context.Context) (*yuccapaddle.EngineStatus, error) {
	return query(ctx, e, func() *yuccapaddle.EngineStatus {
		st := e.plan.Status()
		st.Epoch, st.Stalled = e.rec.Epoch(), e.stalled()
		return &st
	})
}

// Pending returns the number of jobs of each queue that have not begun, nil if this
// host is not active any more.
func (e *Executor) Pending(ctx context.Context) map[string]int64 {
	counts, err := query(ctx, e, e.plan.Pending)
	if err != nil {
		return nil
	}
	return counts
}

// Epoch is the number of this writer.
func (e *Executor) Epoch() uint64 {
	return e.rec.Epoch()
}
