package journaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"yuccapaddle"
)

// Snapshot stores the encoded state as of the last entry, after which the slots
// before it may be taken again. The parts come first; the header, written by
// compare-and-swap, makes them current.
func (j *Journaler) Snapshot(ctx context.Context, data []byte) error {
	parts := 0
	for start := 0; start < len(data); start += partBytes {
		end := min(start+partBytes, len(data))
		if err := j.putPart(ctx, partKey(j.seq, parts), data[start:end]); err != nil {
			return err
		}
		parts++
	}
	value, err := json.Marshal(header{Seq: j.seq, Parts: parts})
	if err != nil {
		return fmt.Errorf("encode snapshot header: %w", err)
	}
	rev, err := j.putHeader(ctx, value)
	if err != nil {
		return err
	}
	j.header = rev
	j.snapSeq = j.seq
	j.sinceSnap = 0
	return j.sweep(ctx)
}

// putPart writes a part whose key holds the sequence number of an entry that
// only this writer has, so that a value already there is its own earlier try.
func (j *Journaler) putPart(ctx context.Context, key string, value []byte) error {
	_, err := j.store.Put(ctx, yuccapaddle.Write{Key: key, Value: value})
	if err == nil || errors.Is(err, yuccapaddle.ErrConflict) {
		return nil
	}
	return fmt.Errorf("write %s: %w", key, err)
}

func (j *Journaler) putHeader(ctx context.Context, value []byte) (uint64, error) {
	rev, err := j.store.Put(ctx, yuccapaddle.Write{Key: headerKey, Value: value, IfRevision: j.header})
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
	if got.Revision != j.header {
		return 0, fmt.Errorf("write the snapshot header: %w", ErrDeposed)
	}
	return 0, fmt.Errorf("write the snapshot header: %w", err)
}

// sweep deletes the parts of snapshots that are not current. A part that stays
// behind because of an error is found by the next sweep.
func (j *Journaler) sweep(ctx context.Context) error {
	entries, err := j.store.List(ctx, partPrefix)
	if err != nil {
		return fmt.Errorf("list snapshot parts: %w", err)
	}
	current := fmt.Sprintf("%s%d/", partPrefix, j.snapSeq)
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
