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
	// intervalPerFollower times the number of followers is the minimum time between two
	// heartbeats, up to maxHeartbeatInterval. It limits the CPU time of the active host.
	intervalPerFollower  = 2 * time.Millisecond
	maxHeartbeatInterval = 800 * time.Millisecond
	// heartbeatTimeoutIntervals is how many heartbeat intervals a follower waits for the
	// next heartbeat.
	heartbeatTimeoutIntervals = 3
	// heartbeatsPerHostList: one heartbeat in this many lists addresses.
	heartbeatsPerHostList = 20
	// firstRanks is how many followers get every heartbeat and, while the lease is not
	// renewed, read the lock at each. The others read it before each confirmation.
	firstRanks = 4
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
// active. The error indicates whether the role was handed over.
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

// nextHeartbeat returns the next heartbeat for a follower. It omits unchanged counts and rules.
func (e *Elector) nextHeartbeat(exec *executor.Executor, f *followerState) *peer.Beat {
	rank := e.hosts.rank(f.address)
	beat := &peer.Beat{
		Epoch: exec.Epoch(), Fresh: e.rules.Fresh(), NextMs: e.heartbeatInterval(rank).Milliseconds(),
		Leased: e.isRecent(&e.renewedAt, e.leaseTTL), Rank: int64(rank), SentNs: e.clock.Now().UnixNano(),
	}
	if f.heartbeats%heartbeatsPerHostList == 0 {
		beat.Hosts = e.hosts.directHosts()
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

// HandleConfirmation records that a follower knows of no active host later than this one. The
// confirmation is valid as of the time in the request, at which the follower's latest
// heartbeat was sent, regardless of the transmission delay.
func (e *Elector) HandleConfirmation(req *peer.VouchRequest) {
	exec := e.localExecutor.Load()
	if exec == nil || exec.Epoch() != req.GetEpoch() {
		return
	}
	at := time.Unix(0, req.GetSentNs())
	if at.After(e.clock.Now()) {
		return
	}
	e.hosts.note(req.GetAddress(), true)
	e.registrar.Confirm(req.GetAddress(), req.GetEpoch(), at)
}

// follow receives heartbeats from the active host until they stop, its role is free or it turns
// out to be a former one. It returns the epoch in which it has handed its role over, 0 if it has
// not.
func (e *Elector) follow(ctx context.Context, found candidate) (handedOver uint64) {
	address := found.address
	g, ctx := supervisor.New(ctx, e.log)
	defer func() { _ = g.Wait() }() // its functions return no errors
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.lastLeader, e.followedFrom, e.followedTo = address, time.Time{}, time.Time{}
	defer e.leader.Store(nil)
	defer e.conns.Drop(address)
	client, err := e.conns.Client(address)
	if err != nil {
		e.log.Warn("cannot connect to the active host", zap.String("address", address), zap.Error(err))
		return 0
	}
	_, revision, _ := e.rules.Data()
	openedAt := e.clock.Now()
	watchdog := time.AfterFunc(minHeartbeatTimeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Follow(ctx, &peer.FollowRequest{
		Host: e.host, Address: e.address, RulesRevision: revision, CpuMillis: int64(e.cpuShare * 1000), FetchesRules: true,
	})
	if err != nil {
		return 0
	}
	var epoch uint64
	reception := &reception{e: e, address: address, beatAt: openedAt, bytesAtBeat: e.conns.Received()}
	watch := &lockWatch{e: e, client: client, leader: address}
	rules := &ruleFollower{e: e, client: client, leader: address, group: g}
	delays := &delayMeter{openedAt: openedAt}
	for {
		beat, err := stream.Recv()
		if err != nil {
			reception.logLost(err)
			if status.Code(err) == codes.Aborted {
				return epoch
			}
			return 0
		}
		watchdog.Reset(heartbeatTimeout(beat))
		if beat.GetEpoch() < e.voter.Highest() {
			e.log.Info("the host was replaced", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()), zap.Uint64("later", e.voter.Highest()))
			return 0
		}
		epoch = beat.GetEpoch()
		if first := reception.note(); first {
			e.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", epoch))
			e.followedFrom = reception.beatAt
			e.noteEpoch(epoch, found.inLedger)
		}
		e.followedTo = reception.beatAt
		sentAt := delays.sentAt(e.clock.Now(), beat.GetSentNs())
		e.applyHeartbeat(address, beat, sentAt)
		rules.observe(ctx, beat, sentAt)
		if watch.observe(ctx, beat) {
			e.log.Info("the active host has lost its lease", zap.String("address", address))
			return 0
		}
	}
}

// reception is what a follower has received from the active host, for its log.
type reception struct {
	e           *Elector
	address     string
	beatAt      time.Time // when the latest heartbeat arrived, or the stream was opened
	bytesAtBeat int64     // that had arrived from all hosts by then
	longestGap  time.Duration
	received    bool // a heartbeat has arrived
}

// note records the arrival of a heartbeat, and reports whether it is the first one.
func (r *reception) note() (first bool) {
	now := r.e.clock.Now()
	r.longestGap = max(r.longestGap, now.Sub(r.beatAt))
	r.beatAt, r.bytesAtBeat = now, r.e.conns.Received()
	first, r.received = !r.received, true
	return first
}

// logLost logs the end of a stream on which heartbeats have arrived.
func (r *reception) logLost(err error) {
	if !r.received {
		return
	}
	r.e.log.Info("the active host is lost", zap.String("address", r.address), zap.Error(err),
		zap.Int64("heartbeat_ms_ago", r.e.clock.Now().Sub(r.beatAt).Milliseconds()), zap.Int64("bytes_since", r.e.conns.Received()-r.bytesAtBeat),
		zap.Int64("longest_gap_ms", r.longestGap.Milliseconds()))
}

// noteEpoch records the epoch of a host that this one follows, and whether the ledger has named
// that host.
func (e *Elector) noteEpoch(epoch uint64, inLedger bool) {
	if inLedger {
		e.voter.NoteLatest(epoch)
		return
	}
	e.voter.Note(epoch)
}

// heartbeatTimeout returns how long to wait for the heartbeat after this one.
func heartbeatTimeout(beat *peer.Beat) time.Duration {
	return max(minHeartbeatTimeout, heartbeatTimeoutIntervals*time.Duration(beat.GetNextMs())*time.Millisecond)
}

// applyHeartbeat records the content of a heartbeat of the active host. It is valid as of the
// time at which the heartbeat was sent, since this process may have been paused meanwhile.
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
