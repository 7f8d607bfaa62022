package sessions

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"yuccapaddle"
	"yuccapaddle/internal/peer"
)

var errDisconnected = errors.New("peer is disconnected")

// interceptor controls the calls between one host and the rest of the system: it
// can block them while the host is paused, and fail them when a connection is
// down or the host was killed.
type interceptor struct {
	mu          sync.Mutex
	resumed     chan struct{} // closed while the host is not paused
	running     bool
	storeDown   atomic.Bool
	workersDown atomic.Bool
	readsDown   atomic.Bool
	peersDown   atomic.Bool
	killed      atomic.Bool
}

func newInterceptor() *interceptor {
	ic := &interceptor{resumed: make(chan struct{}), running: true}
	close(ic.resumed)
	return ic
}

func (ic *interceptor) pause() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.running {
		ic.running, ic.resumed = false, make(chan struct{})
	}
}

func (ic *interceptor) resume() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if !ic.running {
		ic.running = true
		close(ic.resumed)
	}
}

func (ic *interceptor) isRunning() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.running
}

// waitResumed blocks while the host is paused.
func (ic *interceptor) waitResumed() {
	ic.mu.Lock()
	ch := ic.resumed
	ic.mu.Unlock()
	<-ch
}

// intercept calls f and blocks before and after it while the host is paused. It
// returns failure without calling f if the connection is down or the host was
// killed, and discards f's result if the host was killed during the call.
func intercept[T any](ic *interceptor, down *atomic.Bool, failure error, f func() (T, error)) (T, error) {
	var zero T
	ic.waitResumed()
	if down.Load() || ic.killed.Load() {
		return zero, failure
	}
	v, err := f()
	ic.waitResumed()
	if ic.killed.Load() {
		return zero, failure
	}
	return v, err
}

// interceptedStore passes a host's store calls through its interceptor.
type interceptedStore struct {
	*interceptor
	inner yuccapaddle.Store
}

// readFault returns the flag that fails reads: readsDown if it is set, else
// storeDown, which fails all calls to the store.
func (s interceptedStore) readFault() *atomic.Bool {
	if s.readsDown.Load() {
		return &s.readsDown
	}
	return &s.storeDown
}

func (s interceptedStore) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	return intercept(s.interceptor, s.readFault(), yuccapaddle.ErrNotApplied, func() (yuccapaddle.Entry, error) { return s.inner.Get(ctx, key) })
}

func (s interceptedStore) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	return intercept(s.interceptor, s.readFault(), yuccapaddle.ErrNotApplied, func() ([]yuccapaddle.Entry, error) { return s.inner.List(ctx, prefix) })
}

func (s interceptedStore) Put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	return intercept(s.interceptor, &s.storeDown, yuccapaddle.ErrNotApplied, func() (uint64, error) { return s.inner.Put(ctx, w) })
}

func (s interceptedStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := intercept(s.interceptor, &s.storeDown, yuccapaddle.ErrNotApplied, func() (int, error) { return 0, s.inner.Delete(ctx, key, ifRevision) })
	return err
}

func (s interceptedStore) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	return intercept(s.interceptor, s.readFault(), yuccapaddle.ErrNotApplied, func() (yuccapaddle.Entry, error) {
		return s.inner.Watch(ctx, key, after, deadline)
	})
}

// interceptedWorker passes a host's worker calls through its interceptor.
type interceptedWorker struct {
	*interceptor
	inner yuccapaddle.GangWorker
}

func (w interceptedWorker) command(f func() error) error {
	_, err := intercept(w.interceptor, &w.workersDown, yuccapaddle.ErrNoAnswer, func() (int, error) { return 0, f() })
	return err
}

func (w interceptedWorker) Reserve(ctx context.Context, r yuccapaddle.Reservation) error {
	return w.command(func() error { return w.inner.Reserve(ctx, r) })
}

func (w interceptedWorker) Start(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Start(ctx, c) })
}

func (w interceptedWorker) Checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Checkpoint(ctx, c) })
}

func (w interceptedWorker) Forget(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Forget(ctx, c) })
}

func (w interceptedWorker) Stop(ctx context.Context, c yuccapaddle.LeaseCommand) (yuccapaddle.StopReply, error) {
	return intercept(w.interceptor, &w.workersDown, yuccapaddle.ErrNoAnswer, func() (yuccapaddle.StopReply, error) { return w.inner.Stop(ctx, c) })
}

func (w interceptedWorker) Sync(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	return intercept(w.interceptor, &w.workersDown, yuccapaddle.ErrNoAnswer, func() (yuccapaddle.Report, error) { return w.inner.Sync(ctx, r) })
}

// peerClient calls another host's peer service through both interceptors.
type peerClient struct {
	from, to *interceptor
	server   peer.PeerServer
}

// callPeer makes a call that returns when the context ends, also while the called
// host is paused.
func callPeer[R, A any](p peerClient, f func(context.Context, *R) (*A, error), ctx context.Context, r *R) (*A, error) {
	return intercept(p.from, &p.from.peersDown, errDisconnected, func() (*A, error) {
		type result struct {
			reply *A
			err   error
		}
		out := make(chan result, 1)
		var g errgroup.Group
		g.Go(func() error {
			a, err := intercept(p.to, &p.to.peersDown, errDisconnected, func() (*A, error) { return f(ctx, r) })
			out <- result{a, err}
			return nil
		})
		select {
		case got := <-out:
			return got.reply, got.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

func (p peerClient) Submit(ctx context.Context, r *peer.SubmitRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return callPeer(p, p.server.Submit, ctx, r)
}

func (p peerClient) Cancel(ctx context.Context, r *peer.KeyRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return callPeer(p, p.server.Cancel, ctx, r)
}

func (p peerClient) Await(ctx context.Context, r *peer.KeyRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return callPeer(p, p.server.Await, ctx, r)
}

func (p peerClient) Notify(ctx context.Context, r *peer.NotifyRequest, _ ...grpc.CallOption) (*peer.NotifyReply, error) {
	return callPeer(p, p.server.Notify, ctx, r)
}

func (p peerClient) State(ctx context.Context, r *peer.StateRequest, _ ...grpc.CallOption) (*peer.StateReply, error) {
	return callPeer(p, p.server.State, ctx, r)
}
