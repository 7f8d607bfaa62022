package yuccapaddle

import "time"

// Role is the role of the active host. Its methods are safe for concurrent use.
type Role interface {
	// Confirmed reports whether this host was recently confirmed as the active one.
	Confirmed() bool
	// PredecessorRenewsUntil returns until when the previous active host may go on renewing the
	// leases of workers. It may become earlier.
	PredecessorRenewsUntil() time.Time
	// PredecessorLeasedUntil returns until when the previous active host may take itself for
	// leased, and start tasks.
	PredecessorLeasedUntil() time.Time
}
