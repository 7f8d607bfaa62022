package assembler

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/gatekeeper"
	"yuccapaddle/internal/portpicker"
	"yuccapaddle/internal/supervisor"
)

// TestServeAllOrNone checks that a host that cannot listen on one of its addresses leaves
// the others free.
func TestServeAllOrNone(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	address, err := portpicker.New().Address()
	c.Assert(err, qt.IsNil)
	group, _ := supervisor.New(t.Context(), zap.NewNop())
	none := func(*gatekeeper.Gatekeeper) error { return nil }
	a := New(HostConfig{}, Dependencies{}, executor.Bounds{}, "nonce", zap.NewNop())
	err = a.serveAll(group, []server{{"a", "", 1, none}, {"b", address, 1, none}, {"c", taken.Addr().String(), 1, none}})
	c.Assert(err, qt.ErrorMatches, "listen on .*")
	again, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil, qt.Commentf("the first address is free again"))
	c.Check(again.Close(), qt.IsNil)
	c.Check(group.Wait(), qt.IsNil)
}
