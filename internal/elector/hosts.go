package elector

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccapaddle"
)

const (
	// hostExpiry is how long a host is kept in the table after it was last seen.
	hostExpiry = 30 * time.Second
	// absenceExpiry is how long a host that has expired without a word counts as absent: it may
	// be running behind a partition.
	absenceExpiry = 10 * time.Minute
	// maxListedHosts is how many addresses one heartbeat lists at most.
	maxListedHosts = 12
)

// hostTable holds what is known of the other hosts, by address. It is safe for concurrent
// use.
type hostTable struct {
	self  string
	clock yuccapaddle.Clock

	mu    sync.Mutex
	hosts map[string]*hostEntry
	ranks map[string]int // of the followers, from 1
	// absent holds when hosts have expired, by address.
	absent map[string]time.Time
}

// hostEntry is what is known of one host.
type hostEntry struct {
	lastSeenAt time.Time
	direct     bool  // it has communicated with this host itself
	streams    int   // on which it receives heartbeats from this host
	cpuMillis  int64 // its share of a CPU core in thousandths, 0 if unknown
}

func newHostTable(self string, clock yuccapaddle.Clock) *hostTable {
	return &hostTable{self: self, clock: clock, hosts: map[string]*hostEntry{}, ranks: map[string]int{}, absent: map[string]time.Time{}}
}

// note records contact with a host just now if direct, or that another host has listed it.
// Being listed does not extend the expiry of a host: otherwise hosts would keep a host that
// has left for good in each other's tables.
func (t *hostTable) note(address string, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteLocked(address, direct)
}

// noteLocked is note for a caller that holds mu, and returns the entry of the host. For this
// host itself that is an entry which is not kept.
func (t *hostTable) noteLocked(address string, direct bool) *hostEntry {
	if address == "" || address == t.self {
		return &hostEntry{}
	}
	h := t.hosts[address]
	if h == nil {
		h = &hostEntry{lastSeenAt: t.clock.Now()}
		t.hosts[address] = h
	}
	if direct {
		h.direct, h.lastSeenAt = true, t.clock.Now()
		delete(t.absent, address)
	}
	return h
}

// expire removes the hosts that were last seen more than hostExpiry ago.
func (t *hostTable) expire() {
	for a, h := range t.hosts {
		if h.streams == 0 && t.clock.Now().Sub(h.lastSeenAt) > hostExpiry {
			delete(t.hosts, a)
			t.absent[a] = t.clock.Now()
		}
	}
	for a, at := range t.absent {
		if t.clock.Now().Sub(at) > absenceExpiry {
			delete(t.absent, a)
		}
	}
}

// addresses returns the addresses of the known hosts in no particular order.
func (t *hostTable) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	list := make([]string, 0, len(t.hosts))
	for a := range t.hosts {
		list = append(list, a)
	}
	return list
}

// directHosts returns up to maxListedHosts addresses of hosts that have communicated with
// this one themselves.
func (t *hostTable) directHosts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	list := make([]string, 0, maxListedHosts)
	for a, h := range t.hosts {
		if h.direct && len(list) < maxListedHosts {
			list = append(list, a)
		}
	}
	return list
}

// addFollower records that a host opened a stream of heartbeats.
func (t *hostTable) addFollower(address string, cpuMillis int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.noteLocked(address, true)
	h.streams++
	h.cpuMillis = cpuMillis
	t.rankFollowers()
}

// removeFollower records that a stream has ended.
func (t *hostTable) removeFollower(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[address]; h != nil {
		h.streams--
	}
	t.rankFollowers()
}

// rankFollowers orders the followers: those with the largest share of a CPU core first.
// Among equals a hash decides, which mixes the failure domains.
func (t *hostTable) rankFollowers() {
	var list []string
	for a, h := range t.hosts {
		if h.streams > 0 {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.hosts[b].cpuMillis, t.hosts[a].cpuMillis), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)))
	})
	clear(t.ranks)
	for i, a := range list {
		t.ranks[a] = i + 1
	}
}

// rank returns the place of a follower in the order of claims, 0 if it is none.
func (t *hostTable) rank(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ranks[address]
}

// followers returns the number of hosts that receive heartbeats from this one.
func (t *hostTable) followers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ranks)
}

// expect keeps the hosts at the addresses in the table for at least hostExpiry, so that they
// have the time to communicate with this one.
func (t *hostTable) expect(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.noteLocked(a, false).lastSeenAt = t.clock.Now()
	}
}

// members returns, in order, the addresses of the hosts that are to count for majorities: this
// one, those that have communicated with it, and those of the present list, until they expire.
func (t *hostTable) members(present []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	list := []string{t.self}
	for a, h := range t.hosts {
		if h.direct || slices.Contains(present, a) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// anyAbsent reports whether a host that was known is absent.
func (t *hostTable) anyAbsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return len(t.absent) > 0
}
