package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle/internal/journaler"
	"yuccapaddle/internal/sleeper"
)

// sendBatch sends the pending records to commitLoop unless a commit is in flight. If
// the rate limit of commits does not allow it yet, it returns how long to wait.
func (d *Driver) sendBatch() time.Duration {
	if !d.scheduler.HasPending() || !d.commitSentAt.IsZero() {
		return 0
	}
	r := d.commitLimiter.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		return wait
	}
	records := d.scheduler.TakeBatch()
	d.commitSentAt = time.Now()
	d.counters.Commits++
	d.counters.Records += uint64(len(records))
	d.commits <- commit{records: records}
	return 0
}

// handleCommitted applies a committed batch to the committed state, notifies waiting
// callers and sends a snapshot to commitLoop if one is due.
func (d *Driver) handleCommitted(c commit) error {
	d.commitSentAt, d.journalSeq = time.Time{}, c.seq
	for _, r := range c.records {
		if err := d.committed.Apply(r); err != nil {
			return fmt.Errorf("apply a committed record: %w", err)
		}
		d.notifyCommitted(r.Key)
	}
	if !c.snapshotDue {
		return nil
	}
	data, err := d.committed.Snapshot()
	if err != nil {
		return fmt.Errorf("encode the snapshot: %w", err)
	}
	d.commits <- commit{snapshot: data}
	d.commitSentAt = time.Now()
	return nil
}

// commitLoop writes batches and snapshots to the journal, one at a time.
func (d *Driver) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.commits:
			if err := d.writeCommit(ctx, &c); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return nil
			case d.results <- c:
			}
		}
	}
}

// writeCommit appends the records or, if c has a snapshot, writes that. It retries a
// snapshot until it is written, the context ends or another host takes over.
func (d *Driver) writeCommit(ctx context.Context, c *commit) error {
	if c.snapshot == nil {
		_, err := d.journal.Append(ctx, c.records)
		c.snapshotDue, c.seq = d.journal.SnapshotDue(), d.journal.Seq()
		return err
	}
	c.seq = d.journal.Seq()
	for {
		err := d.journal.Snapshot(ctx, c.snapshot)
		if err == nil || errors.Is(err, journaler.ErrDeposed) {
			return err
		}
		d.log.Warn("writing the snapshot failed; retrying", zap.Error(err))
		if err := sleeper.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}
