package claimer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// A ledger that refuses the active host alone would leave it in its role until
// its lease has ended, and callers would be refused all the while. So it gives the
// role up to a host that the ledger answers.

const (
	// refusals is how many renewals in a row have to be refused.
	refusals = 2
	// askedHosts is how many hosts are asked whether the ledger answers them.
	askedHosts = 3
)

// errCeded ends the heartbeats of a host that gives its role up. Followers that
// read it do not wait for the lease.
var errCeded = status.Error(codes.Aborted, "this host gives its role up")

// Reaches reports whether the ledger answers this host.
func (c *Claimer) Reaches(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	_, err := c.ledger.Get(ctx, lockKey)
	return err == nil
}

// refusedAlone reports whether the ledger answers one of some other hosts.
func (c *Claimer) refusedAlone(ctx context.Context) bool {
	others := c.others()
	for _, address := range others[:min(askedHosts, len(others))] {
		if c.reachedBy(ctx, address) {
			return true
		}
	}
	return false
}

// reachedBy reports whether the ledger answers another host.
func (c *Claimer) reachedBy(ctx context.Context, address string) bool {
	jobs, err := c.links.Jobs(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*dialTime)
	defer cancel()
	reply, err := jobs.Reach(ctx, &peer.ReachRequest{})
	return err == nil && reply.GetReached()
}

// refusal reports whether the ledger has answered that it does nothing, which
// unlike a lost answer does not come by chance.
func refusal(err error) bool {
	return errors.Is(err, yuccapaddle.ErrNotTaken) || errors.Is(err, yuccapaddle.ErrNotApplied)
}

// takeCeded claims the role of a host that has given it up.
func (c *Claimer) takeCeded(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lock, err := c.ledger.Get(callCtx, lockKey)
	if err != nil || c.yielding.Load() {
		return
	}
	if lock.Revision != 0 && string(lock.Value) != address {
		return // somebody else has it by now
	}
	c.claim(ctx, lock.Revision, true)
}
