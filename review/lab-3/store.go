package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as the settings and PROTOCOL state them.
const (
	maxEntries   = 32
	maxValue     = 1 << 20
	maxPageItems = 500
	maxPageBytes = 1_000_000
	answerTime   = 4 * time.Millisecond
)

type item struct {
	value    []byte
	revision uint64
	created  uint64
	lease    uint64
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's key-value store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]storeLease
	refused  int // transactions with status 400
	onRefuse func(why string)
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]storeLease{}}
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// get returns the value of a key as text, "" if there is none.
func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].value)
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.created
	}
	s.items[key] = item{value, s.revision, created, lease}
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

type wireItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Store    uint64 `json:"store-revision,omitempty"`
}

func (s *store) wire(key string) wireItem {
	it := s.items[key]
	return wireItem{Key: key, Value: base64.StdEncoding.EncodeToString(it.value), Revision: it.revision, Created: it.created, Lease: it.lease}
}

func answer(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data) // the other side may be gone
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := r.URL.Path
	switch {
	case path == "/v1/kv-key":
		key := r.URL.Query().Get("key")
		if _, ok := s.items[key]; !ok {
			answer(w, http.StatusNotFound, map[string]any{"store-revision": s.revision})
			return
		}
		it := s.wire(key)
		it.Store = s.revision
		answer(w, http.StatusOK, it)
	case path == "/v1/kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "/v1/kv-txn":
		s.transact(w, r)
	case path == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		id, l, ok := s.lease(path)
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
		answer(w, http.StatusOK, struct{}{})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _, ok := s.lease(path)
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		s.endLease(id)
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) lease(path string) (uint64, storeLease, bool) {
	id, err := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		return 0, storeLease{}, false
	}
	l, ok := s.leases[id]
	return id, l, ok
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL < 1000 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = storeLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl-ms": body.TTL})
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []wireItem{}, 0, false
	for _, key := range keys {
		if len(items) == maxPageItems || size >= maxPageBytes {
			more = true
			break
		}
		it := s.wire(key)
		items, size = append(items, it), size+len(it.Value)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": s.revision})
}

func (s *store) refuse(w http.ResponseWriter, why string) {
	s.refused++
	if s.onRefuse != nil {
		s.onRefuse(why)
	}
	answer(w, http.StatusBadRequest, map[string]any{"reason": why})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.refuse(w, "the body cannot be read")
		return
	}
	if n := len(body.Expected) + len(body.Set) + len(body.Remove); n > maxEntries {
		s.refuse(w, fmt.Sprintf("%d entries", n))
		return
	}
	for _, c := range body.Set {
		switch {
		case len(c.Value) > maxValue:
			s.refuse(w, fmt.Sprintf("the value of %s has %d bytes, value-bytes is %d", c.Key, len(c.Value), maxValue))
			return
		case len(c.Key) > 200 || strings.HasPrefix(c.Key, "op/") || strings.HasPrefix(c.Key, "servers/"):
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, c := range body.Expected {
		if s.items[c.Key].revision != c.Revision {
			items := []wireItem{}
			for _, c := range body.Expected {
				if _, ok := s.items[c.Key]; ok {
					items = append(items, s.wire(c.Key))
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": items, "store-revision": s.revision})
			return
		}
	}
	s.revision++
	for _, c := range body.Set {
		s.set(c.Key, c.Value, c.Lease)
	}
	for _, key := range body.Remove {
		delete(s.items, key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}
