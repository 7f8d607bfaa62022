// Package rulefetcher fetches the rules from another host and puts them into force. A
// transfer that was cut short goes on where it ended.
package rulefetcher

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulekeeper"
)

const (
	// partTimeout is how long the next part may take. It does not grow with the rules.
	partTimeout = 2 * time.Second
	// maxRulesBytes is the size of the largest rules that are taken, before and after they
	// are decompressed.
	maxRulesBytes = 8 << 20
)

// errInconsistent reports parts that do not belong together.
var errInconsistent = errors.New("the parts of the rules do not belong together")

// RuleFetcher fetches rules, one version at a time.
type RuleFetcher struct {
	rules *rulekeeper.RuleKeeper
	clock yuccapaddle.Clock

	fetching sync.Mutex // held during Fetch; guards partial
	partial  partial

	mu      sync.Mutex
	quietAt time.Time // when the transfer in progress counts as hanging, zero if there is none
}

// partial is what has arrived of a version of the rules.
type partial struct {
	revision, digest uint64
	size             int64
	data             []byte
}

// New returns a RuleFetcher that puts what it fetches into force.
func New(rules *rulekeeper.RuleKeeper, clock yuccapaddle.Clock) *RuleFetcher {
	return &RuleFetcher{rules: rules, clock: clock}
}

// Progressing reports whether rules are arriving.
func (f *RuleFetcher) Progressing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.quietAt)
}

// Fetch fetches the rules of a host and puts them into force, unless newer ones are. It
// ends early if no part arrives for partTimeout. After an error the next call goes on from
// what has arrived, if the host it calls has the same rules.
func (f *RuleFetcher) Fetch(ctx context.Context, client peer.JobsClient) error {
	f.fetching.Lock()
	defer f.fetching.Unlock()
	defer f.setQuiet(time.Time{})
	if err := f.receive(ctx, client); err != nil {
		return fmt.Errorf("fetch the rules: %w", err)
	}
	data, err := decompress(f.partial.data)
	f.partial = partial{}
	if err != nil {
		return fmt.Errorf("decompress the rules: %w", err)
	}
	if err := f.rules.Offer(data, "host"); err != nil {
		return fmt.Errorf("decode the rules: %w", err)
	}
	return nil
}

// receive adds to the partial rules until they are complete.
func (f *RuleFetcher) receive(ctx context.Context, client peer.JobsClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(partTimeout, cancel)
	defer watchdog.Stop()
	stream, err := client.Rules(ctx, &peer.RulesRequest{
		Revision: f.partial.revision, Digest: f.partial.digest, Offset: int64(len(f.partial.data)),
	})
	if err != nil {
		return err
	}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) && f.partial.complete() {
			return nil
		}
		if err != nil {
			return err
		}
		watchdog.Reset(partTimeout)
		f.setQuiet(f.clock.Now().Add(partTimeout))
		if err := f.partial.add(part); err != nil {
			f.partial = partial{}
			return err
		}
		if f.partial.complete() {
			return nil
		}
	}
}

func (f *RuleFetcher) setQuiet(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quietAt = at
}

func (p *partial) complete() bool {
	return p.size > 0 && int64(len(p.data)) == p.size
}

// add adds the next part. One with offset 0 begins anew.
func (p *partial) add(part *peer.RulesPart) error {
	if part.GetOffset() == 0 {
		*p = partial{revision: part.GetRevision(), digest: part.GetDigest(), size: part.GetSize()}
	}
	data := part.GetData()
	switch {
	case part.GetRevision() != p.revision, part.GetDigest() != p.digest, part.GetSize() != p.size, part.GetOffset() != int64(len(p.data)):
		return errInconsistent
	case p.size > maxRulesBytes:
		return fmt.Errorf("the rules have %d bytes, more than %d", p.size, int64(maxRulesBytes))
	case len(data) == 0, int64(len(p.data)+len(data)) > p.size:
		return errInconsistent
	}
	p.data = append(p.data, data...)
	return nil
}

// decompress reverses the compression of the sender.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRulesBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxRulesBytes {
		return nil, fmt.Errorf("the rules have more than %d bytes", int64(maxRulesBytes))
	}
	return plain, nil
}
