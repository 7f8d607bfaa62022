// Package recorder keeps the job records in the ledger. Every commit also replaces the
// head key, on the condition that it still has the revision of the previous commit. So
// neither a writer that has been replaced nor a delayed copy of a commit has any effect.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/sleeper"
)

// Keys of the ledger.
const (
	headKey     = "yp/head"
	hostsKey    = "yp/hosts"
	jobPrefix   = "yp/job/"
	statePrefix = "yp/run/"
	partPrefix  = "yp/part/"
	// cancelPrefix is that of cancellations of jobs that were not known.
	cancelPrefix = "yp/cancel/"
	// MaxChanges is the most keys that one commit changes. The ledger takes 32 entries
	// per transaction, of which the head key needs two: a condition and a change.
	MaxChanges = 30
)

// Timeout of one call to the ledger, and bounds of the backoff between attempts.
const (
	callTimeout = 700 * time.Millisecond
	// shortCallTimeout is the least timeout of a commit, see package attempter.
	shortCallTimeout = 150 * time.Millisecond
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = 100 * time.Millisecond
	// transferBytesPerSecond is what a link is taken to carry. For attempts with the full
	// timeout it is halved after each attemptsPerHalving, up to maxHalvings times.
	transferBytesPerSecond = 1_000_000
	attemptsPerHalving     = 3
	maxHalvings            = 3
	// loadSilence is how long a list of records may bring nothing until its read ends, and
	// loadTimeout bounds the whole read. It is long, since the records may be many and the
	// link slow; without them the host cannot be active.
	loadSilence = 1500 * time.Millisecond
	loadTimeout = 30 * time.Second
)

// head is the value of the head key. It names the writer of the records; Epoch rises
// with each writer and is the base of the fencing tokens of its orders, and Count is
// different, and higher, for each transaction of a writer.
type head struct {
	Epoch   uint64 `json:"e"`
	Host    string `json:"h"`
	Address string `json:"a"`
	Nonce   string `json:"n"`
	Count   uint64 `json:"c"`
}

// ErrReplaced means that another host has become the writer of the records.
var ErrReplaced = errors.New("another host writes the records now")

// errEarlierCommit means that the head is that of an earlier transaction of this writer
// whose reply was lost, so that the present one has not been applied.
var errEarlierCommit = errors.New("an earlier commit of this host was applied after all")

// Recorder writes the job records. Load and Save are not safe for concurrent use with one
// another; the other methods are safe.
type Recorder struct {
	ledger yuccapaddle.Ledger
	epoch  uint64
	nonce  string
	// mu is held during a transaction. It guards the fields below.
	mu             sync.Mutex
	head           head   // as last seen in the ledger
	revision       uint64 // of the head
	count          uint64 // of the latest transaction, whether it was applied or not
	attempts       *attempter.Attempter
	loaded         map[string][]yuccapaddle.Entry // lists of records that Load has read, by prefix
	lastAnswerTook time.Duration
	latency        atomic.Int64 // see Latency, in nanoseconds
	former         head         // of the last writer before this one, zero if there was none
	hosts          hostRecord   // once this host had become the writer
}

// lockTransaction sets a lock that still has its last known revision.
func lockTransaction(lock yuccapaddle.Lock) yuccapaddle.Transaction {
	return yuccapaddle.Transaction{
		If:  []yuccapaddle.Condition{{Key: lock.Key, Revision: lock.Revision}},
		Set: []yuccapaddle.Change{{Key: lock.Key, Value: []byte(lock.Address), Lease: lock.Lease}},
	}
}

// Relock sets the lock again after its lease has expired, unless another host has become
// the writer, which is ErrReplaced. After any other error it may or may not be set. Relock
// waits for a Save in progress.
func (r *Recorder) Relock(ctx context.Context, lock yuccapaddle.Lock) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commit(ctx, lockTransaction(lock))
}

// Confirm returns nil once the ledger has told, after the call, that this host is still the
// writer of the records. The error matches ErrReplaced if another host is. Otherwise Confirm
// asks again until the context ends.
func (r *Recorder) Confirm(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		e, err := r.ledger.Get(callCtx, headKey)
		cancel()
		if err == nil {
			return r.checkWriter(e.Value)
		}
		if sleeper.SleepJittered(ctx, maxBackoff) != nil {
			return fmt.Errorf("read the head key: %w", err)
		}
	}
}

// checkWriter returns an error unless the value of the head key names this process.
func (r *Recorder) checkWriter(value []byte) error {
	var h head
	if err := json.Unmarshal(value, &h); err != nil {
		return fmt.Errorf("decode the head key: %w", err)
	}
	if h.Epoch != r.epoch || h.Nonce != r.nonce {
		return fmt.Errorf("%w: %s, epoch %d", ErrReplaced, h.Host, h.Epoch)
	}
	return nil
}

// Writer returns the address and the epoch of the writer of the records, "" and 0 if there
// has been none.
func Writer(ctx context.Context, ledger yuccapaddle.Ledger) (address string, epoch uint64, err error) {
	e, err := ledger.Get(ctx, headKey)
	if err != nil {
		return "", 0, err
	}
	var h head
	if err := decode(e, &h); err != nil {
		return "", 0, err
	}
	return h.Address, h.Epoch, nil
}

// Latency returns how long a transaction takes, as far as its answers tell: the shorter of
// the last two, since the one that was under way when an outage ended took as long as that.
func (r *Recorder) Latency() time.Duration {
	return time.Duration(r.latency.Load())
}

// Epoch returns the epoch of this writer.
func (r *Recorder) Epoch() uint64 {
	return r.epoch
}

// Revision returns the revision of the ledger at the latest commit.
func (r *Recorder) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Load reads all jobs that have a state, and the cancellations of jobs that were not known. A job without one is incomplete, since the state
// is saved last. A list that was read is not read again if Load is called again after an
// error: since the claim no other host has written records, and this one does so only
// after a Load.
func (r *Recorder) Load(ctx context.Context) ([]yuccapaddle.StoredJob, error) {
	prefixes := []string{jobPrefix, statePrefix, partPrefix, cancelPrefix}
	lists := make([][]yuccapaddle.Entry, len(prefixes))
	var g errgroup.Group // without a context: a list goes on if another fails
	for i, prefix := range prefixes {
		if list, ok := r.loaded[prefix]; ok {
			lists[i] = list
			continue
		}
		g.Go(func() error {
			var err error
			lists[i], err = r.list(ctx, prefix)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		r.loaded = map[string][]yuccapaddle.Entry{}
		for i, prefix := range prefixes {
			if lists[i] != nil {
				r.loaded[prefix] = lists[i]
			}
		}
		return nil, err
	}
	r.loaded = nil
	return append(join(lists[0], lists[1], lists[2]), cancellations(lists[3])...), nil
}

// list reads the records under a prefix. The list is not nil unless there is an error.
func (r *Recorder) list(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	ctx, wait := awaiter.New(ctx, loadSilence, loadTimeout)
	defer wait.Stop()
	list, _, err := r.ledger.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("read the records under %s: %w", prefix, err)
	}
	if list == nil {
		list = []yuccapaddle.Entry{}
	}
	return list, nil
}

// Save commits changed and removed records, in several transactions if one cannot hold
// them. It retries until all are committed, the context ends, the ledger finds the call
// invalid, or another host has become the writer (ErrReplaced).
func (r *Recorder) Save(ctx context.Context, records, removed []yuccapaddle.JobRecord) error {
	r.loaded = nil // they are about to change
	groups, remove := make([][]yuccapaddle.Change, len(records)), recordKeys(removed)
	for i := range records {
		groups[i] = recordChanges(&records[i])
	}
	for len(groups) > 0 || len(remove) > 0 {
		var t yuccapaddle.Transaction
		t.Set, groups = pack(groups)
		n := min(len(remove), MaxChanges-len(t.Set))
		t.Remove, remove = remove[:n], remove[n:]
		if err := r.commitUntilKnown(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// commit attempts a new transaction, and repeats it only if its failure was due to an
// earlier one. It must be called with mu held, or before the Recorder is shared.
func (r *Recorder) commit(ctx context.Context, t yuccapaddle.Transaction) error {
	r.count++
	err := r.attempt(ctx, t, callTimeout)
	if errors.Is(err, errEarlierCommit) {
		return r.attempt(ctx, t, callTimeout)
	}
	return err
}

// attempt attempts the present transaction once. A conflict caused by its own head means
// that an earlier attempt, whose reply was lost, was applied.
func (r *Recorder) attempt(ctx context.Context, t yuccapaddle.Transaction, timeout time.Duration) error {
	next := r.head
	next.Count = r.count
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the head key: %w", err)
	}
	t.If = append([]yuccapaddle.Condition{{Key: headKey, Revision: r.revision}}, t.If...)
	t.Set = append([]yuccapaddle.Change{{Key: headKey, Value: value}}, t.Set...)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	rev, err := r.ledger.Commit(callCtx, t)
	answered := !errors.Is(err, yuccapaddle.ErrUnknown)
	r.attempts.Note(answered, time.Since(start))
	if answered {
		took := time.Since(start)
		r.latency.Store(int64(min(took, r.lastAnswerTook)))
		r.lastAnswerTook = took
	}
	if err == nil {
		r.head, r.revision = next, rev
		return nil
	}
	if !errors.Is(err, yuccapaddle.ErrConflict) {
		return err
	}
	return r.resolveConflict(ctx, next)
}

// resolveConflict reads the head after a conflict. It returns nil if the head is that of
// the present transaction, errEarlierCommit if it is that of an earlier one of this
// writer that was not known to be applied, ErrConflict if the head has not changed, so
// that another condition did not hold, and ErrReplaced if it is from another writer.
func (r *Recorder) resolveConflict(ctx context.Context, next head) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := r.ledger.Get(callCtx, headKey)
	if err != nil {
		return fmt.Errorf("read the head key after a conflict: %w", err)
	}
	var current head
	if err := json.Unmarshal(e.Value, &current); err != nil {
		return fmt.Errorf("decode the head key after a conflict: %w", err)
	}
	switch {
	case current == next:
		r.head, r.revision = next, e.Revision
		return nil
	case current.Epoch != next.Epoch || current.Nonce != next.Nonce:
		return fmt.Errorf("%w: %s, epoch %d", ErrReplaced, current.Host, current.Epoch)
	case e.Revision == r.revision:
		return yuccapaddle.ErrConflict
	}
	r.head, r.revision = current, e.Revision
	return errEarlierCommit
}
