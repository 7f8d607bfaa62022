package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"yuccapaddle"
)

// hostRecord is the value of the hosts key: the addresses of the hosts whose confirmations the
// active host counts. Epoch is that of the last writer that took all former ones for stopped,
// 0 if there was none.
type hostRecord struct {
	Epoch     uint64   `json:"e"`
	Addresses []string `json:"a"`
}

// Hosts returns the addresses of the hosts that were recorded once this host had become the
// writer: the list of the former host, or this host alone if there was none that can be read.
// epoch is that of the last writer that took all former ones for stopped, 0 if the list is not
// one by which all former hosts count.
func (r *Recorder) Hosts() (addresses []string, epoch uint64) {
	return r.hosts.Addresses, r.hosts.Epoch
}

// SaveHosts records the addresses of the hosts whose confirmations this host counts, and that
// it takes all former writers for stopped. After an error other than ErrReplaced that may or
// may not be recorded. SaveHosts waits for a Save in progress.
func (r *Recorder) SaveHosts(ctx context.Context, addresses []string) error {
	record := hostRecord{Epoch: r.epoch, Addresses: addresses}
	change, err := record.change()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commit(ctx, yuccapaddle.Transaction{Set: []yuccapaddle.Change{change}})
}

// change returns the change that saves the record.
func (h *hostRecord) change() (yuccapaddle.Change, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return yuccapaddle.Change{}, fmt.Errorf("encode the hosts: %w", err)
	}
	return yuccapaddle.Change{Key: hostsKey, Value: value}, nil
}
