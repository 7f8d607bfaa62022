package yuccapaddle

import "time"

// Event is an input of package scheduler. It is one of the types below.
type Event interface{ event() }

// Submitted is a submission; the Reply action carries the same ticket.
type Submitted struct {
	Ticket  uint64
	Request *Request
}

// Cancelled is a caller's cancellation of the request with the key; the Reply
// action carries the same ticket.
type Cancelled struct {
	Ticket uint64
	Key    string
}

// Configured delivers an accepted configuration.
type Configured struct{ Config *Config }

// StartsPermitted allows starts until a time. The permit is renewed only while this
// host has the newest accepted configuration.
type StartsPermitted struct{ Until time.Time }

// Committed reports that the batch taken last has been written to the journal.
type Committed struct{}

// Stalled reports whether a commit has been outstanding for too long.
type Stalled struct{ Stalled bool }

// Reserved answers a ReserveAction.
type Reserved struct {
	Upstream, Lease string
	Err             error
}

// Started answers a StartAction.
type Started struct {
	Upstream, Lease string
	Err             error
}

// Stopped answers a StopAction.
type Stopped struct {
	Upstream, Lease string
	Reply           StopReply
	Err             error
}

// Reported is an upstream's answer to a sync that was sent at SentAt.
type Reported struct {
	Report Report
	SentAt time.Time
}

// SyncFailed reports that a sync with an upstream has failed.
type SyncFailed struct{ Upstream string }

// HostsListed delivers the current host list.
type HostsListed struct{ Hosts []Host }

// Ticked makes the scheduler process deadlines that have passed.
type Ticked struct{}

func (Submitted) event()       {}
func (Cancelled) event()       {}
func (Configured) event()      {}
func (StartsPermitted) event() {}
func (Committed) event()       {}
func (Stalled) event()         {}
func (Reserved) event()        {}
func (Started) event()         {}
func (Stopped) event()         {}
func (Reported) event()        {}
func (SyncFailed) event()      {}
func (HostsListed) event()     {}
func (Ticked) event()          {}
