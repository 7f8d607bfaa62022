package yuccapaddle

// Action is what the decision core wants done. It is one of the types below.
type Action interface{ action() }

// Reply answers a Submitted or Cancelled event.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
}

// Announce tells waiting callers a whole answer at once, before it is
// committed, so that finished work reaches them during an outage.
type Announce struct{ Outcome Outcome }

// ReserveAction sends a reservation.
type ReserveAction struct{ Reservation Reservation }

// StartAction releases reserved tasks.
type StartAction struct{ Command LeaseCommand }

// CheckpointAction asks for a checkpoint.
type CheckpointAction struct{ Command LeaseCommand }

// StopAction ends a lease.
type StopAction struct{ Command LeaseCommand }

// ForgetAction drops the results of a lease.
type ForgetAction struct{ Command LeaseCommand }

// Broken reports a broken invariant, which stops the process.
type Broken struct{ Err error }

func (Reply) action()            {}
func (Announce) action()         {}
func (ReserveAction) action()    {}
func (StartAction) action()      {}
func (CheckpointAction) action() {}
func (StopAction) action()       {}
func (ForgetAction) action()     {}
func (Broken) action()           {}
