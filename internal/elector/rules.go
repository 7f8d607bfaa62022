package elector

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/supervisor"
)

// fetchTimeout bounds one attempt to fetch rules while this host looks for the active one.
// The next attempt goes on where it ended.
const fetchTimeout = callTimeout

// rulesOffer is what a host tells of its rules.
type rulesOffer struct {
	address          string
	revision, digest uint64
}

// SendRules streams the rules of this host.
func (e *Elector) SendRules(req *peer.RulesRequest, stream grpc.ServerStreamingServer[peer.RulesPart]) error {
	return e.sender.Send(req, stream)
}

// offerRules applies rules received from another host unless they are older than those
// in force. Empty data means that the other host sent none.
func (e *Elector) offerRules(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return e.rules.Offer(data, "host")
}

// wants reports whether rules differ from those in force and are newer.
func (e *Elector) wants(revision, digest uint64) bool {
	_, ownRevision, ownDigest := e.rules.Data()
	return digest != ownDigest && revision > ownRevision
}

// fetchOffered fetches the rules that a host has offered, if this one wants them.
func (e *Elector) fetchOffered(ctx context.Context, offer rulesOffer) {
	if offer.address == "" || offer.digest == 0 || !e.wants(offer.revision, offer.digest) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client, err := e.conns.Client(offer.address)
	if err == nil {
		err = e.fetcher.Fetch(ctx, client)
	}
	if err != nil {
		e.log.Info("cannot fetch the rules", zap.String("address", offer.address), zap.Error(err))
	}
}

// ruleFollower keeps the rules of a follower up to date with those of the active host.
type ruleFollower struct {
	e        *Elector
	client   peer.JobsClient
	leader   string
	group    *supervisor.Supervisor
	fetching atomic.Bool
}

// observe handles what a heartbeat tells of the rules, which was so when it was sent. The
// rules are fetched beside the heartbeats, which must not wait for them.
func (r *ruleFollower) observe(ctx context.Context, beat *peer.Beat, sentAt time.Time) {
	revision, digest := beat.GetRulesRevision(), beat.GetRulesDigest()
	if digest != 0 && r.e.wants(revision, digest) {
		r.fetch(ctx)
		return
	}
	if _, _, own := r.e.rules.Data(); beat.GetFresh() && (digest == 0 || digest == own) {
		r.e.rules.Confirm(sentAt)
	}
}

// fetch starts a transfer unless one is in progress.
func (r *ruleFollower) fetch(ctx context.Context) {
	if !r.fetching.CompareAndSwap(false, true) {
		return
	}
	r.group.Go("rules", func() error {
		defer r.fetching.Store(false)
		if err := r.e.fetcher.Fetch(ctx, r.client); err != nil && ctx.Err() == nil {
			r.e.log.Info("cannot fetch the rules", zap.String("address", r.leader), zap.Error(err))
		}
		return nil
	})
}
