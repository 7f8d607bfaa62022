// Package driver runs the decision core while its host is active: it feeds the
// core with events, commits its records in batches and carries out its actions.
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
	"yuccapaddle/internal/guarder"
	"yuccapaddle/internal/journaler"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/scheduler"
	"yuccapaddle/internal/sleeper"
)

const (
	tickEvery    = 100 * time.Millisecond
	stallAfter   = time.Second
	commitRate   = 20 // commits a second in the long run
	commitBurst  = 10
	eventBuffer  = 4096
	eventsAtOnce = 1024
	closeTime    = 3 * time.Second
)

// ErrInactive means that this host is not, or no longer, the active one. What
// was asked may have been done by then.
var ErrInactive = errors.New("this host is not the active one")

// Driver is the active host's engine. Its methods are safe for concurrent use.
type Driver struct {
	store     yuccapaddle.Store
	worker    yuccapaddle.GangWorker
	policy    yuccapaddle.Policy
	writer    string
	log       *zap.Logger
	journal   *journaler.Journaler
	core      *scheduler.Scheduler
	committed *keeper.Keeper
	config    func() *yuccapaddle.Config
	permitOf  func(ctx context.Context) (time.Time, error)

	group     *guarder.Guarder
	events    chan yuccapaddle.Event
	calls     chan func()
	commits   chan commit
	results   chan commit
	done      chan struct{}
	finish    func()
	running   atomic.Bool
	upstreams atomic.Int64
	closing   atomic.Bool
	tickets   uint64
	replies   map[uint64]chan yuccapaddle.Outcome
	waiters   map[string][]chan yuccapaddle.Outcome
	early     map[string]yuccapaddle.Outcome
	syncing   map[string]context.CancelFunc
	sentAt    time.Time
	seq       uint64
	stalled   bool
	limit     *rate.Limiter
	counters  Counters
}

// commit is a batch on its way to the journal and back.
type commit struct {
	records  []keeper.Record
	snapshot []byte
	due      bool
	seq      uint64
}

// Counters are totals since the host became active.
type Counters struct {
	Events, Records, Commits, Actions uint64
}

// Option changes a Driver under construction.
type Option func(*Driver)

// WithPolicy replaces the placement policy.
func WithPolicy(p yuccapaddle.Policy) Option {
	return func(d *Driver) { d.policy = p }
}

// New returns a Driver. config returns the configuration in force at this host
// and permit renews the permit to start tasks.
func New(store yuccapaddle.Store, worker yuccapaddle.GangWorker, writer string, log *zap.Logger,
	config func() *yuccapaddle.Config, permit func(ctx context.Context) (time.Time, error), opts ...Option,
) *Driver {
	d := &Driver{
		store: store, worker: worker, writer: writer, log: log, config: config, permitOf: permit,
		policy:  defaultPolicy(),
		journal: journaler.New(store, writer),
		events:  make(chan yuccapaddle.Event, eventBuffer),
		calls:   make(chan func()),
		commits: make(chan commit, 1),
		results: make(chan commit, 1),
		done:    make(chan struct{}),
		replies: map[uint64]chan yuccapaddle.Outcome{},
		waiters: map[string][]chan yuccapaddle.Outcome{},
		early:   map[string]yuccapaddle.Outcome{},
		syncing: map[string]context.CancelFunc{},
		limit:   rate.NewLimiter(commitRate, commitBurst),
	}
	d.finish = sync.OnceFunc(func() { close(d.done) })
	for _, o := range opts {
		o(d)
	}
	return d
}

// Run opens the journal and works until the context ends or another host takes
// over. It returns an error only for a broken invariant.
func (d *Driver) Run(ctx context.Context) error {
	defer d.finish()
	state, err := d.open(ctx)
	if err != nil {
		return nil // the context ended first
	}
	d.committed = state
	d.seq = d.journal.Seq()
	speculative, err := d.copyState(state)
	if err != nil {
		return err
	}
	jobs, gangs := state.Len()
	d.log.Info("journal opened", zap.Uint64("revision", d.journal.Seq()), zap.Int("jobs", jobs), zap.Int("gangs", gangs))
	d.core = scheduler.New(speculative, d.policy, d.journal.Seq(), time.Now())
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := guarder.New(runCtx, d.log)
	d.group = group
	group.Go("commits", func() error { return d.commitLoop(groupCtx) })
	group.Go("permits", func() error { return d.permitLoop(groupCtx) })
	group.Go("decisions", func() error {
		defer cancel()
		defer d.finish() // whoever waits for the loop has to learn of its end
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

func (d *Driver) open(ctx context.Context) (*keeper.Keeper, error) {
	for {
		state, err := d.journal.Open(ctx)
		if err == nil {
			return state, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		d.log.Warn("the journal cannot be opened yet", zap.Error(err))
		if err := sleeper.Sleep(ctx, stallAfter); err != nil {
			return nil, err
		}
	}
}

func (d *Driver) copyState(k *keeper.Keeper) (*keeper.Keeper, error) {
	data, err := k.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("copy the state: %w", err)
	}
	out := keeper.New()
	return out, out.Restore(data)
}

// loop owns the core: all events, calls and commit results pass through it.
func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	wake := time.NewTimer(sleeper.Ahead(0))
	defer wake.Stop()
	for {
		batch := make([]yuccapaddle.Event, 0, 8)
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			batch = d.drain(append(batch, e))
		case f := <-d.calls:
			f()
		case c := <-d.results:
			if err := d.landed(c); err != nil {
				return err
			}
			batch = append(batch, yuccapaddle.Committed{})
		case <-ticker.C:
			batch = append(batch, d.stallEvent(), yuccapaddle.Ticked{})
		case <-wake.C:
		}
		if err := d.step(ctx, batch); err != nil {
			return err
		}
		if wait := d.tryCommit(); wait > 0 {
			wake.Reset(wait)
		}
	}
}

func (d *Driver) drain(batch []yuccapaddle.Event) []yuccapaddle.Event {
	for len(batch) < eventsAtOnce {
		select {
		case e := <-d.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

func (d *Driver) step(ctx context.Context, batch []yuccapaddle.Event) error {
	d.counters.Events += uint64(len(batch))
	for _, e := range batch {
		if c, ok := e.(yuccapaddle.Configured); ok {
			d.follow(ctx, c.Config)
		}
	}
	for _, a := range d.core.Handle(time.Now(), batch...) {
		d.counters.Actions++
		if err := d.act(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) stallEvent() yuccapaddle.Event {
	d.stalled = !d.sentAt.IsZero() && time.Since(d.sentAt) > stallAfter
	return yuccapaddle.Stalled{Stalled: d.stalled}
}

func (d *Driver) permitLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		until, err := d.permitOf(ctx)
		pause := permitEvery
		if err == nil {
			d.post(yuccapaddle.Permitted{Until: until})
		} else {
			pause = permitRetry
		}
		_ = sleeper.Sleep(ctx, pause)
	}
	return nil
}
