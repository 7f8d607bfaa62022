// Package executor runs the planner on the active host: it commits what the
// planner decides, then sends the orders, and tells the planner what came of
// them.
package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/planner"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/ruler"
)

const (
	// inboxLength is how many events may wait for the loop.
	inboxLength = 4096
	// listShare is the part of the time that a leaving worker may still get work in
	// which its registration is read again, and knownShare the part for which what
	// was read may be placed by.
	listShare  = 0.28
	knownShare = 0.7
	listTime   = 600 * time.Millisecond
	idleTick   = 200 * time.Millisecond
	// stallTime is how long a commit may take before new jobs are refused: long
	// enough for a slow ledger, short against the time that callers wait.
	stallTime = 700 * time.Millisecond
)

// ErrStopped reports that the executor has ended before it could answer.
var ErrStopped = errors.New("this host is not active any more")

// ErrRefused reports a job that is not taken in while the ledger is away.
var ErrRefused = fmt.Errorf("the ledger does not answer: %w", yuccapaddle.ErrNotTaken)

// Bounds are figures of the settings.
type Bounds struct {
	// HoldMax is the longest lease that a worker gives, in milliseconds.
	HoldMax int64
	// LeaveWithin is the time within which a worker that leaves, or a failure
	// domain that is closed, gets no new work, in milliseconds.
	LeaveWithin int64
	// ApplyWithin is the time within which changed rules are in force, in
	// milliseconds.
	ApplyWithin int64
	Planner     yuccapaddle.PlanLimits
}

// Executor runs on the host that writes the records.
type Executor struct {
	registry yuccapaddle.Registry
	runner   yuccapaddle.Runner
	adviser  yuccapaddle.Adviser
	meter    yuccapaddle.Meter
	rules    *ruler.Ruler
	rec      *recorder.Recorder
	log      *zap.Logger
	bounds   Bounds
	clock    yuccapaddle.Clock
	// confirmed and rival: see WithRole.
	confirmed func() bool
	rival     time.Time

	inbox     chan func()
	questions chan yuccapaddle.Question
	done      chan struct{}
	plan      *planner.Planner
	group     *guarder.Guarder
	ctx       context.Context
	fail      error

	committing  bool
	committedAt time.Time
	waiters     []chan struct{}
	arriving    []submission
	links       map[string]*link
	shown       map[string]shownJob
	watchers    map[string][]chan struct{} // by job, closed once its end is committed
	digest      uint64
	away        bool // the registrations cannot be read
	listedAt    time.Time
	startedAt   time.Time
	now         time.Time
}

// shownJob is what is committed of a job, as callers see it.
type shownJob struct {
	yuccapaddle.JobReport
	queue string
}

// Option changes an executor under construction.
type Option func(*Executor)

// WithMeter measures what the executor does.
func WithMeter(m yuccapaddle.Meter) Option {
	return func(e *Executor) { e.meter = m }
}

// WithAdviser adds the service that gives tickets for advised queues.
func WithAdviser(a yuccapaddle.Adviser) Option {
	return func(e *Executor) { e.adviser = a }
}

// WithRole tells whether this host is confirmed in its role, without which it renews
// no leases, and until when a former host may go on renewing them.
func WithRole(confirmed func() bool, rival time.Time) Option {
	return func(e *Executor) { e.confirmed, e.rival = confirmed, rival }
}

// New returns an executor for the writer of the records.
func New(registry yuccapaddle.Registry, runner yuccapaddle.Runner, rules *ruler.Ruler, rec *recorder.Recorder,
	bounds Bounds, clock yuccapaddle.Clock, log *zap.Logger, opts ...Option,
) *Executor {
	e := &Executor{
		registry: registry, runner: runner, rules: rules, rec: rec, bounds: bounds, clock: clock, log: log,
		inbox: make(chan func(), inboxLength), done: make(chan struct{}), plan: planner.New(bounds.Planner),
		links: map[string]*link{}, shown: map[string]shownJob{}, watchers: map[string][]chan struct{}{}, questions: make(chan yuccapaddle.Question, mostQuestions),
		meter: yuccapaddle.NoMeter{}, confirmed: func() bool { return true },
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Run loads the records and decides until the context ends or another host has
// taken over.
func (e *Executor) Run(ctx context.Context) error {
	e.group, e.ctx = guarder.New(ctx, e.log)
	e.startedAt = e.clock.Now()
	e.stamp()
	if err := e.load(); err != nil {
		close(e.done)
		return err
	}
	e.list() // the first list comes before the first decision
	e.group.Go("registrations", e.followRegistry)
	if e.adviser != nil {
		e.group.Go("advice", e.followAdvice)
	}
	e.group.Go("decisions", e.loop)
	err := e.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Executor) stamp() {
	e.now = e.clock.Now()
	e.plan.At(e.now, time.Now().Round(0))
}

func (e *Executor) load() error {
	n := 0
	err := e.rec.Load(e.ctx, func(job, state []byte, parts [][]byte) {
		if err := e.plan.Restore(job, state, parts); err != nil {
			e.log.Error("a record is passed over", zap.Error(err))
			return
		}
		n++
	})
	if err != nil {
		return fmt.Errorf("take over the jobs: %w", err)
	}
	for _, s := range e.plan.Shown() {
		e.shown[s.ID] = shownJob{s.Shown, s.Queue}
	}
	for _, id := range e.plan.Holders() {
		e.link(id) // it may never register again
	}
	e.log.Info("jobs loaded", zap.Int("jobs", n), zap.Uint64("epoch", e.rec.Epoch()),
		zap.Int64("took_ms", e.clock.Now().Sub(e.startedAt).Milliseconds()))
	return nil
}

// loop handles events one after the other; nothing else touches the planner.
func (e *Executor) loop() error {
	defer close(e.done)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for e.fail == nil {
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case f := <-e.inbox:
			e.stamp()
			f()
			e.drainInbox()
		case <-timer.C:
			e.stamp()
		}
		e.advance()
		timer.Reset(e.untilNext())
	}
	return e.fail
}

func (e *Executor) drainInbox() {
	for range len(e.inbox) {
		f := <-e.inbox
		f()
	}
}

// untilNext is the time until the loop has to act without an event.
func (e *Executor) untilNext() time.Duration {
	wait := min(idleTick, e.plan.WakeAt().Sub(e.now))
	return max(wait, 5*time.Millisecond)
}

// advance plans, commits and keeps the workers' leases.
func (e *Executor) advance() {
	if r := e.rules.Current(); r != nil && r.Digest != e.digest {
		e.digest = r.Digest
		e.plan.Configure(r)
	}
	e.admit()
	if !e.committing {
		if e.informed() {
			e.plan.Plan()
		}
		e.flush()
	}
	e.keepLinks()
}

// informed reports whether the registrations and the rules are fresh enough to
// place tasks by them, and no other host can be doing so.
func (e *Executor) informed() bool {
	return e.confirmed() && e.now.Sub(e.listedAt) < e.share(knownShare) && e.now.Sub(e.rules.FreshAt()) < e.share(knownShare)
}

// share is a part of the time within which a leaving worker gets no new work.
func (e *Executor) share(part float64) time.Duration {
	return time.Duration(part * float64(e.bounds.LeaveWithin) * float64(time.Millisecond))
}

// post hands an event to the loop, unless the executor has ended.
func (e *Executor) post(f func()) bool {
	select {
	case e.inbox <- f:
		return true
	case <-e.done:
		return false
	}
}

// flush commits what the planner has decided, and then performs it.
func (e *Executor) flush() {
	b := e.plan.Take()
	waiters := e.waiters
	seen := e.seen()
	if b.Empty() && len(waiters) == 0 && len(seen) == 0 {
		return
	}
	e.waiters = nil
	if len(b.Records) == 0 && len(b.Removed) == 0 {
		e.perform(&b, waiters, seen)
		return
	}
	e.committing, e.committedAt = true, e.now
	e.group.Go("commit", func() error {
		begun := e.clock.Now()
		err := e.rec.Save(e.ctx, b.Records, b.Removed)
		e.meter.Time("commit", outcome(err), e.clock.Now().Sub(begun))
		if err != nil {
			return fmt.Errorf("commit: %w", err)
		}
		e.post(func() {
			e.committing = false
			e.perform(&b, waiters, seen)
		})
		return nil
	})
}

// perform carries out a committed batch.
func (e *Executor) perform(b *yuccapaddle.Batch, waiters []chan struct{}, seen map[string]int64) {
	for _, r := range b.Records {
		e.shown[r.ID] = shownJob{r.Shown, r.Queue}
		if r.Shown.State.Final() {
			e.wake(r.ID)
		}
	}
	for _, r := range b.Removed {
		delete(e.shown, r.ID)
	}
	for _, w := range waiters {
		close(w)
	}
	for id, n := range seen {
		e.link(id).committed = n
	}
	e.logNotes(b)
	for i := range b.Stops {
		e.sendStop(b.Stops[i])
	}
	for i := range b.Starts {
		e.sendStart(b.Starts[i])
	}
	for i := range b.Paces {
		e.sendPace(b.Paces[i])
	}
	for i := range b.Questions {
		e.consult(b.Questions[i])
	}
}

func (e *Executor) logNotes(b *yuccapaddle.Batch) {
	for i := range b.Notes {
		n := &b.Notes[i]
		e.meter.Tally("decisions", n.Event, 1)
		if n.Event == planner.EventEnded {
			e.meter.Tally("ends", causeLabel(n.Detail), 1)
		}
		e.log.Info(n.Event, zap.String("job", n.Job), zap.String("task", n.Task), zap.String("worker", n.Worker),
			zap.Int("run", n.Run), zap.String("detail", n.Detail), zap.Int64("rules", e.plan.Rules().Version),
			zap.Int64("listed_ms_ago", e.now.Sub(e.listedAt).Milliseconds()))
	}
}

// causeLabel names how a run ended, for the metrics: workers may send any text.
func causeLabel(cause string) string {
	switch c := yuccapaddle.EndCause(cause); c {
	case yuccapaddle.EndDone, yuccapaddle.EndFailed, yuccapaddle.EndStopped, yuccapaddle.EndLapsed, yuccapaddle.EndBroken, yuccapaddle.EndAlone:
		return cause
	}
	return "other"
}

// outcome names how a call ended, for the metrics.
func outcome(err error) string {
	var refusal *yuccapaddle.RefusalError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	}
	return "no answer"
}

// wait registers a channel that is closed with the next commit. It is called by
// the loop.
func (e *Executor) wait() chan struct{} {
	w := make(chan struct{})
	e.waiters = append(e.waiters, w)
	return w
}

// followRegistry reads the workers' registrations.
func (e *Executor) followRegistry() error {
	for {
		timer := time.NewTimer(e.share(listShare))
		select {
		case <-e.ctx.Done():
			timer.Stop()
			return e.ctx.Err()
		case <-timer.C:
		}
		e.list()
	}
}

// list reads the registrations once.
func (e *Executor) list() {
	at := e.clock.Now()
	ctx, cancel := context.WithTimeout(e.ctx, listTime)
	defer cancel()
	list, err := e.registry.Workers(ctx)
	e.meter.Time("registrations", outcome(err), e.clock.Now().Sub(at))
	if (err != nil) != e.away {
		e.away = err != nil
		e.log.Info("registrations", zap.Bool("readable", !e.away), zap.Error(err))
	}
	if err != nil {
		return
	}
	e.post(func() {
		e.listedAt = at
		e.plan.List(list)
		e.noteClocks(list, at)
	})
}
