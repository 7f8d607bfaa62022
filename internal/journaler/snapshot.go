package journaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"yuccapaddle"
)

// Snapshot stores the encoded state as of the last entry, so that earlier slots can
// be reused. It writes the parts first and then the header, by compare-and-swap,
// which makes them the current snapshot. After any error but ErrDeposed it may be
// called again with the same data.
func (j *Journaler) Snapshot(ctx context.Context, data []byte) error {
	parts := 0
	for start := 0; start < len(data); start += snapshotPartBytes {
		end := min(start+snapshotPartBytes, len(data))
		if err := j.putPart(ctx, partKey(j.seq, parts), data[start:end]); err != nil {
			return err
		}
		parts++
	}
	value, err := json.Marshal(snapshotHeader{Seq: j.seq, Parts: parts})
	if err != nil {
		return fmt.Errorf("encode snapshot header: %w", err)
	}
	rev, err := j.putHeader(ctx, value)
	if err != nil {
		return err
	}
	j.headerRevision = rev
	j.snapshotSeq = j.seq
	j.bytesSinceSnapshot = 0
	return j.deleteOldParts(ctx)
}

// putPart writes a part. Its key contains the sequence number of an entry of this
// writer, so that on a conflict the value there is from an earlier try of its own.
func (j *Journaler) putPart(ctx context.Context, key string, value []byte) error {
	_, err := j.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value})
	if err == nil || errors.Is(err, yuccapaddle.ErrConflict) {
		return nil
	}
	return fmt.Errorf("write %s: %w", key, err)
}

// putHeader writes the header and returns its revision. After an error it reads the
// key, to find out whether the write was applied or another host has written it.
func (j *Journaler) putHeader(ctx context.Context, value []byte) (uint64, error) {
	rev, err := j.store.Put(ctx, yuccapaddle.Write{Key: headerKey, Value: value, IfRevision: j.headerRevision})
	if err == nil {
		return rev, nil
	}
	got, readErr := j.store.Get(ctx, headerKey)
	if readErr != nil {
		return 0, fmt.Errorf("write the snapshot header: %w", err)
	}
	if string(got.Value) == string(value) {
		return got.Revision, nil
	}
	if got.Revision != j.headerRevision {
		return 0, fmt.Errorf("write the snapshot header: %w", ErrDeposed)
	}
	return 0, fmt.Errorf("write the snapshot header: %w", err)
}

// deleteOldParts deletes the parts of all snapshots but the current one. Parts that
// are left because of an error are deleted by the next call.
func (j *Journaler) deleteOldParts(ctx context.Context) error {
	entries, err := j.store.List(ctx, partPrefix)
	if err != nil {
		return fmt.Errorf("list snapshot parts: %w", err)
	}
	current := fmt.Sprintf("%s%d/", partPrefix, j.snapshotSeq)
	for _, e := range entries {
		if strings.HasPrefix(e.Key, current) {
			continue
		}
		if err := j.store.Delete(ctx, e.Key, e.Revision); err != nil && !errors.Is(err, yuccapaddle.ErrConflict) {
			return fmt.Errorf("delete %s: %w", e.Key, err)
		}
	}
	return nil
}
