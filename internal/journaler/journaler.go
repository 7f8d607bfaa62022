// Package journaler writes the scheduler's records to the platform's service
// as one journal. The journal is a ring of keys; each entry takes the next slot
// by compare-and-swap. A host that opens the journal takes the next slot too,
// which makes every later append of the former writer conflict.
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
	ringSlots     = 256
	snapshotAfter = 128     // entries between two snapshots
	snapshotBytes = 8 << 20 // bytes of entries between two snapshots
	partBytes     = 700_000 // bytes of snapshot in one value of at most 1 MB
	openTries     = 8
	backoffFirst  = 20 * time.Millisecond
	backoffMost   = 500 * time.Millisecond
	headerKey     = "snapshot"
	partPrefix    = "snapshot/"
	slotPrefix    = "journal/"
	callTimeout   = 2 * time.Second
)

// ErrDeposed means that another host has written to the journal. What this host
// has in memory beyond its last append is void.
var ErrDeposed = errors.New("another host has taken over the journal")

// Journaler appends records. It is not safe for concurrent use.
type Journaler struct {
	store     yuccapaddle.Store
	writer    string
	seq       uint64
	snapSeq   uint64
	header    uint64
	revisions [ringSlots]uint64
	appends   uint64
	retries   uint64
	bytes     uint64
	sinceSnap int
}

// New returns a journal writer; Open has to be called before Append.
func New(store yuccapaddle.Store, writer string) *Journaler {
	return &Journaler{store: store, writer: writer}
}

type slotEntry struct {
	Seq     uint64          `json:"seq"`
	Writer  string          `json:"writer"`
	Nonce   string          `json:"nonce"`
	Records []keeper.Record `json:"records"`
}

type header struct {
	Seq   uint64 `json:"seq"`
	Parts int    `json:"parts"`
}

// Seq is the sequence number of the last entry.
func (j *Journaler) Seq() uint64 {
	return j.seq
}

// Appends counts the entries written, their bytes and the repeated tries.
func (j *Journaler) Appends() (entries, bytes, retries uint64) {
	return j.appends, j.bytes, j.retries
}

// Open loads the state and fences out the former writer.
func (j *Journaler) Open(ctx context.Context) (*keeper.Keeper, error) {
	for range openTries {
		state, err := j.load(ctx)
		if err != nil {
			return nil, err
		}
		err = j.write(ctx, nil)
		if errors.Is(err, ErrDeposed) {
			continue // lost a race for the slot: load what the other wrote
		}
		if err != nil {
			return nil, err
		}
		if err := j.sweep(ctx); err != nil {
			return nil, err
		}
		return state, nil
	}
	return nil, fmt.Errorf("journal was taken by other hosts %d times in a row: %w", openTries, ErrDeposed)
}

func (j *Journaler) load(ctx context.Context) (*keeper.Keeper, error) {
	state, head, err := j.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	slots, err := j.store.List(ctx, slotPrefix)
	if err != nil {
		return nil, fmt.Errorf("list the journal: %w", err)
	}
	bySeq := map[uint64]slotEntry{}
	j.revisions = [ringSlots]uint64{}
	for _, s := range slots {
		var e slotEntry
		if err := json.Unmarshal(s.Value, &e); err != nil {
			return nil, fmt.Errorf("journal entry %q cannot be decoded: %w", s.Key, err)
		}
		if slotKey(e.Seq) != s.Key {
			return nil, fmt.Errorf("journal entry %q holds sequence number %d", s.Key, e.Seq)
		}
		j.revisions[e.Seq%ringSlots] = s.Revision
		bySeq[e.Seq] = e
	}
	j.seq, j.snapSeq = head, head
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

func (j *Journaler) loadSnapshot(ctx context.Context) (*keeper.Keeper, uint64, error) {
	state := keeper.New()
	entry, err := j.store.Get(ctx, headerKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read the snapshot header: %w", err)
	}
	j.header = entry.Revision
	if entry.Revision == 0 {
		return state, 0, nil
	}
	var h header
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
// tries until the entry is settled: it returns nil, ErrDeposed, or the error of
// the context, after which the journal has to be opened again.
func (j *Journaler) Append(ctx context.Context, records []keeper.Record) (uint64, error) {
	if err := j.write(ctx, records); err != nil {
		return 0, err
	}
	return j.seq, nil
}

// SnapshotDue reports whether Snapshot should be called before more appends.
func (j *Journaler) SnapshotDue() bool {
	return j.seq-j.snapSeq >= snapshotAfter || j.sinceSnap >= snapshotBytes
}

func (j *Journaler) write(ctx context.Context, records []keeper.Record) error {
	seq := j.seq + 1
	if seq-j.snapSeq >= ringSlots {
		return fmt.Errorf("journal ring is full: entry %d with the snapshot at %d", seq, j.snapSeq)
	}
	e := slotEntry{Seq: seq, Writer: j.writer, Nonce: namer.Unique(""), Records: records}
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode journal entry %d: %w", seq, err)
	}
	w := yuccapaddle.Write{Key: slotKey(seq), Value: value, IfRevision: j.revisions[seq%ringSlots]}
	rev, err := j.settle(ctx, w, e.Nonce)
	if err != nil {
		return err
	}
	j.revisions[seq%ringSlots] = rev
	j.seq = seq
	j.appends++
	j.bytes += uint64(len(value))
	j.sinceSnap += len(value)
	return nil
}

// settle repeats the write until it is known to be applied, or known to be
// impossible because another writer has the slot.
func (j *Journaler) settle(ctx context.Context, w yuccapaddle.Write, nonce string) (uint64, error) {
	backoff := backoffFirst
	for {
		rev, err := j.put(ctx, w)
		if err == nil {
			return rev, nil
		}
		if !errors.Is(err, yuccapaddle.ErrNotApplied) {
			rev, mine, readErr := j.readBack(ctx, w, nonce)
			if readErr == nil && mine {
				return rev, nil
			}
			if readErr == nil && rev != w.IfRevision {
				return 0, fmt.Errorf("append to %s: %w", w.Key, ErrDeposed)
			}
		}
		j.retries++
		if err := sleeper.Jitter(ctx, backoff); err != nil {
			return 0, err
		}
		backoff = min(2*backoff, backoffMost)
	}
}

func (j *Journaler) put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.store.Put(ctx, w)
}

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
