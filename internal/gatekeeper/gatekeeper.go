// Package gatekeeper bounds the connections of a listener. When there are as many as it may
// have, each new one takes the place of one that waits for its client, and each serves one
// request only, so that all get their turn.
package gatekeeper

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
)

const (
	// socketBytes is the size of a connection's receive and send buffers in the kernel, so that
	// what clients send unasked, and answers that they do not read, stay small.
	socketBytes = 32 << 10
	// retryInterval is the pause before the next try to accept a connection.
	retryInterval = 10 * time.Millisecond
	// crowdedTime is how long after the last lack of room each connection serves one request only.
	crowdedTime = time.Second
	// logInterval is the shortest time between two log lines of the same kind.
	logInterval = 10 * time.Second
)

// Gatekeeper is a net.Listener with a bound on its open connections. Accept does not return
// an error before the listener is closed. It is safe for concurrent use.
type Gatekeeper struct {
	net.Listener
	name     string
	maxConns int
	meter    yuccapaddle.Meter
	log      *zap.Logger
	closed   chan struct{}

	mu           sync.Mutex
	conns        map[*conn]struct{}
	quietTill    time.Time // no line about failed accepts is logged before
	crowdedUntil time.Time // since a connection had to make room
}

// Listen listens on a TCP address and returns a Gatekeeper that lets up to maxConns
// connections be open at once. name is that of the listener in logs and metrics.
func Listen(address, name string, maxConns int, meter yuccapaddle.Meter, log *zap.Logger) (*Gatekeeper, error) {
	cfg := net.ListenConfig{Control: limitBuffers}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Gatekeeper{
		Listener: l, name: name, maxConns: maxConns, meter: meter, log: log,
		closed: make(chan struct{}), conns: map[*conn]struct{}{},
	}, nil
}

// limitBuffers sets the sizes of the socket's buffers, which accepted connections inherit.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel that does not support the options uses its own sizes.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
	})
}

// Accept implements net.Listener. While the listener has all the connections that it may
// have, and none of them waits for its client, new ones wait in the kernel's queue.
func (g *Gatekeeper) Accept() (net.Conn, error) {
	for {
		if !g.makeRoom() {
			if !g.pause() {
				return nil, net.ErrClosed
			}
			continue
		}
		raw, err := g.Listener.Accept()
		if err == nil {
			return g.add(raw), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		g.noteFailure(err)
		if isShortage(err) {
			g.evict()
		}
		if !g.pause() {
			return nil, net.ErrClosed
		}
	}
}

// isShortage reports whether a connection could not be accepted for lack of descriptors or
// memory.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// makeRoom reports whether a connection may be added, and closes one if that is needed.
func (g *Gatekeeper) makeRoom() bool {
	g.mu.Lock()
	full := len(g.conns) >= g.maxConns
	g.mu.Unlock()
	return !full || g.evict()
}

// crowded reports whether connections have lacked room lately.
func (g *Gatekeeper) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.crowdedUntil)
}

// pause waits for retryInterval and reports whether the listener is still open.
func (g *Gatekeeper) pause() bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-g.closed:
		return false
	case <-timer.C:
		return true
	}
}

func (g *Gatekeeper) noteFailure(err error) {
	g.meter.Count("connections", g.name+"_not_accepted", 1)
	g.mu.Lock()
	now := time.Now()
	quiet := now.Before(g.quietTill)
	if !quiet {
		g.quietTill = now.Add(logInterval)
	}
	g.mu.Unlock()
	if !quiet {
		g.log.Warn("cannot accept a connection", zap.String("listener", g.name), zap.Error(err))
	}
}

func (g *Gatekeeper) add(raw net.Conn) *conn {
	c := newConn(raw, g)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

func (g *Gatekeeper) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// evict closes the connection that can best be spared and reports whether there was one.
func (g *Gatekeeper) evict() bool {
	g.mu.Lock()
	now := time.Now()
	g.crowdedUntil = now.Add(crowdedTime)
	var spare *conn
	for c := range g.conns {
		if c.canBeSpared(now) && (spare == nil || c.goesBefore(spare, now)) {
			spare = c
		}
	}
	if spare != nil {
		delete(g.conns, spare)
	}
	g.mu.Unlock()
	if spare == nil {
		return false
	}
	g.meter.Count("connections", g.name+"_closed", 1)
	_ = spare.Conn.Close() // whoever uses the connection is told
	return true
}

// CloseAll closes the open connections.
func (g *Gatekeeper) CloseAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		delete(g.conns, c)
		_ = c.Conn.Close() // whoever uses the connection is told
	}
}

// Close implements net.Listener.
func (g *Gatekeeper) Close() error {
	g.mu.Lock()
	select {
	case <-g.closed:
	default:
		close(g.closed)
	}
	g.mu.Unlock()
	return g.Listener.Close()
}
