package elector

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/supervisor"
)

// askOthers returns the address of the active host according to some of the other hosts,
// for when the ledger does not answer. The answer with the highest epoch counts. It is ""
// if none of them knows, if that is this host, or if a later host has been active; this host
// then has the latest rules of those that it asked, which otherwise come from the active host.
func (e *Elector) askOthers(ctx context.Context) string {
	var latest *peer.WhoReply
	var source rulesOffer
	others := e.hosts.addresses()
	e.askHosts(ctx, others[:min(maxHostsAsked, len(others))], dialTimeout, func(address string, reply *peer.WhoReply) {
		if err := e.offerRules(reply.GetRules()); err != nil { // of a host of an earlier version
			e.log.Warn("cannot use the rules received from another host", zap.String("address", address), zap.Error(err))
		}
		if reply.GetRulesRevision() > source.revision {
			source = rulesOffer{address: address, revision: reply.GetRulesRevision(), digest: reply.GetRulesDigest()}
		}
		e.voter.Note(reply.GetEpoch())
		if reply.GetAddress() != "" && (latest == nil || reply.GetEpoch() > latest.GetEpoch()) {
			latest = reply
		}
	})
	address := latest.GetAddress()
	if address != "" && address != e.address && latest.GetEpoch() >= e.voter.Highest() {
		return address
	}
	e.fetchOffered(ctx, source)
	return ""
}

// askHosts asks hosts at the same time which host is active, and calls each, once at a
// time, for every reply.
func (e *Elector) askHosts(ctx context.Context, addresses []string, timeout time.Duration, each func(address string, reply *peer.WhoReply)) {
	var mu sync.Mutex
	g, ctx := supervisor.New(ctx, e.log)
	for _, address := range addresses {
		g.Go("who", func() error {
			reply, err := e.askHost(ctx, address, timeout)
			if err != nil {
				return nil // without an answer nothing is known
			}
			mu.Lock()
			defer mu.Unlock()
			each(address, reply)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		e.log.Warn("cannot ask the other hosts which one is active", zap.Error(err))
	}
}

// askHost asks the host at an address which host is active.
func (e *Elector) askHost(ctx context.Context, address string, timeout time.Duration) (*peer.WhoReply, error) {
	client, err := e.conns.Client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, revision, _ := e.rules.Data()
	return client.Who(ctx, &peer.WhoRequest{RulesRevision: revision, WithoutRules: true})
}

// Who returns which host is active as far as this one knows, whether that counts as its
// confirmation, and its rules if the caller has others and does not fetch them.
func (e *Elector) Who(req *peer.WhoRequest) *peer.WhoReply {
	reply := &peer.WhoReply{}
	reply.RulesRevision, reply.RulesDigest = e.rules.LatestRead()
	data, revision, _ := e.rules.Data()
	if !req.GetWithoutRules() && revision != req.GetRulesRevision() {
		reply.Rules = data
	}
	if exec := e.localExecutor.Load(); exec != nil {
		reply.Address, reply.Epoch = e.address, exec.Epoch()
		return reply
	}
	reply.Epoch = e.voter.Highest()
	if l := e.leader.Load(); l != nil && e.clock.Now().Before(l.validUntil) && l.epoch >= reply.GetEpoch() {
		reply.Address, reply.Epoch = l.address, l.epoch
	}
	reply.Confirms = e.voter.MayConfirm(reply.GetEpoch())
	return reply
}
