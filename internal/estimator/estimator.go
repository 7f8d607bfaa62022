// Package estimator learns how long runs take, by queue and step, from runs that
// completed. It does no I/O and reads no clock.
package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultWindow is the number of latest run times kept for each queue and step.
	defaultWindow = 64
	// defaultMinimum is the number of run times below which there is no estimate: the
	// spread of fewer says little about the next run.
	defaultMinimum = 5
	// maxKeys bounds the memory: step indexes come from callers, so their number is not
	// limited by the configuration.
	maxKeys = 1024
)

// Estimator keeps the latest run times of each step of a queue. It is not safe for
// concurrent use.
type Estimator struct {
	window  int
	minimum int
	history map[key]*series
	noted   uint64 // number of run times noted so far
}

type key struct {
	queue string
	step  int
}

// series is a ring of the latest run times of one key.
type series struct {
	times    []time.Duration
	next     int    // index in times that the next run time replaces once the ring is full
	lastNote uint64 // value of Estimator.noted at the latest run time
}

// Option configures an Estimator in New.
type Option func(*Estimator)

// WithWindow keeps the latest n run times of each queue and step, at least 1.
func WithWindow(n int) Option {
	return func(e *Estimator) { e.window = max(n, 1) }
}

// WithMinimum requires n run times for an estimate, at least 1. It must not exceed the
// window.
func WithMinimum(n int) Option {
	return func(e *Estimator) { e.minimum = max(n, 1) }
}

// New returns an Estimator without run times.
func New(opts ...Option) *Estimator {
	e := &Estimator{window: defaultWindow, minimum: defaultMinimum, history: map[key]*series{}}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Note adds the run time of a completed run. A run time of 0 or less is ignored.
func (e *Estimator) Note(queue string, step int, took time.Duration) {
	if took <= 0 {
		return
	}
	k := key{queue, step}
	s := e.history[k]
	if s == nil {
		if len(e.history) >= maxKeys {
			e.forgetOldest()
		}
		s = &series{}
		e.history[k] = s
	}
	e.noted++
	s.lastNote = e.noted
	if len(s.times) < e.window {
		s.times = append(s.times, took)
		return
	}
	s.times[s.next] = took
	s.next = (s.next + 1) % e.window
}

// forgetOldest drops the key whose latest run time is the oldest.
func (e *Estimator) forgetOldest() {
	var oldest key
	first := uint64(math.MaxUint64)
	for k, s := range e.history {
		if s.lastNote < first {
			oldest, first = k, s.lastNote
		}
	}
	delete(e.history, oldest)
}

// Quantile returns the smallest run time that a fraction q of the kept ones does not
// exceed; q is limited to 0 to 1. ok is false if there are too few run times.
func (e *Estimator) Quantile(queue string, step int, q float64) (took time.Duration, ok bool) {
	s := e.history[key{queue, step}]
	if s == nil || len(s.times) < e.minimum || math.IsNaN(q) {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.times))
	rank := int(math.Ceil(min(max(q, 0), 1) * float64(len(sorted))))
	return sorted[max(rank-1, 0)], true
}
