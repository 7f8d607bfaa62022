// Package portpicker chooses loopback addresses for processes that tests start. The ports
// lie below those that the system hands out by itself, so that no other listener or
// outgoing connection takes one before its process listens there.
package portpicker

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	firstPort = 10_000
	// portCount keeps the ports below 32768, the first that Linux hands out.
	portCount = 20_000
	// portsPerProcess separates the test programs that run at the same time.
	portsPerProcess = 400
)

// PortPicker chooses ports. It is safe for concurrent use.
type PortPicker struct {
	mu   sync.Mutex
	next int // offset from firstPort
}

// New returns a PortPicker that begins at a port which depends on the ID of this process.
func New() *PortPicker {
	return &PortPicker{next: os.Getpid() * portsPerProcess % portCount}
}

// Address returns a loopback address, IP:port, that it has not returned before and on
// which nobody listens. It returns an error if all ports have been tried.
func (p *PortPicker) Address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+p.next))
		p.next = (p.next + 1) % portCount
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		return address, l.Close()
	}
	return "", errors.New("no loopback port is free")
}
