// Package linker keeps the connections to the other hosts.
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
	mostMessage   = 8 << 20
	dialTime      = 500 * time.Millisecond
	redialFirst   = 50 * time.Millisecond
	redialMost    = 400 * time.Millisecond
	redialGrowth  = 1.6
	redialScatter = 0.2
)

// Linker is safe for concurrent use.
type Linker struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns a Linker without connections.
func New() *Linker {
	return &Linker{conns: map[string]*grpc.ClientConn{}}
}

// Jobs returns the way to the host at an address.
func (l *Linker) Jobs(address string) (peer.JobsClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[address]; c != nil {
		return peer.NewJobsClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: redialFirst, MaxDelay: redialMost, Multiplier: redialGrowth, Jitter: redialScatter,
			},
			MinConnectTimeout: dialTime,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	l.conns[address] = c
	return peer.NewJobsClient(c), nil
}

// Drop closes the connection to a host, which may have gone silent.
func (l *Linker) Drop(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[address]; c != nil {
		_ = c.Close() // the only error says that it is closed already
		delete(l.conns, address)
	}
}

// Close closes all connections.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, c := range l.conns {
		_ = c.Close() // as in Drop
		delete(l.conns, a)
	}
}
