package recorder

import (
	"context"
	"encoding/base64"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	// maxInterruptions is how many attempts at one commit may be ended early because the
	// ledger answers again. Without a bound, a slow ledger that answers some reads would have
	// every attempt ended.
	maxInterruptions = 2
	// maxInterruptibleTransfer is the longest transfer time of a commit whose attempts may be
	// ended early: a larger one fills a slow link, so that reads are not answered until it is
	// sent.
	maxInterruptibleTransfer = 50 * time.Millisecond
	// minReadInterval is the least time between two reads of a ledger that refuses them.
	minReadInterval = 50 * time.Millisecond
)

// commitUntilKnown retries a commit until it is known to be applied, or fails for good:
// the context has ended, the call is invalid or another host is the writer.
func (r *Recorder) commitUntilKnown(ctx context.Context, t yuccapaddle.Transaction) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	backoff, transfer, interruptions := minBackoff, transferTime(&t), 0
	for n := 0; ; n++ {
		start := time.Now()
		interrupted, err := false, error(nil)
		if n >= 2 && interruptions < maxInterruptions && transfer <= maxInterruptibleTransfer {
			interrupted, err = r.attemptUntilReturn(ctx, t, r.timeout(n, transfer))
		} else {
			err = r.attempt(ctx, t, r.timeout(n, transfer))
		}
		if interrupted {
			interruptions++
		}
		answers := false
		if errors.Is(err, yuccapaddle.ErrUnknown) {
			var applied bool
			if applied, answers = r.appliedAfterAll(ctx); applied {
				return nil
			}
		}
		if err == nil || errors.Is(err, ErrReplaced) || errors.Is(err, yuccapaddle.ErrInvalid) {
			return err
		}
		if errors.Is(err, errEarlierCommit) {
			continue
		}
		if answers && (interrupted || time.Since(start) >= shortCallTimeout) {
			backoff = minBackoff // the ledger is back
		}
		if sleeper.SleepJittered(ctx, backoff) != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// timeout returns the timeout of attempt n at a commit that takes transfer to be sent.
func (r *Recorder) timeout(n int, transfer time.Duration) time.Duration {
	timeout := r.attempts.Timeout()
	if timeout < callTimeout {
		return timeout + transfer
	}
	return timeout + transfer<<min(n/attemptsPerHalving, maxHalvings)
}

// transferTime returns how long a transaction takes to be sent, beside the time in which a
// small one is answered: with the timeout of a small one, a large commit would be begun
// anew for ever on a slow link, and no other could follow it.
func transferTime(t *yuccapaddle.Transaction) time.Duration {
	n := 0
	for i := range t.Set {
		n += base64.StdEncoding.EncodedLen(len(t.Set[i].Value))
	}
	return time.Duration(n) * time.Second / transferBytesPerSecond
}

// attemptUntilReturn is attempt, but ends the attempt early if the ledger has been silent
// since its beginning and answers a read: an attempt that was sent to a silent ledger most
// likely is lost. Without that a full attempt delays the next one by up to callTimeout.
func (r *Recorder) attemptUntilReturn(ctx context.Context, t yuccapaddle.Transaction, timeout time.Duration) (interrupted bool, err error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		if interrupted = r.waitForReturn(callCtx); interrupted {
			cancel()
		}
		return nil
	})
	err = r.attempt(callCtx, t, timeout)
	cancel()
	_ = g.Wait() // its function returns no error
	return interrupted, err
}

// waitForReturn reads from the ledger until it answers, and reports whether it was silent
// before. It returns false if the context ends.
func (r *Recorder) waitForReturn(ctx context.Context) bool {
	for silent := false; ; silent = true {
		readCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
		start := time.Now()
		_, err := r.ledger.Get(readCtx, headKey)
		cancel()
		if err == nil || ctx.Err() != nil {
			return silent && err == nil
		}
		if sleeper.Sleep(ctx, minReadInterval-time.Since(start)) != nil {
			return false
		}
	}
}

// appliedAfterAll reads the head after an attempt without a reply, and reports whether the
// present transaction was applied, and whether the ledger has answered. A ledger that loses
// the replies of commits may answer reads all the same, which is sooner than to repeat the
// commit until its reply arrives.
func (r *Recorder) appliedAfterAll(ctx context.Context) (applied, answered bool) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	next := r.head
	next.Count = r.count
	err := r.resolveConflict(callCtx, next)
	return err == nil, err == nil || errors.Is(err, yuccapaddle.ErrConflict) || errors.Is(err, errEarlierCommit) || errors.Is(err, ErrReplaced)
}
