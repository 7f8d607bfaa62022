// Package permitter maintains the permit under which a host may start tasks for a
// limited time. The permit is renewed by compare-and-swap on one key, and an
// operator's change is accepted only after its revision is marked in the same key.
// A successful renewal therefore proves that no newer configuration had been
// accepted, even if the platform's reads return stale values.
package permitter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	permitKey = "permit"
	// permitValidity is how long the permit is valid after its renewal was sent. Together
	// with the time that a renewal takes, it must stay below the 3 s within which
	// operators are guaranteed that an accepted change takes effect.
	permitValidity = 2500 * time.Millisecond

	callTimeout       = time.Second
	maxMarkAttempts   = 50
	markRetryInterval = 40 * time.Millisecond
)

// Permitter renews the permit or marks a revision in it. It is not safe for
// concurrent use.
type Permitter struct {
	store       yuccapaddle.Store
	holder      string
	keyRevision uint64 // of the key in the store, as last written or read
	current     permit
}

// permit is the value of the key. ConfigRevision is the highest marked revision of the
// configuration, and Count rises with each write.
type permit struct {
	ConfigRevision uint64 `json:"config"`
	Holder         string `json:"holder"`
	Count          uint64 `json:"count"`
}

// ErrOutdated reports that a newer configuration is marked than the one that the host
// knows.
var ErrOutdated = errors.New("a newer configuration has been accepted")

// New returns a Permitter. holder is the name of the writer in the stored permit.
func New(store yuccapaddle.Store, holder string) *Permitter {
	return &Permitter{store: store, holder: holder}
}

// Renew renews the permit and returns the time until which tasks may be started under
// the configuration with the given revision. The error matches ErrOutdated if a
// newer revision is marked. After a failed write it reads the key, so that the next
// renewal can succeed; the first one fails if the key exists.
func (p *Permitter) Renew(ctx context.Context, configRevision uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	if p.current.ConfigRevision > configRevision {
		return time.Time{}, fmt.Errorf("revision %d is marked, %d is known: %w", p.current.ConfigRevision, configRevision, ErrOutdated)
	}
	if err := p.writePermit(ctx, p.current.ConfigRevision); err != nil {
		return time.Time{}, p.readPermit(ctx, err)
	}
	return sentAt.Add(permitValidity), nil
}

// Mark marks a revision of the configuration, before it is reported as accepted. It
// tries up to maxMarkAttempts times.
func (p *Permitter) Mark(ctx context.Context, configRevision uint64) error {
	var lastErr error
	for range maxMarkAttempts {
		if p.keyRevision != 0 && p.current.ConfigRevision >= configRevision {
			return nil
		}
		lastErr = p.writePermit(ctx, configRevision)
		if lastErr == nil {
			return nil
		}
		_ = p.readPermit(ctx, lastErr)
		if err := sleeper.Sleep(ctx, markRetryInterval); err != nil {
			return fmt.Errorf("mark revision %d: %w: %w", configRevision, yuccapaddle.ErrUnknown, err)
		}
	}
	return fmt.Errorf("mark revision %d: %w", configRevision, lastErr)
}

// writePermit writes the permit if the key has not changed since it was last read or
// written.
func (p *Permitter) writePermit(ctx context.Context, configRevision uint64) error {
	next := permit{ConfigRevision: configRevision, Holder: p.holder, Count: p.current.Count + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the permit: %w", err)
	}
	rev, err := p.store.Put(ctx, yuccapaddle.Write{Key: permitKey, Value: value, IfRevision: p.keyRevision})
	if err != nil {
		return err
	}
	p.keyRevision, p.current = rev, next
	return nil
}

// readPermit reads the key after a write that failed with cause, and always returns
// an error. A stale value that is read here only makes the next write fail.
func (p *Permitter) readPermit(ctx context.Context, cause error) error {
	e, err := p.store.Get(ctx, permitKey)
	if err != nil {
		return fmt.Errorf("renew the permit: %w", errors.Join(cause, err))
	}
	var stored permit
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &stored); err != nil {
			return fmt.Errorf("the permit cannot be decoded: %w", err)
		}
	}
	p.keyRevision, p.current = e.Revision, stored
	return fmt.Errorf("renew the permit: %w", cause)
}
