// Package claimer finds out which host is active, and makes this one active when
// none is. The lease on the lock key only avoids conflicts: safety rests on the
// chain of commits and on fencing tokens.
package claimer

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
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/linker"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/ruler"
	"yuccapaddle/internal/sleeper"
)

const lockKey = "yp/lock"

// Times of the lease and of the search.
const (
	// leaseTime is short, so that a lost host is replaced well before the workers'
	// leases end; a renewal costs a tenth of a read.
	leaseTime  = 1200 * time.Millisecond
	renewEvery = 350 * time.Millisecond
	// renewAgain is when a refused renewal is tried again.
	renewAgain = 120 * time.Millisecond
	callTime   = 700 * time.Millisecond
	seekEvery  = 150 * time.Millisecond
	// silentFor is how long the active host may send no heartbeat.
	silentFor = 900 * time.Millisecond
	dialTime  = 300 * time.Millisecond
	// delayTime is what a host with a whole core waits before it claims.
	delayTime  = 20 * time.Millisecond
	delayMost  = 200 * time.Millisecond
	leastShare = 0.01
	// confirmTime is for how long a renewal, and vouchTime for how long the word of
	// the other hosts, lets the active host renew the workers' leases.
	confirmTime = 2400 * time.Millisecond
	vouchTime   = 2 * time.Second
	// rivalTime is for how long after a claim the former host may do so: until the
	// others know of the claim, and vouchTime more.
	rivalTime = time.Second + vouchTime
)

// build makes the executor of this host when it becomes active, and what else
// runs then. Until rival a former host may still renew workers' leases.
type build = func(rec *recorder.Recorder, rival time.Time) (e *executor.Executor, beside func(ctx context.Context) error)

// Claimer is safe for concurrent use but for Run.
type Claimer struct {
	ledger  yuccapaddle.Ledger
	rules   *ruler.Ruler
	links   *linker.Linker
	build   build
	log     *zap.Logger
	clock   yuccapaddle.Clock
	host    string
	address string
	nonce   string
	lease   time.Duration
	share   float64

	local     atomic.Pointer[executor.Executor]
	leader    atomic.Pointer[leader]
	yielding  atomic.Bool
	ceded     atomic.Bool // the last role was given up to others
	followers atomic.Int64
	renewed   atomic.Int64 // Unix nanoseconds of the steady clock, of the last renewal
	vouched   atomic.Int64 // the same, of when half of the other hosts knew of no later writer

	mu      sync.Mutex
	known   map[string]time.Time // addresses of other hosts, and when last heard of
	stop    context.CancelFunc   // ends the active part
	pending map[string]int64
}

// leader is the host that is active as far as this one knows.
type leader struct {
	address string
	epoch   uint64
	until   time.Time // it is taken to be active
}

// Option changes a Claimer under construction.
type Option func(*Claimer)

// WithShare sets the share of a core that the host has: with less of it a host
// leaves the role to others for a moment.
func WithShare(share float64) Option {
	return func(c *Claimer) { c.share = share }
}

// New returns a Claimer for a host that others reach at address. nonce differs
// for every process; least is the shortest lease that the ledger gives.
func New(ledger yuccapaddle.Ledger, rules *ruler.Ruler, links *linker.Linker, host, address, nonce string,
	least time.Duration, build build, clock yuccapaddle.Clock, log *zap.Logger, opts ...Option,
) *Claimer {
	c := &Claimer{
		ledger: ledger, rules: rules, links: links, build: build, clock: clock, log: log, host: host, address: address, nonce: nonce,
		lease: max(leaseTime, least), known: map[string]time.Time{}, share: 1,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Local returns the executor while this host is active, else nil.
func (c *Claimer) Local() *executor.Executor {
	return c.local.Load()
}

// Leader returns the address of the active host, if another one is.
func (c *Claimer) Leader() (string, bool) {
	l := c.leader.Load()
	if l == nil || c.clock.Now().After(l.until) {
		return "", false
	}
	return l.address, true
}

// Alone reports whether this host has to read the rules itself: it is active, or
// hears nothing of a host that does.
func (c *Claimer) Alone() bool {
	if c.local.Load() != nil {
		return true
	}
	return c.rules.Stale()
}

// Pending returns the number of jobs of a queue that have not begun.
func (c *Claimer) Pending(queue string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[queue]
}

// Yield gives the role up, if this host has it, and does not seek it again.
func (c *Claimer) Yield() {
	c.yielding.Store(true)
	c.mu.Lock()
	stop := c.stop
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Run follows the active host, or is it, until the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := c.seek(ctx)
		if address != "" && c.follow(ctx, address) && sleeper.Sleep(ctx, c.claimDelay()) == nil {
			c.takeCeded(ctx, address)
		}
		_ = sleeper.Jitter(ctx, seekEvery) // the loop ends with the context
	}
	return nil
}

// seek returns the address of the active host, or claims the role and returns
// nothing, as it does if it finds neither.
func (c *Claimer) seek(ctx context.Context) string {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lock, err := c.ledger.Get(callCtx, lockKey)
	if err != nil {
		return c.ask(ctx)
	}
	holder := string(lock.Value)
	certain := lock.Revision != 0 // either it is an own former life, or its process is gone
	if lock.Revision != 0 && holder != c.address {
		switch c.probe(holder) {
		case reachable:
			return holder
		case unreachable:
			return "" // its lease will tell
		}
		c.log.Info("the active host's process is gone", zap.String("address", holder))
	}
	if !c.yielding.Load() && sleeper.Sleep(ctx, c.claimDelay()) == nil {
		c.claim(ctx, lock.Revision, certain)
	}
	return ""
}

// claimDelay is how long this host waits before it claims, so that one with more
// processor time comes first.
func (c *Claimer) claimDelay() time.Duration {
	return min(time.Duration(float64(delayTime)/max(c.share, leastShare)), delayMost)
}

// presence is what a connection to a host's address shows.
type presence int

const (
	reachable presence = iota
	// unreachable hosts may live; only the way to them may be cut.
	unreachable
	// absent: nothing listens, so that the process has certainly ended.
	absent
)

func (c *Claimer) probe(address string) presence {
	conn, err := net.DialTimeout("tcp", address, dialTime)
	switch {
	case err == nil:
		_ = conn.Close() // it was opened only to see whether it can be
		return reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return absent
	}
	return unreachable
}

// ask asks the other hosts which one is active, when the ledger does not answer.
func (c *Claimer) ask(ctx context.Context) string {
	var best *peer.WhoReply
	for _, address := range c.others() {
		reply, err := c.who(ctx, address, callTime)
		if err != nil {
			continue // another one may know
		}
		if err := c.learn(reply.GetRules()); err != nil {
			c.log.Warn("the rules of another host cannot be read", zap.String("address", address), zap.Error(err))
		}
		if reply.GetAddress() != "" && (best == nil || reply.GetEpoch() > best.GetEpoch()) {
			best = reply
		}
	}
	if best.GetAddress() == c.address {
		return ""
	}
	return best.GetAddress()
}

// who asks another host which one is active.
func (c *Claimer) who(ctx context.Context, address string, within time.Duration) (*peer.WhoReply, error) {
	jobs, err := c.links.Jobs(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return jobs.Who(ctx, &peer.WhoRequest{})
}

func (c *Claimer) learn(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return c.rules.Offer(data, "host")
}

// Who is this host's answer to the question which host is active.
func (c *Claimer) Who() *peer.WhoReply {
	data, revision := c.rules.Data()
	reply := &peer.WhoReply{Rules: data, RulesRevision: revision}
	if e := c.local.Load(); e != nil {
		reply.Address, reply.Epoch = c.address, e.Epoch()
		return reply
	}
	if l := c.leader.Load(); l != nil && c.clock.Now().Before(l.until) {
		reply.Address, reply.Epoch = l.address, l.epoch
	}
	return reply
}

func (c *Claimer) others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.known))
	for a := range c.known {
		if a != c.address {
			list = append(list, a)
		}
	}
	return list
}

// Meet notes the address of another host.
func (c *Claimer) Meet(address string) {
	if address == "" || address == c.address {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[address] = c.clock.Now()
}
