package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
)

// ClaimOption changes a claim.
type ClaimOption func(*Recorder) error

// AfterEpoch has the claim fail with ErrReplaced unless the last writer is of that epoch.
func AfterEpoch(epoch uint64) ClaimOption {
	return func(r *Recorder) error {
		if r.former.Epoch != epoch {
			return fmt.Errorf("%w: %s, epoch %d", ErrReplaced, r.former.Host, r.former.Epoch)
		}
		return nil
	}
}

// Claim makes this host the writer of the records, and sets the lock in the same
// transaction. nonce differs for every process. The error matches ErrReplaced if another
// host was faster.
func Claim(ctx context.Context, ledger yuccapaddle.Ledger, host, address, nonce string, lock yuccapaddle.Lock, opts ...ClaimOption) (*Recorder, error) {
	entries, err := getAll(ctx, ledger, headKey, hostsKey)
	if err != nil {
		return nil, err
	}
	last, hosts := entries[0], entries[1]
	r := &Recorder{ledger: ledger, nonce: nonce, revision: last.Revision, attempts: attempter.New(callTimeout, shortCallTimeout)}
	if err := decode(last, &r.former); err != nil {
		return nil, err
	}
	recorded := hosts.Revision != 0 && json.Unmarshal(hosts.Value, &r.hosts) == nil && len(r.hosts.Addresses) > 0
	for _, o := range opts {
		if err := o(r); err != nil {
			return nil, err
		}
	}
	r.epoch = r.former.Epoch + 1
	r.head = head{Epoch: r.epoch, Host: host, Address: address, Nonce: nonce}
	t := lockTransaction(lock)
	t.If = append(t.If, yuccapaddle.Condition{Key: hostsKey, Revision: hosts.Revision})
	if !recorded {
		r.hosts = hostRecord{Addresses: []string{address}}
		if r.former.Epoch == 0 {
			r.hosts.Epoch = r.epoch
		}
		change, err := r.hosts.change()
		if err != nil {
			return nil, err
		}
		t.Set = append(t.Set, change)
	}
	if err := r.commit(ctx, t); err != nil {
		return nil, fmt.Errorf("become the writer of the job records: %w", err)
	}
	return r, nil
}

// getAll reads keys at the same time. The entries are in the order of the keys.
func getAll(ctx context.Context, ledger yuccapaddle.Ledger, keys ...string) ([]yuccapaddle.Entry, error) {
	entries := make([]yuccapaddle.Entry, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	for i, key := range keys {
		g.Go(func() error {
			var err error
			if entries[i], err = ledger.Get(ctx, key); err != nil {
				return fmt.Errorf("read the key %s: %w", key, err)
			}
			return nil
		})
	}
	return entries, g.Wait()
}

// decode decodes the value of an entry into v, which it leaves alone if the key does not exist.
func decode(e yuccapaddle.Entry, v any) error {
	if e.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(e.Value, v); err != nil {
		return fmt.Errorf("decode the key %s: %w", e.Key, err)
	}
	return nil
}

// Former returns the address and the epoch of the last writer before this one, "" and 0 if
// there was none.
func (r *Recorder) Former() (address string, epoch uint64) {
	return r.former.Address, r.former.Epoch
}
