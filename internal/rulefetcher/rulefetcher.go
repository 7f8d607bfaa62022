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

	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/rulekeeper"
)

const (
	// partTimeout is how long a part may take. It does not grow with the rules.
	partTimeout = 1500 * time.Millisecond
	// maxRulesBytes is the size of the largest rules that are taken, before and after they
	// are decompressed.
	maxRulesBytes = 8 << 20
)

// errInconsistent reports parts that do not belong together.
var errInconsistent = errors.New("the parts of the rules do not belong together")

// busyError reports a host that sends the rules to others already.
type busyError struct{ sources []string }

// Error implements error.
func (e *busyError) Error() string {
	return "the host sends the rules to others already"
}

// Busy reports whether an error of Fetch means that the host was busy, and returns other
// hosts that have its rules.
func Busy(err error) (sources []string, busy bool) {
	var e *busyError
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.sources, true
}

// RuleFetcher fetches rules, one version at a time.
type RuleFetcher struct {
	rules   *rulekeeper.RuleKeeper
	address string

	fetching sync.Mutex // held during Fetch; guards partial
	partial  partial

	mu      sync.Mutex
	useless uint64 // digest of the rules that were fetched last, if they can never come into force
}

// version identifies rules.
type version struct{ revision, digest uint64 }

// partial is what has arrived of a version of the rules.
type partial struct {
	version
	size int64
	data []byte
}

// Option changes a call of Fetch.
type Option func(*version)

// WithReadAt sets a revision of the store at which a host has read rules with the digest. If
// the fetched rules have that digest, they count as read at that revision.
func WithReadAt(revision, digest uint64) Option {
	return func(v *version) { *v = version{revision, digest} }
}

// New returns a RuleFetcher that puts what it fetches into force. Others can fetch the rules
// at address afterwards.
func New(rules *rulekeeper.RuleKeeper, address string) *RuleFetcher {
	return &RuleFetcher{rules: rules, address: address}
}

// Useless reports whether the rules that were fetched last have the digest and can never come
// into force here, so that they need not be fetched again, whenever they were read.
func (f *RuleFetcher) Useless(digest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return digest != 0 && f.useless == digest
}

// Fetch fetches the rules of a host and puts them into force, unless newer ones are. It
// ends early if a part takes longer than partTimeout. After an error the next call goes on from
// what has arrived, if the host it calls has the same rules.
func (f *RuleFetcher) Fetch(ctx context.Context, client peer.JobsClient, opts ...Option) error {
	var read version
	for _, o := range opts {
		o(&read)
	}
	f.fetching.Lock()
	defer f.fetching.Unlock()
	if err := f.receive(ctx, client); err != nil {
		return fmt.Errorf("fetch the rules: %w", err)
	}
	fetched := f.partial
	f.partial = partial{}
	data, err := decompress(fetched.data)
	if err != nil {
		return fmt.Errorf("decompress the rules: %w", err)
	}
	err = f.rules.OfferReadAt(data, read.revision, read.digest, "host")
	f.noteResult(fetched.digest, err)
	if err != nil {
		return fmt.Errorf("use the rules: %w", err)
	}
	return nil
}

// noteResult records whether fetched rules with a digest are useless, from the error of
// their offer.
func (f *RuleFetcher) noteResult(digest uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.useless = 0
	if err != nil {
		f.useless = digest
	}
}

// receive adds to the partial rules until they are complete.
func (f *RuleFetcher) receive(ctx context.Context, client peer.JobsClient) error {
	for !f.partial.complete() {
		part, err := f.nextPart(ctx, client)
		if err != nil {
			return err
		}
		if part.GetBusy() {
			return &busyError{part.GetSources()}
		}
		if err := f.partial.add(part); err != nil {
			f.partial = partial{}
			return err
		}
	}
	return nil
}

func (f *RuleFetcher) nextPart(ctx context.Context, client peer.JobsClient) (*peer.RulesPart, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	return client.Rules(ctx, &peer.RulesRequest{
		Revision: f.partial.revision, Digest: f.partial.digest, Offset: int64(len(f.partial.data)), Address: f.address,
	})
}

func (p *partial) complete() bool {
	return p.size > 0 && int64(len(p.data)) == p.size
}

// add adds the next part. One with offset 0 begins anew.
func (p *partial) add(part *peer.RulesPart) error {
	if part.GetOffset() == 0 {
		*p = partial{version: version{part.GetRevision(), part.GetDigest()}, size: part.GetSize()}
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
