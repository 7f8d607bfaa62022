package elector

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/supervisor"
)

// If the ledger refuses only the active host, that host would keep its role until its
// lease expires, and reject callers until then. So it hands the role over as soon as it
// knows that the ledger answers another host.

const (
	// refusalsToHandOver is how many renewals in a row the ledger has to refuse before
	// the active host considers a handover.
	refusalsToHandOver = 2
	// maxHostsAsked is how many other hosts are asked at most in one round.
	maxHostsAsked = 5
)

// errHandedOver ends the heartbeat streams of a host that hands its role over. Followers
// that receive it claim the role without waiting for the lease to expire.
var errHandedOver = status.Error(codes.Aborted, "this host is handing over the active role")

// ReachesLedger reports whether the ledger answers this host.
func (e *Elector) ReachesLedger(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := e.ledger.Get(ctx, lockKey)
	return err == nil
}

// otherHostReachesLedger asks up to maxHostsAsked other hosts at the same time, and reports
// whether the ledger answers any of them.
func (e *Elector) otherHostReachesLedger(ctx context.Context) bool {
	others := e.hosts.addresses()
	others = others[:min(maxHostsAsked, len(others))]
	var reached atomic.Bool
	g, ctx := supervisor.New(ctx, e.log)
	for _, address := range others {
		g.Go("reach", func() error {
			if !e.hostReachesLedger(ctx, address) {
				return nil
			}
			reached.Store(true)
			return errAnswered // which ends the other calls
		})
	}
	if err := g.Wait(); err != nil && !errors.Is(err, errAnswered) {
		e.log.Warn("cannot ask other hosts whether the ledger answers them", zap.Error(err))
	}
	return reached.Load()
}

// errAnswered ends a round of calls once the first answer is sufficient.
var errAnswered = errors.New("a host has answered")

// hostReachesLedger reports whether the ledger answers the host at an address.
func (e *Elector) hostReachesLedger(ctx context.Context, address string) bool {
	client, err := e.conns.Client(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	reply, err := client.Reach(ctx, &peer.ReachRequest{})
	return err == nil && reply.GetReached()
}

// isRefusal reports whether the ledger answered that it did not carry out a call. Unlike a
// lost answer, that is not a transient network failure.
func isRefusal(err error) bool {
	return errors.Is(err, yuccapaddle.ErrNotAccepted) || errors.Is(err, yuccapaddle.ErrNotApplied)
}

// claimHandedOver claims the role that the host at an address has handed over in an epoch.
func (e *Elector) claimHandedOver(ctx context.Context, address string, epoch uint64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lock, err := e.ledger.Get(callCtx, lockKey)
	if err != nil || e.resigned.Load() {
		return
	}
	if lock.Revision != 0 && string(lock.Value) != address {
		return // another host has claimed it already
	}
	e.claim(ctx, lock.Revision, epoch)
}
