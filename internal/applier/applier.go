// Package applier changes the operators' configuration. A change and its audit
// entry are one compare-and-swap, and a change is called accepted only after it
// is committed and marked in the permit.
package applier

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"yuccapaddle"
	"yuccapaddle/internal/checker"
	"yuccapaddle/internal/permitter"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/watcher"
)

const (
	segmentEntries = 200
	segmentPrefix  = "audit/"
	applyTries     = 20
	retryPause     = 50 * time.Millisecond
	callTimeout    = 2 * time.Second
)

// Applier applies changes at any host.
type Applier struct {
	store yuccapaddle.Store
	host  string
}

// New returns an Applier.
func New(store yuccapaddle.Store, host string) *Applier {
	return &Applier{store: store, host: host}
}

// Change is what an operator asks for. ID is unique for the change and makes
// its repetition harmless. Base, if not 0, is the revision that the operator
// has read; the change is refused if another one is in force.
type Change struct {
	ID       string            `json:"id"`
	Action   string            `json:"action"`
	Target   string            `json:"target,omitempty"`
	Base     uint64            `json:"base,omitempty"`
	Site     *yuccapaddle.Site `json:"site,omitempty"`
	Reason   string            `json:"reason"`
	Operator string            `json:"-"`
}

// Result is the answer to a change.
type Result struct {
	Status   Status            `json:"status"`
	Revision uint64            `json:"revision,omitempty"`
	Reason   string            `json:"reason,omitempty"`
	Diff     string            `json:"diff,omitempty"`
	Problems []checker.Problem `json:"problems,omitempty"`
}

// Status says what became of a change.
type Status string

// Statuses of a change.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Invalid  Status = "invalid"
	// NotApplied: the change has certainly not been made.
	NotApplied Status = "not-applied"
	// Unknown: ask again with the same id.
	Unknown Status = "unknown"
)

// Apply makes the change, unless the context ends first.
func (a *Applier) Apply(ctx context.Context, c Change) (Result, *yuccapaddle.Config) {
	sent := false
	var last error
	for range applyTries {
		old, rev, err := a.read(ctx)
		if err != nil {
			last = err
			if sleeper.Sleep(ctx, retryPause) != nil {
				break
			}
			continue
		}
		if done := find(old, c.ID); done != nil {
			return a.accept(ctx, old, done.Revision), old
		}
		next, result := prepare(old, c)
		if next == nil {
			return result, nil
		}
		if err := a.roll(ctx, next); err == nil {
			err = a.put(ctx, next, rev)
			sent = sent || errors.Is(err, yuccapaddle.ErrUnknown)
			if err == nil {
				return a.accept(ctx, next, next.Revision), next
			}
			last = err
		} else {
			last = err
		}
		if sleeper.Sleep(ctx, retryPause) != nil {
			break
		}
	}
	status := NotApplied
	if sent {
		status = Unknown
	}
	return Result{Status: status, Reason: fmt.Sprintf("the platform's key-value service did not take the change: %v", last)}, nil
}

// accept marks the revision, after which no host gets a permit without it.
func (a *Applier) accept(ctx context.Context, cfg *yuccapaddle.Config, revision uint64) Result {
	if err := permitter.New(a.store, a.host).Mark(ctx, cfg.Revision); err != nil {
		return Result{Status: Unknown, Revision: revision, Reason: fmt.Sprintf("committed but not yet binding, ask again with the same id: %v", err)}
	}
	return Result{Status: Accepted, Revision: revision}
}

func (a *Applier) read(ctx context.Context) (*yuccapaddle.Config, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := a.store.Get(ctx, watcher.Key)
	if err != nil {
		return nil, 0, err
	}
	if e.Revision == 0 {
		return &yuccapaddle.Config{}, 0, nil
	}
	cfg, err := watcher.Decode(e.Value)
	return cfg, e.Revision, err
}

func (a *Applier) put(ctx context.Context, cfg *yuccapaddle.Config, ifRevision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	_, err = a.store.Put(ctx, yuccapaddle.Write{Key: watcher.Key, Value: value, IfRevision: ifRevision})
	return err
}

// roll copies a full audit segment to a key of its own before the configuration
// is written without it. The copy is created once; what is already there is the
// same entries from an earlier try.
func (a *Applier) roll(ctx context.Context, next *yuccapaddle.Config) error {
	if len(next.Audit) <= segmentEntries {
		return nil
	}
	full := next.Audit[:segmentEntries]
	value, err := json.Marshal(full)
	if err != nil {
		return fmt.Errorf("encode the audit segment: %w", err)
	}
	key := SegmentKey(next.Segments)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = a.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value})
	if err != nil && !errors.Is(err, yuccapaddle.ErrConflict) {
		return fmt.Errorf("write %s: %w", key, err)
	}
	next.Segments++
	next.Audit = slices.Clone(next.Audit[segmentEntries:])
	return nil
}

// SegmentKey names a full audit segment in the platform's service.
func SegmentKey(n int) string {
	return fmt.Sprintf("%s%08d", segmentPrefix, n)
}

func find(cfg *yuccapaddle.Config, id string) *yuccapaddle.Audit {
	for i := range cfg.Audit {
		if cfg.Audit[i].ChangeID == id {
			return &cfg.Audit[i]
		}
	}
	return nil
}

// prepare builds the next configuration, or the result that refuses it.
func prepare(old *yuccapaddle.Config, c Change) (*yuccapaddle.Config, Result) {
	if c.Reason == "" {
		return nil, Result{Status: Invalid, Reason: "a reason is needed for every change"}
	}
	if c.ID == "" {
		return nil, Result{Status: Invalid, Reason: "an id is needed for every change"}
	}
	if c.Base != 0 && c.Base != old.Revision {
		return nil, conflict(old, c)
	}
	site, err := edit(old.Site, c)
	if err != nil {
		return nil, Result{Status: Invalid, Reason: err.Error()}
	}
	if problems := checker.Check(site); len(problems) > 0 {
		return nil, Result{Status: Invalid, Reason: "the configuration has mistakes", Problems: problems}
	}
	diff, err := Diff(&old.Site, site)
	if err != nil {
		return nil, Result{Status: Invalid, Reason: err.Error()}
	}
	next := &yuccapaddle.Config{Revision: old.Revision + 1, ChangeID: c.ID, Site: *site, Segments: old.Segments}
	next.Audit = append(slices.Clone(old.Audit), yuccapaddle.Audit{
		Revision: next.Revision, ChangeID: c.ID, Operator: c.Operator, Action: describe(c), Reason: c.Reason,
		At: time.Now().UTC().Truncate(time.Millisecond), Diff: diff,
	})
	return next, Result{}
}

func conflict(old *yuccapaddle.Config, c Change) Result {
	r := Result{Status: Conflict, Revision: old.Revision}
	r.Reason = fmt.Sprintf("the change is based on revision %d, but revision %d is in force", c.Base, old.Revision)
	if c.Site != nil {
		if diff, err := Diff(&old.Site, c.Site); err == nil {
			r.Diff = diff
		}
	}
	return r
}

func describe(c Change) string {
	if c.Target == "" {
		return c.Action
	}
	return c.Action + " " + c.Target
}

// Diff is the RFC 7386 merge patch that turns one site into another.
func Diff(from, to *yuccapaddle.Site) (string, error) {
	a, err := json.Marshal(from)
	if err != nil {
		return "", fmt.Errorf("encode the site: %w", err)
	}
	b, err := json.Marshal(to)
	if err != nil {
		return "", fmt.Errorf("encode the site: %w", err)
	}
	patch, err := jsonpatch.CreateMergePatch(a, b)
	if err != nil {
		return "", fmt.Errorf("compare the sites: %w", err)
	}
	return string(patch), nil
}
