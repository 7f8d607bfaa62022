// Package driver runs the scheduler while its host is active: it passes events to the
// scheduler, commits its records to the journal in batches and executes its actions.
package driver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"yuccapaddle"
	"yuccapaddle/internal/journaler"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/scheduler"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/supervisor"
)

const (
	tickInterval  = 100 * time.Millisecond
	stallAfter    = time.Second
	commitRate    = 20 // commits per second, sustained
	commitBurst   = 10
	eventBuffer   = 4096
	maxEventBatch = 1024
	closeTimeout  = 3 * time.Second
)

// ErrInactive means that this host is not the active one, or stopped being it while
// the call was under way. The call may have taken effect.
var ErrInactive = errors.New("this host is not the active one")

// Driver runs the scheduler of the active host. Its exported methods are safe for
// concurrent use.
type Driver struct {
	store       yuccapaddle.Store
	worker      yuccapaddle.GangWorker
	policy      yuccapaddle.Policy
	writer      string
	log         *zap.Logger
	journal     *journaler.Journaler
	scheduler   *scheduler.Scheduler
	committed   *keeper.Keeper
	config      func() *yuccapaddle.Config
	renewPermit func(ctx context.Context) (time.Time, error)

	group         *supervisor.Supervisor
	events        chan yuccapaddle.Event
	calls         chan func()   // functions to run in the loop
	commits       chan commit   // to commitLoop
	results       chan commit   // from commitLoop
	done          chan struct{} // closed when the loop has ended
	closeDone     func()
	running       atomic.Bool
	upstreams     atomic.Int64 // number of declared upstreams
	closing       atomic.Bool  // no new requests are taken
	lastTicket    uint64
	replies       map[uint64]chan yuccapaddle.Outcome   // callers of Submit and Cancel, by ticket
	waiters       map[string][]chan yuccapaddle.Outcome // callers of Await, by request key
	announced     map[string]yuccapaddle.Outcome        // outcomes announced before they are committed, by request key
	cancelSync    map[string]context.CancelFunc         // ends an upstream's sync loop
	commitSentAt  time.Time                             // when the commit in flight was sent, zero if none is
	journalSeq    uint64                                // last entry known to be committed
	stalled       bool
	commitLimiter *rate.Limiter
	counters      counters
}

// commit is a batch of records or a snapshot, on its way to commitLoop or back.
type commit struct {
	records     []keeper.Record
	snapshot    []byte // if set, a snapshot to write instead of records
	snapshotDue bool   // set with the result
	seq         uint64 // set with the result: the journal's last entry
}

// counters holds totals since the host became active.
type counters struct {
	Events, Records, Commits, Actions uint64
}

// Option configures a Driver.
type Option func(*Driver)

// WithPolicy replaces the default placement policy, which is a placer.Placer.
func WithPolicy(p yuccapaddle.Policy) Option {
	return func(d *Driver) { d.policy = p }
}

// New returns a Driver. writer identifies this process in the journal, config returns
// the configuration in force on this host, nil if there is none, and renewPermit renews
// the permit to start tasks and returns its end.
func New(store yuccapaddle.Store, worker yuccapaddle.GangWorker, writer string, log *zap.Logger,
	config func() *yuccapaddle.Config, renewPermit func(ctx context.Context) (time.Time, error), opts ...Option,
) *Driver {
	d := &Driver{
		store: store, worker: worker, writer: writer, log: log, config: config, renewPermit: renewPermit,
		policy:        defaultPolicy(),
		journal:       journaler.New(store, writer),
		events:        make(chan yuccapaddle.Event, eventBuffer),
		calls:         make(chan func()),
		commits:       make(chan commit, 1),
		results:       make(chan commit, 1),
		done:          make(chan struct{}),
		replies:       map[uint64]chan yuccapaddle.Outcome{},
		waiters:       map[string][]chan yuccapaddle.Outcome{},
		announced:     map[string]yuccapaddle.Outcome{},
		cancelSync:    map[string]context.CancelFunc{},
		commitLimiter: rate.NewLimiter(commitRate, commitBurst),
	}
	d.closeDone = sync.OnceFunc(func() { close(d.done) })
	for _, o := range opts {
		o(d)
	}
	return d
}

// Run opens the journal and runs the scheduler until the context ends or another host
// takes over; it returns nil then. Any other error, such as a broken invariant, is
// returned.
func (d *Driver) Run(ctx context.Context) error {
	defer d.closeDone()
	state, err := d.open(ctx)
	if err != nil {
		return nil // the context ended first
	}
	d.committed = state
	d.journalSeq = d.journal.Seq()
	uncommitted, err := d.copyState(state)
	if err != nil {
		return err
	}
	requests, gangs := state.Counts()
	d.log.Info("journal opened", zap.Uint64("revision", d.journal.Seq()), zap.Int("jobs", requests), zap.Int("gangs", gangs))
	d.scheduler = scheduler.New(uncommitted, d.policy, d.journal.Seq(), time.Now())
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := supervisor.New(runCtx, d.log)
	d.group = group
	group.Go("commits", func() error { return d.commitLoop(groupCtx) })
	group.Go("permits", func() error { return d.permitLoop(groupCtx) })
	group.Go("decisions", func() error {
		defer cancel()
		defer d.closeDone() // unblocks callers that wait for the loop
		return d.loop(groupCtx)
	})
	d.running.Store(true)
	if cfg := d.config(); cfg != nil {
		d.Configure(cfg)
	}
	err = group.Wait()
	d.running.Store(false)
	if errors.Is(err, journaler.ErrDeposed) || errors.Is(err, context.Canceled) {
		d.log.Warn("stepping down", zap.Error(err))
		return nil
	}
	return err
}

// open opens the journal; it retries until the context ends.
func (d *Driver) open(ctx context.Context) (*keeper.Keeper, error) {
	for {
		state, err := d.journal.Open(ctx)
		if err == nil {
			return state, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		d.log.Warn("opening the journal failed; retrying", zap.Error(err))
		if err := sleeper.Sleep(ctx, stallAfter); err != nil {
			return nil, err
		}
	}
}

// copyState returns a deep copy of the state.
func (d *Driver) copyState(k *keeper.Keeper) (*keeper.Keeper, error) {
	data, err := k.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("copy the state: %w", err)
	}
	out := keeper.New()
	return out, out.Restore(data)
}

// loop handles all events, calls and results of commits. It owns the scheduler and all
// state of the Driver that is not synchronized otherwise.
func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(sleeper.TimerDuration(0))
	defer wake.Stop()
	for {
		batch := make([]yuccapaddle.Event, 0, 8)
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			batch = d.drainEvents(append(batch, e))
		case f := <-d.calls:
			f()
		case c := <-d.results:
			if err := d.handleCommitted(c); err != nil {
				return err
			}
			batch = append(batch, yuccapaddle.Committed{})
		case <-ticker.C:
			batch = append(batch, d.checkStall(), yuccapaddle.Ticked{})
		case <-wake.C:
		}
		if err := d.handleEvents(ctx, batch); err != nil {
			return err
		}
		if wait := d.sendBatch(); wait > 0 {
			wake.Reset(wait)
		}
	}
}

// drainEvents adds the events that are already queued, up to maxEventBatch.
func (d *Driver) drainEvents(batch []yuccapaddle.Event) []yuccapaddle.Event {
	for len(batch) < maxEventBatch {
		select {
		case e := <-d.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// handleEvents passes events to the scheduler and executes the actions that it returns.
func (d *Driver) handleEvents(ctx context.Context, batch []yuccapaddle.Event) error {
	d.counters.Events += uint64(len(batch))
	for _, e := range batch {
		if c, ok := e.(yuccapaddle.Configured); ok {
			d.updateSyncLoops(ctx, c.Config)
		}
	}
	for _, a := range d.scheduler.Handle(time.Now(), batch...) {
		d.counters.Actions++
		if err := d.act(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// checkStall updates stalled, which is true if a commit takes longer than stallAfter,
// and returns the event that tells the scheduler.
func (d *Driver) checkStall() yuccapaddle.Event {
	d.stalled = !d.commitSentAt.IsZero() && time.Since(d.commitSentAt) > stallAfter
	return yuccapaddle.Stalled{Stalled: d.stalled}
}

// permitLoop renews the permit to start tasks and posts its end to the loop.
func (d *Driver) permitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		until, err := d.renewPermit(ctx)
		pause := permitInterval
		if err == nil {
			d.post(yuccapaddle.StartsPermitted{Until: until})
		} else {
			pause = permitRetryInterval
		}
		_ = sleeper.Sleep(ctx, pause)
	}
	return nil
}
