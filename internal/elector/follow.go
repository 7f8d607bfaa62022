package elector

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
func (e *Elector) refreshPending(ctx context.Context, exec *executor.Executor) error {
	for {
		if p := exec.Pending(ctx); p != nil {
			e.mu.Lock()
			e.pending = p
			e.mu.Unlock()
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
func (e *Elector) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	exec := e.localExecutor.Load()
	if exec == nil {
		return errNotActive
	}
	e.followers.Add(1)
	defer e.followers.Add(-1)
	f := &followerState{rulesRevision: req.GetRulesRevision()}
	for e.localExecutor.Load() == exec {
		e.noteHost(req.GetAddress())
		beat := e.nextHeartbeat(exec, f)
		if err := stream.Send(beat); err != nil {
			return err
		}
		if sleeper.Sleep(stream.Context(), time.Duration(beat.GetNextMs())*time.Millisecond) != nil {
			return nil
		}
	}
	if e.handedOver.Load() {
		return errHandedOver
	}
	return errNotActive
}

// nextHeartbeat returns the next heartbeat for a follower, without what has not changed.
func (e *Elector) nextHeartbeat(exec *executor.Executor, f *followerState) *peer.Beat {
	interval := min(max(heartbeatInterval, intervalPerFollower*time.Duration(e.followers.Load())), maxHeartbeatInterval)
	beat := &peer.Beat{
		Epoch: exec.Epoch(), Fresh: e.rules.Fresh(), NextMs: interval.Milliseconds(),
		Leased: e.isRecent(&e.renewedAt, e.leaseTTL),
	}
	if f.heartbeats%heartbeatsPerHostList == 0 {
		beat.Hosts = e.recentAddresses()
	}
	f.heartbeats++
	if data, revision := e.rules.Data(); revision != f.rulesRevision {
		beat.Rules, f.rulesRevision = data, revision
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.pending == nil || !maps.Equal(f.pending, e.pending) {
		beat.Pending, beat.Counted, f.pending = e.pending, true, e.pending
	}
	return beat
}

// recentAddresses returns up to maxListedHosts addresses of hosts that were heard of
// within hostExpiry, and forgets the older ones.
func (e *Elector) recentAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := make([]string, 0, len(e.knownHosts))
	for a, at := range e.knownHosts {
		switch {
		case e.clock.Now().Sub(at) > hostExpiry:
			delete(e.knownHosts, a)
		case len(addresses) < maxListedHosts:
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// follow receives heartbeats from the active host until they stop or it has lost its
// lease, and reports whether it has handed its role over.
func (e *Elector) follow(ctx context.Context, address string) (handedOver bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.leader.Store(nil)
	defer e.conns.Drop(address)
	client, err := e.conns.Client(address)
	if err != nil {
		e.log.Warn("cannot connect to the active host", zap.String("address", address), zap.Error(err))
		return false
	}
	_, revision := e.rules.Data()
	watchdog := time.AfterFunc(minHeartbeatTimeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Follow(ctx, &peer.FollowRequest{Host: e.host, Address: e.address, RulesRevision: revision})
	if err != nil {
		return false
	}
	received := false
	for {
		beat, err := stream.Recv()
		if err != nil {
			if received {
				e.log.Info("the active host is lost", zap.String("address", address), zap.Error(err))
			}
			return status.Code(err) == codes.Aborted
		}
		watchdog.Reset(heartbeatTimeout(beat))
		if !received {
			e.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()))
			received = true
		}
		e.applyHeartbeat(address, beat)
		if !beat.GetLeased() && e.lockAbsent(ctx) {
			e.log.Info("the active host has lost its lease", zap.String("address", address))
			return false
		}
	}
}

// lockAbsent reports whether the ledger answers that the lock key does not exist, since
// no lease holds it.
func (e *Elector) lockAbsent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := e.ledger.Get(ctx, lockKey)
	return err == nil && lock.Revision == 0
}

// heartbeatTimeout returns how long to wait for the heartbeat after this one.
func heartbeatTimeout(beat *peer.Beat) time.Duration {
	return max(minHeartbeatTimeout, heartbeatTimeoutIntervals*time.Duration(beat.GetNextMs())*time.Millisecond)
}

// applyHeartbeat records what a heartbeat of the active host tells.
func (e *Elector) applyHeartbeat(address string, beat *peer.Beat) {
	now := e.clock.Now()
	e.leader.Store(&leader{
		address: address, epoch: beat.GetEpoch(), validUntil: now.Add(heartbeatTimeout(beat)),
	})
	if err := e.offerRules(beat.GetRules()); err != nil {
		e.log.Warn("cannot decode the rules received from the active host", zap.Error(err))
	}
	if beat.GetFresh() {
		e.rules.Confirm(now)
	}
	e.noteHost(address)
	for _, a := range beat.GetHosts() {
		e.noteHost(a)
	}
	if beat.GetCounted() {
		e.mu.Lock()
		e.pending = beat.GetPending()
		e.mu.Unlock()
	}
}
