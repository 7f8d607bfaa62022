// Package permitter tells a host for how long it may start tasks. The permit is
// renewed by compare-and-swap on one key; an operator's change is accepted only
// after it has been marked in the same key. A renewal that succeeds therefore
// proves that no newer configuration had been accepted, even where the platform
// answers reads with old values.
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
	key = "permit"
	// Validity is how long after the renewal was sent the permit holds. With
	// the time to renew it has to stay under the 3 s that operators are promised.
	Validity    = 2500 * time.Millisecond
	callTimeout = time.Second
	markTries   = 50
	markPause   = 40 * time.Millisecond
)

// Permitter renews the permit or marks a change in it. It is not safe for
// concurrent use.
type Permitter struct {
	store    yuccapaddle.Store
	holder   string
	revision uint64
	current  mark
}

// mark is the value of the key.
type mark struct {
	Config uint64 `json:"config"`
	Holder string `json:"holder"`
	Count  uint64 `json:"count"`
}

// ErrOutdated means that a newer configuration has been accepted than the one
// that the host knows.
var ErrOutdated = errors.New("a newer configuration has been accepted")

// New returns a Permitter; holder differs for every process.
func New(store yuccapaddle.Store, holder string) *Permitter {
	return &Permitter{store: store, holder: holder}
}

// Renew returns the time until which tasks may be started under the
// configuration with the given revision.
func (p *Permitter) Renew(ctx context.Context, config uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	if p.current.Config > config {
		return time.Time{}, fmt.Errorf("revision %d is marked, %d is known: %w", p.current.Config, config, ErrOutdated)
	}
	if err := p.put(ctx, p.current.Config); err != nil {
		return time.Time{}, p.refresh(ctx, err)
	}
	return sent.Add(Validity), nil
}

// Mark records that a configuration is about to be called accepted.
func (p *Permitter) Mark(ctx context.Context, config uint64) error {
	var last error
	for range markTries {
		if p.revision != 0 && p.current.Config >= config {
			return nil
		}
		last = p.put(ctx, config)
		if last == nil {
			return nil
		}
		_ = p.refresh(ctx, last)
		if err := sleeper.Sleep(ctx, markPause); err != nil {
			return fmt.Errorf("mark revision %d: %w: %w", config, yuccapaddle.ErrUnknown, err)
		}
	}
	return fmt.Errorf("mark revision %d: %w", config, last)
}

func (p *Permitter) put(ctx context.Context, config uint64) error {
	next := mark{Config: config, Holder: p.holder, Count: p.current.Count + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the permit: %w", err)
	}
	rev, err := p.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value, IfRevision: p.revision})
	if err != nil {
		return err
	}
	p.revision, p.current = rev, next
	return nil
}

// refresh reads the key after a failed write. An old value that is read here
// makes only the next write fail.
func (p *Permitter) refresh(ctx context.Context, cause error) error {
	e, err := p.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("renew the permit: %w", errors.Join(cause, err))
	}
	var m mark
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return fmt.Errorf("the permit cannot be decoded: %w", err)
		}
	}
	p.revision, p.current = e.Revision, m
	return fmt.Errorf("renew the permit: %w", cause)
}
