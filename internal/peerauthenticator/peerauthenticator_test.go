package peerauthenticator

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"yuccapaddle/internal/peer"
)

// TestToken checks that a call is accepted only if it carries the server's token.
func TestToken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := grpc.NewServer(New("ours").ServerAuth())
	peer.RegisterPeerServer(srv, peer.UnimplementedPeerServer{})
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(l) })
	for token, want := range map[string]codes.Code{
		"ours": codes.Unimplemented, "theirs": codes.Unauthenticated, "": codes.Unauthenticated,
	} {
		conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), New(token).ClientAuth())
		qt.Assert(t, err, qt.IsNil)
		_, err = peer.NewPeerClient(conn).State(t.Context(), &peer.StateRequest{})
		qt.Check(t, status.Code(err), qt.Equals, want, qt.Commentf("token %q", token))
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
	srv.Stop()
	qt.Assert(t, g.Wait(), qt.IsNil)
}
