package elector

import (
	"sync"
	"time"
)

const (
	// predecessorRenewPeriod is how long after a claim the previous active host may renew
	// workers' leases because it had renewed its own.
	predecessorRenewPeriod = renewalValidity + clockSlack
	// clockSlack allows for the rates of the clocks of two hosts.
	clockSlack = 600 * time.Millisecond
)

// predecessor is until when the previous active host may renew workers' leases. It is safe for
// concurrent use.
type predecessor struct {
	mu sync.Mutex
	// leasedUntil is until when it may be confirmed by its own lease, and confirmedUntil by the
	// other hosts.
	leasedUntil    time.Time
	confirmedUntil time.Time
	outvoted       bool // no majority of the hosts is left to confirm it
	counted        bool // the hosts that it counts are known
}

// begin records that this host has taken over at a time. stopped means that no former host
// sends further orders, and counted that the hosts are known which the previous one counts.
func (p *predecessor) begin(at time.Time, stopped, counted bool, longestOutageMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leasedUntil, p.confirmedUntil, p.outvoted, p.counted = time.Time{}, time.Time{}, stopped, counted
	if !stopped {
		p.leasedUntil = at.Add(predecessorRenewPeriod)
		p.confirmedUntil = at.Add(time.Duration(longestOutageMS)*time.Millisecond + clockSlack)
	}
}

// outvote records that since the given time no majority of the hosts is left to confirm the
// previous host, if it is known which hosts that one counts. It returns whether that is news.
func (p *predecessor) outvote(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outvoted || !p.counted {
		return false
	}
	p.outvoted = true
	if until := at.Add(peerConfirmValidity + clockSlack); until.Before(p.confirmedUntil) {
		p.confirmedUntil = until
	}
	return true
}

// renewsUntil returns the time from which on the previous host renews no leases.
func (p *predecessor) renewsUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.confirmedUntil.After(p.leasedUntil) {
		return p.confirmedUntil
	}
	return p.leasedUntil
}

// leaseEnd returns the time from which on the previous host has no lease of its own.
func (p *predecessor) leaseEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leasedUntil
}
