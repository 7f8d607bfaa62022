package planner

import (
	"slices"
	"time"

	"yuccapaddle"
)

// The service, the location and the labels of a worker do not change within an incarnation, and
// no worker that drains is ready again. A registration that tells otherwise may be that of
// another writer: what the worker has registered before counts until the other has stood for a
// heartbeat, and nothing new goes there meanwhile.

// fixedFields are what a worker registers and does not change within an incarnation.
type fixedFields struct {
	begun   bool // there has been a registration
	counted yuccapaddle.Worker
	// pending is a registration that differs. It counts if a read that is sent at pendingUntil or
	// later shows the same, the zero time if none differs.
	pending      yuccapaddle.Worker
	pendingUntil time.Time
}

// isPending reports whether the latest registration differs from what counts.
func (f *fixedFields) isPending() bool {
	return !f.pendingUntil.IsZero()
}

// dropPending forgets a registration that differs, after a read that did not show it.
func (f *fixedFields) dropPending() {
	f.pending, f.pendingUntil = yuccapaddle.Worker{}, time.Time{}
}

// note updates the fields from a read of the registration that was sent at sentAt, in the same
// incarnation. What differs for the first time counts in reads sent at pendingUntil or later.
func (f *fixedFields) note(reg *yuccapaddle.Worker, sentAt, pendingUntil time.Time) {
	switch {
	case sameFields(reg, &f.counted) || reg.Draining && samePlace(reg, &f.counted):
		f.dropPending()
	case !f.isPending() || !sameFields(reg, &f.pending):
		f.pending, f.pendingUntil = *reg, pendingUntil
		return
	case sentAt.Before(f.pendingUntil):
		return
	default:
		f.dropPending()
	}
	f.counted = *reg
}

// apply returns the registration with the fields that count.
func (f *fixedFields) apply(reg *yuccapaddle.Worker) yuccapaddle.Worker {
	r := *reg
	r.Service, r.Domain, r.Rack, r.Labels = f.counted.Service, f.counted.Domain, f.counted.Rack, f.counted.Labels
	if f.counted.Draining && !r.Draining {
		r.Draining, r.RemainingMS, r.LeavesAt = true, f.counted.RemainingMS, f.counted.LeavesAt
	}
	return r
}

func sameFields(a, b *yuccapaddle.Worker) bool {
	return samePlace(a, b) && a.Draining == b.Draining
}

func samePlace(a, b *yuccapaddle.Worker) bool {
	return a.Service == b.Service && a.Domain == b.Domain && a.Rack == b.Rack && slices.Equal(a.Labels, b.Labels)
}

// settle returns the worker's next registration, whose read was sent at sentAt, as far as it
// counts. In an incarnation as which the worker has not answered all of it does: nothing is
// placed there before it has.
func (p *Planner) settle(w *worker, reg *yuccapaddle.Worker, sentAt time.Time) yuccapaddle.Worker {
	f := &w.fixed
	before := f.isPending()
	switch {
	case p.limits.Heartbeat == 0:
		return *reg
	case !f.begun || f.counted.Incarnation != reg.Incarnation && p.answeredAs(w, reg.Incarnation):
		*f = fixedFields{begun: true, counted: *reg}
	case f.counted.Incarnation != reg.Incarnation:
		f.dropPending()
		return *reg
	default:
		f.note(reg, sentAt, p.pendingUntil())
	}
	if f.isPending() != before {
		p.changed = true
		p.noteDiffering(w)
	}
	return f.apply(reg)
}

// noteDiffering logs that a worker's registration has come to differ from what counts, or does
// no more.
func (p *Planner) noteDiffering(w *worker) {
	event, reg := "registration settled", &w.fixed.counted
	if w.fixed.isPending() {
		event, reg = "registration differs", &w.fixed.pending
	}
	p.addDecision(yuccapaddle.Decision{Event: event, Worker: w.ID, Detail: reg.Service + " " + describeWorker(reg)})
}
