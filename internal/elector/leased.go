package elector

import "time"

// Leased reports whether this host is active and has renewed its own lease of late. Unlike
// Confirmed it does not rest on what other hosts know, so it ends a limited time after the
// lease: no later host that waits as long as it may still renew leases acts beside this one.
func (e *Elector) Leased() bool {
	return e.Active() && e.isRecent(&e.renewedAt, renewalValidity)
}

// PredecessorLeasedUntil returns until when the previous active host may take itself for leased,
// if this host is active.
func (e *Elector) PredecessorLeasedUntil() time.Time {
	return e.predecessor.leaseEnd()
}
