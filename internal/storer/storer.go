// Package storer reaches the platform's key-value service over HTTP and JSON.
// docs/PROTOCOLS.md describes the calls.
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
	watchSlack  = time.Second
)

// Storer implements yuccapaddle.Store.
type Storer struct {
	base   string
	caller *caller.Caller
}

var _ yuccapaddle.Store = (*Storer)(nil)

// New returns a store at host:port.
func New(address string) *Storer {
	return &Storer{base: "http://" + address + "/v1/", caller: caller.New()}
}

// PutBody is the body of a put; ttl is in milliseconds, 0 for none.
type PutBody struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	IfRevision uint64 `json:"ifRevision"`
	TTL        int64  `json:"ttl,omitempty"`
}

// Get implements yuccapaddle.Store.
func (s *Storer) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.base+"kv?key="+url.QueryEscape(key), nil, &e, callTimeout)
	return e, wrap("read", key, err)
}

// List implements yuccapaddle.Store.
func (s *Storer) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	var out []yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.base+"list?prefix="+url.QueryEscape(prefix), nil, &out, callTimeout)
	return out, wrap("list", prefix, err)
}

// Put implements yuccapaddle.Store.
func (s *Storer) Put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	body := PutBody{Key: w.Key, Value: w.Value, IfRevision: w.IfRevision}
	if !w.Expiry.IsZero() {
		body.TTL = time.Until(w.Expiry).Milliseconds()
		if body.TTL <= 0 {
			return 0, fmt.Errorf("write %q: its lease has already ended: %w", w.Key, yuccapaddle.ErrNotApplied)
		}
	}
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodPost, s.base+"kv", body, &e, callTimeout)
	return e.Revision, wrap("write", w.Key, err)
}

// Delete implements yuccapaddle.Store.
func (s *Storer) Delete(ctx context.Context, key string, ifRevision uint64) error {
	target := s.base + "kv?key=" + url.QueryEscape(key) + "&ifRevision=" + strconv.FormatUint(ifRevision, 10)
	err := s.caller.Call(ctx, fasthttp.MethodDelete, target, nil, nil, callTimeout)
	return wrap("delete", key, err)
}

// Watch implements yuccapaddle.Store.
func (s *Storer) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	wait := max(time.Until(deadline), 0)
	q := url.Values{"key": {key}, "after": {strconv.FormatUint(after, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var e yuccapaddle.Entry
	err := s.caller.Call(ctx, fasthttp.MethodGet, s.base+"watch?"+q.Encode(), nil, &e, wait+watchSlack)
	return e, wrap("watch", key, err)
}

// refusals are the answers after which nothing has been written. After any
// other failure the write may have been applied.
var refusals = map[int]bool{
	fasthttp.StatusBadRequest:         true,
	fasthttp.StatusTooManyRequests:    true,
	fasthttp.StatusServiceUnavailable: true,
}

// wrap maps the fate of a call to the errors of yuccapaddle.Store.
func wrap(what, key string, err error) error {
	if err == nil {
		return nil
	}
	var status *caller.StatusError
	switch {
	case errors.As(err, &status) && status.Code() == fasthttp.StatusConflict:
		return fmt.Errorf("%s %q: %w", what, key, yuccapaddle.ErrConflict)
	case errors.As(err, &status) && refusals[status.Code()], errors.Is(err, caller.ErrNotSent):
		return fmt.Errorf("%s %q: %w: %w", what, key, yuccapaddle.ErrNotApplied, err)
	}
	return fmt.Errorf("%s %q: %w: %w", what, key, yuccapaddle.ErrUnknown, err)
}
