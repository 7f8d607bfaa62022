package elector

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulefetcher"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/supervisor"
)

const (
	// searchFetchTimeout bounds one attempt to fetch rules while this host looks for the
	// active one. The next attempt continues where it ended.
	searchFetchTimeout = dialTimeout
	// minFetchPause and maxFetchPause bound the time after which a host that was busy
	// sending the rules to others is asked again.
	minFetchPause = 50 * time.Millisecond
	maxFetchPause = 400 * time.Millisecond
)

// rulesOffer identifies the rules of a host. revision is the latest revision of the store at
// which it knows them to have been read.
type rulesOffer struct {
	address          string
	revision, digest uint64
}

// RulesPart returns a part of the rules of this host.
func (e *Elector) RulesPart(req *peer.RulesRequest) (*peer.RulesPart, error) {
	return e.sender.Part(req)
}

// offerRules applies rules received from another host unless they are older than those
// in force. Empty data means that the other host sent none.
func (e *Elector) offerRules(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return e.rules.Offer(data, "host")
}

// wants reports whether rules differ from those in force and were read later, and were not
// found useless when they were fetched before.
func (e *Elector) wants(revision, digest uint64) bool {
	ownRevision, ownDigest := e.rules.LatestRead()
	return digest != ownDigest && revision > ownRevision && !e.fetcher.Useless(digest)
}

// fetchOffered fetches the rules that a host has offered, if this one wants them.
func (e *Elector) fetchOffered(ctx context.Context, offer rulesOffer) {
	e.rules.NoteRead(offer.revision, offer.digest)
	if offer.address == "" || offer.digest == 0 || !e.wants(offer.revision, offer.digest) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, searchFetchTimeout)
	defer cancel()
	client, err := e.conns.Client(offer.address)
	if err == nil {
		err = e.fetcher.Fetch(ctx, client, rulefetcher.WithReadAt(offer.revision, offer.digest))
	}
	if err != nil {
		e.log.Info("cannot fetch the rules", zap.String("address", offer.address), zap.Error(err))
	}
}

// ruleFollower keeps the rules of a follower up to date with those of the active host.
type ruleFollower struct {
	e      *Elector
	client peer.JobsClient
	leader string
	group  *supervisor.Supervisor
	latest atomic.Pointer[rulesStatus]
}

// rulesStatus is the part of a heartbeat about the rules of the active host.
type rulesStatus struct {
	revision, digest uint64
	fresh            bool // they were the latest
	sentAt           time.Time
}

// observe handles the part of a heartbeat about the rules, valid as of the time at which it
// was sent. Rules are fetched concurrently, so that heartbeats do not wait for them.
func (r *ruleFollower) observe(ctx context.Context, beat *peer.Beat, sentAt time.Time) {
	status := &rulesStatus{beat.GetRulesRevision(), beat.GetRulesDigest(), beat.GetFresh(), sentAt}
	r.latest.Store(status)
	r.e.rules.NoteRead(status.revision, status.digest)
	if status.digest != 0 && r.e.wants(status.revision, status.digest) {
		r.fetch(ctx)
		return
	}
	r.confirm()
}

// confirm records that the rules in force are the latest if the last heartbeat says so. A
// host of an earlier version sends its rules, and no digest.
func (r *ruleFollower) confirm() {
	status := r.latest.Load()
	_, _, own := r.e.rules.Data()
	if status.fresh && (status.digest == 0 || status.digest == own) {
		r.e.rules.Confirm(status.sentAt)
	}
}

// fetch starts to fetch the rules unless that is in progress.
func (r *ruleFollower) fetch(ctx context.Context) {
	if !r.e.fetchingRules.CompareAndSwap(false, true) {
		return
	}
	r.group.Go("rules", func() error {
		defer r.e.fetchingRules.Store(false)
		if err := r.fetchUntilDone(ctx); err != nil && ctx.Err() == nil {
			r.e.log.Info("cannot fetch the rules", zap.String("address", r.leader), zap.Error(err))
		}
		r.confirm()
		return nil
	})
}

// fetchUntilDone fetches the rules of the active host until the latest heartbeat announces
// no others, or an attempt fails.
func (r *ruleFollower) fetchUntilDone(ctx context.Context) error {
	for pause := minFetchPause; ; pause = min(2*pause, maxFetchPause) {
		if err := r.fetchOnce(ctx); err != nil {
			return err
		}
		if status := r.latest.Load(); !r.e.wants(status.revision, status.digest) {
			return nil
		}
		if err := sleeper.SleepJittered(ctx, pause); err != nil {
			return err
		}
	}
}

// fetchOnce fetches the rules from the active host or, while that is busy sending them to
// others, from a host that has received them. It is no error if that one fails as well.
func (r *ruleFollower) fetchOnce(ctx context.Context) error {
	status := r.latest.Load()
	readAt := rulefetcher.WithReadAt(status.revision, status.digest)
	err := r.e.fetcher.Fetch(ctx, r.client, readAt)
	sources, busy := rulefetcher.Busy(err)
	if !busy {
		return err
	}
	if len(sources) == 0 {
		return nil
	}
	if err := r.fetchFrom(ctx, sources[0], readAt); err != nil {
		if _, busy := rulefetcher.Busy(err); !busy {
			r.e.log.Info("cannot fetch the rules", zap.String("address", sources[0]), zap.Error(err))
		}
	}
	return nil
}

// fetchFrom fetches the rules from a host that has received them from the active one.
func (r *ruleFollower) fetchFrom(ctx context.Context, address string, readAt rulefetcher.Option) error {
	client, err := r.e.conns.Client(address)
	if err != nil {
		return err
	}
	return r.e.fetcher.Fetch(ctx, client, readAt)
}
