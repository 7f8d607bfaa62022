package assembler

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

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
	none := func(net.Listener) error { return nil }
	err = serveAll(group, []server{{"", none}, {address, none}, {taken.Addr().String(), none}})
	c.Assert(err, qt.ErrorMatches, "listen on .*")
	again, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil, qt.Commentf("the first address is free again"))
	c.Check(again.Close(), qt.IsNil)
	c.Check(group.Wait(), qt.IsNil)
}
