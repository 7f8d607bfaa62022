// Package peerauthenticator authenticates calls between the hosts of the system by
// a shared token in the call's metadata.
package peerauthenticator

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const tokenKey = "yuccapaddle-token"

// PeerAuthenticator adds the token to outgoing calls and checks it in incoming ones.
// It is immutable.
type PeerAuthenticator struct {
	token string
}

// New returns a PeerAuthenticator. With an empty token every call is accepted.
func New(token string) *PeerAuthenticator {
	return &PeerAuthenticator{token: token}
}

// ClientAuth returns the option for a connection to another host that sends the
// token with each unary call.
func (a *PeerAuthenticator) ClientAuth() grpc.DialOption {
	return grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any,
		conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		return invoke(metadata.AppendToOutgoingContext(ctx, tokenKey, a.token), method, req, reply, conn, opts...)
	})
}

// ServerAuth returns the option for a server that refuses unary calls without the
// token with codes.Unauthenticated.
func (a *PeerAuthenticator) ServerAuth() grpc.ServerOption {
	return grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if !a.authorized(ctx) {
			return nil, status.Error(codes.Unauthenticated, "the call does not carry the hosts' token (host.tokens.peers)")
		}
		return handle(ctx, req)
	})
}

// authorized reports whether an incoming call carries the token.
func (a *PeerAuthenticator) authorized(ctx context.Context) bool {
	if a.token == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, token := range md.Get(tokenKey) {
		if subtle.ConstantTimeCompare([]byte(token), []byte(a.token)) == 1 {
			return true
		}
	}
	return false
}
