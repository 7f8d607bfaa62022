package yuccapaddle

import (
	"context"
	"errors"
	"time"
)

// Entry is one key of the platform's key-value service. Revision 0 means that
// the key does not exist. Revisions increase across all keys of the service. Lease
// is that of the key in a Ledger, 0 if it has none or the service does not tell.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

// Write is a compare-and-swap: it takes effect only if the key has revision
// IfRevision (0: the key does not exist). A non-zero Expiry binds the key to a
// lease that the service ends at that time.
type Write struct {
	Key        string
	Value      []byte
	IfRevision uint64
	Expiry     time.Time
}

// Store is the platform's key-value service.
//
// Every error of Put and Delete matches exactly one of ErrConflict,
// ErrNotApplied and ErrUnknown, so that a caller knows whether the write took
// effect.
type Store interface {
	// Get reads a key; an absent key is an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes a key and returns its new revision.
	Put(ctx context.Context, w Write) (uint64, error)
	// Delete removes a key that has the given revision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// Watch waits until the key's revision differs from after, or until the
	// deadline, and returns the current entry; the value of an unchanged entry
	// may be omitted.
	Watch(ctx context.Context, key string, after uint64, deadline time.Time) (Entry, error)
}

var (
	// ErrConflict reports that the write was not applied because the key's
	// revision differs.
	ErrConflict = errors.New("the key has another revision")
	// ErrNotApplied reports that the write certainly had no effect.
	ErrNotApplied = errors.New("the write was not applied")
	// ErrUnknown reports that the write may or may not have taken effect.
	ErrUnknown = errors.New("it is not known whether the write was applied")
)
