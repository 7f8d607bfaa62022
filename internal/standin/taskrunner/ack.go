package taskrunner

import (
	"slices"
	"time"

	"yuccapaddle"
)

// AckedEnd is an end that a host has acknowledged. It counts unless the worker's lease has
// lapsed between the end and its acknowledgement.
type AckedEnd struct {
	yuccapaddle.End
	EndedAt time.Time
	Lapsed  bool
}

// WithClockRate sets the rate of the worker's clock, 1 if it is exact.
func WithClockRate(rate float64) Option {
	return func(tr *TaskRunner) { tr.clockRate = rate }
}

// AckedEnds returns the ends that a host has acknowledged, in order.
func (tr *TaskRunner) AckedEnds() []AckedEnd {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]AckedEnd(nil), tr.ackedEnds...)
}

// ListedEnds returns the ends that no host has acknowledged, in order, also those beyond what
// the worker lists at a time.
func (tr *TaskRunner) ListedEnds() []yuccapaddle.End {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.Clone(tr.ends)
}

// acknowledge forgets the ends up to a number. The caller holds tr.mu.
func (tr *TaskRunner) acknowledge(number int64) {
	var kept []yuccapaddle.End
	for _, e := range tr.ends {
		if e.Number > number {
			kept = append(kept, e)
			continue
		}
		endedAt := tr.endedAt[e.Number]
		lapsed := tr.lapsedAt.After(endedAt) || tr.clock() > tr.leaseExpiry
		tr.ackedEnds = append(tr.ackedEnds, AckedEnd{End: e, EndedAt: endedAt, Lapsed: lapsed})
	}
	tr.ends = kept
}
