package claimer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/sleeper"
)

const (
	beatEvery = 250 * time.Millisecond
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

// Follow sends heartbeats to a host that follows this one.
func (c *Claimer) Follow(req *peer.FollowRequest, stream grpc.ServerStreamingServer[peer.Beat]) error {
	e := c.local.Load()
	if e == nil {
		return errInactive
	}
	c.Meet(req.GetAddress())
	sent := req.GetRulesRevision()
	for c.local.Load() == e {
		beat := c.beat(e, &sent)
		if err := stream.Send(beat); err != nil {
			return err
		}
		c.Meet(req.GetAddress())
		if sleeper.Sleep(stream.Context(), beatEvery) != nil {
			return nil
		}
	}
	return errInactive
}

func (c *Claimer) beat(e *executor.Executor, sent *uint64) *peer.Beat {
	now := c.clock.Now()
	beat := &peer.Beat{
		Epoch: e.Epoch(), Hosts: c.recent(),
		Fresh:  c.rules.Fresh(),
		Leased: now.Sub(time.Unix(0, c.renewed.Load())) < c.lease,
	}
	if data, revision := c.rules.Data(); revision != *sent {
		beat.Rules = data
		*sent = revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	beat.Pending = c.pending
	return beat
}

func (c *Claimer) recent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.known))
	for a, at := range c.known {
		if c.clock.Now().Sub(at) < forgetHost {
			list = append(list, a)
		} else {
			delete(c.known, a)
		}
	}
	return list
}

// follow listens to the active host until it is silent.
func (c *Claimer) follow(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.leader.Store(nil)
	defer c.links.Drop(address)
	jobs, err := c.links.Jobs(address)
	if err != nil {
		c.log.Warn("the active host cannot be reached", zap.String("address", address), zap.Error(err))
		return
	}
	_, revision := c.rules.Data()
	watch := time.AfterFunc(silentFor, cancel)
	defer watch.Stop()
	stream, err := jobs.Follow(ctx, &peer.FollowRequest{Host: c.host, Address: c.address, RulesRevision: revision})
	if err != nil {
		return
	}
	heard := false
	for {
		beat, err := stream.Recv()
		if err != nil {
			if heard {
				c.log.Info("the active host is lost", zap.String("address", address), zap.Error(err))
			}
			return
		}
		watch.Reset(silentFor)
		if !heard {
			c.log.Info("another host is active", zap.String("address", address), zap.Uint64("epoch", beat.GetEpoch()))
			heard = true
		}
		c.heard(address, beat)
		if !beat.GetLeased() && c.free(ctx) {
			c.log.Info("the active host has lost its lease", zap.String("address", address))
			return
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

// heard takes a heartbeat in.
func (c *Claimer) heard(address string, beat *peer.Beat) {
	now := c.clock.Now()
	c.leader.Store(&leader{address: address, epoch: beat.GetEpoch(), heardAt: now})
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
	c.mu.Lock()
	c.pending = beat.GetPending()
	c.mu.Unlock()
}
