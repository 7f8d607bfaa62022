// Package rulesender streams the rules of this host to other hosts, in parts. Heartbeats
// share the connection, so that large rules must never be one message: on a slow link the
// heartbeats behind it would be late.
package rulesender

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulekeeper"
)

// partBytes is the size of a part. On a link of 10 Mbit/s a heartbeat waits some 26 ms
// behind one.
const partBytes = 32 << 10

// RuleSender implements peer.JobsServer.Rules. It is safe for concurrent use.
type RuleSender struct {
	rules *rulekeeper.RuleKeeper

	mu     sync.Mutex
	latest *compressed // of the rules that were sent last
}

// compressed is one version of the rules as it is sent.
type compressed struct {
	revision, digest uint64
	data             []byte
}

// New returns a RuleSender of the rules in force.
func New(rules *rulekeeper.RuleKeeper) *RuleSender {
	return &RuleSender{rules: rules}
}

// Send streams the rules in force, from the offset of the request on if they are the same.
func (s *RuleSender) Send(req *peer.RulesRequest, stream grpc.ServerStreamingServer[peer.RulesPart]) error {
	c, err := s.compress()
	if err != nil {
		return err
	}
	size := int64(len(c.data))
	offset := req.GetOffset()
	if req.GetRevision() != c.revision || req.GetDigest() != c.digest || offset < 0 || offset > size {
		offset = 0
	}
	for offset < size {
		end := min(offset+partBytes, size)
		part := &peer.RulesPart{Revision: c.revision, Digest: c.digest, Size: size, Offset: offset, Data: c.data[offset:end]}
		if err := stream.Send(part); err != nil {
			return err
		}
		offset = end
	}
	return nil
}

// compress returns the rules in force, compressed. All hosts ask for the same rules after a
// change, so that the result is kept.
func (s *RuleSender) compress() (*compressed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
