// Package forwarder brings a caller's request to the active host, whichever
// that is, and brings the outcome back. It tries again with the same id, which
// the active host recognises, as long as its retry budget lasts.
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
	"yuccapaddle/internal/introducer"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/sleeper"
)

const (
	retryFirst  = 50 * time.Millisecond
	retryMost   = 500 * time.Millisecond
	notifyTime  = time.Second
	awaitSlice  = 5 * time.Second
	awaitSlack  = time.Second
	stateTime   = 2 * time.Second
	mostMessage = 4 << 20
	tryTime     = 3 * time.Second
	retryAfter  = 3 * time.Second
)

// Local is the engine of this host while it is active.
type Local interface {
	Submit(ctx context.Context, r *yuccapaddle.Request) (yuccapaddle.Outcome, error)
	Cancel(ctx context.Context, key string) (yuccapaddle.Outcome, error)
	Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error)
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	self   string
	holder func() (host, address string, ok bool)
	local  func() Local
	budget *rate.Limiter
	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	intro  *introducer.Introducer
	dial   func(address string) (peer.PeerClient, error)
}

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithDial replaces the way to reach other hosts, unless it is nil.
func WithDial(dial func(address string) (peer.PeerClient, error)) Option {
	return func(f *Forwarder) {
		if dial != nil {
			f.dial = dial
		}
	}
}

// WithToken sends a token with each call to another host.
func WithToken(token string) Option {
	return func(f *Forwarder) { f.intro = introducer.New(token) }
}

// New returns a Forwarder for the host with the name self. holder returns the
// active host and local the engine of this one, nil while it is not active.
func New(self string, holder func() (string, string, bool), local func() Local, budget *rate.Limiter, opts ...Option) *Forwarder {
	f := &Forwarder{self: self, holder: holder, local: local, budget: budget, conns: map[string]*grpc.ClientConn{}, intro: introducer.New("")}
	f.dial = f.connect
	for _, o := range opts {
		o(f)
	}
	return f
}

// attempt makes one try at the active host. sent is false if nothing can have
// reached it.
type attempt func(ctx context.Context, local Local, remote peer.PeerClient) (o yuccapaddle.Outcome, err error)

var errNoActive = errors.New("no host is active")

// Submit returns the outcome, final or not, until the deadline. If it cannot be
// told whether the request was accepted, the verdict is unknown; if no host can
// have accepted it, the verdict is refused.
func (f *Forwarder) Submit(ctx context.Context, r *yuccapaddle.Request, deadline time.Time) yuccapaddle.Outcome {
	if r.Queue != "" {
		return yuccapaddle.Outcome{
			ID: r.ID, Workspace: r.Workspace, Verdict: yuccapaddle.VerdictRefused,
			Reason: "not run: there are no queues here, only the classes quick and batch",
		}
	}
	o, sent, err := f.try(ctx, deadline, func(ctx context.Context, local Local, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if local != nil {
			return local.Submit(ctx, r)
		}
		m, err := remote.Submit(ctx, converter.Submit(r))
		return reply(r.Key(), m, err)
	})
	if err == nil {
		return o
	}
	o = yuccapaddle.Outcome{ID: r.ID, Workspace: r.Workspace, RetryAfter: time.Now().Add(retryAfter)}
	if sent {
		o.Verdict, o.Ran = yuccapaddle.VerdictUnknown, false
		o.Reason = fmt.Sprintf("it is not known whether the request was accepted, ask again by its id: %v", err)
		return o
	}
	o.Verdict, o.Reason = yuccapaddle.VerdictRefused, fmt.Sprintf("not run: %v", err)
	return o
}

// Cancel asks the active host to cancel. An error means that this is not known
// to have been heard.
func (f *Forwarder) Cancel(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	o, _, err := f.try(ctx, deadline, func(ctx context.Context, local Local, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if local != nil {
			return local.Cancel(ctx, key)
		}
		m, err := remote.Cancel(ctx, &peer.KeyRequest{Key: key})
		return reply(key, m, err)
	})
	return o, err
}

// Await returns the outcome once it is final, or what is known of it at the
// deadline. It goes on through changes of the active host.
func (f *Forwarder) Await(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	for {
		o, err := f.awaitOnce(ctx, key, deadline)
		over := err != nil || o.Verdict.Final() || o.Verdict == yuccapaddle.VerdictNotFound
		if over || !time.Now().Before(deadline) || ctx.Err() != nil {
			return o, err
		}
	}
}

func (f *Forwarder) awaitOnce(ctx context.Context, key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	slice := time.Now().Add(awaitSlice)
	if deadline.Before(slice) {
		slice = deadline
	}
	o, _, err := f.try(ctx, deadline.Add(retryAfter), func(ctx context.Context, local Local, remote peer.PeerClient) (yuccapaddle.Outcome, error) {
		if local != nil {
			return local.Await(ctx, key, slice)
		}
		wait := max(time.Until(slice), 0)
		ctx, cancel := context.WithTimeout(ctx, wait+awaitSlack)
		defer cancel()
		m, err := remote.Await(ctx, &peer.KeyRequest{Key: key, WaitMs: (wait + time.Millisecond - 1).Milliseconds()})
		return reply(key, m, err)
	})
	return o, err
}

// reply reads the answer to a question about a request. An answer about another
// request is none.
func reply(key string, m *peer.OutcomeReply, err error) (yuccapaddle.Outcome, error) {
	if err != nil {
		return yuccapaddle.Outcome{}, err
	}
	if m.GetInactive() {
		return yuccapaddle.Outcome{}, driver.ErrInactive
	}
	o := converter.Outcome(m)
	if o.Verdict != yuccapaddle.VerdictNotFound && o.Workspace+"/"+o.ID != key {
		return yuccapaddle.Outcome{}, fmt.Errorf("the active host answered for request %s/%s in place of %s", o.Workspace, o.ID, key)
	}
	return o, nil
}

func (f *Forwarder) try(ctx context.Context, deadline time.Time, once attempt) (o yuccapaddle.Outcome, sent bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	backoff := retryFirst
	for n := 0; ; n++ {
		o, reached, tryErr := f.tryOnce(ctx, once)
		sent = sent || reached
		if tryErr == nil {
			return o, sent, nil
		}
		err = tryErr
		if reached && !f.budget.Allow() {
			return o, sent, fmt.Errorf("the retry budget of host %q is used up: %w", f.self, err)
		}
		if sleeper.Jitter(ctx, backoff) != nil {
			return o, sent, err
		}
		backoff = min(2*backoff, retryMost)
	}
}

// tryOnce reports in sent whether the active host may have got the message.
func (f *Forwarder) tryOnce(ctx context.Context, once attempt) (o yuccapaddle.Outcome, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTime+awaitSlice)
	defer cancel()
	host, address, ok := f.holder()
	if !ok {
		return o, false, errNoActive
	}
	if host == f.self {
		local := f.local()
		if local == nil {
			return o, false, errNoActive
		}
		o, err = once(ctx, local, nil)
		return o, true, err
	}
	remote, err := f.dial(address)
	if err != nil {
		return o, false, err
	}
	o, err = once(ctx, nil, remote)
	return o, true, err
}

func (f *Forwarder) connect(address string) (peer.PeerClient, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.conns[address]; c != nil {
		return peer.NewPeerClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, f.intro.Send(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostMessage)))
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	f.conns[address] = c
	return peer.NewPeerClient(c), nil
}

// Notify tells another host of an accepted configuration and returns the
// revision in force there.
func (f *Forwarder) Notify(ctx context.Context, address string, config []byte) (uint64, error) {
	remote, err := f.dial(address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTime)
	defer cancel()
	m, err := remote.Notify(ctx, &peer.NotifyRequest{Config: config})
	if err != nil {
		return 0, fmt.Errorf("notify host %s: %w", address, err)
	}
	return m.GetRevision(), nil
}

// State returns the state of another host.
func (f *Forwarder) State(ctx context.Context, address string) (*yuccapaddle.HostStatus, error) {
	remote, err := f.dial(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	m, err := remote.State(ctx, &peer.StateRequest{})
	if err != nil {
		return nil, fmt.Errorf("ask host %s for its state: %w", address, err)
	}
	var st yuccapaddle.HostStatus
	if err := json.Unmarshal(m.GetState(), &st); err != nil {
		return nil, fmt.Errorf("decode the state of host %s: %w", address, err)
	}
	return &st, nil
}

// Close ends the connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}
