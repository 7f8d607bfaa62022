package exposer_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/standin/exposer"
)

// TestServeAfterEnd checks that a stand-in whose context ends before it listens does not
// serve for ever: upstreams end together if one of them cannot listen.
func TestServeAfterEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Check(t, exposer.New(nil, nil, nil).Serve(ctx, "127.0.0.1:0"), qt.IsNil)
}

// TestServeInUse checks that an address that is in use is an error.
func TestServeInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	qt.Check(t, exposer.New(nil, nil, nil).Serve(t.Context(), l.Addr().String()), qt.ErrorMatches, "listen on .*: .*")
}
