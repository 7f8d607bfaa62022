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
	"yuccapaddle/internal/supervisor"
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
	// heartbeatsPerHostList: one heartbeat in this many lists addresses.
	heartbeatsPerHostList = 20
	// firstRanks is how many followers get every heartbeat and, while the lease is not
	// renewed, look at the lock at each. The others look before they vouch.
	firstRanks = 4
	// regainTime is how long the lock may be absent, while heartbeats arrive and the
	// ledger answers followers, before they claim the role. The active host takes the lock
	// back, or hands the role over, well within it.
	regainTime = 1500 * time.Millisecond
	// vouchInterval is the least time between two calls of Vouch. With lookTimeout it is
	// part of the time that predecessorRenewPeriod allows for.
	vouchInterval = 600 * time.Millisecond
	// lookTimeout and vouchTimeout together are shorter than minHeartbeatTimeout, since no
	// heartbeat is received meanwhile.
	lookTimeout  = 200 * time.Millisecond
	vouchTimeout = 200 * time.Millisecond
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

// waitForNext waits until the next heartbeat is due, since the interval is over or the
// rules have changed. It returns false if the context ends first.
func waitForNext(ctx context.Context, changed <-chan struct{}, interval time.Duration) bool {
	timer := time.NewTimer(sleeper.TimerDuration(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// followerState is what a follower is known to have, so that only changes are sent.
type followerState struct {
	address       string
	fetchesRules  bool   // heartbeats carry no rules
	rulesRevision uint64 // of the rules that heartbeats have carried last
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
	e.hosts.addFollower(req.GetAddress(), req.GetCpuMillis())
	defer e.hosts.removeFollower(req.GetAddress())
	f := &followerState{address: req.GetAddress(), fetchesRules: req.GetFetchesRules(), rulesRevision: req.GetRulesRevision()}
	for e.localExecutor.Load() == exec {
		changed := e.rules.Changed() // before the rules are read, so that no change is missed
		beat := e.nextHeartbeat(exec, f)
		if err := stream.Send(beat); err != nil {
			return err
		}
		if !waitForNext(stream.Context(), changed, time.Duration(beat.GetNextMs())*time.Millisecond) {
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
	rank := e.hosts.rank(f.address)
	beat := &peer.Beat{
		Epoch: exec.Epoch(), Fresh: e.rules.Fresh(), NextMs: e.heartbeatInterval(rank).Milliseconds(),
		Leased: e.isRecent(&e.renewedAt, e.leaseTTL), Rank: int64(rank), SentNs: e.clock.Now().UnixNano(),
	}
	if f.heartbeats%heartbeatsPerHostList == 0 {
		beat.Hosts = e.hosts.heardDirectly()
	}
	f.heartbeats++
	e.addRules(beat, f)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.pending == nil || !maps.Equal(f.pending, e.pending) {
		beat.Pending, beat.Counted, f.pending = e.pending, true, e.pending
	}
	return beat
}

// addRules adds to a heartbeat which rules this host has, or the rules themselves for a
// follower of an earlier version if they have changed.
func (e *Elector) addRules(beat *peer.Beat, f *followerState) {
	if f.fetchesRules {
		beat.RulesRevision, beat.RulesDigest = e.rules.LatestRead()
		return
	}
	data, revision, _ := e.rules.Data()
	if revision != f.rulesRevision {
		beat.Rules, f.rulesRevision = data, revision
	}
}

// heartbeatInterval returns the time between two heartbeats to a follower of that rank.
func (e *Elector) heartbeatInterval(rank int) time.Duration {
	if rank <= firstRanks {
		return heartbeatInterval
	}
	return min(max(heartbeatInterval, intervalPerFollower*time.Duration(e.hosts.followers())), maxHeartbeatInterval)
}

// HandleVouch records that a follower knows of no active host later than this one. The
// vouch holds for the time at which the heartbeat that it repeats was sent, however long
// it has been under way.
func (e *Elector) HandleVouch(req *peer.VouchRequest) {
	exec := e.localExecutor.Load()
	if exec == nil || exec.Epoch() != req.GetEpoch() {
		return
	}
	at := time.Unix(0, req.GetSentNs())
	if at.After(e.clock.Now()) {
		return
	}
	e.hosts.vouch(req.GetAddress(), at)
}

// follow receives heartbeats from the active host until they stop or its role is free, and
// reports whether it has handed its role over.
func (e *Elector) follow(ctx context.Context, address string) (handedOver bool) {
	g, ctx := supervisor.New(ctx, e.log)
	defer func() { _ = g.Wait() }() // its functions return no errors
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.lostLeader = address
	defer e.leader.Store(nil)
	defer e.conns.Drop(address)
	client, err := e.conns.Client(address)
	if err != nil {
		e.log.Warn("cannot connect to the active host", zap.String("address", address), zap.Error(err))
		return false
	}
	_, revision, _ := e.rules.Data()
	openedAt := e.clock.Now()
	watchdog := time.AfterFunc(minHeartbeatTimeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Follow(ctx, &peer.FollowRequest{
		Host: e.host, Address: e.address, RulesRevision: revision, CpuMillis: int64(e.cpuShare * 1000), FetchesRules: true,
	})
	if err != nil {
		return false
	}
	received := false
	beatAt, bytesAtBeat, longestGap := openedAt, e.conns.Received(), time.Duration(0)
	watch := &lockWatch{e: e, client: client, leader: address}
	rules := &ruleFollower{e: e, client: client, leader: address, group: g}
	delays := &delayMeter{openedAt: openedAt}
	for {
		beat, err := stream.Recv()
		if err != nil {
			if received {
				e.log.Info("the active host is lost", zap.String("address", address), zap.Error(err),
					zap.Int64("heartbeat_ms_ago", e.clock.Now().Sub(beatAt).Milliseconds()), zap.Int64("bytes_since", e.conns.Received()-bytesAtBeat),
					zap.Int64("longest_gap_ms", longestGap.Milliseconds()))
			}
			return status.Code(err) == codes.Aborted
		}
		watchdog.Reset(heartbeatTimeout(beat))
		longestGap = max(longestGap, e.clock.Now().Sub(beatAt))
		beatAt, bytesAtBeat = e.clock.Now(), e.conns.Received()
		if !received {
			e.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()))
			received = true
		}
		sentAt := delays.sentAt(e.clock.Now(), beat.GetSentNs())
		e.applyHeartbeat(address, beat, sentAt)
		rules.observe(ctx, beat, sentAt)
		if watch.observe(ctx, beat) {
			e.log.Info("the active host has lost its lease", zap.String("address", address))
			return false
		}
	}
}

// lockWatch watches the lock while the heartbeats of the active host say that its lease
// has not been renewed.
type lockWatch struct {
	e           *Elector
	client      peer.JobsClient
	leader      string
	absentAt    time.Time // since when the lock was absent at each look, zero if it was not
	nextVouchAt time.Time
}

// observe handles a heartbeat, and reports whether this host should look for another active
// host: the lock is held by another one, or has been absent for so long that the active
// host will not take it back. Until then this host vouches for the active one.
func (l *lockWatch) observe(ctx context.Context, beat *peer.Beat) bool {
	if beat.GetLeased() {
		l.absentAt = time.Time{}
		return false
	}
	now := l.e.clock.Now()
	vouch := !now.Before(l.nextVouchAt)
	if beat.GetRank() > firstRanks && !vouch {
		return false
	}
	if l.checkLock(ctx, now) {
		return true
	}
	if vouch {
		l.nextVouchAt = now.Add(vouchInterval)
		l.vouch(ctx, beat)
	}
	return false
}

// vouch tells the active host that this one knows of no later one.
func (l *lockWatch) vouch(ctx context.Context, beat *peer.Beat) {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	_, err := l.client.Vouch(ctx, &peer.VouchRequest{Address: l.e.address, Epoch: beat.GetEpoch(), SentNs: beat.GetSentNs()})
	if err != nil && status.Code(err) != codes.Unimplemented { // hosts of an earlier version ask by themselves
		l.e.log.Info("cannot vouch for the active host", zap.String("address", l.leader), zap.Error(err))
	}
}

// checkLock looks at the lock once, and reports whether the role is free.
func (l *lockWatch) checkLock(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	lock, err := l.e.ledger.Get(ctx, lockKey)
	switch {
	case err != nil:
		return false // the look tells nothing, and the time since the first one goes on
	case lock.Revision != 0:
		l.absentAt = time.Time{}
		return string(lock.Value) != l.leader
	case l.absentAt.IsZero():
		l.absentAt = now
	}
	return now.Sub(l.absentAt) > regainTime
}

// heartbeatTimeout returns how long to wait for the heartbeat after this one.
func heartbeatTimeout(beat *peer.Beat) time.Duration {
	return max(minHeartbeatTimeout, heartbeatTimeoutIntervals*time.Duration(beat.GetNextMs())*time.Millisecond)
}

// applyHeartbeat records what a heartbeat of the active host tells, which was so when it
// was sent: it may have waited while this process was paused.
func (e *Elector) applyHeartbeat(address string, beat *peer.Beat, sentAt time.Time) {
	e.leader.Store(&leader{
		address: address, epoch: beat.GetEpoch(), validUntil: sentAt.Add(heartbeatTimeout(beat)),
	})
	if err := e.offerRules(beat.GetRules()); err != nil {
		e.log.Warn("cannot use the rules received from the active host", zap.Error(err))
	}
	e.rank.Store(beat.GetRank())
	e.hosts.note(address, true)
	for _, a := range beat.GetHosts() {
		e.hosts.note(a, false)
	}
	if beat.GetCounted() {
		e.mu.Lock()
		e.pending = beat.GetPending()
		e.mu.Unlock()
	}
}
