package yuccapaddle

import "time"

// Event is what the decision core is told. It is one of the types below.
type Event interface{ event() }

// Submitted is a new request; the Reply action carries the same ticket.
type Submitted struct {
	Ticket  uint64
	Request *Request
}

// Cancelled asks to cancel a request.
type Cancelled struct {
	Ticket uint64
	Key    string
}

// Configured is an accepted configuration.
type Configured struct{ Config *Config }

// Permitted allows starts until a time: until then this host knows that its
// configuration was the latest one a moment ago.
type Permitted struct{ Until time.Time }

// Committed reports that the batch last taken is in the journal.
type Committed struct{}

// Stalled reports that commits do not get through, or do so again.
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

// Silent reports that an upstream did not answer a sync.
type Silent struct{ Upstream string }

// Listed is the current host list.
type Listed struct{ Hosts []Host }

// Ticked lets deadlines pass.
type Ticked struct{}

func (Submitted) event()  {}
func (Cancelled) event()  {}
func (Configured) event() {}
func (Permitted) event()  {}
func (Committed) event()  {}
func (Stalled) event()    {}
func (Reserved) event()   {}
func (Started) event()    {}
func (Stopped) event()    {}
func (Reported) event()   {}
func (Silent) event()     {}
func (Listed) event()     {}
func (Ticked) event()     {}
