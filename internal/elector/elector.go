// Package elector elects the active host: it follows the current one, and claims the
// role for this host if there is none. The lease on the lock key only keeps hosts from
// competing. Safety does not depend on it: every commit is conditional on the one
// before it, and workers reject orders with an older fencing token.
package elector

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/rulekeeper"
	"yuccapaddle/internal/sleeper"
)

// lockKey is the ledger key whose value is the address of the active host.
const lockKey = "yp/lock"

// Timing of the lease and of the search for an active host.
const (
	// defaultLeaseTTL is short, so that a failed host is replaced well before the
	// workers' leases expire. That is affordable: a renewal costs the ledger a tenth of
	// a read.
	defaultLeaseTTL = 1200 * time.Millisecond
	renewInterval   = 350 * time.Millisecond
	// renewRetryDelay is the delay before a refused renewal is retried.
	renewRetryDelay = 120 * time.Millisecond
	callTimeout     = 700 * time.Millisecond
	searchInterval  = 150 * time.Millisecond
	// minHeartbeatTimeout is how long a follower waits at least for a heartbeat before
	// it takes the active host for lost.
	minHeartbeatTimeout = 900 * time.Millisecond
	dialTimeout         = 300 * time.Millisecond
	// fullCoreClaimDelay is how long a host with a full CPU core waits before it claims
	// the role. A smaller share of a core makes the delay longer, up to maxClaimDelay.
	fullCoreClaimDelay = 20 * time.Millisecond
	maxClaimDelay      = 200 * time.Millisecond
	minCPUShare        = 0.01
	// renewalValidity is how long after it renewed its own lease the active host may
	// renew the workers' leases. peerConfirmValidity is the same after half of the other
	// hosts answered that they know of no later active host.
	renewalValidity     = 2400 * time.Millisecond
	peerConfirmValidity = 2 * time.Second
	// predecessorRenewPeriod is how long after a claim the previous active host may
	// still renew workers' leases: the time until the other hosts know of the claim, and
	// peerConfirmValidity on top.
	predecessorRenewPeriod = time.Second + peerConfirmValidity
)

// buildFunc creates the executor when this host becomes active, and a function that runs
// in the background while it is. Until predecessorRenewsUntil the previous active host
// may still renew workers' leases.
type buildFunc = func(rec *recorder.Recorder, predecessorRenewsUntil time.Time) (exec *executor.Executor, background func(ctx context.Context) error)

// Elector follows the active host or is the active host itself. All methods but Run
// are safe for concurrent use.
type Elector struct {
	ledger   yuccapaddle.Ledger
	rules    *rulekeeper.RuleKeeper
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
	handedOver    atomic.Bool // whether the role was last handed over to another host
	followers     atomic.Int64
	// renewedAt is when the lease was last renewed, and peersConfirmedAt when half of the
	// other hosts last knew of no later active host, both as UnixNano of clock.
	renewedAt        atomic.Int64
	peersConfirmedAt atomic.Int64

	mu          sync.Mutex
	knownHosts  map[string]time.Time // when each other host was last heard of, by address
	stopLeading context.CancelFunc   // ends the active role, if this host has it
	pending     map[string]int64     // jobs that have not started, by queue
}

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

// New returns an Elector for a host that others reach at address. nonce differs
// for every process; minLeaseTTL is the shortest lease that the ledger grants.
func New(ledger yuccapaddle.Ledger, rules *rulekeeper.RuleKeeper, conns *connector.Connector, host, address, nonce string,
	minLeaseTTL time.Duration, build buildFunc, clock yuccapaddle.Clock, log *zap.Logger, opts ...Option,
) *Elector {
	e := &Elector{
		ledger: ledger, rules: rules, conns: conns, build: build, clock: clock, log: log, host: host, address: address, nonce: nonce,
		leaseTTL: max(defaultLeaseTTL, minLeaseTTL), knownHosts: map[string]time.Time{}, cpuShare: 1,
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

// Leader returns the address of the active host, and false if that is this host or
// not known.
func (e *Elector) Leader() (string, bool) {
	l := e.leader.Load()
	if l == nil || e.clock.Now().After(l.validUntil) {
		return "", false
	}
	return l.address, true
}

// MustReadRules reports whether this host has to read the rules from the ledger itself:
// it is active, or no heartbeat has confirmed its rules recently.
func (e *Elector) MustReadRules() bool {
	if e.localExecutor.Load() != nil {
		return true
	}
	return e.rules.Stale()
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
		address := e.findOrClaim(ctx)
		if address != "" && e.follow(ctx, address) && sleeper.Sleep(ctx, e.claimDelay()) == nil {
			e.claimHandedOver(ctx, address)
		}
		_ = sleeper.SleepJittered(ctx, searchInterval) // the loop ends with the context
	}
	return nil
}

// findOrClaim returns the address of the active host if there is another one. If there
// is none it claims the role, and returns "" once this host has lost it again. It also
// returns "" if it cannot tell which host is active, or if the claim fails.
func (e *Elector) findOrClaim(ctx context.Context) string {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := e.ledger.Get(callCtx, lockKey)
	if err != nil {
		return e.askOthers(ctx)
	}
	holder := string(lock.Value)
	// If the lock exists here, its holder is an earlier process of this host, or the probe
	// below shows that it has exited.
	predecessorStopped := lock.Revision != 0
	if lock.Revision != 0 && holder != e.address {
		switch e.probe(holder) {
		case reachable:
			return holder
		case unreachable:
			return "" // it may still be running: wait until its lease expires
		}
		e.log.Info("the active host refuses connections, so its process has exited", zap.String("address", holder))
	}
	if !e.resigned.Load() && sleeper.Sleep(ctx, e.claimDelay()) == nil {
		e.claim(ctx, lock.Revision, predecessorStopped)
	}
	return ""
}

// claimDelay returns how long this host waits before it claims the role. Hosts with a
// larger share of a CPU core wait less, so that one of them gets the role.
func (e *Elector) claimDelay() time.Duration {
	return min(time.Duration(float64(fullCoreClaimDelay)/max(e.cpuShare, minCPUShare)), maxClaimDelay)
}

// probeResult is the result of opening a TCP connection to a host.
type probeResult int

const (
	reachable probeResult = iota
	// unreachable hosts may still be running behind a network failure.
	unreachable
	// notListening hosts refuse connections, so their process has certainly exited.
	notListening
)

func (e *Elector) probe(address string) probeResult {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	switch {
	case err == nil:
		_ = conn.Close() // only opening it matters
		return reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return notListening
	}
	return unreachable
}

// askOthers returns the address of the active host according to the other hosts, for
// when the ledger does not answer. The answer with the highest epoch counts. It is ""
// if none of them knows, or if that is this host.
func (e *Elector) askOthers(ctx context.Context) string {
	var latest *peer.WhoReply
	for _, address := range e.otherAddresses() {
		reply, err := e.askHost(ctx, address, callTimeout)
		if err != nil {
			continue // other hosts may still answer
		}
		if err := e.offerRules(reply.GetRules()); err != nil {
			e.log.Warn("cannot decode the rules received from another host", zap.String("address", address), zap.Error(err))
		}
		if reply.GetAddress() != "" && (latest == nil || reply.GetEpoch() > latest.GetEpoch()) {
			latest = reply
		}
	}
	if latest.GetAddress() == e.address {
		return ""
	}
	return latest.GetAddress()
}

// askHost asks the host at an address which host is active.
func (e *Elector) askHost(ctx context.Context, address string, timeout time.Duration) (*peer.WhoReply, error) {
	client, err := e.conns.Client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Who(ctx, &peer.WhoRequest{})
}

// offerRules applies rules received from another host unless they are older than those
// in force. Empty data means that the other host sent none.
func (e *Elector) offerRules(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return e.rules.Offer(data, "host")
}

// Who returns which host is active as far as this one knows, and its rules.
func (e *Elector) Who() *peer.WhoReply {
	data, revision := e.rules.Data()
	reply := &peer.WhoReply{Rules: data, RulesRevision: revision}
	if exec := e.localExecutor.Load(); exec != nil {
		reply.Address, reply.Epoch = e.address, exec.Epoch()
		return reply
	}
	if l := e.leader.Load(); l != nil && e.clock.Now().Before(l.validUntil) {
		reply.Address, reply.Epoch = l.address, l.epoch
	}
	return reply
}

func (e *Elector) otherAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := make([]string, 0, len(e.knownHosts))
	for a := range e.knownHosts {
		if a != e.address {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// noteHost records that another host was heard of just now.
func (e *Elector) noteHost(address string) {
	if address == "" || address == e.address {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownHosts[address] = e.clock.Now()
}
