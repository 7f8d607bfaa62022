// Package holder holds calls that cannot be carried out yet, until that changes or their
// deadlines come near.
package holder

import (
	"cmp"
	"slices"
	"time"
)

// Holder holds calls of type T, at most one for each ID. It is not safe for concurrent use.
type Holder[T comparable] struct {
	maxCalls int
	maxBytes int
	margin   time.Duration
	bytes    int // of all calls
	calls    map[string]call[T]
}

type call[T comparable] struct {
	value    T
	deadline time.Time
	priority int
	bytes    int
}

// New returns a Holder for at most maxCalls calls of maxBytes bytes together. Calls are due
// margin before their deadlines.
func New[T comparable](maxCalls, maxBytes int, margin time.Duration) *Holder[T] {
	return &Holder[T]{maxCalls: maxCalls, maxBytes: maxBytes, margin: margin, calls: map[string]call[T]{}}
}

// Add adds a call, and reports whether it is held: there is room for it, and it is not due.
// An earlier call with the same ID is removed in either case, and returned in replaced.
// A lower priority number is more urgent.
func (h *Holder[T]) Add(id string, value T, deadline time.Time, priority, bytes int, now time.Time) (replaced []T, held bool) {
	if c, ok := h.calls[id]; ok {
		replaced = append(replaced, c.value)
		h.remove(id)
	}
	if !now.Before(deadline.Add(-h.margin)) || len(h.calls) >= h.maxCalls || h.bytes+bytes > h.maxBytes {
		return replaced, false
	}
	h.calls[id] = call[T]{value, deadline, priority, bytes}
	h.bytes += bytes
	return replaced, true
}

// Get returns the call with the ID, and whether there is one.
func (h *Holder[T]) Get(id string) (value T, ok bool) {
	c, ok := h.calls[id]
	return c.value, ok
}

// Withdraw removes a call unless another one has replaced it, and reports whether it was
// held.
func (h *Holder[T]) Withdraw(id string, value T) bool {
	c, ok := h.calls[id]
	if !ok || c.value != value {
		return false
	}
	h.remove(id)
	return true
}

func (h *Holder[T]) remove(id string) {
	h.bytes -= h.calls[id].bytes
	delete(h.calls, id)
}

// TakeDue removes and returns the calls that are due at the given time.
func (h *Holder[T]) TakeDue(now time.Time) []T {
	var due []T
	for id, c := range h.calls {
		if !now.Before(c.deadline.Add(-h.margin)) {
			due = append(due, c.value)
			h.remove(id)
		}
	}
	return due
}

// NextDue returns when the next call is due, and false if none is held.
func (h *Holder[T]) NextDue() (at time.Time, ok bool) {
	for _, c := range h.calls {
		if due := c.deadline.Add(-h.margin); !ok || due.Before(at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// TakeAll removes and returns all calls, the most urgent ones first, and of the same
// priority those with the earliest deadline.
func (h *Holder[T]) TakeAll() []T {
	list := make([]call[T], 0, len(h.calls))
	for _, c := range h.calls {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b call[T]) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.deadline.Compare(b.deadline))
	})
	values := make([]T, len(list))
	for i := range list {
		values[i] = list[i].value
	}
	clear(h.calls)
	h.bytes = 0
	return values
}

// Len returns the number of calls held.
func (h *Holder[T]) Len() int {
	return len(h.calls)
}
