// Package elector elects the active host: it follows the current one, and claims the
// role for this host if there is none. The lease on the lock key only keeps hosts from
// competing. Safety does not depend on it: every commit is conditional on the one
// before it, and workers reject orders with an older fencing token.
package elector

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/registrar"
	"yuccapaddle/internal/rulefetcher"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/rulesender"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/voter"
)

// lockKey is the ledger key whose value is the address of the active host.
const lockKey = "yp/lock"

// Timing of the lease and of the search for an active host.
const (
	// defaultLeaseTTL is short, so that a failed host is replaced well before the
	// workers' leases expire. That is affordable: a renewal costs the ledger a tenth of
	// a read.
	defaultLeaseTTL = 900 * time.Millisecond
	callTimeout     = 700 * time.Millisecond
	// relockTimeout bounds the calls that set the lock again.
	relockTimeout  = 2 * callTimeout
	searchInterval = 150 * time.Millisecond
	// firstRanksSearchInterval is the searchInterval of the hosts that should claim first.
	firstRanksSearchInterval = 30 * time.Millisecond
	// minHeartbeatTimeout is how long a follower waits at least for a heartbeat before
	// it considers the active host lost.
	minHeartbeatTimeout = 700 * time.Millisecond
	dialTimeout         = 300 * time.Millisecond
	// fullCoreClaimDelay is how long a host with a full CPU core waits before it claims
	// the role. A smaller share of a core makes the delay longer, up to maxClaimDelay.
	fullCoreClaimDelay = 20 * time.Millisecond
	maxClaimDelay      = 200 * time.Millisecond
	// claimDelayPerRank is longer than firstRanksSearchInterval and a claim on a fast
	// ledger, so that hosts seldom compete. maxRankSteps bounds the delay of the last ranks, which
	// is longer than the first ones may dial a former host that does not answer.
	claimDelayPerRank = 60 * time.Millisecond
	maxRankSteps      = 10
	minCPUShare       = 0.01
	// A host whose connections are refused has its lease ended at once if it has been followed
	// for minFollowed, and otherwise once it has refused them for minRefused.
	minFollowed = 5 * time.Second
	minRefused  = 20 * time.Second
	// renewalValidity is how long after it renewed its own lease the active host may
	// renew the workers' leases. peerConfirmValidity is the same after half of the other
	// hosts answered that they know of no later active host.
	renewalValidity     = 2400 * time.Millisecond
	peerConfirmValidity = 2 * time.Second
	// defaultLongestOutageMS is in milliseconds, see WithLongestOutage.
	defaultLongestOutageMS = 30_000
)

// buildFunc creates the executor when this host becomes active, and a function that runs
// in the background while it is.
type buildFunc = func(rec *recorder.Recorder) (exec *executor.Executor, background func(ctx context.Context) error)

// Elector follows the active host or is the active host itself. All methods but Run
// are safe for concurrent use.
type Elector struct {
	ledger   yuccapaddle.Ledger
	rules    *rulekeeper.RuleKeeper
	sender   *rulesender.RuleSender
	fetcher  *rulefetcher.RuleFetcher
	conns    *connector.Connector
	build    buildFunc
	log      *zap.Logger
	clock    yuccapaddle.Clock
	host     string
	address  string
	nonce    string
	leaseTTL time.Duration
	cpuShare float64

	localExecutor atomic.Pointer[executor.Executor]
	leader        atomic.Pointer[leader]
	resigned      atomic.Bool
	handedOver    atomic.Bool   // whether the role was last handed over to another host
	heldLease     atomic.Uint64 // the ledger's lease on the lock key, while this host is active
	fetchingRules atomic.Bool   // rules are being fetched from another host
	rank          atomic.Int64  // place in the order of claims, from the latest heartbeat, 0 if unknown
	// renewedAt is when the lease was last renewed, peersConfirmedAt when a majority of the
	// hosts last knew of no later active host, and provenAt when certainly no host had claimed
	// the role, all as UnixNano of clock.
	renewedAt        atomic.Int64
	peersConfirmedAt atomic.Int64
	provenAt         atomic.Int64
	longestOutageMS  int64

	hosts       *hostTable
	voter       *voter.Voter
	registrar   *registrar.Registrar
	predecessor predecessor
	// lastLeader is the address of the host that this one followed last, from followedFrom to
	// followedTo, and refuser the holder of the lock that has refused connections since
	// refusedFrom. claims counts the claims of this process. Only Run uses these.
	lastLeader   string
	followedFrom time.Time
	followedTo   time.Time
	refuser      string
	refusedFrom  time.Time
	claims       int

	mu          sync.Mutex
	stopLeading context.CancelFunc // ends the active role, if this host has it
	pending     map[string]int64   // jobs that have not started, by queue
}

var _ yuccapaddle.Role = (*Elector)(nil)

// leader is the host that this one believes to be active.
type leader struct {
	address    string
	epoch      uint64
	validUntil time.Time // when the next heartbeat is overdue
}

// Option changes an Elector under construction.
type Option func(*Elector)

// WithCPUShare sets the share of a CPU core that this host has. The smaller it is, the
// longer the host waits before it claims the role, so that faster hosts come first.
func WithCPUShare(cpuShare float64) Option {
	return func(e *Elector) { e.cpuShare = cpuShare }
}

// WithLongestOutage sets the longest outage of the ledger, in milliseconds, through which the
// active host stays confirmed by a majority of the hosts if others are lost. A host that takes
// over from one that it cannot reach, and whom less than half of the hosts follow, waits as
// long before it gives up the runs of workers that it cannot reach.
func WithLongestOutage(ms int64) Option {
	return func(e *Elector) { e.longestOutageMS = ms }
}

// New returns an Elector for a host that others reach at address. nonce differs
// for every process; minLeaseTTL is the shortest lease that the ledger grants.
func New(ledger yuccapaddle.Ledger, rules *rulekeeper.RuleKeeper, conns *connector.Connector, host, address, nonce string,
	minLeaseTTL time.Duration, build buildFunc, clock yuccapaddle.Clock, log *zap.Logger, opts ...Option,
) *Elector {
	e := &Elector{
		ledger: ledger, rules: rules, sender: rulesender.New(rules, clock), fetcher: rulefetcher.New(rules, address), conns: conns, build: build, clock: clock, log: log, host: host, address: address, nonce: nonce,
		leaseTTL: max(defaultLeaseTTL, minLeaseTTL), hosts: newHostTable(address, clock), cpuShare: 1,
		voter: voter.New(), registrar: registrar.New(address), longestOutageMS: defaultLongestOutageMS,
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// LocalExecutor returns the executor while this host is active, and nil otherwise.
func (e *Elector) LocalExecutor() *executor.Executor {
	return e.localExecutor.Load()
}

// Active reports whether this host is active.
func (e *Elector) Active() bool {
	return e.localExecutor.Load() != nil
}

// Leader returns the address of the active host, and false if that is this host or
// not known.
func (e *Elector) Leader() (address string, ok bool) {
	address, _, ok = e.LeaderEpoch()
	return address, ok
}

// LeaderEpoch is Leader with the epoch of the active host.
func (e *Elector) LeaderEpoch() (address string, epoch uint64, ok bool) {
	l := e.leader.Load()
	if l == nil || e.clock.Now().After(l.validUntil) {
		return "", 0, false
	}
	return l.address, l.epoch, true
}

// MustReadRules reports whether this host has to read the rules from the ledger itself:
// it is active, or no heartbeat has confirmed its rules recently and it is not getting
// others from a host, or not soon enough. Both at once would take twice as long on a slow
// link.
func (e *Elector) MustReadRules() bool {
	if e.localExecutor.Load() != nil {
		return true
	}
	return e.rules.Stale() && (!e.fetchingRules.Load() || e.rules.Overdue())
}

// Pending returns the number of jobs in a queue that have not started.
func (e *Elector) Pending(queue string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending[queue]
}

// Resign gives up the active role, if this host has it, and never claims it again.
func (e *Elector) Resign() {
	e.resigned.Store(true)
	e.mu.Lock()
	stop := e.stopLeading
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Run follows the active host, or is the active host, until the context ends. It
// returns nil.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		found := e.findOrClaim(ctx)
		if found.address != "" {
			if epoch := e.follow(ctx, found); epoch != 0 && sleeper.Sleep(ctx, e.claimDelay()) == nil {
				e.claimHandedOver(ctx, found.address, epoch)
			}
		}
		_ = sleeper.SleepJittered(ctx, e.searchInterval()) // the loop ends with the context
	}
	return nil
}

func (e *Elector) searchInterval() time.Duration {
	if rank := e.rank.Load(); rank > 0 && rank <= firstRanks {
		return firstRanksSearchInterval
	}
	return searchInterval
}

// candidate is a host that is probably active.
type candidate struct {
	address  string // empty if there is none
	inLedger bool   // the ledger names it, and not another host
}

// findOrClaim returns the active host if there is another one. If there is none it claims the
// role, and returns no candidate once this host has lost it again. It also returns none if it
// cannot tell which host is active, or if the claim fails.
func (e *Elector) findOrClaim(ctx context.Context) candidate {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := e.ledger.Get(callCtx, lockKey)
	if err != nil {
		return candidate{address: e.askOthers(ctx)}
	}
	holder := string(lock.Value)
	switch {
	case lock.Revision == 0:
		if writer := e.liveWriter(ctx); writer != "" {
			return candidate{address: writer, inLedger: true}
		}
	case holder != e.address:
		switch e.probe(ctx, holder) {
		case reachable:
			e.refuser = ""
			return candidate{address: holder, inLedger: true}
		case unreachable:
			return candidate{} // it may still be running: wait until its lease expires
		}
		e.noteRefusal(holder)
	}
	if e.resigned.Load() || !e.waitForTurn(ctx, lock.Revision) {
		return candidate{}
	}
	if holder == e.address {
		e.claim(ctx, lock.Revision, 0) // its holder is an earlier process of this host
		return candidate{}
	}
	if lock.Revision == 0 || e.endLease(ctx, holder, lock.Lease) {
		e.claim(ctx, 0, 0)
	}
	return candidate{}
}

// noteRefusal records that the holder of the lock refuses connections.
func (e *Elector) noteRefusal(holder string) {
	if e.refuser == holder {
		return
	}
	e.refuser, e.refusedFrom = holder, e.clock.Now()
	e.log.Info("the active host refuses connections, so its process has probably exited", zap.String("address", holder))
}

// endLease ends the lease of a lock whose holder refuses connections, and reports whether it
// has certainly ended. The holder may be running all the same, if it is the network that
// refuses them. It takes each renewal of its lease for a proof that no other host has claimed
// the role, so its lease has to end before that. If its process has exited the lease soon
// expires anyway, so it is ended only for a host that was followed before, or that holds on:
// otherwise two hosts behind such a network would take the role from each other without end.
func (e *Elector) endLease(ctx context.Context, holder string, lease uint64) bool {
	followed := holder == e.lastLeader && e.followedTo.Sub(e.followedFrom) >= minFollowed
	holdsOn := e.clock.Now().Sub(e.refusedFrom) >= minRefused
	if lease == 0 || !followed && !holdsOn { // 0 if the ledger does not tell it
		return false
	}
	return e.releaseLease(ctx, lease)
}

// waitForTurn waits until the hosts that come before this one have had the time to claim,
// and reports whether none has: the lock still has the revision.
func (e *Elector) waitForTurn(ctx context.Context, lockRevision uint64) bool {
	delay := e.claimDelay()
	if delay == 0 {
		return true
	}
	if sleeper.Sleep(ctx, delay) != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := e.ledger.Get(callCtx, lockKey)
	return err == nil && lock.Revision == lockRevision && !e.resigned.Load()
}

// liveWriter returns the address of the writer of the records if it answers that it is
// active. Its lease may have expired while the ledger was unavailable, and it sets the lock
// again by itself. The host that this one followed last is not asked.
func (e *Elector) liveWriter(ctx context.Context) string {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address, epoch, err := recorder.Writer(callCtx, e.ledger)
	if err != nil {
		e.log.Info("cannot read who writes the records", zap.Error(err))
		return ""
	}
	e.voter.NoteLatest(epoch)
	if address == "" || address == e.address || address == e.lastLeader {
		return ""
	}
	reply, err := e.askHost(ctx, address, dialTimeout)
	if err != nil || reply.GetAddress() != address || reply.GetEpoch() != epoch {
		return ""
	}
	return address
}

// claimDelay returns how long this host waits before it claims the role. The order is
// that of the ranks, so that the fastest host which is still there gets it. A host without
// a rank goes by its own share of a CPU core.
func (e *Elector) claimDelay() time.Duration {
	if rank := e.rank.Load(); rank > 0 {
		return time.Duration(min(rank-1, maxRankSteps)) * claimDelayPerRank
	}
	return min(time.Duration(float64(fullCoreClaimDelay)/max(e.cpuShare, minCPUShare)), maxClaimDelay)
}

// probeResult is the result of opening a TCP connection to a host.
type probeResult int

const (
	reachable probeResult = iota
	// unreachable hosts may still be running behind a network failure.
	unreachable
	// notListening hosts refuse connections. Their process has exited, or the network between
	// the two hosts refuses the connections.
	notListening
)

func (e *Elector) probe(ctx context.Context, address string) probeResult {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := e.conns.Dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close() // only opening it matters
		return reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return notListening
	}
	return unreachable
}
