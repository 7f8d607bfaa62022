// Package scheduler decides which gangs of tasks are placed, started and
// stopped. It is a state machine: it consumes events together with the current
// time and returns actions and journal records. It does no I/O, reads no clock
// and starts no goroutine. Records are applied to the in-memory state
// immediately; actions that depend on a record are emitted only after the
// record is committed.
package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/guarantor"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/mapper"
)

const (
	shortLeaseTTL          = 10 * time.Second
	longLeaseTTL           = 20 * time.Second
	shortLeaseMaxUpstreams = 64
	// leaseSkewMargin is the clock skew allowed for when a lease is taken to have
	// expired at an unreachable upstream.
	leaseSkewMargin        = time.Second
	launchTimeout          = 8 * time.Second // for all tasks of a gang to start
	messageTimeout         = 2 * time.Second // until a message to an upstream is refused as too late
	retryDelay             = 500 * time.Millisecond
	silenceTimeout         = 3 * time.Second // without an answer, until an upstream's gangs are stopped
	refusalCooldown        = 2 * time.Second // no placements on a worker that has refused a message
	failureCooldown        = 5 * time.Second // a request avoids workers on which it has failed
	purgeInterval          = 5 * time.Second
	verifyInterval         = time.Second
	unsettledQueryInterval = 2 * time.Second
	planInterval           = 10 * time.Millisecond // least time between plans of a queue longer than longQueueLen
	longQueueLen           = 64
	defaultEvictionGraceMS = 1500
)

// LeaseTTL returns the time after which a lease on workers expires unless it
// is renewed. It is longer with many upstreams, to lower the cost of renewals on
// the active host.
func LeaseTTL(upstreams int) time.Duration {
	if upstreams > shortLeaseMaxUpstreams {
		return longLeaseTTL
	}
	return shortLeaseTTL
}

// Scheduler holds the committed and the volatile scheduling state of the active
// host. It is not safe for concurrent use.
type Scheduler struct {
	state                *keeper.Keeper
	policy               yuccapaddle.Policy
	epoch                uint64
	now                  time.Time // the time passed to Handle
	cfg                  *yuccapaddle.Config
	topo                 *mapper.Mapper
	homes                []yuccapaddle.Home      // the cells assigned to the guarantees
	shortages            []string                // the guarantees for which there is no room
	gangs                map[string]*trackedGang // all placed gangs, by request key
	gangsByLease         map[string]*trackedGang // the same, by lease
	upstreams            map[string]*upstreamState
	conditions           map[string]yuccapaddle.WorkerCondition // as last reported, by worker
	usageChangedAt       map[string]time.Time                   // by worker: when a gang was last placed on it or removed from it
	cooldownUntil        map[string]time.Time                   // by worker, after a refusal
	strikes              map[string]map[string]bool             // by worker and request key; true once confirmed
	claims               map[string]*trackedGang                // gangs that wait for others to be evicted, by request key
	unsettledByLease     map[string]*trackedGang                // gangs whose outcome is unknown
	refusedUntil         map[string]time.Time                   // by request key: the latest AcceptBy of a refused submission
	nextUnsettledQueryAt time.Time
	nextPlanAt           time.Time
	nextMovePlanAt       time.Time
	permitUntil          time.Time // end of the permit to start tasks
	nextPurgeAt          time.Time
	nextVerifyAt         time.Time
	configuredAt         time.Time
	maxLeaseTTL          time.Duration // the longest lease that this host may have granted
	stalled              bool          // commits to the journal are not getting through
	committing           bool
	batch                []keeper.Record // records for the next batch
	batchCallbacks       []func()        // to be called once batch is committed
	inFlightCallbacks    []func()        // to be called once the batch being committed is
	actions              []yuccapaddle.Action
	needsPlan            bool
	needsHomes           bool // homes must be assigned again
}

// upstreamState is the volatile state of an upstream, as seen by this host.
type upstreamState struct {
	boot        string // incarnation of the upstream process
	reported    bool   // since this host became active
	silentSince time.Time
	leaving     bool
	listState   yuccapaddle.HostState // in the platform's host list
	timedOut    bool                  // silent for at least silenceTimeout: its gangs have been stopped
}

// New returns a Scheduler that continues from the state recovered from the
// journal. epoch is the fencing token of all its messages; it must be higher
// than that of every earlier Scheduler.
func New(state *keeper.Keeper, policy yuccapaddle.Policy, epoch uint64, now time.Time) *Scheduler {
	s := &Scheduler{
		state: state, policy: policy, epoch: epoch, now: now,
		gangs:            map[string]*trackedGang{},
		gangsByLease:     map[string]*trackedGang{},
		upstreams:        map[string]*upstreamState{},
		conditions:       map[string]yuccapaddle.WorkerCondition{},
		usageChangedAt:   map[string]time.Time{},
		cooldownUntil:    map[string]time.Time{},
		strikes:          map[string]map[string]bool{},
		claims:           map[string]*trackedGang{},
		unsettledByLease: map[string]*trackedGang{},
		refusedUntil:     map[string]time.Time{},
		nextPurgeAt:      now.Add(purgeInterval),
	}
	return s
}

// Handle processes events in order, plans if anything relevant has changed, and
// returns the actions to carry out now.
func (s *Scheduler) Handle(now time.Time, events ...yuccapaddle.Event) []yuccapaddle.Action {
	s.now = now
	for _, e := range events {
		s.handle(e)
	}
	if s.needsHomes {
		s.assignHomes()
	}
	if s.needsPlan && s.canPlan() && !s.now.Before(s.nextPlanAt) {
		s.needsPlan = false
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
	case yuccapaddle.StartsPermitted:
		s.permitUntil = e.Until
	case yuccapaddle.Committed:
		s.handleCommitted()
	case yuccapaddle.Stalled:
		s.stalled = e.Stalled
		s.needsPlan = true
	case yuccapaddle.Reserved:
		s.handleReserved(e)
	case yuccapaddle.Started:
		s.handleStarted(e)
	case yuccapaddle.Stopped:
		s.handleStopped(e)
	case yuccapaddle.Reported:
		s.handleReport(e)
	case yuccapaddle.SyncFailed:
		s.handleSyncFailure(e.Upstream)
	case yuccapaddle.HostsListed:
		s.handleHostList(e.Hosts)
	case yuccapaddle.Ticked:
		s.tick()
	}
}

// TakeBatch returns the records to commit; nil if there is nothing to commit or
// the previous batch is still being committed. The caller reports the commit with
// a Committed event.
func (s *Scheduler) TakeBatch() []keeper.Record {
	if s.committing || (len(s.batch) == 0 && len(s.batchCallbacks) == 0) {
		return nil
	}
	out := s.batch
	s.batch = nil
	s.inFlightCallbacks, s.batchCallbacks = s.batchCallbacks, nil
	s.committing = true
	return out
}

// HasPending reports whether TakeBatch would return records.
func (s *Scheduler) HasPending() bool {
	return !s.committing && len(s.batch) > 0
}

func (s *Scheduler) handleCommitted() {
	callbacks := s.inFlightCallbacks
	s.inFlightCallbacks, s.committing = nil, false
	for _, callback := range callbacks {
		callback()
	}
}

// propose applies a record to the in-memory state and adds it to the next
// batch.
func (s *Scheduler) propose(r keeper.Record) {
	if err := s.state.Apply(r); err != nil {
		s.emit(yuccapaddle.InvariantViolation{Err: err})
		return
	}
	s.batch = append(s.batch, r)
}

// onCommit calls callback once all records proposed so far are committed; at
// once if they already are.
func (s *Scheduler) onCommit(callback func()) {
	switch {
	case len(s.batch) > 0:
		s.batchCallbacks = append(s.batchCallbacks, callback)
	case s.committing:
		s.inFlightCallbacks = append(s.inFlightCallbacks, callback)
	default:
		callback()
	}
}

// emit adds an action to those that Handle returns.
func (s *Scheduler) emit(a yuccapaddle.Action) {
	s.actions = append(s.actions, a)
}

func (s *Scheduler) configure(cfg *yuccapaddle.Config) {
	if s.cfg != nil && cfg.Revision <= s.cfg.Revision {
		return // never return to an older revision
	}
	first := s.cfg == nil
	s.cfg, s.configuredAt = cfg, s.now
	s.topo = mapper.New(&cfg.Site)
	s.maxLeaseTTL = max(s.maxLeaseTTL, LeaseTTL(len(s.topo.Upstreams())))
	for _, name := range s.topo.Upstreams() {
		if s.upstreams[name] == nil {
			s.upstreams[name] = &upstreamState{}
		}
	}
	s.needsHomes, s.needsPlan = true, true
	if first {
		s.recover()
	}
	for _, key := range s.state.GangKeys() {
		if g := s.state.Gang(key); s.topo.DomainOut(g.Domain) {
			s.evict(g, "failure domain "+g.Domain+" was taken out")
		}
	}
}

// assignHomes assigns the cells of all guarantees, on available workers only.
func (s *Scheduler) assignHomes() {
	s.needsHomes = false
	if s.cfg == nil {
		return
	}
	available := func(w string) bool { return s.topo.Accepts(w) && !s.unavailable(w) }
	s.homes, s.shortages = guarantor.New(&s.cfg.Site, s.topo).Assign(available, s.homes)
}

// unavailable reports whether a worker cannot hold cells of a guarantee: its
// upstream has timed out, it is down, or it is quarantined. Unlike usable, it
// tolerates short silences, cooldowns, and workers that are about to leave.
func (s *Scheduler) unavailable(worker string) bool {
	u := s.upstreams[s.topo.UpstreamOf(worker)]
	silent := u != nil && !u.silentSince.IsZero() && s.now.Sub(u.silentSince) >= silenceTimeout
	return silent || s.conditions[worker].Down || s.state.QuarantinedUntil(worker).After(s.now)
}

// usable reports whether new work may be placed on a worker now.
func (s *Scheduler) usable(worker string) bool {
	u := s.upstreams[s.topo.UpstreamOf(worker)]
	if u == nil || !u.reported || !u.silentSince.IsZero() || u.leaving || u.listState == yuccapaddle.HostLeaving {
		return false
	}
	c := s.conditions[worker]
	if c.Down || c.Leaving || s.cooldownUntil[worker].After(s.now) {
		return false
	}
	return s.topo.Accepts(worker) && !s.state.QuarantinedUntil(worker).After(s.now)
}

// canPlan reports whether placements may be made now: commits get through, and the
// configuration is known to be current.
func (s *Scheduler) canPlan() bool {
	return s.cfg != nil && !s.stalled && s.permitUntil.After(s.now)
}

func (s *Scheduler) evictionGrace() time.Duration {
	ms := s.cfg.Site.Limits.EvictionGraceMS
	if ms <= 0 {
		ms = defaultEvictionGraceMS
	}
	return time.Duration(ms) * time.Millisecond
}

// Homes returns the cells assigned to the guarantees, and a description of each
// guarantee for which there is no room.
func (s *Scheduler) Homes() ([]yuccapaddle.Home, []string) {
	return s.homes, s.shortages
}

// State returns the scheduling state, including records that are not committed
// yet. The caller must not change it.
func (s *Scheduler) State() *keeper.Keeper {
	return s.state
}

// Epoch returns the fencing token of the Scheduler's messages.
func (s *Scheduler) Epoch() uint64 {
	return s.epoch
}
