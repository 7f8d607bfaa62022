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

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's key-value service.
type store struct {
	mu       sync.Mutex
	revision uint64
	lastID   uint64
	items    map[string]*item
	leases   map[uint64]*lease
}

func newStore() *store {
	return &store{revision: 100, lastID: 1000, items: map[string]*item{}, leases: map[uint64]*lease{}}
}

// expire removes the leases that are over, and their keys.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// put writes a key without a condition, as an operator or a worker does.
func (s *store) put(key string, value []byte, leaseID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, leaseID)
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
}

// register writes the entry of a worker, which is removed after a time without another.
func (s *store) register(id string, value []byte, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := "servers/" + id
	it := s.items[key]
	if it == nil || s.leases[it.Lease] == nil {
		s.lastID++
		s.leases[s.lastID] = &lease{}
		s.set(key, value, s.lastID)
		it = s.items[key]
	} else {
		s.set(key, value, it.Lease)
	}
	*s.leases[it.Lease] = lease{ttl, time.Now().Add(ttl)}
}

type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type change struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

type transaction struct {
	Expected []condition `json:"expected-rev"`
	Set      []change    `json:"set-keys"`
	Remove   []string    `json:"remove"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var t transaction
	var l struct {
		TTL int64 `json:"ttl-ms"`
	}
	switch r.URL.Path {
	case "/v1/kv-txn":
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	case "/v1/kv-lease":
		if json.NewDecoder(r.Body).Decode(&l) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	case "/lab/register":
		var reg struct {
			ID    string
			Value []byte
			TTLMS int64
		}
		if json.NewDecoder(r.Body).Decode(&reg) == nil {
			s.register(reg.ID, reg.Value, time.Duration(reg.TTLMS)*time.Millisecond)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	id, _ := strconv.ParseUint(last, 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-key":
		it := s.items[r.URL.Query().Get("key")]
		if it == nil {
			reply(w, http.StatusNotFound, map[string]any{"store-revision": s.revision})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			Store uint64 `json:"store-revision"`
		}{*it, s.revision})
	case r.URL.Path == "/v1/kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.URL.Path == "/v1/kv-txn":
		s.commit(w, &t)
	case r.URL.Path == "/v1/kv-lease":
		s.lastID++
		ttl := time.Duration(max(l.TTL, 1000)) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		s.end(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

const (
	pageItems     = 500
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, *it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "has-more": more, "store-revision": s.revision})
}

func (s *store) commit(w http.ResponseWriter, t *transaction) {
	if len(t.Expected)+len(t.Set)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	current, ok := []item{}, true
	for _, c := range t.Expected {
		var revision uint64
		if it := s.items[c.Key]; it != nil {
			revision = it.Revision
			current = append(current, *it)
		}
		ok = ok && revision == c.Revision
	}
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, c := range t.Set {
		if len(c.Key) > maxKeyBytes || len(c.Value) > maxValueBytes {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		if strings.HasPrefix(c.Key, "op/") || strings.HasPrefix(c.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, c := range t.Set {
		created := s.revision
		if old := s.items[c.Key]; old != nil {
			created = old.Created
		}
		s.items[c.Key] = &item{Key: c.Key, Value: c.Value, Revision: s.revision, Created: created, Lease: c.Lease}
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
