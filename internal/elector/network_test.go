package elector_test

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"yuccapaddle/internal/sleeper"
)

// networkDelay is how long data is under way from one host to another.
const networkDelay = time.Millisecond

// cutKind is how a link fails.
type cutKind string

const (
	// cutSilent holds all data until the link is healed. Attempts to connect hang.
	cutSilent cutKind = "silent"
	// cutReset resets the open connections. Attempts to connect hang.
	cutReset cutKind = "reset"
	// cutRefused resets the open connections, and refuses attempts to connect.
	cutRefused cutKind = "refused"
)

// link is the way from one host to another, by their addresses.
type link struct{ from, to string }

// network connects hosts in memory. Its links can be cut, each direction by itself: cutSilent
// holds the data that is sent in that direction, the other kinds fail the connections that are
// opened in that direction. It is safe for concurrent use.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]cutKind
	pipes     []*pipe
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cuts: map[link]cutKind{}}
}

// listen returns a listener at an address, where none is open.
func (n *network) listen(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: networkAddr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// cut fails the way from one host to another.
func (n *network) cut(kind cutKind, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = kind
	for _, p := range n.pipes {
		if kind == cutSilent {
			p.flow(link{from, to}).setHeld(true)
		} else if p.opened == (link{from, to}) {
			p.fail(syscall.ECONNRESET)
		}
	}
}

// heal ends the cut of the way from one host to another.
func (n *network) heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
	for _, p := range n.pipes {
		p.flow(link{from, to}).setHeld(false)
	}
}

// copyCuts cuts the ways from and to a new host like those of another one.
func (n *network) copyCuts(old, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for way, kind := range maps.Clone(n.cuts) {
		switch old {
		case way.from:
			n.cuts[link{address, way.to}] = kind
		case way.to:
			n.cuts[link{way.from, address}] = kind
		}
	}
}

// dialFrom returns how the host at an address opens connections.
func (n *network) dialFrom(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if err := sleeper.Sleep(ctx, 2*networkDelay); err != nil {
			return nil, err
		}
		l, err := n.route(link{from, to})
		if err != nil {
			return nil, err
		}
		if l == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return n.connect(ctx, link{from, to}, l)
	}
}

// route returns the listener that an attempt to connect arrives at, nil if none answers.
func (n *network) route(way link) (*listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch n.cuts[way] {
	case cutSilent, cutReset:
		return nil, nil
	case cutRefused:
		return nil, refused()
	}
	if n.cuts[way.back()] == cutSilent {
		return nil, nil
	}
	l := n.listeners[way.to]
	if l == nil || l.isClosed() {
		return nil, refused()
	}
	return l, nil
}

func refused() error {
	return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
}

// connect opens a connection to a listener.
func (n *network) connect(ctx context.Context, way link, l *listener) (net.Conn, error) {
	p := &pipe{opened: way, there: newFlow(), back: newFlow()}
	n.add(p)
	select {
	case l.conns <- &pipeEnd{in: p.there, out: p.back, local: networkAddr(way.to), remote: networkAddr(way.from)}:
		return &pipeEnd{in: p.back, out: p.there, local: networkAddr(way.from), remote: networkAddr(way.to)}, nil
	case <-l.closed:
		return nil, refused()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) add(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.there.setHeld(n.cuts[p.opened] == cutSilent)
	p.back.setHeld(n.cuts[p.opened.back()] == cutSilent)
	n.pipes = append(n.pipes, p)
}

// back returns the other direction of a link.
func (l link) back() link { return link{l.to, l.from} }

// networkAddr is the net.Addr of a host.
type networkAddr string

// Network implements net.Addr.
func (networkAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a networkAddr) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	address networkAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

func (l *listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// pipe is a connection.
type pipe struct {
	opened      link // by whom, and to whom
	there, back *flow
}

// flow returns the flow in the direction of a link, nil if the pipe does not belong to it.
func (p *pipe) flow(l link) *flow {
	switch l {
	case p.opened:
		return p.there
	case p.opened.back():
		return p.back
	}
	return nil
}

func (p *pipe) fail(err error) {
	p.there.fail(err)
	p.back.fail(err)
}

// flow is one direction of a pipe. Its buffer is not bounded.
type flow struct {
	mu      sync.Mutex
	changed *sync.Cond
	pending [][]byte // under way, in order
	arrived []byte
	held    bool  // by a cut
	ended   bool  // the sender has closed the pipe
	closed  bool  // the receiver has closed the pipe, which the sender does not know
	err     error // of all calls
}

func newFlow() *flow {
	f := &flow{}
	f.changed = sync.NewCond(&f.mu)
	return f
}

// setHeld holds what has not been read, or lets it pass. It does nothing on a nil flow.
func (f *flow) setHeld(held bool) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
	f.changed.Broadcast()
}

// fail makes all calls return an error.
func (f *flow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.pending, f.arrived = err, nil, nil
	f.changed.Broadcast()
}

// close discards the data on behalf of the receiver.
func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed, f.pending, f.arrived = true, nil, nil
	f.changed.Broadcast()
}

// end marks the end of the data on behalf of the sender.
func (f *flow) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	f.changed.Broadcast()
}

func (f *flow) write(data []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.err != nil:
		return 0, f.err
	case f.ended:
		return 0, net.ErrClosed
	case f.closed:
		return len(data), nil
	}
	f.pending = append(f.pending, append([]byte(nil), data...))
	time.AfterFunc(networkDelay, f.arrive)
	return len(data), nil
}

// arrive delivers the first data that is under way.
func (f *flow) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 { // the pipe has failed or is closed
		return
	}
	f.arrived = append(f.arrived, f.pending[0]...)
	f.pending = f.pending[1:]
	f.changed.Broadcast()
}

func (f *flow) read(data []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		switch {
		case f.err != nil:
			return 0, f.err
		case f.closed:
			return 0, net.ErrClosed
		case f.held:
		case len(f.arrived) > 0:
			n := copy(data, f.arrived)
			f.arrived = f.arrived[n:]
			return n, nil
		case f.ended && len(f.pending) == 0:
			return 0, io.EOF
		}
		f.changed.Wait()
	}
}

// pipeEnd implements net.Conn for one end of a pipe. It has no deadlines.
type pipeEnd struct {
	in, out       *flow
	local, remote networkAddr
}

// Read implements net.Conn.
func (p *pipeEnd) Read(data []byte) (int, error) { return p.in.read(data) }

// Write implements net.Conn.
func (p *pipeEnd) Write(data []byte) (int, error) { return p.out.write(data) }

// Close implements net.Conn.
func (p *pipeEnd) Close() error {
	p.in.close()
	p.out.end()
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipeEnd) LocalAddr() net.Addr { return p.local }

// RemoteAddr implements net.Conn.
func (p *pipeEnd) RemoteAddr() net.Addr { return p.remote }

// SetDeadline implements net.Conn.
func (p *pipeEnd) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (p *pipeEnd) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *pipeEnd) SetWriteDeadline(time.Time) error { return nil }
