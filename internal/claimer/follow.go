package claimer

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/sleeper"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// intervalPerFollower times the number of followers is the least time between two
	// heartbeats, up to maxHeartbeatInterval, so that many followers do not use up the
	// CPU of the active host.
	intervalPerFollower  = 2 * time.Millisecond
	maxHeartbeatInterval = 800 * time.Millisecond
	// heartbeatTimeoutIntervals is how many heartbeat intervals a follower waits for the
	// next heartbeat.
	heartbeatTimeoutIntervals = 3
	// heartbeatsPerHostList: one heartbeat in this many lists addresses, of at most
	// maxListedHosts hosts.
	heartbeatsPerHostList = 20
	maxListedHosts        = 12
	// hostExpiry is how long a host is remembered after it was last heard of.
	hostExpiry = 30 * time.Second
)

// errNotActive ends the heartbeat streams of a host that is not, or no longer, active.
var errNotActive = errors.New("this host is not active")

// refreshPending copies the executor's counts of jobs that have not started, until the
// context ends.
func (c *Claimer) refreshPending(ctx context.Context, e *executor.Executor) error {
	for {
		if p := e.Pending(ctx); p != nil {
			c.mu.Lock()
			c.pending = p
			c.mu.Unlock()
		}
		if sleeper.Sleep(ctx, heartbeatInterval) != nil {
			return nil
		}
	}
}

// followerState is what a follower is known to have, so that only changes are sent.
type followerState struct {
	rulesRevision uint64
	pending       map[string]int64
	heartbeats    int // number sent so far
}

// Follow sends heartbeats to a follower until its stream ends or this host is no longer
// active. The error tells whether the role was handed over.
func (c *Claimer) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	e := c.localExecutor.Load()
	if e == nil {
		return errNotActive
	}
	c.followers.Add(1)
	defer c.followers.Add(-1)
	f := &followerState{rulesRevision: req.GetRulesRevision()}
	for c.localExecutor.Load() == e {
		c.noteHost(req.GetAddress())
		beat := c.nextHeartbeat(e, f)
		if err := stream.Send(beat); err != nil {
			return err
		}
		if sleeper.Sleep(stream.Context(), time.Duration(beat.GetNextMs())*time.Millisecond) != nil {
			return nil
		}
	}
	if c.handedOver.Load() {
		return errHandedOver
	}
	return errNotActive
}

// nextHeartbeat returns the next heartbeat for a follower, without what has not changed.
func (c *Claimer) nextHeartbeat(e *executor.Executor, f *followerState) *peer.Beat {
	interval := min(max(heartbeatInterval, intervalPerFollower*time.Duration(c.followers.Load())), maxHeartbeatInterval)
	beat := &peer.Beat{
		Epoch: e.Epoch(), Fresh: c.rules.Fresh(), NextMs: interval.Milliseconds(),
		Leased: c.isRecent(&c.renewedAt, c.leaseTTL),
	}
	if f.heartbeats%heartbeatsPerHostList == 0 {
		beat.Hosts = c.recentAddresses()
	}
	f.heartbeats++
	if data, revision := c.rules.Data(); revision != f.rulesRevision {
		beat.Rules, f.rulesRevision = data, revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.pending == nil || !maps.Equal(f.pending, c.pending) {
		beat.Pending, beat.Counted, f.pending = c.pending, true, c.pending
	}
	return beat
}

// recentAddresses returns up to maxListedHosts addresses of hosts that were heard of
// within hostExpiry, and forgets the older ones.
func (c *Claimer) recentAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.knownHosts))
	for a, at := range c.knownHosts {
		switch {
		case c.clock.Now().Sub(at) > hostExpiry:
			delete(c.knownHosts, a)
		case len(addresses) < maxListedHosts:
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// follow receives heartbeats from the active host until they stop or it has lost its
// lease, and reports whether it has handed its role over.
func (c *Claimer) follow(ctx context.Context, address string) (handedOver bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.leader.Store(nil)
	defer c.links.Drop(address)
	client, err := c.links.Client(address)
	if err != nil {
		c.log.Warn("cannot connect to the active host", zap.String("address", address), zap.Error(err))
		return false
	}
	_, revision := c.rules.Data()
	watchdog := time.AfterFunc(minHeartbeatTimeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Follow(ctx, &peer.FollowRequest{Host: c.host, Address: c.address, RulesRevision: revision})
	if err != nil {
		return false
	}
	received := false
	for {
		beat, err := stream.Recv()
		if err != nil {
			if received {
				c.log.Info("the active host is lost", zap.String("address", address), zap.Error(err))
			}
			return status.Code(err) == codes.Aborted
		}
		watchdog.Reset(heartbeatTimeout(beat))
		if !received {
			c.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()))
			received = true
		}
		c.applyHeartbeat(address, beat)
		if !beat.GetLeased() && c.lockAbsent(ctx) {
			c.log.Info("the active host has lost its lease", zap.String("address", address))
			return false
		}
	}
}

// lockAbsent reports whether the ledger answers that the lock key does not exist, since
// no lease holds it.
func (c *Claimer) lockAbsent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := c.ledger.Get(ctx, lockKey)
	return err == nil && lock.Revision == 0
}

// heartbeatTimeout returns how long to wait for the heartbeat after this one.
func heartbeatTimeout(beat *peer.Beat) time.Duration {
	return max(minHeartbeatTimeout, heartbeatTimeoutIntervals*time.Duration(beat.GetNextMs())*time.Millisecond)
}

// applyHeartbeat records what a heartbeat of the active host tells.
func (c *Claimer) applyHeartbeat(address string, beat *peer.Beat) {
	now := c.clock.Now()
	c.leader.Store(&leader{
		address: address, epoch: beat.GetEpoch(), validUntil: now.Add(heartbeatTimeout(beat)),
	})
	if err := c.offerRules(beat.GetRules()); err != nil {
		c.log.Warn("cannot decode the rules received from the active host", zap.Error(err))
	}
	if beat.GetFresh() {
		c.rules.Confirm(now)
	}
	c.noteHost(address)
	for _, a := range beat.GetHosts() {
		c.noteHost(a)
	}
	if beat.GetCounted() {
		c.mu.Lock()
		c.pending = beat.GetPending()
		c.mu.Unlock()
	}
}
