// Package dispatcher sends commands to the platform's workers through their
// upstreams, as JSON over HTTP. docs/PROTOCOLS.md describes the calls.
package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/caller"
)

const (
	callTimeout = 2 * time.Second
	syncMargin  = time.Second
	scheme      = "http://"
)

// Dispatcher implements yuccapaddle.GangWorker.
type Dispatcher struct {
	caller    *caller.Caller
	addressOf func(upstream string) string
}

var _ yuccapaddle.GangWorker = (*Dispatcher)(nil)

// New returns a Dispatcher. addressOf returns the host:port of an upstream, "" if
// it is not declared. observe is called with the sizes of each answered call's
// bodies, in bytes.
func New(addressOf func(upstream string) string, observe func(address string, sent, received int)) *Dispatcher {
	observeURL := func(url string, sent, received int) {
		address, _, _ := strings.Cut(strings.TrimPrefix(url, scheme), "/")
		observe(address, sent, received)
	}
	return &Dispatcher{caller: caller.New(caller.WithObserver(observeURL)), addressOf: addressOf}
}

// Reserve implements yuccapaddle.GangWorker.
func (d *Dispatcher) Reserve(ctx context.Context, r yuccapaddle.Reservation) error {
	return d.post(ctx, r.Upstream, "reserve", r, nil, callTimeout)
}

// Start implements yuccapaddle.GangWorker.
func (d *Dispatcher) Start(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return d.post(ctx, c.Upstream, "start", c, nil, callTimeout)
}

// Checkpoint implements yuccapaddle.GangWorker.
func (d *Dispatcher) Checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return d.post(ctx, c.Upstream, "checkpoint", c, nil, callTimeout)
}

// Stop implements yuccapaddle.GangWorker.
func (d *Dispatcher) Stop(ctx context.Context, c yuccapaddle.LeaseCommand) (yuccapaddle.StopReply, error) {
	var reply yuccapaddle.StopReply
	err := d.post(ctx, c.Upstream, "stop", c, &reply, callTimeout)
	return reply, err
}

// Forget implements yuccapaddle.GangWorker.
func (d *Dispatcher) Forget(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return d.post(ctx, c.Upstream, "forget", c, nil, callTimeout)
}

// Sync implements yuccapaddle.GangWorker.
func (d *Dispatcher) Sync(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	var report yuccapaddle.Report
	err := d.post(ctx, r.Upstream, "sync", r, &report, time.Until(r.WaitUntil)+syncMargin)
	return report, err
}

// post sends a command to an upstream. An error is a *yuccapaddle.WorkerError if the
// upstream refused the command or is not declared, and matches
// yuccapaddle.ErrNoAnswer otherwise.
func (d *Dispatcher) post(ctx context.Context, upstream, command string, body, reply any, timeout time.Duration) error {
	address := d.addressOf(upstream)
	if address == "" {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("upstream %q is not declared", upstream)}
	}
	err := d.caller.Call(ctx, fasthttp.MethodPost, scheme+address+"/v1/"+command, body, reply, timeout)
	if err == nil {
		return nil
	}
	var statusErr *caller.StatusError
	if errors.As(err, &statusErr) && statusErr.Code() == fasthttp.StatusConflict {
		return decodeRefusal(statusErr)
	}
	return fmt.Errorf("%s at upstream %q: %w: %w", command, upstream, yuccapaddle.ErrNoAnswer, err)
}

// decodeRefusal returns the *yuccapaddle.WorkerError in an answer with status 409.
// A body that is not one becomes the reason.
func decodeRefusal(statusErr *caller.StatusError) error {
	refused := &yuccapaddle.WorkerError{}
	if err := json.Unmarshal([]byte(statusErr.Text()), refused); err != nil || refused.Reason == "" {
		refused.Reason = statusErr.Text()
	}
	return refused
}
