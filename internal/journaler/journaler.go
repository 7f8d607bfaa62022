// Package journaler stores the scheduler's records as a write-ahead journal in the
// platform's key-value service. The journal is a ring of keys, its slots. Each entry
// is written to the next slot by compare-and-swap. Opening the journal writes an
// entry too, which fences out the former writer: its next append conflicts.
package journaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/sleeper"
)

const (
	ringSlots               = 256
	maxEntriesSinceSnapshot = 128
	maxBytesSinceSnapshot   = 8 << 20
	snapshotPartBytes       = 700_000 // the service limits a value to 1 MB
	maxOpenAttempts         = 8
	initialBackoff          = 20 * time.Millisecond
	maxBackoff              = 500 * time.Millisecond
	headerKey               = "snapshot"
	partPrefix              = "snapshot/"
	slotPrefix              = "journal/"
	callTimeout             = 2 * time.Second
)

// ErrDeposed means that another host has written to the journal. Records that this
// host has not appended yet must be discarded.
var ErrDeposed = errors.New("another host has taken over the journal")

// Journaler reads and writes the journal. It is not safe for concurrent use.
type Journaler struct {
	store              yuccapaddle.Store
	writer             string            // identifies this process in the entries
	seq                uint64            // sequence number of the last entry
	snapshotSeq        uint64            // last entry that the snapshot includes
	headerRevision     uint64            // revision of the snapshot header's key
	slotRevisions      [ringSlots]uint64 // revisions of the slots' keys
	appends            uint64            // entries written
	retries            uint64
	bytes              uint64 // bytes of entries written
	bytesSinceSnapshot int
}

// New returns a Journaler. writer identifies this process in its entries. Open must
// be called before Append.
func New(store yuccapaddle.Store, writer string) *Journaler {
	return &Journaler{store: store, writer: writer}
}

// slotEntry is the value of a slot. Nonce tells repeated writes of one entry from
// those of another.
type slotEntry struct {
	Seq     uint64          `json:"seq"`
	Writer  string          `json:"writer"`
	Nonce   string          `json:"nonce"`
	Records []keeper.Record `json:"records"`
}

// snapshotHeader names the current snapshot by its last entry and number of parts.
type snapshotHeader struct {
	Seq   uint64 `json:"seq"`
	Parts int    `json:"parts"`
}

// Seq returns the sequence number of the last entry.
func (j *Journaler) Seq() uint64 {
	return j.seq
}

// Appends returns the number of entries written, their bytes, and the number of
// retried writes.
func (j *Journaler) Appends() (entries, bytes, retries uint64) {
	return j.appends, j.bytes, j.retries
}

// Open replays the journal, fences out the former writer and returns the state. The
// error is ErrDeposed if other hosts kept taking over the journal.
func (j *Journaler) Open(ctx context.Context) (*keeper.Keeper, error) {
	for range maxOpenAttempts {
		state, err := j.load(ctx)
		if err != nil {
			return nil, err
		}
		err = j.write(ctx, nil)
		if errors.Is(err, ErrDeposed) {
			continue // another host wrote the slot first: load its entry too
		}
		if err != nil {
			return nil, err
		}
		if err := j.deleteOldParts(ctx); err != nil {
			return nil, err
		}
		return state, nil
	}
	return nil, fmt.Errorf("other hosts took over the journal %d times in a row: %w", maxOpenAttempts, ErrDeposed)
}

// load reads the snapshot and replays the entries after it.
func (j *Journaler) load(ctx context.Context) (*keeper.Keeper, error) {
	state, snapshotSeq, err := j.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	slots, err := j.store.List(ctx, slotPrefix)
	if err != nil {
		return nil, fmt.Errorf("list the journal: %w", err)
	}
	bySeq := map[uint64]slotEntry{}
	j.slotRevisions = [ringSlots]uint64{}
	for _, s := range slots {
		var e slotEntry
		if err := json.Unmarshal(s.Value, &e); err != nil {
			return nil, fmt.Errorf("journal entry %q cannot be decoded: %w", s.Key, err)
		}
		if slotKey(e.Seq) != s.Key {
			return nil, fmt.Errorf("journal entry %q holds sequence number %d", s.Key, e.Seq)
		}
		j.slotRevisions[e.Seq%ringSlots] = s.Revision
		bySeq[e.Seq] = e
	}
	j.seq, j.snapshotSeq = snapshotSeq, snapshotSeq
	for {
		e, ok := bySeq[j.seq+1]
		if !ok {
			break
		}
		j.seq++
		for _, r := range e.Records {
			if err := state.Apply(r); err != nil {
				return nil, fmt.Errorf("replay journal entry %d: %w", e.Seq, err)
			}
		}
	}
	for seq := range bySeq {
		if seq > j.seq {
			return nil, fmt.Errorf("journal has entry %d but not %d: %w", seq, j.seq+1, ErrDeposed)
		}
	}
	return state, nil
}

// loadSnapshot returns the state of the current snapshot and its last entry, or an
// empty state and 0 if there is no snapshot.
func (j *Journaler) loadSnapshot(ctx context.Context) (*keeper.Keeper, uint64, error) {
	state := keeper.New()
	entry, err := j.store.Get(ctx, headerKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read the snapshot header: %w", err)
	}
	j.headerRevision = entry.Revision
	if entry.Revision == 0 {
		return state, 0, nil
	}
	var h snapshotHeader
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return nil, 0, fmt.Errorf("snapshot header cannot be decoded: %w", err)
	}
	var data []byte
	for i := range h.Parts {
		part, err := j.store.Get(ctx, partKey(h.Seq, i))
		if err != nil {
			return nil, 0, fmt.Errorf("read snapshot part %d: %w", i, err)
		}
		data = append(data, part.Value...)
	}
	if err := state.Restore(data); err != nil {
		return nil, 0, err
	}
	return state, h.Seq, nil
}

// Append commits the records as one entry and returns its sequence number. It
// retries until it is known whether the entry was written. After ErrDeposed or the
// error of the context the journal must be opened again; any other error means that
// nothing was written.
func (j *Journaler) Append(ctx context.Context, records []keeper.Record) (uint64, error) {
	if err := j.write(ctx, records); err != nil {
		return 0, err
	}
	return j.seq, nil
}

// SnapshotDue reports whether Snapshot should be called before more appends.
func (j *Journaler) SnapshotDue() bool {
	return j.seq-j.snapshotSeq >= maxEntriesSinceSnapshot || j.bytesSinceSnapshot >= maxBytesSinceSnapshot
}

// write appends an entry at the next sequence number.
func (j *Journaler) write(ctx context.Context, records []keeper.Record) error {
	seq := j.seq + 1
	if seq-j.snapshotSeq >= ringSlots {
		return fmt.Errorf("journal ring is full: entry %d with the snapshot at %d", seq, j.snapshotSeq)
	}
	e := slotEntry{Seq: seq, Writer: j.writer, Nonce: namer.Unique(""), Records: records}
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode journal entry %d: %w", seq, err)
	}
	w := yuccapaddle.Write{Key: slotKey(seq), Value: value, IfRevision: j.slotRevisions[seq%ringSlots]}
	rev, err := j.putUntilSettled(ctx, w, e.Nonce)
	if err != nil {
		return err
	}
	j.slotRevisions[seq%ringSlots] = rev
	j.seq = seq
	j.appends++
	j.bytes += uint64(len(value))
	j.bytesSinceSnapshot += len(value)
	return nil
}

// putUntilSettled retries the write until it is known to be applied, and returns the
// slot's new revision, or ErrDeposed if another writer has written the slot.
func (j *Journaler) putUntilSettled(ctx context.Context, w yuccapaddle.Write, nonce string) (uint64, error) {
	backoff := initialBackoff
	for {
		rev, err := j.put(ctx, w)
		if err == nil {
			return rev, nil
		}
		if !errors.Is(err, yuccapaddle.ErrNotApplied) {
			rev, written, readErr := j.readBack(ctx, w, nonce)
			if readErr == nil && written {
				return rev, nil
			}
			if readErr == nil && rev != w.IfRevision {
				return 0, fmt.Errorf("append to %s: %w", w.Key, ErrDeposed)
			}
		}
		j.retries++
		if err := sleeper.SleepJittered(ctx, backoff); err != nil {
			return 0, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (j *Journaler) put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.store.Put(ctx, w)
}

// readBack returns the revision of the slot, and whether it holds the entry with the
// nonce.
func (j *Journaler) readBack(ctx context.Context, w yuccapaddle.Write, nonce string) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := j.store.Get(ctx, w.Key)
	if err != nil {
		return 0, false, err
	}
	var e slotEntry
	if got.Revision != 0 && json.Unmarshal(got.Value, &e) == nil && e.Nonce == nonce {
		return got.Revision, true, nil
	}
	return got.Revision, false, nil
}

func slotKey(seq uint64) string {
	return fmt.Sprintf("%s%03d", slotPrefix, seq%ringSlots)
}

func partKey(seq uint64, part int) string {
	return fmt.Sprintf("%s%d/%d", partPrefix, seq, part)
}
