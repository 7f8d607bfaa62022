package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as the pages give them.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxEntries   = 32
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// store plays the platform's key-value store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	leases   map[uint64]*lease
	nextID   uint64
	seen     map[string]time.Time // check-ins of the workers, by key
	latency  time.Duration        // of each answer
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// checkIn is the workers' check-in interval.
const checkIn = 1500 * time.Millisecond

func newStore() *store {
	return &store{revision: 1, items: map[string]*item{}, leases: map[uint64]*lease{}, seen: map[string]time.Time{}, latency: 4 * time.Millisecond}
}

func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// put writes a key as the operator or a worker does, and returns once it is acknowledged.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

// set writes a key at the present revision. The caller holds mu.
func (s *store) set(key string, value []byte, leaseID uint64) {
	it := s.items[key]
	if it == nil {
		it = &item{Key: key, Created: s.revision}
		s.items[key] = it
	}
	it.Value, it.Revision, it.Lease = value, s.revision, leaseID
}

// expire removes the keys of leases that have ended, and the workers that have been silent
// for three check-in intervals. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	for key, at := range s.seen {
		if now.Sub(at) > 3*checkIn {
			delete(s.seen, key)
			if s.items[key] != nil {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected-rev"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"set-keys"`
	Remove []string `json:"remove"`
}

// ServeHTTP serves the store. Half of the latency lies before a call is carried out, half
// after it.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/check-in/") {
		s.serveCheckIn(w, r)
		return
	}
	time.Sleep(latency / 2)
	status, body := s.carryOut(r)
	time.Sleep(latency / 2)
	writeJSON(w, status, body)
}

// serveCheckIn takes a worker's registration; DELETE removes it.
func (s *store) serveCheckIn(w http.ResponseWriter, r *http.Request) {
	key := "servers/" + strings.TrimPrefix(r.URL.Path, "/check-in/")
	data := readAll(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.seen[key] = time.Now()
	s.set(key, data, 0)
	w.WriteHeader(http.StatusOK)
}

func (s *store) carryOut(r *http.Request) (int, any) {
	data := readAll(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	switch {
	case path == "kv-key":
		it := s.items[r.URL.Query().Get("key")]
		if it == nil {
			return http.StatusNotFound, map[string]uint64{"store-revision": s.revision}
		}
		return http.StatusOK, it
	case path == "kv-range":
		return s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "kv-txn":
		return s.transact(data)
	case path == "kv-lease":
		var req struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(data, &req) != nil {
			return http.StatusBadRequest, nil
		}
		s.nextID++
		ttl := max(req.TTL, 1000)
		s.leases[s.nextID] = &lease{time.Duration(ttl) * time.Millisecond, time.Now().Add(time.Duration(ttl) * time.Millisecond)}
		return http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": ttl}
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		return s.touchLease(path)
	}
	return http.StatusNotFound, nil
}

func (s *store) touchLease(path string) (int, any) {
	verb, number, _ := strings.Cut(path, "/")
	id, err := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case err != nil || l == nil:
		return http.StatusNotFound, nil
	case verb == "kv-keep":
		l.expires = time.Now().Add(l.ttl)
	default:
		s.endLease(id)
	}
	return http.StatusOK, map[string]any{}
}

func (s *store) page(prefix, after string) (int, any) {
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, size, more := []*item{}, 0, false
	for _, key := range keys {
		if len(list) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		copied := *s.items[key]
		list = append(list, &copied)
		size += len(copied.Value) * 4 / 3
	}
	return http.StatusOK, map[string]any{"items": list, "has-more": more, "store-revision": s.revision}
}

func (s *store) transact(data []byte) (int, any) {
	var t txn
	if json.Unmarshal(data, &t) != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, nil
	}
	conflict := false
	items := []*item{}
	for _, c := range t.Expected {
		it := s.items[c.Key]
		if it == nil {
			conflict = conflict || c.Revision != 0
			items = append(items, &item{Key: c.Key})
			continue
		}
		conflict = conflict || c.Revision != it.Revision
		copied := *it
		items = append(items, &copied)
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, c := range t.Set {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, c := range t.Set {
		s.set(c.Key, c.Value, c.Lease)
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}
