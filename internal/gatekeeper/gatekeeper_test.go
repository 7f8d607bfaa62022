package gatekeeper

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle"
)

const maxConns = 3

// gate is a Gatekeeper whose connections the test holds.
type gate struct {
	*Gatekeeper
	c *qt.C
}

func listen(t *testing.T) *gate {
	c := qt.New(t)
	g, err := Listen("127.0.0.1:0", "callers", maxConns, yuccapaddle.NoMeter{}, zap.NewNop())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = g.Close() }) // a test may have closed it
	return &gate{Gatekeeper: g, c: c}
}

// dial opens a connection and returns its two ends.
func (g *gate) dial() (client net.Conn, server *conn) {
	client, err := net.Dial("tcp", g.Addr().String())
	g.c.Assert(err, qt.IsNil)
	accepted, err := g.Accept()
	g.c.Assert(err, qt.IsNil)
	return client, accepted.(*conn)
}

// isClosed reports whether the server has closed a connection.
func (g *gate) isClosed(client net.Conn) bool {
	g.c.Assert(client.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err := client.Read(make([]byte, 1))
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// serve brings a whole request over a connection.
func serve(c *conn) {
	c.Work()
	c.NoteRequest()
	c.Await()
}

// TestOrderOfClosing checks which connection gives way to a new one: first those without a
// whole request for long, the oldest first, then the one that has waited longest. A new one
// does not give way to others that come a moment later.
func TestOrderOfClosing(t *testing.T) {
	g := listen(t)
	served, servedEnd := g.dial()
	serve(servedEnd)
	silent, _ := g.dial()
	younger, _ := g.dial()
	time.Sleep(silentGrace + 50*time.Millisecond)
	third, thirdEnd := g.dial()
	g.c.Check(g.isClosed(silent), qt.IsTrue)
	fourth, _ := g.dial()
	g.c.Check(g.isClosed(younger), qt.IsTrue)
	g.c.Check(g.isClosed(served), qt.IsFalse)
	serve(thirdEnd)
	time.Sleep(waitGrace)
	g.dial()
	g.c.Check(g.isClosed(served), qt.IsTrue, qt.Commentf("it has waited longest"))
	g.c.Check(g.isClosed(third), qt.IsFalse)
	g.c.Check(g.isClosed(fourth), qt.IsFalse, qt.Commentf("it has only just come"))
}

// TestWorkIsKept checks that a connection whose request is worked on is not closed: a new one
// waits until another one ends.
func TestWorkIsKept(t *testing.T) {
	g := listen(t)
	var clients [maxConns]net.Conn
	var ends [maxConns]*conn
	for i := range maxConns {
		clients[i], ends[i] = g.dial()
		ends[i].Work()
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = ends[1].Close() })
	g.dial()
	g.c.Check(g.isClosed(clients[0]), qt.IsFalse)
	g.c.Check(g.isClosed(clients[1]), qt.IsTrue)
	g.c.Check(g.isClosed(clients[2]), qt.IsFalse)
}

// TestUnreadAnswer checks that a connection whose client does not read gives way, although its
// request is worked on.
func TestUnreadAnswer(t *testing.T) {
	g := listen(t)
	client, end := g.dial()
	end.Work()
	writing := make(chan error, 1)
	time.AfterFunc(0, func() {
		_, err := end.Write(make([]byte, 64<<20))
		writing <- err
	})
	for range maxConns - 1 {
		_, other := g.dial()
		other.Work()
	}
	g.dial()
	g.c.Check(<-writing, qt.IsNotNil)
	_, _ = io.Copy(io.Discard, client) // what was sent before
}

// failingListener fails to accept for a while.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestFailuresAreWaitedOut checks that a failure to accept ends nothing, and that a connection
// is closed for want of descriptors.
func TestFailuresAreWaitedOut(t *testing.T) {
	g := listen(t)
	silent, _ := g.dial()
	failing := &failingListener{Listener: g.Listener}
	failing.failures.Store(20)
	g.Listener = failing
	g.dial()
	g.c.Check(g.isClosed(silent), qt.IsTrue)
	g.c.Assert(g.Close(), qt.IsNil)
	_, err := g.Accept()
	g.c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

// TestCloseWhileFull checks that Accept returns when the listener is closed while it waits for
// room.
func TestCloseWhileFull(t *testing.T) {
	g := listen(t)
	for range maxConns {
		_, end := g.dial()
		end.Work()
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = g.Close() })
	_, err := g.Accept()
	g.c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

// TestLinger checks that an answer arrives although the client goes on sending.
func TestLinger(t *testing.T) {
	g := listen(t)
	client, end := g.dial()
	_, err := io.WriteString(client, strings.Repeat("x", 100_000))
	g.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(end, "no")
	g.c.Assert(err, qt.IsNil)
	end.Linger()
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(client, "y") })
	time.AfterFunc(0, func() { _ = end.Close() })
	answer := make([]byte, 2)
	_, err = io.ReadFull(client, answer)
	g.c.Assert(err, qt.IsNil)
	g.c.Check(string(answer), qt.Equals, "no")
}
