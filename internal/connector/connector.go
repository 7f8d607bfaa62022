// Package connector keeps one gRPC connection to each of the other hosts.
package connector

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"yuccapaddle/internal/peer"
)

const (
	maxMessageBytes     = 8 << 20
	minConnectTimeout   = 500 * time.Millisecond
	reconnectBaseDelay  = 50 * time.Millisecond
	reconnectMaxDelay   = 400 * time.Millisecond
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
	// windowBytes is how much of a stream, and of a connection, may be under way. A
	// heartbeat waits at most behind that much on a slow link.
	windowBytes = 64 << 10
)

// DialFunc opens a connection to the host at an address.
type DialFunc = func(ctx context.Context, address string) (net.Conn, error)

// Connector opens connections on first use. It is safe for concurrent use.
type Connector struct {
	dial DialFunc

	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	received atomic.Int64 // bytes, on all connections
}

// Option changes a Connector under construction.
type Option func(*Connector)

// WithDial sets how connections are opened. The default is over TCP.
func WithDial(dial DialFunc) Option {
	return func(c *Connector) { c.dial = dial }
}

// New returns a Connector without connections.
func New(opts ...Option) *Connector {
	c := &Connector{dial: dialTCP, conns: map[string]*grpc.ClientConn{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Client returns a client for the host at an address. It does not wait for the
// connection; the error is about the address or the options.
func (c *Connector) Client(address string) (peer.JobsClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return peer.NewJobsClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(sendTracker{}),
		grpc.WithContextDialer(c.Dial),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBaseDelay, MaxDelay: reconnectMaxDelay, Multiplier: reconnectMultiplier, Jitter: reconnectJitter,
			},
			MinConnectTimeout: minConnectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	c.conns[address] = conn
	return peer.NewJobsClient(conn), nil
}

// Received returns the number of bytes that have arrived from all other hosts, those of
// messages that are not complete included.
func (c *Connector) Received() int64 {
	return c.received.Load()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Dial opens a connection of the caller's own to the host at an address. Its received bytes
// are counted.
func (c *Connector) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, received: &c.received}, nil
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Drop closes the connection to a host, which may have stopped answering, so that the
// next call of Client opens a new one.
func (c *Connector) Drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close() // the only error is that it is closed already
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close() // as in Drop
		delete(c.conns, address)
	}
}
