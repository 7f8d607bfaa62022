package portpicker_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle/internal/portpicker"
)

// firstEphemeralPort is the first port that Linux hands out by itself.
const firstEphemeralPort = 32768

// TestAddress checks that addresses differ, can be listened on, and have ports that the
// system hands out to nobody else.
func TestAddress(t *testing.T) {
	c, p := qt.New(t), portpicker.New()
	seen := map[string]bool{}
	for range 500 {
		address, err := p.Address()
		c.Assert(err, qt.IsNil)
		c.Assert(seen[address], qt.IsFalse)
		seen[address] = true
		tcp, err := net.ResolveTCPAddr("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Assert(tcp.Port < firstEphemeralPort, qt.IsTrue)
	}
}
