// Package recorder keeps the records of jobs in the ledger. Each commit changes
// the head key under its last revision, so that commits form one chain: a writer
// that has been replaced, or a late copy of an earlier commit, changes nothing.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

// Keys of the ledger.
const (
	headKey   = "yp/head"
	jobPrefix = "yp/job/"
	stateMark = "yp/run/"
	partMark  = "yp/part/"
	// mostChanges is how many keys one commit changes: the ledger takes 32 entries,
	// of which the head is two, as a condition and as a change.
	mostChanges = 30
)

// Times of calls to the ledger.
const (
	callTime   = 700 * time.Millisecond
	retryFirst = 20 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Head says who writes the records. Epoch rises with each writer and is the
// fencing token of its orders.
type head struct {
	Epoch   uint64 `json:"e"`
	Host    string `json:"h"`
	Address string `json:"a"`
	Nonce   string `json:"n"`
	Count   uint64 `json:"c"`
}

// ErrReplaced reports that another host writes the records now.
var ErrReplaced = errors.New("another host writes the records now")

// Recorder is the one writer of the records.
type Recorder struct {
	ledger   yuccapaddle.Ledger
	epoch    uint64
	head     head
	revision uint64
}

// Claim makes this host the writer.
func Claim(ctx context.Context, ledger yuccapaddle.Ledger, host, address, nonce string, lock yuccapaddle.Lock) (*Recorder, error) {
	e, err := ledger.Get(ctx, headKey)
	if err != nil {
		return nil, fmt.Errorf("read the head of the records: %w", err)
	}
	r := &Recorder{ledger: ledger, revision: e.Revision}
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &r.head); err != nil {
			return nil, fmt.Errorf("decode the head of the records: %w", err)
		}
	}
	r.head = head{Epoch: r.head.Epoch + 1, Host: host, Address: address, Nonce: nonce}
	t := yuccapaddle.Transaction{
		If:  []yuccapaddle.Condition{{Key: lock.Key, Revision: lock.Revision}},
		Set: []yuccapaddle.Change{{Key: lock.Key, Value: []byte(lock.Address), Lease: lock.Lease}},
	}
	if err := r.commit(ctx, t); err != nil {
		return nil, fmt.Errorf("claim the records: %w", err)
	}
	r.epoch = r.head.Epoch
	return r, nil
}

// Epoch is the number of this writer. It may be called at any time.
func (r *Recorder) Epoch() uint64 {
	return r.epoch
}

// Load reads all records.
func (r *Recorder) Load(ctx context.Context, each func(job, state []byte, parts [][]byte)) error {
	jobs, _, err := r.ledger.List(ctx, jobPrefix)
	if err != nil {
		return fmt.Errorf("read the jobs: %w", err)
	}
	states, _, err := r.ledger.List(ctx, stateMark)
	if err != nil {
		return fmt.Errorf("read the states of the jobs: %w", err)
	}
	units, _, err := r.ledger.List(ctx, partMark)
	if err != nil {
		return fmt.Errorf("read the parts of the jobs: %w", err)
	}
	byID := make(map[string][]byte, len(states))
	for _, s := range states {
		byID[strings.TrimPrefix(s.Key, stateMark)] = s.Value
	}
	parts := make(map[string][][]byte, len(states))
	for _, u := range units {
		id, _, _ := strings.Cut(strings.TrimPrefix(u.Key, partMark), "/")
		parts[id] = append(parts[id], u.Value)
	}
	for _, j := range jobs {
		id := strings.TrimPrefix(j.Key, jobPrefix)
		if state := byID[id]; state != nil {
			each(j.Value, state, parts[id])
		}
	}
	return nil
}

// Save commits records, in several transactions if they are many. It goes on
// until they are committed, the context ends or another host has taken over.
func (r *Recorder) Save(ctx context.Context, records, removed []yuccapaddle.JobRecord) error {
	groups, remove := make([][]yuccapaddle.Change, len(records)), keys(removed)
	for i := range records {
		groups[i] = changes(&records[i])
	}
	for len(groups) > 0 || len(remove) > 0 {
		var t yuccapaddle.Transaction
		t.Set, groups = pack(groups)
		n := min(len(remove), mostChanges-len(t.Set))
		t.Remove, remove = remove[:n], remove[n:]
		if err := r.persist(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// pack takes the changes of as many records as one transaction holds. A record is
// divided only if it alone is larger, so that a host which is lost between two
// transactions leaves jobs whole.
func pack(groups [][]yuccapaddle.Change) (set []yuccapaddle.Change, rest [][]yuccapaddle.Change) {
	for len(groups) > 0 {
		room := mostChanges - len(set)
		switch g := groups[0]; {
		case len(g) <= room:
			set, groups = append(set, g...), groups[1:]
		case len(set) == 0:
			set, groups[0] = g[:room:room], g[room:]
			return set, groups
		default:
			return set, groups
		}
	}
	return set, nil
}

// changes lists what a record sets. The state of a job comes after the job and its
// parts, so that a host which reads a state finds them.
func changes(x *yuccapaddle.JobRecord) []yuccapaddle.Change {
	list := make([]yuccapaddle.Change, 0, len(x.Parts)+2)
	if x.Job != nil {
		list = append(list, yuccapaddle.Change{Key: jobPrefix + x.ID, Value: x.Job})
	}
	for n, data := range x.Parts {
		list = append(list, yuccapaddle.Change{Key: partKey(x.ID, n), Value: data})
	}
	return append(list, yuccapaddle.Change{Key: stateMark + x.ID, Value: x.State})
}

func keys(removed []yuccapaddle.JobRecord) []string {
	var list []string
	for i := range removed {
		x := &removed[i]
		list = append(list, stateMark+x.ID, jobPrefix+x.ID)
		for n := range x.PartCount {
			list = append(list, partKey(x.ID, n))
		}
	}
	return list
}

func partKey(id string, n int) string {
	return partMark + id + "/" + strconv.Itoa(n)
}

// persist repeats a commit until its fate is known.
func (r *Recorder) persist(ctx context.Context, t yuccapaddle.Transaction) error {
	backoff := retryFirst
	for {
		err := r.commit(ctx, t)
		if err == nil || errors.Is(err, ErrReplaced) || errors.Is(err, yuccapaddle.ErrInvalid) {
			return err
		}
		if sleeper.Jitter(ctx, backoff) != nil {
			return err
		}
		backoff = min(2*backoff, retryMost)
	}
}

// commit tries once. A conflict with the head that this commit itself has set
// means that an earlier try, whose answer was lost, was applied.
func (r *Recorder) commit(ctx context.Context, t yuccapaddle.Transaction) error {
	next := r.head
	next.Count++
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the head: %w", err)
	}
	t.If = append([]yuccapaddle.Condition{{Key: headKey, Revision: r.revision}}, t.If...)
	t.Set = append([]yuccapaddle.Change{{Key: headKey, Value: value}}, t.Set...)
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	rev, err := r.ledger.Commit(callCtx, t)
	if err == nil {
		r.head, r.revision = next, rev
		return nil
	}
	if !errors.Is(err, yuccapaddle.ErrConflict) {
		return err
	}
	return r.compare(ctx, next)
}

// compare finds out after a conflict whose commit the head is from.
func (r *Recorder) compare(ctx context.Context, next head) error {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	e, err := r.ledger.Get(callCtx, headKey)
	if err != nil {
		return fmt.Errorf("read the head after a conflict: %w", err)
	}
	var now head
	if err := json.Unmarshal(e.Value, &now); err != nil {
		return fmt.Errorf("decode the head after a conflict: %w", err)
	}
	if now == next {
		r.head, r.revision = next, e.Revision
		return nil
	}
	return fmt.Errorf("%w: %s, epoch %d", ErrReplaced, now.Host, now.Epoch)
}
