package recorder_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
	"yuccapaddle/internal/standin/bookkeeper"
)

// maxResumeTime is the time after the return of a silent ledger within which commits have
// to go on.
const maxResumeTime = 300 * time.Millisecond

// slowLedger is a Ledger that answers each call after a delay.
type slowLedger struct {
	*bookkeeper.Bookkeeper
	delay time.Duration
}

// Get implements yuccapaddle.Ledger.
func (l *slowLedger) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	if sleeper.Sleep(ctx, l.delay) != nil {
		return yuccapaddle.Entry{}, yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Get(ctx, key)
}

// Commit implements yuccapaddle.Ledger.
func (l *slowLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	if sleeper.Sleep(ctx, l.delay) != nil {
		return 0, yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Commit(ctx, t)
}

// resumeTime returns the time from the return of a ledger after a silence until a commit
// that hung meanwhile is known to be applied.
func resumeTime(t *testing.T, delay, silence time.Duration, fault bookkeeper.Fault) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c, ledger := qt.New(t), &slowLedger{Bookkeeper: bookkeeper.New(), delay: delay}
		r := claim(t, c, ledger, "a")
		for range 20 {
			c.Assert(r.Save(t.Context(), record("j", "1"), nil), qt.IsNil)
		}
		ledger.SetFault(fault)
		var g errgroup.Group
		var known time.Time
		g.Go(func() error {
			err := r.Save(t.Context(), record("j", "2"), nil)
			known = time.Now()
			return err
		})
		time.Sleep(silence)
		ledger.SetFault(bookkeeper.FaultNone)
		returned := time.Now()
		c.Assert(g.Wait(), qt.IsNil)
		c.Check(load(t, c, r), qt.DeepEquals, map[string]string{"job j": "2"})
		took = known.Sub(returned)
	})
	return took
}

// TestResumesAfterSilence checks that a commit that has hung while the ledger was silent is
// applied soon after the ledger answers again, at whatever moment of an attempt that is.
func TestResumesAfterSilence(t *testing.T) {
	for _, fault := range []bookkeeper.Fault{bookkeeper.FaultTimeout, bookkeeper.FaultLostReply} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			worst, sum, n := time.Duration(0), time.Duration(0), 0
			for silence := 2800 * time.Millisecond; silence <= 4200*time.Millisecond; silence += 10 * time.Millisecond {
				took := resumeTime(t, delay, silence, fault)
				worst, sum, n = max(worst, took), sum+took, n+1
			}
			t.Logf("fault %d, answers after %v: %v after the return at most, %v on average", fault, delay, worst, sum/time.Duration(n))
			qt.Check(t, worst <= maxResumeTime, qt.IsTrue)
		}
	}
}

// slowAndSilent is a Ledger whose commits take long once slow is set, and which leaves reads
// without an answer at the beginning of each, as over a link that the commit fills.
type slowAndSilent struct {
	*bookkeeper.Bookkeeper
	slow    atomic.Bool
	beganAt atomic.Int64 // the latest commit, as UnixNano
}

// Get implements yuccapaddle.Ledger.
func (l *slowAndSilent) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	if l.slow.Load() && time.Since(time.Unix(0, l.beganAt.Load())) < 200*time.Millisecond {
		<-ctx.Done()
		return yuccapaddle.Entry{}, yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Get(ctx, key)
}

// Commit implements yuccapaddle.Ledger.
func (l *slowAndSilent) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	l.beganAt.Store(time.Now().UnixNano())
	if l.slow.Load() && sleeper.Sleep(ctx, 600*time.Millisecond) != nil {
		return 0, yuccapaddle.ErrUnknown
	}
	return l.Bookkeeper.Commit(ctx, t)
}

// TestSlowCommitsNotInterrupted checks that the attempts at a commit that takes long are not all
// ended early by reads that are answered in the course of each, and none at a large commit.
func TestSlowCommitsNotInterrupted(t *testing.T) {
	for _, test := range []struct {
		bytes int
		most  time.Duration
	}{{1, 4 * time.Second}, {100_000, 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			c, ledger := qt.New(t), &slowAndSilent{Bookkeeper: bookkeeper.New()}
			r := claim(t, c, ledger, "a")
			for range 20 {
				c.Assert(r.Save(t.Context(), record("j", "1"), nil), qt.IsNil)
			}
			ledger.slow.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			start := time.Now()
			c.Assert(r.Save(ctx, record("j", strings.Repeat("2", test.bytes)), nil), qt.IsNil)
			c.Check(time.Since(start) <= test.most, qt.IsTrue, qt.Commentf("%d bytes after %v", test.bytes, time.Since(start)))
		})
	}
}
