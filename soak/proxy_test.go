package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// mode is what a proxy does with the bytes that pass it.
type mode int32

const (
	modePass   mode = iota
	modeSilent      // bytes vanish both ways
	modeOneWay      // answers vanish
	modeDelay       // bytes are late
	modeReset       // connections are reset
)

const proxyDelay = 150 * time.Millisecond

// proxy stands on the way of one host, or of all, to a service.
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

func (p *proxy) set(m mode) {
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
			_ = t.SetLinger(0) // a reset, not an orderly end
		}
		_ = c.Close()
	}
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.closeAll()
	_ = p.group.Wait()
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *proxy) serve() error {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return nil // it was closed
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

// copy passes bytes on; answers are those from the service.
func (p *proxy) copy(to, from net.Conn, answers bool) error {
	defer func() {
		_ = to.Close()
		p.track(from, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return nil // the end of a connection
		}
		switch m := mode(p.mode.Load()); {
		case m == modeSilent, m == modeOneWay && answers:
			continue
		case m == modeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil // as above
		}
	}
}
