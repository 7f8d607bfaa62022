package connector

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sentKey is the key of the flag that sendTracker sets.
type sentKey struct{}

// TrackSent returns a context for one call to another host, and a function that reports
// whether any part of the call may have left this host. A call that failed without has
// certainly not been carried out.
func TrackSent(ctx context.Context) (context.Context, func() bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent.Load
}

// sendTracker is a stats.Handler that notes the calls whose headers were written.
type sendTracker struct{}

var _ stats.Handler = sendTracker{}

// HandleRPC implements stats.Handler.
func (sendTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagRPC implements stats.Handler.
func (sendTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (sendTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendTracker) HandleConn(context.Context, stats.ConnStats) {}
