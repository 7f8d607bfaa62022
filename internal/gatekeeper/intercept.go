package gatekeeper

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"
)

// connOf returns the connection of a gRPC call, nil if it is not one of a Gatekeeper.
func connOf(ctx context.Context) *conn {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	addr, _ := p.Addr.(remoteAddr)
	return addr.conn
}

// track notes a call on its connection and returns the function to call at its end.
func track(ctx context.Context) func() {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	c.NoteRequest()
	c.Work()
	return c.Await
}

// Unary is a grpc.UnaryServerInterceptor that tells connections about their calls.
func Unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	defer track(ctx)()
	return next(ctx, req)
}

// Stream is a grpc.StreamServerInterceptor that tells connections about their calls.
func Stream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	defer track(stream.Context())()
	return next(srv, stream)
}
