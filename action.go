package yuccapaddle

// Action is an effect that package scheduler asks package driver to carry out. It is
// one of the types below.
type Action interface{ action() }

// Reply answers the Submitted or Cancelled event with the same ticket.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
}

// Announce sends a complete answer to waiting callers before it is committed, so
// that they receive finished work while the store is unavailable.
type Announce struct{ Outcome Outcome }

// ReserveAction sends a reservation to an upstream.
type ReserveAction struct{ Reservation Reservation }

// StartAction starts the reserved tasks of a lease.
type StartAction struct{ Command LeaseCommand }

// CheckpointAction requests a checkpoint of a lease's tasks.
type CheckpointAction struct{ Command LeaseCommand }

// StopAction ends a lease at an upstream.
type StopAction struct{ Command LeaseCommand }

// ForgetAction lets an upstream discard the results of a lease.
type ForgetAction struct{ Command LeaseCommand }

// InvariantViolation reports a violated invariant; the driver fails with Err.
type InvariantViolation struct{ Err error }

func (Reply) action()              {}
func (Announce) action()           {}
func (ReserveAction) action()      {}
func (StartAction) action()        {}
func (CheckpointAction) action()   {}
func (StopAction) action()         {}
func (ForgetAction) action()       {}
func (InvariantViolation) action() {}
