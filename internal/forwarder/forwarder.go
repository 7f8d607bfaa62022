// Package forwarder sends callers' requests to the host that is active at the time
// and returns the outcomes. It retries within a budget; that is safe because the
// active host recognises a request by its ID.
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yuccapaddle"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/driver"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/peerauthenticator"
	"yuccapaddle/internal/sleeper"
)

const (
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	notifyTimeout   = time.Second
	awaitCallTime   = 5 * time.Second
	awaitCallMargin = time.Second
	stateTimeout    = 2 * time.Second
	maxMessageBytes = 4 << 20
	callTimeout     = 3 * time.Second
	retryAfter      = 3 * time.Second
)

// Engine decides about requests on the active host.
type Engine interface {
	Submit(ctx context.Context, r *yuccapaddle.Request) (yuccapaddle.Outcome, error)
	Cancel(ctx context.Context, key string) (yuccapaddle.Outcome, error)
	Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error)
}

// Forwarder forwards requests to the active host, and calls to any other host. It
// is safe for concurrent use.
type Forwarder struct {
	self       string
	activeHost func() (host, address string, ok bool)
	engine     func() Engine
	budget     *rate.Limiter
	mu         sync.Mutex
	conns      map[string]*grpc.ClientConn
	peerAuth   *peerauthenticator.PeerAuthenticator
	dial       func(address string) (peer.PeerClient, error)
}

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithDial sets the function that connects to another host. Nil keeps the default.
func WithDial(dial func(address string) (peer.PeerClient, error)) Option {
	return func(f *Forwarder) {
		if dial != nil {
			f.dial = dial
		}
	}
}

// WithToken sets the token that is sent with each call to another host.
func WithToken(token string) Option {
	return func(f *Forwarder) { f.peerAuth = peerauthenticator.New(token) }
}

// New returns a Forwarder for the host with the name self. activeHost returns the
// name and the address of the active host, if known, and engine the engine of this
// host, nil while it is not active. budget limits the retries of sent calls.
func New(self string, activeHost func() (string, string, bool), engine func() Engine, budget *rate.Limiter, opts ...Option) *Forwarder {
	f := &Forwarder{self: self, activeHost: activeHost, engine: engine, budget: budget, conns: map[string]*grpc.ClientConn{}, peerAuth: peerauthenticator.New("")}
	f.dial = f.connect
	for _, o := range opts {
		o(f)
	}
	return f
}

// callFunc makes one call to the active host: to engine if that is this host, and
// to remote if engine is nil.
type callFunc func(ctx context.Context, engine Engine, remote peer.PeerClient) (o yuccapaddle.Outcome, err error)

var errNoActive = errors.New("no host is active")

// Submit returns the outcome, final or not, by the deadline. The verdict is
// VerdictRefused if no host can have accepted the request, and VerdictUnknown if
// that is not certain.
func (f *Forwarder) Submit(ctx context.Context, r *yuccapaddle.Request, deadline time.Time) yuccapaddle.Outcome {
	if r.Queue != "" {
		return yuccapaddle.Outcome{
			ID: r.ID, Workspace: r.Workspace, Verdict: yuccapaddle.VerdictRefused,
			Reason: "not run: there are no queues here, only the classes quick and batch",
		}
	}
	o, sent, err := f.callWithRetries(ctx, deadline, func(ctx context.Context, engine Engine, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if engine != nil {
			return engine.Submit(ctx, r)
		}
		m, err := remote.Submit(ctx, converter.SubmitMessage(r))
		return decodeReply(r.Key(), m, err)
	})
	if err == nil {
		return o
	}
	o = yuccapaddle.Outcome{ID: r.ID, Workspace: r.Workspace, RetryAfter: time.Now().Add(retryAfter)}
	if sent {
		o.Verdict, o.MayHaveRun = yuccapaddle.VerdictUnknown, true
		o.Reason = fmt.Sprintf("it is not known whether the request was accepted, ask again by its id: %v", err)
		return o
	}
	o.Verdict, o.Reason = yuccapaddle.VerdictRefused, fmt.Sprintf("not run: %v", err)
	return o
}

// Cancel asks the active host to cancel a request. After an error it is not known
// whether the active host has received the cancellation.
func (f *Forwarder) Cancel(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	o, _, err := f.callWithRetries(ctx, deadline, func(ctx context.Context, engine Engine, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if engine != nil {
			return engine.Cancel(ctx, key)
		}
		m, err := remote.Cancel(ctx, &peer.KeyRequest{Key: key})
		return decodeReply(key, m, err)
	})
	return o, err
}

// Await returns the outcome once it is final, or the latest one known at the
// deadline. It continues when another host becomes active.
func (f *Forwarder) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	for {
		o, err := f.awaitOnce(ctx, key, deadline)
		done := err != nil || o.Verdict.Final() || o.Verdict == yuccapaddle.VerdictNotFound
		if done || !time.Now().Before(deadline) || ctx.Err() != nil {
			return o, err
		}
	}
}

func (f *Forwarder) awaitOnce(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	callDeadline := time.Now().Add(awaitCallTime)
	if deadline.Before(callDeadline) {
		callDeadline = deadline
	}
	o, _, err := f.callWithRetries(ctx, deadline.Add(retryAfter), func(ctx context.Context, engine Engine, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if engine != nil {
			return engine.Await(ctx, key, callDeadline)
		}
		wait := max(time.Until(callDeadline), 0)
		ctx, cancel := context.WithTimeout(ctx, wait+awaitCallMargin)
		defer cancel()
		m, err := remote.Await(ctx, &peer.KeyRequest{Key: key, WaitMs: (wait + time.Millisecond - 1).Milliseconds()})
		return decodeReply(key, m, err)
	})
	return o, err
}

// decodeReply returns the outcome in the answer to a call about the request with
// the key. An answer about another request is an error.
func decodeReply(key string, m *peer.OutcomeReply, err error) (yuccapaddle.Outcome, error) {
	if err != nil {
		return yuccapaddle.Outcome{}, err
	}
	if m.GetInactive() {
		return yuccapaddle.Outcome{}, driver.ErrInactive
	}
	o := converter.Outcome(m)
	if o.Verdict != yuccapaddle.VerdictNotFound && o.Workspace+"/"+o.ID != key {
		return yuccapaddle.Outcome{}, fmt.Errorf("the active host answered about request %s/%s instead of %s", o.Workspace, o.ID, key)
	}
	return o, nil
}

// callWithRetries repeats a call until it succeeds, the deadline passes or the retry
// budget is exhausted. sent reports whether any call may have reached the active
// host.
func (f *Forwarder) callWithRetries(ctx context.Context, deadline time.Time, call callFunc) (o yuccapaddle.Outcome, sent bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	backoff := initialBackoff
	for n := 0; ; n++ {
		o, reached, callErr := f.callOnce(ctx, call)
		sent = sent || reached
		if callErr == nil {
			return o, sent, nil
		}
		err = callErr
		if reached && !f.budget.Allow() {
			return o, sent, fmt.Errorf("the retry budget of host %q is exhausted: %w", f.self, err)
		}
		if sleeper.SleepJittered(ctx, backoff) != nil {
			return o, sent, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// callOnce calls the active host once. sent reports whether the call may have
// reached it.
func (f *Forwarder) callOnce(ctx context.Context, call callFunc) (o yuccapaddle.Outcome, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+awaitCallTime)
	defer cancel()
	host, address, ok := f.activeHost()
	if !ok {
		return o, false, errNoActive
	}
	if host == f.self {
		engine := f.engine()
		if engine == nil {
			return o, false, errNoActive
		}
		o, err = call(ctx, engine, nil)
		return o, true, err
	}
	remote, err := f.dial(address)
	if err != nil {
		return o, false, err
	}
	o, err = call(ctx, nil, remote)
	return o, true, err
}

func (f *Forwarder) connect(address string) (peer.PeerClient, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.conns[address]; c != nil {
		return peer.NewPeerClient(c), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, f.peerAuth.ClientAuth(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	f.conns[address] = conn
	return peer.NewPeerClient(conn), nil
}

// Notify sends an accepted configuration to another host and returns the revision
// in force there.
func (f *Forwarder) Notify(ctx context.Context, address string, config []byte) (uint64, error) {
	remote, err := f.dial(address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	m, err := remote.Notify(ctx, &peer.NotifyRequest{Config: config})
	if err != nil {
		return 0, fmt.Errorf("notify host %s: %w", address, err)
	}
	return m.GetRevision(), nil
}

// State returns the status of another host.
func (f *Forwarder) State(ctx context.Context, address string) (*yuccapaddle.HostStatus, error) {
	remote, err := f.dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	m, err := remote.State(ctx, &peer.StateRequest{})
	if err != nil {
		return nil, fmt.Errorf("ask host %s for its status: %w", address, err)
	}
	var st yuccapaddle.HostStatus
	if err := json.Unmarshal(m.GetState(), &st); err != nil {
		return nil, fmt.Errorf("decode the status of host %s: %w", address, err)
	}
	return &st, nil
}

// Close closes the connections to other hosts.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}
