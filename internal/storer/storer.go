// Package storer is the client of the platform's key-value service, over HTTP with
// JSON bodies. docs/PROTOCOLS.md describes the calls.
package storer

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/caller"
)

const (
	callTimeout = 2 * time.Second
	// watchReplyMargin is how much longer than the watch itself a call waits for its
	// reply.
	watchReplyMargin = time.Second
)

// Storer implements yuccapaddle.Store.
type Storer struct {
	baseURL string
	caller  *caller.Caller
}

var _ yuccapaddle.Store = (*Storer)(nil)

// New returns the store that is served at address, host:port.
func New(address string) *Storer {
	return &Storer{baseURL: "http://" + address + "/v1/", caller: caller.New()}
}

// PutBody is the body of a write. TTL is in milliseconds, 0 if the key does not
// expire.
type PutBody struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	IfRevision uint64 `json:"ifRevision"`
	TTL        int64  `json:"ttl,omitempty"`
}

// Get implements yuccapaddle.Store.
func (s *Storer) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.baseURL+"kv?key="+url.QueryEscape(key), nil, &e, callTimeout)
	return e, wrapError("read", key, err)
}

// List implements yuccapaddle.Store.
func (s *Storer) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	var out []yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.baseURL+"list?prefix="+url.QueryEscape(prefix), nil, &out, callTimeout)
	return out, wrapError("list", prefix, err)
}

// Put implements yuccapaddle.Store.
func (s *Storer) Put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	body := PutBody{Key: w.Key, Value: w.Value, IfRevision: w.IfRevision}
	if !w.Expiry.IsZero() {
		body.TTL = time.Until(w.Expiry).Milliseconds()
		if body.TTL <= 0 {
			return 0, fmt.Errorf("write %q: its expiry has already passed: %w", w.Key, yuccapaddle.ErrNotApplied)
		}
	}
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodPost, s.baseURL+"kv", body, &e, callTimeout)
	return e.Revision, wrapError("write", w.Key, err)
}

// Delete implements yuccapaddle.Store.
func (s *Storer) Delete(ctx context.Context, key string, ifRevision uint64) error {
	callURL := s.baseURL + "kv?key=" + url.QueryEscape(key) + "&ifRevision=" + strconv.FormatUint(ifRevision, 10)
	err := s.caller.Call(ctx, fasthttp.MethodDelete, callURL, nil, nil, callTimeout)
	return wrapError("delete", key, err)
}

// Watch implements yuccapaddle.Store.
func (s *Storer) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	wait := max(time.Until(deadline), 0)
	q := url.Values{"key": {key}, "after": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.baseURL+"watch?"+q.Encode(), nil, &e, wait+watchReplyMargin)
	return e, wrapError("watch", key, err)
}

// notAppliedStatus holds the statuses that mean that nothing has been written. After
// any other failure, except a conflict, the write may have been applied.
var notAppliedStatus = map[int]bool{
	fasthttp.StatusBadRequest:         true,
	fasthttp.StatusTooManyRequests:    true,
	fasthttp.StatusServiceUnavailable: true,
}

// wrapError wraps the error of a call in one of those of yuccapaddle.Store.
func wrapError(op, key string, err error) error {
	if err == nil {
		return nil
	}
	var status *caller.StatusError
	switch {
	case errors.As(err, &status) && status.Code() == fasthttp.StatusConflict:
		return fmt.Errorf("%s %q: %w", op, key, yuccapaddle.ErrConflict)
	case errors.As(err, &status) && notAppliedStatus[status.Code()], errors.Is(err, caller.ErrNotSent):
		return fmt.Errorf("%s %q: %w: %w", op, key, yuccapaddle.ErrNotApplied, err)
	}
	return fmt.Errorf("%s %q: %w: %w", op, key, yuccapaddle.ErrUnknown, err)
}
