// Package receiver serves the gRPC calls of the other hosts, for a host of package
// server. Package jobserver does so for a host of package assembler.
package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yuccapaddle"
	"yuccapaddle/internal/converter"
	"yuccapaddle/internal/driver"
	"yuccapaddle/internal/forwarder"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/watcher"
)

const maxAwaitTime = 10 * time.Second

// Receiver implements peer.PeerServer.
type Receiver struct {
	peer.UnimplementedPeerServer
	engine     func() forwarder.Engine
	configs    *watcher.Watcher
	hostStatus func() yuccapaddle.HostStatus
}

// New returns a Receiver. engine returns the engine of this host, nil while it is
// not active; configs holds the configuration in force, and hostStatus returns the
// host's status.
func New(engine func() forwarder.Engine, configs *watcher.Watcher, hostStatus func() yuccapaddle.HostStatus) *Receiver {
	return &Receiver{engine: engine, configs: configs, hostStatus: hostStatus}
}

// Submit implements peer.PeerServer.
func (r *Receiver) Submit(ctx context.Context, m *peer.SubmitRequest) (*peer.OutcomeReply, error) {
	req, err := converter.Request(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return r.callEngine(func(e forwarder.Engine) (yuccapaddle.Outcome, error) { return e.Submit(ctx, req) })
}

// Cancel implements peer.PeerServer.
func (r *Receiver) Cancel(ctx context.Context, m *peer.KeyRequest) (*peer.OutcomeReply, error) {
	return r.callEngine(func(e forwarder.Engine) (yuccapaddle.Outcome, error) { return e.Cancel(ctx, m.GetKey()) })
}

// Await implements peer.PeerServer.
func (r *Receiver) Await(ctx context.Context, m *peer.KeyRequest) (*peer.OutcomeReply, error) {
	wait := min(time.Duration(max(m.GetWaitMs(), 0))*time.Millisecond, maxAwaitTime)
	deadline := time.Now().Add(wait)
	return r.callEngine(func(e forwarder.Engine) (yuccapaddle.Outcome, error) { return e.Await(ctx, m.GetKey(), deadline) })
}

// callEngine calls the engine. The reply says that the host is inactive if it has
// no engine, or if the engine stopped during the call.
func (r *Receiver) callEngine(call func(e forwarder.Engine) (yuccapaddle.Outcome, error)) (*peer.OutcomeReply, error) {
	engine := r.engine()
	if engine == nil {
		return &peer.OutcomeReply{Inactive: true}, nil
	}
	o, err := call(engine)
	if errors.Is(err, driver.ErrInactive) {
		return &peer.OutcomeReply{Inactive: true}, nil
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return converter.OutcomeMessage(o), nil
}

// Notify implements peer.PeerServer.
func (r *Receiver) Notify(_ context.Context, m *peer.NotifyRequest) (*peer.NotifyReply, error) {
	cfg, err := watcher.Decode(m.GetConfig())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	r.configs.Offer(cfg)
	return &peer.NotifyReply{Revision: r.configs.Current().Revision}, nil
}

// State implements peer.PeerServer.
func (r *Receiver) State(context.Context, *peer.StateRequest) (*peer.StateReply, error) {
	data, err := json.Marshal(r.hostStatus())
	if err != nil {
		return nil, status.Errorf(codes.Internal, "encode the host's status: %v", err)
	}
	return &peer.StateReply{State: data}, nil
}
