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

var errCut = errors.New("the connection is cut")

// gate stands between a host and everything else.
type gate struct {
	mu       sync.Mutex
	shut     chan struct{} // closed while the host runs
	running  bool
	storeCut atomic.Bool
	workCut  atomic.Bool
	readCut  atomic.Bool
	peersCut atomic.Bool
	dead     atomic.Bool
}

func newGate() *gate {
	g := &gate{shut: make(chan struct{}), running: true}
	close(g.shut)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running {
		g.running, g.shut = false, make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running {
		g.running = true
		close(g.shut)
	}
}

func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *gate) pass() {
	g.mu.Lock()
	ch := g.shut
	g.mu.Unlock()
	<-ch
}

// call runs f through the gate, which may hold it before and after.
func call[T any](g *gate, cut *atomic.Bool, refused error, f func() (T, error)) (T, error) {
	var zero T
	g.pass()
	if cut.Load() || g.dead.Load() {
		return zero, refused
	}
	v, err := f()
	g.pass()
	if g.dead.Load() {
		return zero, refused
	}
	return v, err
}

type gatedStore struct {
	*gate
	inner yuccapaddle.Store
}

// reads is the cut that reads meet: of the store as a whole, or of reads alone.
func (s gatedStore) reads() *atomic.Bool {
	if s.readCut.Load() {
		return &s.readCut
	}
	return &s.storeCut
}

func (s gatedStore) Get(ctx context.Context, key string) (yuccapaddle.Entry, error) {
	return call(s.gate, s.reads(), yuccapaddle.ErrNotApplied, func() (yuccapaddle.Entry, error) { return s.inner.Get(ctx, key) })
}

func (s gatedStore) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, error) {
	return call(s.gate, s.reads(), yuccapaddle.ErrNotApplied, func() ([]yuccapaddle.Entry, error) { return s.inner.List(ctx, prefix) })
}

func (s gatedStore) Put(ctx context.Context, w yuccapaddle.Write) (uint64, error) {
	return call(s.gate, &s.storeCut, yuccapaddle.ErrNotApplied, func() (uint64, error) { return s.inner.Put(ctx, w) })
}

func (s gatedStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := call(s.gate, &s.storeCut, yuccapaddle.ErrNotApplied, func() (int, error) { return 0, s.inner.Delete(ctx, key, ifRevision) })
	return err
}

func (s gatedStore) Watch(ctx context.Context, key string, after uint64, deadline time.Time) (yuccapaddle.Entry, error) {
	return call(s.gate, s.reads(), yuccapaddle.ErrNotApplied, func() (yuccapaddle.Entry, error) {
		return s.inner.Watch(ctx, key, after, deadline)
	})
}

type gatedWorker struct {
	*gate
	inner yuccapaddle.GangWorker
}

func (w gatedWorker) command(f func() error) error {
	_, err := call(w.gate, &w.workCut, yuccapaddle.ErrNoAnswer, func() (int, error) { return 0, f() })
	return err
}

func (w gatedWorker) Reserve(ctx context.Context, r yuccapaddle.Reservation) error {
	return w.command(func() error { return w.inner.Reserve(ctx, r) })
}

func (w gatedWorker) Start(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Start(ctx, c) })
}

func (w gatedWorker) Checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Checkpoint(ctx, c) })
}

func (w gatedWorker) Forget(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	return w.command(func() error { return w.inner.Forget(ctx, c) })
}

func (w gatedWorker) Stop(ctx context.Context, c yuccapaddle.LeaseCommand) (yuccapaddle.StopReply, error) {
	return call(w.gate, &w.workCut, yuccapaddle.ErrNoAnswer, func() (yuccapaddle.StopReply, error) { return w.inner.Stop(ctx, c) })
}

func (w gatedWorker) Sync(ctx context.Context, r yuccapaddle.SyncRequest) (yuccapaddle.Report, error) {
	return call(w.gate, &w.workCut, yuccapaddle.ErrNoAnswer, func() (yuccapaddle.Report, error) { return w.inner.Sync(ctx, r) })
}

// peerClient calls another host's service through both gates.
type peerClient struct {
	from, to *gate
	server   peer.PeerServer
}

// ask gives up at the end of the context, as a caller of a paused host does.
func ask[R, A any](p peerClient, f func(context.Context, *R) (*A, error), ctx context.Context, r *R) (*A, error) {
	return call(p.from, &p.from.peersCut, errCut, func() (*A, error) {
		type reply struct {
			a   *A
			err error
		}
		out := make(chan reply, 1)
		var g errgroup.Group
		g.Go(func() error {
			a, err := call(p.to, &p.to.peersCut, errCut, func() (*A, error) { return f(ctx, r) })
			out <- reply{a, err}
			return nil
		})
		select {
		case got := <-out:
			return got.a, got.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

func (p peerClient) Submit(ctx context.Context, r *peer.SubmitRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return ask(p, p.server.Submit, ctx, r)
}

func (p peerClient) Cancel(ctx context.Context, r *peer.KeyRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return ask(p, p.server.Cancel, ctx, r)
}

func (p peerClient) Await(ctx context.Context, r *peer.KeyRequest, _ ...grpc.CallOption) (*peer.OutcomeReply, error) {
	return ask(p, p.server.Await, ctx, r)
}

func (p peerClient) Notify(ctx context.Context, r *peer.NotifyRequest, _ ...grpc.CallOption) (*peer.NotifyReply, error) {
	return ask(p, p.server.Notify, ctx, r)
}

func (p peerClient) State(ctx context.Context, r *peer.StateRequest, _ ...grpc.CallOption) (*peer.StateReply, error) {
	return ask(p, p.server.State, ctx, r)
}
