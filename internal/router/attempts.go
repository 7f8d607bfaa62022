package router

import (
	"fmt"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

// attempt is the result of one attempt to have a request carried out.
type attempt struct {
	answer *peer.JobAnswer
	err    error
	// maybeExecuted means that the failed attempt may have been carried out, by the active
	// host of that epoch.
	maybeExecuted bool
	epoch         uint64
	// loadedEpoch is that of the active host that refused the request, if it knows all jobs
	// that hosts of earlier epochs have accepted, 0 otherwise.
	loadedEpoch uint64
}

// attempts tells whether any of several attempts at a request may have been carried out.
type attempts struct {
	unknown     bool
	latestEpoch uint64 // of the attempts that may have been carried out
}

// add adds a failed attempt. A refusal by a host of a later epoch settles the earlier
// attempts: it knows every job that was accepted before, and the former host cannot commit
// any more.
func (t *attempts) add(a *attempt) {
	if a.maybeExecuted {
		t.unknown = true
		t.latestEpoch = max(t.latestEpoch, a.epoch)
	}
	if a.loadedEpoch > t.latestEpoch {
		t.unknown = false
	}
}

// notExecuted reports whether certainly no attempt was carried out.
func (t *attempts) notExecuted() bool {
	return !t.unknown
}

// failure returns the error of a request whose last attempt ended with err. It matches
// ErrNotAccepted if certainly no attempt was carried out. Otherwise it matches ErrUnknown
// and nothing else: err may say that the last attempt was not accepted.
func (t *attempts) failure(err error) error {
	if t.notExecuted() {
		return fmt.Errorf("%w: %w", yuccapaddle.ErrNotAccepted, err)
	}
	return fmt.Errorf("%w: %v", yuccapaddle.ErrUnknown, err)
}
