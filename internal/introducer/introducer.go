// Package introducer lets the hosts of the system recognise one another: each
// call between them carries a token that they share.
package introducer

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const field = "yuccapaddle-token"

// Introducer holds the token. It does not change once made.
type Introducer struct {
	token string
}

// New returns an Introducer; an empty token lets everybody in.
func New(token string) *Introducer {
	return &Introducer{token: token}
}

// Send is the option of a connection to another host.
func (i *Introducer) Send() grpc.DialOption {
	return grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any,
		conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		return invoke(metadata.AppendToOutgoingContext(ctx, field, i.token), method, req, reply, conn, opts...)
	})
}

// Ask is the option of a server for other hosts. A call without the token is
// refused with the code Unauthenticated before it is read.
func (i *Introducer) Ask() grpc.ServerOption {
	return grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if !i.knows(ctx) {
			return nil, status.Error(codes.Unauthenticated, "the call does not carry the hosts' token (host.tokens.peers)")
		}
		return handle(ctx, req)
	})
}

func (i *Introducer) knows(ctx context.Context) bool {
	if i.token == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, token := range md.Get(field) {
		if subtle.ConstantTimeCompare([]byte(token), []byte(i.token)) == 1 {
			return true
		}
	}
	return false
}
