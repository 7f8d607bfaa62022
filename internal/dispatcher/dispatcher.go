// Package dispatcher reaches the platform's workers over HTTP and JSON, through
// the upstream that runs them. docs/PROTOCOLS.md describes the calls.
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
	syncSlack   = time.Second
	scheme      = "http://"
)

// Dispatcher implements yuccapaddle.GangWorker.
type Dispatcher struct {
	caller    *caller.Caller
	addressOf func(upstream string) string
}

var _ yuccapaddle.GangWorker = (*Dispatcher)(nil)

// New returns a Dispatcher; addressOf returns the host:port of an upstream, ""
// if it is not declared. observe is told the bytes of each call's bodies.
func New(addressOf func(upstream string) string, observe func(address string, sent, received int)) *Dispatcher {
	count := func(url string, sent, received int) {
		address, _, _ := strings.Cut(strings.TrimPrefix(url, scheme), "/")
		observe(address, sent, received)
	}
	return &Dispatcher{caller: caller.New(caller.WithObserver(count)), addressOf: addressOf}
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
	err := d.post(ctx, r.Upstream, "sync", r, &report, time.Until(r.WaitUntil)+syncSlack)
	return report, err
}

func (d *Dispatcher) post(ctx context.Context, upstream, what string, body, reply any, wait time.Duration) error {
	address := d.addressOf(upstream)
	if address == "" {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("upstream %q is not declared", upstream)}
	}
	err := d.caller.Call(ctx, fasthttp.MethodPost, scheme+address+"/v1/"+what, body, reply, wait)
	if err == nil {
		return nil
	}
	var status *caller.StatusError
	if errors.As(err, &status) && status.Code() == fasthttp.StatusConflict {
		return refusal(status)
	}
	return fmt.Errorf("%s at upstream %q: %w: %w", what, upstream, yuccapaddle.ErrNoAnswer, err)
}

// refusal reads the reason that an upstream gives with status 409.
func refusal(status *caller.StatusError) error {
	we := &yuccapaddle.WorkerError{}
	if err := json.Unmarshal([]byte(status.Text()), we); err != nil || we.Reason == "" {
		we.Reason = status.Text()
	}
	return we
}
