// Package rulesender sends the rules of this host to other hosts, in parts and to few of
// them at a time. Heartbeats share the links: behind large messages, or those for many
// hosts, they would be late.
package rulesender

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulekeeper"
)

const (
	// partBytes is the size of a part. It takes 13 ms on a link of 10 Mbit/s.
	partBytes = 16 << 10
	// maxReceivers is how many hosts are sent rules at the same time. All ask at once after a
	// change; those that have the rules serve the others.
	maxReceivers = 3
	// receiverIdleTime is how long after its latest part a host keeps its turn.
	receiverIdleTime = time.Second
	// maxSources is how many other sources a host is told of that has to wait.
	maxSources = 4
)

// RuleSender implements peer.JobsServer.Rules. It is safe for concurrent use.
type RuleSender struct {
	rules *rulekeeper.RuleKeeper
	clock yuccapaddle.Clock

	mu        sync.Mutex
	latest    *compressed // of the rules that were sent last
	receivers map[string]*receiver
}

// compressed is one version of the rules as it is sent.
type compressed struct {
	revision, digest uint64
	data             []byte
	sources          []string // addresses of the hosts that were sent all of it
}

// receiver is a host, by address, that is being sent rules.
type receiver struct {
	rules     *compressed
	expiresAt time.Time // when its turn ends unless it asks for the next part
}

// New returns a RuleSender of the rules in force.
func New(rules *rulekeeper.RuleKeeper, clock yuccapaddle.Clock) *RuleSender {
	return &RuleSender{rules: rules, clock: clock, receivers: map[string]*receiver{}}
}

// Part returns the part of the rules that a host asks for: of those that it has the first
// parts of while it keeps its turn, or else of those in force.
func (s *RuleSender) Part(req *peer.RulesRequest) (*peer.RulesPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := s.receiver(req)
	if err != nil {
		return nil, err
	}
	if r == nil {
		return &peer.RulesPart{Busy: true, Sources: s.sources()}, nil
	}
	part := r.rules.part(req)
	r.expiresAt = s.clock.Now().Add(receiverIdleTime)
	if part.GetOffset()+int64(len(part.GetData())) == part.GetSize() {
		s.finish(req.GetAddress(), r)
	}
	return part, nil
}

// receiver returns the state of the host that asks, or nil if it has to wait for its turn.
func (s *RuleSender) receiver(req *peer.RulesRequest) (*receiver, error) {
	now := s.clock.Now()
	maps.DeleteFunc(s.receivers, func(_ string, r *receiver) bool { return now.After(r.expiresAt) })
	r := s.receivers[req.GetAddress()]
	if r != nil && r.rules.matches(req) {
		return r, nil
	}
	if r == nil && len(s.receivers) >= maxReceivers {
		return nil, nil
	}
	c, err := s.compress()
	if err != nil {
		return nil, err
	}
	r = &receiver{rules: c}
	s.receivers[req.GetAddress()] = r
	return r, nil
}

// finish records that a host has been sent the last part.
func (s *RuleSender) finish(address string, r *receiver) {
	delete(s.receivers, address)
	if address != "" && !slices.Contains(r.rules.sources, address) {
		r.rules.sources = append(r.rules.sources, address)
	}
}

// sources returns some of the hosts that were sent the rules in force.
func (s *RuleSender) sources() []string {
	_, _, digest := s.rules.Data()
	if s.latest == nil || s.latest.digest != digest {
		return nil
	}
	list := slices.Clone(s.latest.sources)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxSources)]
}

// matches reports whether a request is about these rules.
func (c *compressed) matches(req *peer.RulesRequest) bool {
	return req.GetRevision() == c.revision && req.GetDigest() == c.digest
}

// part returns the part at the offset of a request, or the first one if the request is about
// other rules.
func (c *compressed) part(req *peer.RulesRequest) *peer.RulesPart {
	size, offset := int64(len(c.data)), req.GetOffset()
	if !c.matches(req) || offset < 0 || offset >= size {
		offset = 0
	}
	data := c.data[offset:min(offset+partBytes, size)]
	return &peer.RulesPart{Revision: c.revision, Digest: c.digest, Size: size, Offset: offset, Data: data}
}

// compress returns the rules in force, compressed. All hosts ask for the same rules after a
// change, so that the result is kept.
func (s *RuleSender) compress() (*compressed, error) {
	data, revision, digest := s.rules.Data()
	if data == nil {
		return nil, status.Error(codes.NotFound, "this host has no rules yet")
	}
	if s.latest != nil && s.latest.revision == revision && s.latest.digest == digest {
		return s.latest, nil
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress the rules: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress the rules: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress the rules: %w", err)
	}
	s.latest = &compressed{revision: revision, digest: digest, data: buf.Bytes()}
	return s.latest, nil
}
