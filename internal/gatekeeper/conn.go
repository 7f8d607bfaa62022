package gatekeeper

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// waitGrace is how long a connection waits for its client before it can be spared: what a
	// client sends with its first packet arrives meanwhile.
	waitGrace = 100 * time.Millisecond
	// writeGrace is how long a client may take to make room for an answer before its connection
	// can be spared.
	writeGrace = time.Second
	// silentGrace is how long a new connection may take to bring a whole request before it is
	// closed in favour of others. Until then it counts like one that has brought some.
	silentGrace = time.Second
	// lingerTime and lingerBytes bound what is read of a refused request so that the client
	// gets the answer, which a reset of the connection may destroy.
	lingerTime  = time.Second
	lingerBytes = 256 << 10
)

// conn is a connection that knows whether it waits for its client, and since when.
type conn struct {
	net.Conn
	gate *Gatekeeper
	// waitsSince is when the connection last began to wait for its client, and writesSince when
	// the write under way has begun, 0 if there is none, in nanoseconds since opened.
	waitsSince, writesSince atomic.Int64
	opened                  time.Time
	// working is the number of requests that are worked on.
	working atomic.Int32
	// served is set once a whole request has arrived.
	served  atomic.Bool
	lingers atomic.Bool
}

func newConn(raw net.Conn, g *Gatekeeper) *conn {
	c := &conn{Conn: raw, gate: g, opened: time.Now()}
	c.Touch()
	return c
}

// sinceOpened returns the present time as it is stored, never 0.
func (c *conn) sinceOpened() int64 {
	return max(int64(time.Since(c.opened)), 1)
}

// Touch notes that the client has sent something that counts.
func (c *conn) Touch() {
	c.waitsSince.Store(c.sinceOpened())
}

// Work notes that a request is worked on. Until Await is called the connection is not closed
// in favour of another one.
func (c *conn) Work() {
	c.working.Add(1)
}

// Await notes that a request that was worked on waits for the client, or is done.
func (c *conn) Await() {
	c.Touch()
	c.working.Add(-1)
}

// NoteRequest notes that a whole request has arrived.
func (c *conn) NoteRequest() {
	c.served.Store(true)
}

// GivesWay reports whether the connection should be closed after the request that is worked
// on, since others wait for its place.
func (c *conn) GivesWay() bool {
	return c.gate.crowded()
}

// Linger makes Close read a bounded rest of the request first.
func (c *conn) Linger() {
	c.lingers.Store(true)
}

// canBeSpared reports whether the connection waits for its client.
func (c *conn) canBeSpared(now time.Time) bool {
	if c.working.Load() == 0 {
		return now.After(c.waitStart().Add(waitGrace))
	}
	since := c.writesSince.Load()
	return since != 0 && now.After(c.opened.Add(time.Duration(since)).Add(writeGrace))
}

// goesBefore reports whether c is closed before other: first connections on which no whole
// request has arrived for long, then those that have waited longest.
func (c *conn) goesBefore(other *conn, now time.Time) bool {
	if a, b := c.isSilent(now), other.isSilent(now); a != b {
		return a
	}
	return c.waitStart().Before(other.waitStart())
}

// isSilent reports whether no whole request has arrived for longer than silentGrace.
func (c *conn) isSilent(now time.Time) bool {
	return !c.served.Load() && now.After(c.waitStart().Add(silentGrace))
}

func (c *conn) waitStart() time.Time {
	return c.opened.Add(time.Duration(c.waitsSince.Load()))
}

// RemoteAddr implements net.Conn. The address leads back to the connection, for servers that
// tell their handlers no more than that.
func (c *conn) RemoteAddr() net.Addr {
	return remoteAddr{c.Conn.RemoteAddr(), c}
}

type remoteAddr struct {
	net.Addr
	conn *conn
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writesSince.Store(c.sinceOpened())
	defer c.writesSince.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lingers.Swap(false) {
		c.Touch()
		c.drain()
	}
	c.gate.remove(c)
	return c.Conn.Close()
}

// drain ends the sending side and reads a bounded rest. Errors end it early.
func (c *conn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
