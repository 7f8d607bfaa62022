// Package linker keeps one gRPC connection to each of the other hosts.
package linker

import (
	"fmt"
	"sync"
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
)

// Linker opens connections on first use. It is safe for concurrent use.
type Linker struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns a Linker without connections.
func New() *Linker {
	return &Linker{conns: map[string]*grpc.ClientConn{}}
}

// Client returns a client for the host at an address. It does not wait for the
// connection; the error is about the address or the options.
func (l *Linker) Client(address string) (peer.JobsClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[address]; conn != nil {
		return peer.NewJobsClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
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
	l.conns[address] = conn
	return peer.NewJobsClient(conn), nil
}

// Drop closes the connection to a host, which may have stopped answering, so that the
// next call of Client opens a new one.
func (l *Linker) Drop(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[address]; conn != nil {
		_ = conn.Close() // the only error is that it is closed already
		delete(l.conns, address)
	}
}

// Close closes all connections.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conn := range l.conns {
		_ = conn.Close() // as in Drop
		delete(l.conns, address)
	}
}
