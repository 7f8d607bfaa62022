// Package executor runs the planner on the active host. It commits the planner's
// decisions to the ledger, then sends the resulting orders to the workers, and
// reports their replies back to the planner.
package executor

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/confirmer"
	"yuccapaddle/internal/holder"
	"yuccapaddle/internal/planner"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/supervisor"
	"yuccapaddle/internal/tracker"
)

const (
	eventQueueSize = 4096
	// pollFraction and freshFraction are fractions of Bounds.LeaveWithinMS, or of
	// shrinkWithinMS if that is less. The registrations are read again after the first;
	// tasks are placed only while the last reads of the registrations and the rules are
	// younger than the second.
	pollFraction  = 0.28
	freshFraction = 0.7
	// shrinkWithinMS is the time after which a worker whose capacity has shrunk must get
	// no start above it, in milliseconds.
	shrinkWithinMS = 4000
	// maxIdleWait is the longest that the loop waits without an event.
	maxIdleWait = 200 * time.Millisecond
	// commitStallAfter is how long a commit may take before new jobs are refused or held. It
	// allows for a slow ledger, but is much shorter than the callers' timeouts.
	commitStallAfter = 700 * time.Millisecond
)

// ErrNotActive is the error of Run when a worker has seen an order with a higher fencing
// token, which means that another host has become active.
var ErrNotActive = errors.New("this host is no longer active")

// ErrLedgerUnavailable reports a job that was not accepted because the ledger does not
// answer. It matches ErrNotAccepted.
var ErrLedgerUnavailable = fmt.Errorf("the ledger does not answer: %w", yuccapaddle.ErrNotAccepted)

// Bounds are the time limits of the settings.
type Bounds struct {
	// MaxLeaseMS is the longest lease that a worker grants, in milliseconds.
	MaxLeaseMS int64
	// LeaveWithinMS is the time after which a worker that leaves, or a failure domain
	// that is closed, must get no new runs, in milliseconds.
	LeaveWithinMS int64
	// ApplyWithinMS is the time after which changed rules must be in force, in
	// milliseconds.
	ApplyWithinMS int64
	Planner       yuccapaddle.PlanLimits
}

// Executor drives the planner while its host is the writer of the job records. Its
// methods other than Run are safe for concurrent use.
type Executor struct {
	registry yuccapaddle.Registry
	runner   yuccapaddle.Runner
	adviser  yuccapaddle.Adviser
	meter    yuccapaddle.Meter
	rules    *rulekeeper.RuleKeeper
	rec      *recorder.Recorder
	log      *zap.Logger
	bounds   Bounds
	clock    yuccapaddle.Clock
	// roleConfirmed and the following are set by WithRole.
	roleConfirmed          func() bool
	predecessorRenewsUntil func() time.Time
	predecessorStartsUntil func() time.Time

	events         chan func() // for the loop to call
	submissions    chan submission
	adviceRequests chan yuccapaddle.AdviceRequest
	done           chan struct{}
	restored       atomic.Bool // the records of former hosts are loaded
	plan           *planner.Planner
	group          *supervisor.Supervisor
	ctx            context.Context
	stopErr        error // ends the loop once it is set

	committing         bool // a commit is in progress
	commitStartedAt    time.Time
	commitWaiters      []chan struct{}
	pendingSubmissions []submission
	held               *holder.Holder[submission] // nil without WithHeldCalls
	heldAdmitted       bool                       // the next batch contains jobs that were held
	links              map[string]*link
	committedJobs      map[string]committedJob
	watchers           map[string][]chan struct{} // by job, closed once its final state is committed
	showsCompletions   bool                       // see WithCompletionsShown
	uncommitted        *tracker.Tracker
	absence            *confirmer.Confirmer    // see confirmAbsence
	shownJobs          map[string]committedJob // reported as completed before their commit
	rulesDigest        uint64
	registryDown       bool // the last read of the registrations failed
	registryReadAt     time.Time
	startedAt          time.Time
	usageReportAt      time.Time // when the gauges of workspaces are updated next
	now                time.Time // of the event that is being handled
}

// committedJob is the committed status of a job, as callers see it.
type committedJob struct {
	yuccapaddle.JobReport
	spec *yuccapaddle.Job
}

// New returns an executor that saves the job records through rec.
func New(registry yuccapaddle.Registry, runner yuccapaddle.Runner, rules *rulekeeper.RuleKeeper, rec *recorder.Recorder,
	bounds Bounds, clock yuccapaddle.Clock, log *zap.Logger, opts ...Option,
) *Executor {
	bounds.Planner.LongestLease = longestLease(bounds.MaxLeaseMS)
	e := &Executor{
		registry: registry, runner: runner, rules: rules, rec: rec, bounds: bounds, clock: clock, log: log,
		events: make(chan func(), eventQueueSize), submissions: make(chan submission, eventQueueSize), done: make(chan struct{}), plan: planner.New(bounds.Planner, planner.WithCommitTimes(rules.StoreReachedBy)),
		links: map[string]*link{}, committedJobs: map[string]committedJob{}, watchers: map[string][]chan struct{}{}, adviceRequests: make(chan yuccapaddle.AdviceRequest, maxQueuedAdvice),
		uncommitted: tracker.New(), shownJobs: map[string]committedJob{},
		meter: yuccapaddle.NoMeter{}, roleConfirmed: func() bool { return true }, predecessorRenewsUntil: never, predecessorStartsUntil: never,
	}
	for _, o := range opts {
		o(e)
	}
	e.absence = confirmer.New(func() error { return e.rec.Confirm(e.ctx) }, e.startConfirmation)
	return e
}

// Run loads the job records and then plans, commits and sends orders until the context
// ends, which is no error, or another host has taken over.
func (e *Executor) Run(ctx context.Context) error {
	e.group, e.ctx = supervisor.New(ctx, e.log)
	e.startedAt = e.clock.Now()
	e.readClock()
	e.group.Go("decisions", e.loop)
	if e.adviser != nil {
		e.group.Go("advice", e.processAdviceRequests)
	}
	err := e.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// readClock sets the time of the events that are handled next.
func (e *Executor) readClock() {
	e.now = e.clock.Now()
	e.plan.SetTime(e.now, time.Now().Round(0))
	e.plan.SetPredecessorEnd(e.predecessorEnd())
}

// loop loads the job records, and then handles the events one at a time. While it runs,
// only it may use the planner.
func (e *Executor) loop() error {
	defer close(e.done)
	if err := e.load(); err != nil {
		return err
	}
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	for e.stopErr == nil {
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case f := <-e.events:
			e.readClock()
			f()
			e.handleQueuedEvents()
		case s := <-e.submissions:
			e.readClock()
			e.handleSubmission(s)
			e.handleQueuedEvents()
		case <-timer.C:
			e.readClock()
		}
		e.advance()
		timer.Reset(e.nextWait())
	}
	return e.stopErr
}

func (e *Executor) handleEvents() {
	for range len(e.events) {
		f := <-e.events
		f()
	}
}

func (e *Executor) handleQueuedEvents() {
	e.handleEvents()
	for range len(e.submissions) {
		e.handleSubmission(<-e.submissions)
	}
}

// nextWait returns how long the loop may wait for an event before it calls advance.
func (e *Executor) nextWait() time.Duration {
	wait := min(maxIdleWait, e.plan.WakeAt().Sub(e.now))
	if e.held != nil {
		if due, ok := e.held.NextDue(); ok {
			wait = min(wait, due.Sub(e.now))
		}
	}
	if show := e.showCompletedAt(); e.showsCompletions && e.committing && e.now.Before(show) {
		wait = min(wait, show.Sub(e.now))
	}
	if _, next := e.plan.DueLooks(); !next.IsZero() {
		wait = min(wait, next.Sub(e.now))
	}
	return max(wait, 5*time.Millisecond)
}

// advance applies changed rules, admits pending submissions, plans and commits, and
// renews the workers' leases.
func (e *Executor) advance() {
	e.applyRules()
	e.admitPending()
	if !e.committing {
		if e.mayPlace() {
			e.plan.Plan()
		}
		e.commitBatch()
	}
	e.notifyCompleted()
	e.sendHolds()
	e.sendProofPolls()
	e.sendLooks()
	e.reportUsage()
}

// applyRules gives the planner the rules in force if they have changed.
func (e *Executor) applyRules() {
	if r := e.rules.Current(); r != nil && r.Digest != e.rulesDigest {
		e.rulesDigest = r.Digest
		e.plan.Configure(r)
	}
}

// mayPlace reports whether tasks may be placed: the registrations and the rules are
// fresh enough, and the role is confirmed, so that no other host is placing tasks.
func (e *Executor) mayPlace() bool {
	return e.roleConfirmed() && e.now.Before(e.placeBy())
}

// placeBy returns the time until which the registrations and the rules are fresh enough to
// place tasks.
func (e *Executor) placeBy() time.Time {
	readAt := e.registryReadAt
	if at := e.rules.ConfirmedAt(); at.Before(readAt) {
		readAt = at
	}
	return readAt.Add(e.leaveTime(freshFraction))
}

// leaveTime returns a fraction of the time within which a change of a worker must be
// followed.
func (e *Executor) leaveTime(fraction float64) time.Duration {
	return time.Duration(fraction * float64(min(e.bounds.LeaveWithinMS, shrinkWithinMS)) * float64(time.Millisecond))
}

// post queues an event for the loop and reports whether it did; it does not once the
// loop has ended.
func (e *Executor) post(f func()) bool {
	select {
	case e.events <- f:
		return true
	case <-e.done:
		return false
	}
}

// commitBatch commits the planner's decisions, and executes them after the commit. A
// batch that changes no records is executed at once.
func (e *Executor) commitBatch() {
	b := e.plan.TakeBatch()
	e.orderHeld(&b)
	waiters := e.commitWaiters
	ends, mark := e.uncommittedEnds(), e.uncommitted.Mark()
	if b.Empty() && len(waiters) == 0 && len(ends) == 0 {
		return
	}
	e.commitWaiters = nil
	if len(b.Records) == 0 && len(b.Removed) == 0 {
		e.uncommitted.Commit(mark)
		e.executeBatch(&b, waiters, ends)
		return
	}
	e.committing, e.commitStartedAt = true, e.now
	e.group.Go("commit", func() error {
		start := e.clock.Now()
		err := e.rec.Save(e.ctx, b.Records, b.Removed)
		e.meter.Observe("commit", outcomeLabel(err), e.clock.Now().Sub(start))
		if err != nil {
			return fmt.Errorf("commit the job records: %w", err)
		}
		revision := e.rec.Revision()
		e.post(func() {
			e.committing = false
			e.uncommitted.Commit(mark)
			e.plan.NoteCommitted(revision)
			e.executeBatch(&b, waiters, ends)
		})
		return nil
	})
}

// executeBatch publishes what a committed batch has changed, and sends its orders.
// ends holds the last run end of each worker that the commit covers.
func (e *Executor) executeBatch(b *yuccapaddle.Batch, waiters []chan struct{}, ends []appliedEnd) {
	for _, r := range b.Records {
		if r.Cancellation != nil {
			continue
		}
		e.committedJobs[r.ID] = committedJob{r.Report, r.Spec}
		if r.Report.State.Final() {
			delete(e.shownJobs, r.ID)
			e.notifyWatchers(r.ID)
		}
	}
	for _, r := range b.Removed { // the key of a cancellation is no ID of a job
		delete(e.committedJobs, r.ID)
	}
	for _, w := range waiters {
		close(w)
	}
	for i := range ends {
		ends[i].commit()
	}
	e.logDecisions(b)
	for i := range b.Stops {
		e.sendStop(b.Stops[i])
	}
	for i := range b.Starts {
		e.sendStart(b.Starts[i])
	}
	for i := range b.Paces {
		e.sendPace(b.Paces[i])
	}
	for i := range b.AdviceRequests {
		e.requestAdvice(b.AdviceRequests[i])
	}
}

func (e *Executor) logDecisions(b *yuccapaddle.Batch) {
	for i := range b.Decisions {
		d := &b.Decisions[i]
		e.meter.Count("decisions", d.Event, 1)
		if d.Event == planner.EventEnded {
			e.meter.Count("ends", causeLabel(d.Detail), 1)
		}
		e.log.Info(d.Event, zap.String("job", d.Job), zap.String("task", d.Task), zap.String("worker", d.Worker),
			zap.Int("run", d.Run), zap.String("detail", d.Detail), zap.Int64("rules", e.plan.Rules().Version),
			zap.Int64("listed_ms_ago", e.now.Sub(e.registryReadAt).Milliseconds()))
	}
}

// causeLabel returns the metric label for the cause of a run's end. Workers may send
// any text, so unknown causes become "other".
func causeLabel(cause string) string {
	switch c := yuccapaddle.EndCause(cause); c {
	case yuccapaddle.EndDone, yuccapaddle.EndFailed, yuccapaddle.EndStopped, yuccapaddle.EndLapsed, yuccapaddle.EndBroken, yuccapaddle.EndAlone:
		return cause
	}
	return "other"
}

// outcomeLabel returns the metric label for the result of a call.
func outcomeLabel(err error) string {
	var refusal *yuccapaddle.RefusalError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	}
	return "no answer"
}

// addCommitWaiter returns a channel that is closed after the next commit. It must be
// called on the loop.
func (e *Executor) addCommitWaiter() chan struct{} {
	w := make(chan struct{})
	e.commitWaiters = append(e.commitWaiters, w)
	return w
}
