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
	beatEvery = 250 * time.Millisecond
	// beatCost is what each follower adds to the time between two heartbeats, so
	// that many followers do not take the active host's processor, up to beatMost.
	beatCost = 2 * time.Millisecond
	beatMost = 800 * time.Millisecond
	// missedBeats is how many heartbeats may be missing.
	missedBeats = 3
	// hostsEvery is how many heartbeats there are to one with addresses, of at
	// most mostHosts hosts.
	hostsEvery = 20
	mostHosts  = 12
	// forgetHost is how long a host is remembered that is not heard of.
	forgetHost = 30 * time.Second
)

// errInactive ends the heartbeats of a host that is not active.
var errInactive = errors.New("this host is not active")

// count keeps the numbers of jobs that have not begun.
func (c *Claimer) count(ctx context.Context, e *executor.Executor) error {
	for {
		if p := e.Pending(ctx); p != nil {
			c.mu.Lock()
			c.pending = p
			c.mu.Unlock()
		}
		if sleeper.Sleep(ctx, beatEvery) != nil {
			return nil
		}
	}
}

// follower is what has been sent to one host.
type follower struct {
	rules   uint64
	pending map[string]int64
	beats   int
}

// Follow sends heartbeats to a host that follows this one.
func (c *Claimer) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	e := c.local.Load()
	if e == nil {
		return errInactive
	}
	c.followers.Add(1)
	defer c.followers.Add(-1)
	f := &follower{rules: req.GetRulesRevision()}
	for c.local.Load() == e {
		c.Meet(req.GetAddress())
		beat := c.beat(e, f)
		if err := stream.Send(beat); err != nil {
			return err
		}
		if sleeper.Sleep(stream.Context(), time.Duration(beat.GetNextMs())*time.Millisecond) != nil {
			return nil
		}
	}
	if c.ceded.Load() {
		return errCeded
	}
	return errInactive
}

// beat makes the next heartbeat; what has not changed is left out.
func (c *Claimer) beat(e *executor.Executor, f *follower) *peer.Beat {
	every := min(max(beatEvery, beatCost*time.Duration(c.followers.Load())), beatMost)
	beat := &peer.Beat{
		Epoch: e.Epoch(), Fresh: c.rules.Fresh(), NextMs: every.Milliseconds(),
		Leased: c.within(&c.renewed, c.lease),
	}
	if f.beats%hostsEvery == 0 {
		beat.Hosts = c.recent()
	}
	f.beats++
	if data, revision := c.rules.Data(); revision != f.rules {
		beat.Rules, f.rules = data, revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.pending == nil || !maps.Equal(f.pending, c.pending) {
		beat.Pending, beat.Counted, f.pending = c.pending, true, c.pending
	}
	return beat
}

// recent lists some of the hosts that were heard of lately.
func (c *Claimer) recent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.known))
	for a, at := range c.known {
		switch {
		case c.clock.Now().Sub(at) > forgetHost:
			delete(c.known, a)
		case len(list) < mostHosts:
			list = append(list, a)
		}
	}
	return list
}

// follow listens to the active host until it is silent, and reports whether it
// has given its role up.
func (c *Claimer) follow(ctx context.Context, address string) (ceded bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.leader.Store(nil)
	defer c.links.Drop(address)
	jobs, err := c.links.Jobs(address)
	if err != nil {
		c.log.Warn("the active host cannot be reached", zap.String("address", address), zap.Error(err))
		return false
	}
	_, revision := c.rules.Data()
	watch := time.AfterFunc(silentFor, cancel)
	defer watch.Stop()
	stream, err := jobs.Follow(ctx, &peer.FollowRequest{Host: c.host, Address: c.address, RulesRevision: revision})
	if err != nil {
		return false
	}
	heard := false
	for {
		beat, err := stream.Recv()
		if err != nil {
			if heard {
				c.log.Info("the active host is lost", zap.String("address", address), zap.Error(err))
			}
			return status.Code(err) == codes.Aborted
		}
		watch.Reset(patience(beat))
		if !heard {
			c.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()))
			heard = true
		}
		c.heard(address, beat)
		if !beat.GetLeased() && c.free(ctx) {
			c.log.Info("the active host has lost its lease", zap.String("address", address))
			return false
		}
	}
}

// free reports whether the ledger answers and knows of no lease.
func (c *Claimer) free(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lock, err := c.ledger.Get(ctx, lockKey)
	return err == nil && lock.Revision == 0
}

// patience is how long the active host may be silent after a heartbeat.
func patience(beat *peer.Beat) time.Duration {
	return max(silentFor, missedBeats*time.Duration(beat.GetNextMs())*time.Millisecond)
}

// heard takes a heartbeat in.
func (c *Claimer) heard(address string, beat *peer.Beat) {
	now := c.clock.Now()
	c.leader.Store(&leader{
		address: address, epoch: beat.GetEpoch(), until: now.Add(patience(beat)),
	})
	if err := c.learn(beat.GetRules()); err != nil {
		c.log.Warn("the rules of the active host cannot be read", zap.Error(err))
	}
	if beat.GetFresh() {
		c.rules.Confirm(now)
	}
	c.Meet(address)
	for _, a := range beat.GetHosts() {
		c.Meet(a)
	}
	if beat.GetCounted() {
		c.mu.Lock()
		c.pending = beat.GetPending()
		c.mu.Unlock()
	}
}
