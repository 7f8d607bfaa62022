// Package introducer authenticates calls between the hosts of the system by a
// shared token in the call's metadata.
package introducer

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const tokenKey = "yuccapaddle-token"

// Introducer adds the token to outgoing calls and checks it in incoming ones. It is
// immutable.
type Introducer struct {
	token string
}

// New returns an Introducer. With an empty token every call is accepted.
func New(token string) *Introducer {
	return &Introducer{token: token}
}

// ClientAuth returns the option for a connection to another host that sends the
// token with each unary call.
func (i *Introducer) ClientAuth() grpc.DialOption {
	return grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any,
		conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		return invoke(metadata.AppendToOutgoingContext(ctx, tokenKey, i.token), method, req, reply, conn, opts...)
	})
}

// ServerAuth returns the option for a server that refuses unary calls without the
// token with codes.Unauthenticated.
func (i *Introducer) ServerAuth() grpc.ServerOption {
	return grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if !i.authorized(ctx) {
			return nil, status.Error(codes.Unauthenticated, "the call does not carry the hosts' token (host.tokens.peers)")
		}
		return handle(ctx, req)
	})
}

// authorized reports whether an incoming call carries the token.
func (i *Introducer) authorized(ctx context.Context) bool {
	if i.token == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, token := range md.Get(tokenKey) {
		if subtle.ConstantTimeCompare([]byte(token), []byte(i.token)) == 1 {
			return true
		}
	}
	return false
}
