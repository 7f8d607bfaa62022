// Package scheduler is the decision core. It takes events and the time, and
// gives back actions and journal records; it does no I/O, reads no clock and
// starts no goroutine. Records are applied to its own state at once, but what
// depends on them is done only after they are committed.
package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/guarantor"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/mapper"
)

const (
	leaseShort    = 10 * time.Second
	leaseLong     = 20 * time.Second
	manyUpstreams = 64
	// lapseMargin allows for clocks that run apart.
	lapseMargin    = time.Second
	launchTime     = 8 * time.Second
	messageTime    = 2 * time.Second
	retryTime      = 500 * time.Millisecond
	silenceTime    = 3 * time.Second
	coolTime       = 2 * time.Second
	avoidTime      = 5 * time.Second
	purgeInterval  = 5 * time.Second
	verifyInterval = time.Second
	probeInterval  = 2 * time.Second
	planInterval   = 10 * time.Millisecond // between two plans of a long queue
	longQueue      = 64
	defaultGraceMS = 1500
)

// LeaseTime is how long a lease on a worker lives without renewal. With many
// upstreams it is longer, so that the active host can renew less often and
// spends less on it.
func LeaseTime(upstreams int) time.Duration {
	if upstreams > manyUpstreams {
		return leaseLong
	}
	return leaseShort
}

// Scheduler is the core of the active host. It is not safe for concurrent use.
type Scheduler struct {
	state      *keeper.Keeper
	policy     yuccapaddle.Policy
	epoch      uint64
	now        time.Time
	cfg        *yuccapaddle.Config
	topo       *mapper.Mapper
	homes      []yuccapaddle.Home
	shortages  []string
	live       map[string]*liveGang
	leases     map[string]*liveGang
	upstreams  map[string]*upstreamLive
	conditions map[string]yuccapaddle.WorkerCondition
	touched    map[string]time.Time // by worker: when a gang was last put on it or taken off
	cooling    map[string]time.Time
	strikes    map[string]map[string]bool
	claims     map[string]*liveGang
	unsettled  map[string]*liveGang // by lease
	refused    map[string]time.Time // by request: copies taken in earlier have to be accepted by then
	probeAt    time.Time
	planAt     time.Time
	moveAt     time.Time
	permit     time.Time
	purgeAt    time.Time
	verifyAt   time.Time
	configAt   time.Time
	lease      time.Duration // the longest that may have been granted by this host
	stalled    bool
	committing bool
	batch      []keeper.Record
	after      []func()
	inFlight   []func()
	actions    []yuccapaddle.Action
	dirty      bool
	rehome     bool
}

// upstreamLive is what is known of an upstream at this moment.
type upstreamLive struct {
	boot        string
	heard       bool
	silentSince time.Time
	leaving     bool
	listed      yuccapaddle.HostState
	gone        bool // silent for so long that its gangs were stopped
}

// New returns a core that goes on from a recovered state. epoch is the fencing
// token of all its messages; it is higher than that of every earlier core.
func New(state *keeper.Keeper, policy yuccapaddle.Policy, epoch uint64, now time.Time) *Scheduler {
	s := &Scheduler{
		state: state, policy: policy, epoch: epoch, now: now,
		live:       map[string]*liveGang{},
		leases:     map[string]*liveGang{},
		upstreams:  map[string]*upstreamLive{},
		conditions: map[string]yuccapaddle.WorkerCondition{},
		touched:    map[string]time.Time{},
		cooling:    map[string]time.Time{},
		strikes:    map[string]map[string]bool{},
		claims:     map[string]*liveGang{},
		unsettled:  map[string]*liveGang{},
		refused:    map[string]time.Time{},
		purgeAt:    now.Add(purgeInterval),
	}
	return s
}

// Handle takes events in order and returns the actions to do now.
func (s *Scheduler) Handle(now time.Time, events ...yuccapaddle.Event) []yuccapaddle.Action {
	s.now = now
	for _, e := range events {
		s.handle(e)
	}
	if s.rehome {
		s.assignHomes()
	}
	if s.dirty && s.canPlan() && !s.now.Before(s.planAt) {
		s.dirty = false
		s.advanceClaims()
		s.plan()
	}
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) handle(e yuccapaddle.Event) {
	switch e := e.(type) {
	case yuccapaddle.Submitted:
		s.submit(e)
	case yuccapaddle.Cancelled:
		s.cancel(e)
	case yuccapaddle.Configured:
		s.configure(e.Config)
	case yuccapaddle.Permitted:
		s.permit = e.Until
	case yuccapaddle.Committed:
		s.committed()
	case yuccapaddle.Stalled:
		s.stalled = e.Stalled
		s.dirty = true
	case yuccapaddle.Reserved:
		s.reserved(e)
	case yuccapaddle.Started:
		s.started(e)
	case yuccapaddle.Stopped:
		s.stopped(e)
	case yuccapaddle.Reported:
		s.reported(e)
	case yuccapaddle.Silent:
		s.silent(e.Upstream)
	case yuccapaddle.Listed:
		s.listed(e.Hosts)
	case yuccapaddle.Ticked:
		s.tick()
	}
}

// TakeBatch hands over the records to commit, nil if there are none or a batch
// is on its way. The caller answers with Committed.
func (s *Scheduler) TakeBatch() []keeper.Record {
	if s.committing || (len(s.batch) == 0 && len(s.after) == 0) {
		return nil
	}
	out := s.batch
	s.batch = nil
	s.inFlight, s.after = s.after, nil
	s.committing = true
	return out
}

// Pending reports whether there are records to commit.
func (s *Scheduler) Pending() bool {
	return !s.committing && len(s.batch) > 0
}

func (s *Scheduler) committed() {
	steps := s.inFlight
	s.inFlight, s.committing = nil, false
	for _, step := range steps {
		step()
	}
}

// propose applies a record and puts it into the batch.
func (s *Scheduler) propose(r keeper.Record) {
	if err := s.state.Apply(r); err != nil {
		s.do(yuccapaddle.Broken{Err: err})
		return
	}
	s.batch = append(s.batch, r)
}

// onCommit runs the step once all records proposed so far are committed.
func (s *Scheduler) onCommit(step func()) {
	switch {
	case len(s.batch) > 0:
		s.after = append(s.after, step)
	case s.committing:
		s.inFlight = append(s.inFlight, step)
	default:
		step()
	}
}

func (s *Scheduler) do(a yuccapaddle.Action) {
	s.actions = append(s.actions, a)
}

func (s *Scheduler) configure(cfg *yuccapaddle.Config) {
	if s.cfg != nil && cfg.Revision <= s.cfg.Revision {
		return // never go back to an older revision
	}
	first := s.cfg == nil
	s.cfg, s.configAt = cfg, s.now
	s.topo = mapper.New(&cfg.Site)
	s.lease = max(s.lease, LeaseTime(len(s.topo.Upstreams())))
	for _, name := range s.topo.Upstreams() {
		if s.upstreams[name] == nil {
			s.upstreams[name] = &upstreamLive{}
		}
	}
	s.rehome, s.dirty = true, true
	if first {
		s.recover()
	}
	for _, key := range s.state.GangKeys() {
		if g := s.state.Gang(key); s.topo.Out(g.Domain) {
			s.evict(g, "failure domain "+g.Domain+" was taken out")
		}
	}
}

// assignHomes binds the guarantees to workers that can be used now.
func (s *Scheduler) assignHomes() {
	s.rehome = false
	if s.cfg == nil {
		return
	}
	keep := func(w string) bool { return s.topo.Accepts(w) && !s.lost(w) }
	s.homes, s.shortages = guarantor.New(&s.cfg.Site, s.topo).Assign(keep, s.homes)
}

// lost reports whether a worker is known to be down.
func (s *Scheduler) lost(worker string) bool {
	u := s.upstreams[s.topo.UpstreamOf(worker)]
	gone := u != nil && !u.silentSince.IsZero() && s.now.Sub(u.silentSince) >= silenceTime
	return gone || s.conditions[worker].Down || s.state.Quarantined(worker).After(s.now)
}

// usable reports whether a worker may get new work now.
func (s *Scheduler) usable(worker string) bool {
	u := s.upstreams[s.topo.UpstreamOf(worker)]
	if u == nil || !u.heard || !u.silentSince.IsZero() || u.leaving || u.listed == yuccapaddle.HostLeaving {
		return false
	}
	c := s.conditions[worker]
	if c.Down || c.Leaving || s.cooling[worker].After(s.now) {
		return false
	}
	return s.topo.Accepts(worker) && !s.state.Quarantined(worker).After(s.now)
}

func (s *Scheduler) canPlan() bool {
	return s.cfg != nil && !s.stalled && s.permit.After(s.now)
}

func (s *Scheduler) grace() time.Duration {
	ms := s.cfg.Site.Limits.EvictionGraceMS
	if ms <= 0 {
		ms = defaultGraceMS
	}
	return time.Duration(ms) * time.Millisecond
}

// Homes returns the cells of all guarantees and the guarantees without room.
func (s *Scheduler) Homes() ([]yuccapaddle.Home, []string) {
	return s.homes, s.shortages
}

// State returns the state including records that are not committed yet. It is
// not to be changed.
func (s *Scheduler) State() *keeper.Keeper {
	return s.state
}

// Epoch is the fencing token of the core's messages.
func (s *Scheduler) Epoch() uint64 {
	return s.epoch
}
