// Package rulekeeper holds the operators' rules that are in force on this host. It never
// replaces them by older ones.
package rulekeeper

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/dater"
	"yuccapaddle/internal/sleeper"
)

const (
	// pollFraction is the time between two reads of the rules, as a fraction of the
	// time within which a change must be in force.
	pollFraction = 0.28
	// freshFraction is how long after a read the active host confirms its rules to the
	// other hosts, and staleFraction how long after the last confirmation a host reads
	// the rules itself, both as fractions of the same time. Together with
	// idlePollInterval they must stay below that time.
	freshFraction = 0.4
	staleFraction = 0.28
	// overdueFraction is how long after the last confirmation a host reads the rules itself
	// although it is getting them from another host, as a fraction of the same time.
	overdueFraction  = 0.5
	idlePollInterval = 150 * time.Millisecond
	// activePollInterval is the most time between two reads of the active host, from which
	// the others have the rules.
	activePollInterval = 400 * time.Millisecond
	// maxPollBytesPerSecond makes the active host read large rules less often, since hosts
	// may have slow links.
	maxPollBytesPerSecond = 16_000
	// readTimeout bounds the silence of a read, not the whole of it: rules may be large,
	// and links slow.
	readTimeout = 600 * time.Millisecond
	// shortReadTimeout and retryInterval apply while the rules cannot be read and the host
	// needs them to place tasks.
	shortReadTimeout = 250 * time.Millisecond
	retryInterval    = 100 * time.Millisecond
	// readFraction bounds a whole read, as a fraction of the time within which a change
	// must be in force: rules that come late are better than none.
	readFraction = 4
)

// errConfirmed ends a read that has become needless: another host has confirmed the rules
// in force.
var errConfirmed = errors.New("the rules in force were confirmed meanwhile")

// RuleKeeper holds the rules in force. It is safe for concurrent use, except for Run.
type RuleKeeper struct {
	ruleSource    yuccapaddle.RuleSource
	log           *zap.Logger
	clock         yuccapaddle.Clock
	current       atomic.Pointer[snapshot]
	confirmedAt   atomic.Int64 // Unix nanoseconds of the steady clock
	unreadable    bool         // the last read by Run failed
	arrived       int64        // bytes of the last read
	attempts      *attempter.Attempter
	changed       atomic.Pointer[chan struct{}]           // closed when other rules come into force
	endRead       atomic.Pointer[context.CancelCauseFunc] // ends the read in progress, nil if there is none
	applyWithinMS int64                                   // in milliseconds
	revisions     *dater.Dater                            // of the store at the reads
}

// errLowerVersion is the error for rules that were read later than those in force and have
// a lower version.
var errLowerVersion = errors.New("the rules have a lower version than those in force")

// snapshot is one version of the rules, with the bytes that it was decoded from.
type snapshot struct {
	rules *yuccapaddle.Rules
	data  []byte
	// readRevision is the latest revision of the store at which rules with this content are
	// known to have been read. That of rules is the revision at which data was read.
	readRevision uint64
}

// New returns a RuleKeeper without rules. applyWithinMS is the time within which a change
// must be in force, in milliseconds.
func New(ruleSource yuccapaddle.RuleSource, applyWithinMS int64, clock yuccapaddle.Clock, log *zap.Logger) *RuleKeeper {
	r := &RuleKeeper{
		ruleSource: ruleSource, applyWithinMS: applyWithinMS, clock: clock, log: log,
		attempts: attempter.New(readTimeout, shortReadTimeout), revisions: dater.New(),
	}
	changed := make(chan struct{})
	r.changed.Store(&changed)
	return r
}

// Current returns the rules in force, nil if there are none yet.
func (r *RuleKeeper) Current() *yuccapaddle.Rules {
	if s := r.current.Load(); s != nil {
		return s.rules
	}
	return nil
}

// Confirmed returns the rules in force, nil until they were known to be the latest at least
// once since this process started. Before that they may be from a host that has missed
// changes, for instance the withdrawal of a key.
func (r *RuleKeeper) Confirmed() *yuccapaddle.Rules {
	if r.confirmedAt.Load() == 0 {
		return nil
	}
	return r.Current()
}

// Changed returns a channel that is closed when other rules come into force than those
// that Current returns after the call.
func (r *RuleKeeper) Changed() <-chan struct{} {
	return *r.changed.Load()
}

// Data returns the rules in the encoding that hosts pass to each other, and their
// revision and digest; nil and 0 if there are none yet.
func (r *RuleKeeper) Data() (data []byte, revision, digest uint64) {
	if s := r.current.Load(); s != nil {
		return s.data, s.rules.Revision, s.rules.Digest
	}
	return nil, 0, 0
}

// LatestRead returns the latest revision of the store at which the rules in force are known
// to have been read, here or by another host, and their digest; 0 if there are none yet. The
// revision may be later than that of Data, which stays the same while the content does.
func (r *RuleKeeper) LatestRead() (revision, digest uint64) {
	if s := r.current.Load(); s != nil {
		return s.readRevision, s.rules.Digest
	}
	return 0, 0
}

// NoteRead records that a host has read rules with the digest at a revision of the store. It
// has no effect unless rules with that content are in force.
func (r *RuleKeeper) NoteRead(revision, digest uint64) {
	for {
		old := r.current.Load()
		if old == nil || digest != old.rules.Digest || revision <= old.readRevision {
			return
		}
		if r.current.CompareAndSwap(old, old.readAgain(revision)) {
			r.revisions.Note(revision, r.clock.Now())
			return
		}
	}
}

// StoreReachedBy returns a time by which the store had certainly reached a revision, zero if
// none is known. It goes by the revisions at which this host and others have read the rules.
func (r *RuleKeeper) StoreReachedBy(revision uint64) time.Time {
	return r.revisions.ReachedBy(revision)
}

// ConfirmedAt returns the last time at which the rules in force were known to be the
// latest.
func (r *RuleKeeper) ConfirmedAt() time.Time {
	return time.Unix(0, r.confirmedAt.Load())
}

// Confirm records that the rules in force were the latest ones at the given time. A read
// in progress ends if they need not be read for some time.
func (r *RuleKeeper) Confirm(at time.Time) {
	r.confirm(at)
	if end := r.endRead.Load(); end != nil && !r.Stale() {
		(*end)(errConfirmed)
	}
}

func (r *RuleKeeper) confirm(at time.Time) {
	ns := at.UnixNano()
	for {
		old := r.confirmedAt.Load()
		if old >= ns || r.confirmedAt.CompareAndSwap(old, ns) {
			return
		}
	}
}

// Offer decodes rules and puts them into force, unless those in force were read at the same
// revision of the store or a later one. The error is set if the rules cannot be decoded, or
// have a lower version although they were read later: they can never come into force here.
func (r *RuleKeeper) Offer(data []byte, source string) error {
	return r.OfferReadAt(data, 0, 0, source)
}

// OfferReadAt is Offer for rules of which another host says that it has read their content,
// with the digest, at a revision of the store. That may be later than the revision in data,
// at which the content was first read.
func (r *RuleKeeper) OfferReadAt(data []byte, revision, digest uint64, source string) error {
	rules, err := r.ruleSource.Decode(data)
	if err != nil {
		return err
	}
	next := &snapshot{rules: rules, data: data, readRevision: rules.Revision}
	if digest == rules.Digest {
		next.readRevision = max(next.readRevision, revision)
	}
	return r.apply(next, source)
}

// apply puts rules into force unless those in force were read at the same revision of the
// store or a later one, or have a higher version. Rules with the content of those in force
// only make these count as read later.
func (r *RuleKeeper) apply(next *snapshot, source string) error {
	for {
		old := r.current.Load()
		same := old != nil && next.rules.Digest == old.rules.Digest
		switch {
		case old != nil && next.readRevision <= old.readRevision:
			return nil
		case same:
			next = old.readAgain(next.readRevision)
		case old != nil && next.rules.Version < old.rules.Version:
			return errLowerVersion
		}
		if !r.current.CompareAndSwap(old, next) {
			continue
		}
		r.revisions.Note(next.readRevision, r.clock.Now())
		if !same {
			changed := make(chan struct{})
			close(*r.changed.Swap(&changed))
			r.logChange(next, source)
		}
		return nil
	}
}

// readAgain returns the snapshot as read at a later revision of the store.
func (s *snapshot) readAgain(revision uint64) *snapshot {
	return &snapshot{rules: s.rules, data: s.data, readRevision: revision}
}

func (r *RuleKeeper) logChange(s *snapshot, source string) {
	rules := s.rules
	r.log.Info("rules in force", zap.Int64("version", rules.Version), zap.Uint64("revision", rules.Revision),
		zap.Int("closed", len(rules.Closed)), zap.Int("bytes", len(s.data)), zap.String("source", source))
	if len(rules.Unreadable) > 0 {
		r.log.Warn("parts of the rules cannot be read and are left out", zap.Strings("keys", rules.Unreadable))
	}
}

// Refresh reads the rules once, and puts them into force if they are newer. Rules that are
// older than those in force confirm nothing, and are an error. It must not be
// called while Run runs.
func (r *RuleKeeper) Refresh(ctx context.Context) error {
	at := r.clock.Now()
	data, err := r.read(ctx)
	if err != nil {
		return err
	}
	rules, err := r.ruleSource.Decode(data)
	if err != nil {
		return err
	}
	next := &snapshot{rules: rules, data: data, readRevision: rules.Revision}
	err = r.apply(next, "ledger")
	current := r.current.Load()
	switch {
	case err != nil, current.rules.Digest != rules.Digest:
		return fmt.Errorf("read version %d of the rules, older than version %d in force", rules.Version, current.rules.Version)
	case rules.Revision < current.readRevision:
		return fmt.Errorf("read the rules at revision %d of the store, before revision %d", rules.Revision, current.readRevision)
	}
	r.confirm(at)
	return nil
}

// read reads the rules once. The error matches errConfirmed if that became needless.
func (r *RuleKeeper) read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, wait := awaiter.New(ctx, r.attempts.Timeout(), r.applyTime(readFraction))
	defer wait.Stop()
	r.endRead.Store(&cancel)
	defer r.endRead.Store(nil)
	data, err := r.ruleSource.Read(ctx)
	r.arrived = wait.Bytes()
	if err != nil && errors.Is(context.Cause(ctx), errConfirmed) {
		return nil, errConfirmed
	}
	r.attempts.Note(err == nil, wait.Longest())
	return data, err
}

// Fresh reports whether the rules in force were read recently enough for this host to
// confirm them to others.
func (r *RuleKeeper) Fresh() bool {
	return r.age() < r.applyTime(freshFraction)
}

// Stale reports whether the rules in force have not been confirmed for so long that this
// host should read them itself.
func (r *RuleKeeper) Stale() bool {
	return r.age() > r.applyTime(staleFraction)
}

// Overdue reports whether the rules in force have not been confirmed for so long that this
// host should not wait for them any more.
func (r *RuleKeeper) Overdue() bool {
	return r.age() > r.applyTime(overdueFraction)
}

func (r *RuleKeeper) age() time.Duration {
	return r.clock.Now().Sub(r.ConfirmedAt())
}

// applyTime returns a fraction of the time within which a change must be in force.
func (r *RuleKeeper) applyTime(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.applyWithinMS) * float64(time.Millisecond))
}

// Run reads the rules periodically while wanted returns true, and more often while this
// host is active. It returns nil once the context ends.
func (r *RuleKeeper) Run(ctx context.Context, wanted, active func() bool) error {
	for {
		pause := idlePollInterval
		if wanted() {
			start := r.clock.Now()
			err := r.Refresh(ctx)
			r.logReadResult(err)
			pause = r.pause(active(), err, r.clock.Now().Sub(start))
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return nil
		}
	}
}

// pause returns the time until the next read after one that took some time and ended with
// err.
func (r *RuleKeeper) pause(active bool, err error, took time.Duration) time.Duration {
	pause := r.applyTime(pollFraction)
	switch {
	case errors.Is(err, errConfirmed):
		return idlePollInterval
	case err != nil && r.arrived > 0 && active:
		return max(retryInterval, took) // the next one begins anew, so leave the link to others
	case err != nil && r.arrived > 0:
		return max(pause, took)
	case !active:
		return pause
	case err != nil:
		return retryInterval
	}
	data, _, _ := r.Data()
	bytesTime := time.Duration(len(data)) * time.Second / maxPollBytesPerSecond
	return min(pause, max(activePollInterval, bytesTime))
}

func (r *RuleKeeper) logReadResult(err error) {
	if errors.Is(err, errConfirmed) {
		return
	}
	if err != nil && !r.unreadable {
		r.log.Warn("the rules cannot be read", zap.Int64("arrived", r.arrived), zap.Error(err))
	}
	if err == nil && r.unreadable {
		r.log.Info("the rules can be read again")
	}
	r.unreadable = err != nil
}
