package router

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestAttempts checks when a request that failed counts as not carried out.
func TestAttempts(t *testing.T) {
	lost := attempt{maybeExecuted: true, epoch: 4}
	unsent := attempt{epoch: 4}
	refusedBy := func(epoch uint64) attempt { return attempt{err: errRefused, loadedEpoch: epoch} }
	for name, test := range map[string]struct {
		attempts []attempt
		want     bool
	}{
		"nothing was sent":                      {[]attempt{unsent, {err: errNoActiveHost}}, true},
		"an answer was lost":                    {[]attempt{lost, unsent}, false},
		"refused by the same host":              {[]attempt{lost, refusedBy(4)}, false},
		"refused by a host that is loading":     {[]attempt{lost, refusedBy(0)}, false},
		"refused by the next host":              {[]attempt{lost, refusedBy(5)}, true},
		"an answer of the next host was lost":   {[]attempt{lost, refusedBy(5), {maybeExecuted: true, epoch: 5}}, false},
		"and refused by the one after it":       {[]attempt{lost, {maybeExecuted: true, epoch: 5}, refusedBy(6)}, true},
		"refused, and an answer was lost later": {[]attempt{refusedBy(5), lost}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var tried attempts
			for i := range test.attempts {
				tried.add(&test.attempts[i])
			}
			qt.Check(t, tried.notExecuted(), qt.Equals, test.want)
		})
	}
}

// TestFailure checks that a request of which an earlier attempt may have been carried out
// does not count as not accepted, or as refused for want of workers, because the last
// attempt was. Found by a day with a slow store, region-slow-store of abrazo-norte, seed
// 42886645700: a job that a former host had accepted was answered with 503 while its
// successor loaded the records.
func TestFailure(t *testing.T) {
	for _, last := range []error{yuccapaddle.ErrNotAccepted, &yuccapaddle.InfeasibleError{Reason: "for more room"}} {
		c := qt.New(t)
		var tried attempts
		tried.add(&attempt{maybeExecuted: true, epoch: 1})
		tried.add(&attempt{err: last, epoch: 2})
		err := tried.failure(last)
		c.Check(err, qt.ErrorIs, yuccapaddle.ErrUnknown)
		c.Check(errors.Is(err, last), qt.IsFalse)
		c.Check(errors.Is(err, yuccapaddle.ErrNotAccepted), qt.IsFalse)
		tried = attempts{}
		tried.add(&attempt{err: last, epoch: 2})
		c.Check(tried.failure(last), qt.ErrorIs, yuccapaddle.ErrNotAccepted)
		c.Check(tried.failure(last), qt.ErrorIs, last)
	}
}
