package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// mode is how a proxy treats the connections through it.
type mode int32

const (
	modePass   mode = iota
	modeSilent      // drops the data of both directions
	modeOneWay      // drops the data that the target sends
	modeDelay       // delays every read by proxyDelay
	modeReset       // resets open connections and closes new ones
	modeNarrow      // carries narrowBytesPerSecond of each direction of a connection
)

const (
	proxyDelay           = 150 * time.Millisecond
	narrowBytesPerSecond = 1250 << 10
)

// proxy forwards TCP connections to a service and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
	group    errgroup.Group
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.group.Go(p.serve)
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
	if m == modeReset {
		p.closeAll()
	}
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close sends a reset
		}
		_ = c.Close()
	}
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.closeAll()
	_ = p.group.Wait()
}

// track adds an open connection or removes a closed one.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *proxy) serve() error {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return nil // the listener was closed
		}
		if mode(p.mode.Load()) == modeReset {
			_ = in.Close()
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in, true)
		p.track(out, true)
		p.group.Go(func() error { return p.copy(out, in, false) })
		p.group.Go(func() error { return p.copy(in, out, true) })
	}
}

// copy forwards the data of one direction; fromTarget is set for the data that
// the target sends.
func (p *proxy) copy(to, from net.Conn, fromTarget bool) error {
	defer func() {
		_ = to.Close()
		p.track(from, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return nil // the connection ended
		}
		switch m := mode(p.mode.Load()); {
		case m == modeSilent, m == modeOneWay && fromTarget:
			continue
		case m == modeDelay:
			time.Sleep(proxyDelay)
		case m == modeNarrow:
			time.Sleep(time.Duration(n) * time.Second / narrowBytesPerSecond)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil // the connection ended
		}
	}
}
