// Package receiver serves what other hosts of the system ask of this one.
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

const mostWait = 10 * time.Second

// Receiver implements the Peer service.
type Receiver struct {
	peer.UnimplementedPeerServer
	local func() forwarder.Engine
	watch *watcher.Watcher
	state func() yuccapaddle.HostStatus
}

// New returns the service; local returns the engine while this host is active,
// and state describes the host.
func New(local func() forwarder.Engine, watch *watcher.Watcher, state func() yuccapaddle.HostStatus) *Receiver {
	return &Receiver{local: local, watch: watch, state: state}
}

// Submit implements peer.PeerServer.
func (r *Receiver) Submit(ctx context.Context, m *peer.SubmitRequest) (*peer.OutcomeReply, error) {
	req, err := converter.Request(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return r.ask(func(l forwarder.Engine) (yuccapaddle.Outcome, error) { return l.Submit(ctx, req) })
}

// Cancel implements peer.PeerServer.
func (r *Receiver) Cancel(ctx context.Context, m *peer.KeyRequest) (*peer.OutcomeReply, error) {
	return r.ask(func(l forwarder.Engine) (yuccapaddle.Outcome, error) { return l.Cancel(ctx, m.GetKey()) })
}

// Await implements peer.PeerServer.
func (r *Receiver) Await(ctx context.Context, m *peer.KeyRequest) (*peer.OutcomeReply, error) {
	wait := min(time.Duration(max(m.GetWaitMs(), 0))*time.Millisecond, mostWait)
	deadline := time.Now().Add(wait)
	return r.ask(func(l forwarder.Engine) (yuccapaddle.Outcome, error) { return l.Await(ctx, m.GetKey(), deadline) })
}

func (r *Receiver) ask(f func(l forwarder.Engine) (yuccapaddle.Outcome, error)) (*peer.OutcomeReply, error) {
	local := r.local()
	if local == nil {
		return &peer.OutcomeReply{Inactive: true}, nil
	}
	o, err := f(local)
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
	r.watch.Offer(cfg)
	return &peer.NotifyReply{Revision: r.watch.Current().Revision}, nil
}

// State implements peer.PeerServer.
func (r *Receiver) State(context.Context, *peer.StateRequest) (*peer.StateReply, error) {
	data, err := json.Marshal(r.state())
	if err != nil {
		return nil, status.Errorf(codes.Internal, "the state cannot be encoded: %v", err)
	}
	return &peer.StateReply{State: data}, nil
}
