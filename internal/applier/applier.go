// Package applier applies operators' changes to the configuration. A change and
// its audit entry are written in one compare-and-swap, and a change is reported as
// accepted only after it has been committed and marked in the permit.
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
	auditSegmentSize   = 200
	auditSegmentPrefix = "audit/"
	maxAttempts        = 20
	retryDelay         = 50 * time.Millisecond
	callTimeout        = 2 * time.Second
)

// Applier applies changes. It works at any host, active or not.
type Applier struct {
	store  yuccapaddle.Store
	holder string
}

// New returns an Applier. holder names this process in the permit and differs for
// every process.
func New(store yuccapaddle.Store, holder string) *Applier {
	return &Applier{store: store, holder: holder}
}

// Change is a change that an operator requests. ID is unique for the change and
// makes it safe to repeat. Base, if not 0, is the revision that the operator has
// read; the change is refused if another revision is in force.
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

// Status is the outcome of a change.
type Status string

// Statuses of a change.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Invalid  Status = "invalid"
	// NotApplied means that the change has certainly not been made.
	NotApplied Status = "not-applied"
	// Unknown means that the change may have been made; repeat it with the same ID.
	Unknown Status = "unknown"
)

// Apply makes the change and returns its result, with the configuration that
// contains the change if it has been written, else nil. It tries again after a
// failed read or write, until the context ends or maxAttempts is reached.
func (a *Applier) Apply(ctx context.Context, c Change) (Result, *yuccapaddle.Config) {
	mayBeWritten := false
	var lastErr error
	for range maxAttempts {
		result, cfg, err := a.attempt(ctx, c, &mayBeWritten)
		if err == nil {
			return result, cfg
		}
		lastErr = err
		if sleeper.Sleep(ctx, retryDelay) != nil {
			break
		}
	}
	status := NotApplied
	if mayBeWritten {
		status = Unknown
	}
	return Result{Status: status, Reason: fmt.Sprintf("the platform's key-value service did not take the change: %v", lastErr)}, nil
}

// attempt tries once to make the change. The error is that of the key-value service;
// mayBeWritten is set if the change may have been made in spite of it.
func (a *Applier) attempt(ctx context.Context, c Change, mayBeWritten *bool) (Result, *yuccapaddle.Config, error) {
	old, rev, err := a.readConfig(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	audit, err := a.findAudit(ctx, old, c.ID)
	if err != nil {
		return Result{}, nil, err
	}
	if audit != nil {
		return a.markAccepted(ctx, old, audit.Revision), old, nil
	}
	next, result := nextConfig(old, c)
	if next == nil {
		return result, nil, nil
	}
	if err := a.rotateAudit(ctx, next); err != nil {
		return Result{}, nil, err
	}
	if err := a.writeConfig(ctx, next, rev); err != nil {
		*mayBeWritten = *mayBeWritten || errors.Is(err, yuccapaddle.ErrUnknown)
		return Result{}, nil, err
	}
	return a.markAccepted(ctx, next, next.Revision), next, nil
}

// markAccepted marks the revision in the permit. From then on, no host that knows
// only an older configuration can renew its permit to start tasks.
func (a *Applier) markAccepted(ctx context.Context, cfg *yuccapaddle.Config, revision uint64) Result {
	if err := permitter.New(a.store, a.holder).Mark(ctx, cfg.Revision); err != nil {
		return Result{Status: Unknown, Revision: revision, Reason: fmt.Sprintf("committed but not yet binding, ask again with the same id: %v", err)}
	}
	return Result{Status: Accepted, Revision: revision}
}

func (a *Applier) readConfig(ctx context.Context) (*yuccapaddle.Config, uint64, error) {
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

func (a *Applier) writeConfig(ctx context.Context, cfg *yuccapaddle.Config, ifRevision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	_, err = a.store.Put(ctx, yuccapaddle.Write{Key: watcher.Key, Value: value, IfRevision: ifRevision})
	return err
}

// rotateAudit copies a full audit segment to its own key before the configuration
// is written without it. The key is only ever created: if it exists, it has the same
// entries from an earlier attempt.
func (a *Applier) rotateAudit(ctx context.Context, next *yuccapaddle.Config) error {
	if len(next.Audit) <= auditSegmentSize {
		return nil
	}
	full := next.Audit[:auditSegmentSize]
	value, err := json.Marshal(full)
	if err != nil {
		return fmt.Errorf("encode the audit segment: %w", err)
	}
	key := AuditSegmentKey(next.Segments)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = a.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value})
	if err != nil && !errors.Is(err, yuccapaddle.ErrConflict) {
		return fmt.Errorf("write %s: %w", key, err)
	}
	next.Segments++
	next.Audit = slices.Clone(next.Audit[auditSegmentSize:])
	return nil
}

// AuditSegmentKey returns the key of the nth full audit segment in the platform's
// key-value service.
func AuditSegmentKey(n int) string {
	return fmt.Sprintf("%s%08d", auditSegmentPrefix, n)
}

// findAudit returns the entry of a change in the latest segments of the audit trail, nil if
// it is in neither. The change may have filled the last full segment.
func (a *Applier) findAudit(ctx context.Context, cfg *yuccapaddle.Config, id string) (*yuccapaddle.Audit, error) {
	if audit := findChange(cfg.Audit, id); audit != nil || cfg.Segments == 0 {
		return audit, nil
	}
	key := AuditSegmentKey(cfg.Segments - 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := a.store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	var full []yuccapaddle.Audit
	if err := json.Unmarshal(e.Value, &full); err != nil {
		return nil, fmt.Errorf("decode %s: %w", key, err)
	}
	return findChange(full, id), nil
}

func findChange(list []yuccapaddle.Audit, id string) *yuccapaddle.Audit {
	for i := range list {
		if list[i].ChangeID == id {
			return &list[i]
		}
	}
	return nil
}

// nextConfig returns the configuration with the change made, or nil and the result
// that refuses the change.
func nextConfig(old *yuccapaddle.Config, c Change) (*yuccapaddle.Config, Result) {
	if c.Reason == "" {
		return nil, Result{Status: Invalid, Reason: "a reason is needed for every change"}
	}
	if c.ID == "" {
		return nil, Result{Status: Invalid, Reason: "an id is needed for every change"}
	}
	if c.Base != 0 && c.Base != old.Revision {
		return nil, conflictResult(old, c)
	}
	site, err := editSite(old.Site, c)
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
		Revision: next.Revision, ChangeID: c.ID, Operator: c.Operator, Action: describeAction(c), Reason: c.Reason,
		At: time.Now().UTC().Truncate(time.Millisecond), Diff: diff,
	})
	return next, Result{}
}

func conflictResult(old *yuccapaddle.Config, c Change) Result {
	r := Result{Status: Conflict, Revision: old.Revision}
	r.Reason = fmt.Sprintf("the change is based on revision %d, but revision %d is in force", c.Base, old.Revision)
	if c.Site != nil {
		if diff, err := Diff(&old.Site, c.Site); err == nil {
			r.Diff = diff
		}
	}
	return r
}

func describeAction(c Change) string {
	if c.Target == "" {
		return c.Action
	}
	return c.Action + " " + c.Target
}

// Diff returns the RFC 7386 merge patch that turns the site from into to.
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
