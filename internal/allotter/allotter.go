// Package allotter divides the descriptors and the memory of a process between its listeners
// and what the process needs itself.
package allotter

import (
	"math"
	"syscall"
)

// Fractions of the sockets that the listeners may have open connections on, as divisors. The
// rest, more than half, is for the host's own connections to the store, workers and hosts.
const (
	callerDivisor  = 4
	peerDivisor    = 8
	requestDivisor = 16
	checkDivisor   = 64
	// minConns is the least number of connections of a listener.
	minConns = 8
)

const (
	// fileDescriptors is how many of the descriptors in the settings are for files.
	fileDescriptors = 200
	// connBytes is the most memory that a connection takes, with what was received and not read.
	connBytes = 64 << 10
	// connDivisor and bodyDivisor are one over the fractions of the memory for the connections of
	// callers and for the bodies of requests.
	connDivisor = 4
	bodyDivisor = 6
	// jobDivisor is one over the fraction of the memory for accepted jobs.
	jobDivisor = 2
)

// Allotter holds the limits of a process.
type Allotter struct {
	sockets int
	memory  int64 // bytes
}

// New returns an Allotter for a process that may have the given number of descriptors, or as
// many as the operating system allows if that is less or if descriptors is 0, and so many
// bytes of memory.
func New(descriptors int, memoryBytes int64) *Allotter {
	sockets := math.MaxInt32
	if descriptors > 0 {
		sockets = max(descriptors-fileDescriptors, descriptors/3)
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(sockets) {
		sockets = int(limit.Cur)
	}
	return &Allotter{sockets: sockets, memory: memoryBytes}
}

// Callers returns the number of connections for the listener for callers.
func (a *Allotter) Callers() int { return a.conns(callerDivisor) }

// Peers returns the number of connections for the listener for other hosts.
func (a *Allotter) Peers() int { return a.conns(peerDivisor) }

// Requests returns the number of connections for the listener for the project's own interface.
func (a *Allotter) Requests() int { return a.conns(requestDivisor) }

// Checks returns the number of connections for a listener for checks and metrics.
func (a *Allotter) Checks() int { return a.conns(checkDivisor) }

// BodyBytes returns the memory for the bodies of all requests under way, in bytes.
func (a *Allotter) BodyBytes() int64 { return a.memory / bodyDivisor }

// JobBytes returns the memory for accepted jobs, in bytes.
func (a *Allotter) JobBytes() int64 { return a.memory / jobDivisor }

func (a *Allotter) conns(divisor int) int {
	byMemory := a.memory / connDivisor / connBytes * callerDivisor / int64(divisor)
	return max(min(a.sockets/divisor, int(byMemory)), minConns)
}
