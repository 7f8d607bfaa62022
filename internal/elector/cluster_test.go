package elector_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/standin/bookkeeper"
)

// clusterSize is the number of hosts that a cluster begins with.
const clusterSize = 3

// longestOutageMS is in milliseconds, see elector.WithLongestOutage. It is longer than any outage
// of these tests in which hosts are lost.
const longestOutageMS = 5000

// cluster is a group of hosts on one ledger that can be partitioned from each other.
type cluster struct {
	t         *testing.T
	c         *qt.C
	g         errgroup.Group
	store     *bookkeeper.Bookkeeper
	lease     time.Duration
	hosts     []*host
	listeners []*partitionListener
}

// withCluster runs f on a cluster of which one host is active and the others follow it.
func withCluster(t *testing.T, lease time.Duration, f func(cl *cluster)) {
	t.Helper()
	cl := &cluster{t: t, c: qt.New(t), store: bookkeeper.New(), lease: lease}
	defer cl.close()
	for range clusterSize {
		cl.add()
	}
	waitForFollowers(cl.c, cl.hosts)
	f(cl)
}

// add starts one more host, on the other side of a partition if there is one.
func (cl *cluster) add() *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	cl.c.Assert(err, qt.IsNil)
	pl := &partitionListener{Listener: l}
	h := newHostOn(cl.t, cl.c, &cl.g, cl.store, len(cl.hosts), cl.lease, pl, fixedRules{}, elector.WithLongestOutage(longestOutageMS))
	cl.hosts, cl.listeners = append(cl.hosts, h), append(cl.listeners, pl)
	return h
}

// partition leaves all connections unanswered that are opened from now on to the present
// hosts.
func (cl *cluster) partition() {
	for _, l := range cl.listeners {
		l.partitioned.Store(true)
	}
}

// isolate leaves all connections to a host unanswered, and closes those that are open.
func (cl *cluster) isolate(h *host) {
	cl.listeners[h.number].isolate()
}

func (cl *cluster) close() {
	for _, h := range cl.hosts {
		h.stop()
		h.peers.Stop()
	}
	cl.c.Check(cl.g.Wait(), qt.IsNil)
}

// partitionListener accepts connections, and leaves those unanswered that are opened while it
// is partitioned. Connections from before go on.
type partitionListener struct {
	net.Listener
	partitioned atomic.Bool

	mu    sync.Mutex
	conns []net.Conn // all that were accepted
}

// Accept implements net.Listener.
func (l *partitionListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.closeConns()
			return nil, err
		}
		l.keep(conn)
		if !l.partitioned.Load() {
			return conn, nil
		}
	}
}

func (l *partitionListener) keep(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
}

func (l *partitionListener) isolate() {
	l.partitioned.Store(true)
	l.closeConns()
}

func (l *partitionListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close() // the only error is that it is closed already
	}
	l.conns = nil
}
