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

// tryCommit hands the pending records over unless commits are running faster
// than the platform's service should be asked to; it returns how long to wait.
func (d *Driver) tryCommit() time.Duration {
	if !d.core.Pending() || !d.sentAt.IsZero() {
		return 0
	}
	r := d.limit.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		return wait
	}
	records := d.core.TakeBatch()
	d.sentAt = time.Now()
	d.counters.Commits++
	d.counters.Records += uint64(len(records))
	d.commits <- commit{records: records}
	return 0
}

// landed takes in a committed batch.
func (d *Driver) landed(c commit) error {
	d.sentAt, d.seq = time.Time{}, c.seq
	for _, r := range c.records {
		if err := d.committed.Apply(r); err != nil {
			return fmt.Errorf("committed state is broken: %w", err)
		}
		d.notify(r.Key)
	}
	if !c.due {
		return nil
	}
	data, err := d.committed.Snapshot()
	if err != nil {
		return fmt.Errorf("encode the snapshot: %w", err)
	}
	d.commits <- commit{snapshot: data}
	d.sentAt = time.Now()
	return nil
}

func (d *Driver) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.commits:
			if err := d.write(ctx, &c); err != nil {
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

func (d *Driver) write(ctx context.Context, c *commit) error {
	if c.snapshot == nil {
		_, err := d.journal.Append(ctx, c.records)
		c.due, c.seq = d.journal.SnapshotDue(), d.journal.Seq()
		return err
	}
	c.seq = d.journal.Seq()
	for {
		err := d.journal.Snapshot(ctx, c.snapshot)
		if err == nil || errors.Is(err, journaler.ErrDeposed) {
			return err
		}
		d.log.Warn("the snapshot cannot be written yet", zap.Error(err))
		if err := sleeper.Sleep(ctx, tickEvery); err != nil {
			return err
		}
	}
}
