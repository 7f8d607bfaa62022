package executor

import (
	"time"

	"yuccapaddle"
)

// Option changes an executor under construction.
type Option func(*Executor)

// WithMeter sets the meter for decisions, commits and calls to workers.
func WithMeter(m yuccapaddle.Meter) Option {
	return func(e *Executor) { e.meter = m }
}

// WithAdviser sets the service that issues the tickets for advised queues.
func WithAdviser(a yuccapaddle.Adviser) Option {
	return func(e *Executor) { e.adviser = a }
}

// WithRole sets the role of this host. While it is not confirmed, the executor renews no leases
// and places no tasks.
func WithRole(r yuccapaddle.Role) Option {
	return func(e *Executor) {
		e.roleConfirmed, e.predecessorRenewsUntil, e.predecessorStartsUntil = r.Confirmed, r.PredecessorRenewsUntil, r.PredecessorLeasedUntil
	}
}

// never is the end of what a former host does if there is none.
func never() time.Time { return time.Time{} }
