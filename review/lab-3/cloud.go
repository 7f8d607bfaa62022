package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maintenance = 2 * time.Second // maintenance-s

// cloud is a stand-in for the platform's service that lists machines and takes them down.
type cloud struct {
	lab    *lab
	mu     sync.Mutex
	tokens map[string]uint64
	busy   map[string]bool // down for upkeep
	done   map[string]bool // had its upkeep
	wave   map[string]bool // machines of the wave
	onDown func(w *worker)
}

func newCloud(l *lab) *cloud {
	return &cloud{lab: l, tokens: map[string]uint64{}, busy: map[string]bool{}, done: map[string]bool{}, wave: map[string]bool{}}
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/machines":
		c.list(rw)
	case "/v1/machine-upkeep":
		c.upkeep(rw, r)
	default:
		answer(rw, http.StatusNotFound, struct{}{})
	}
}

func (c *cloud) list(rw http.ResponseWriter) {
	machines := []map[string]any{}
	for _, w := range c.lab.workers {
		c.mu.Lock()
		busy := c.busy[w.machine]
		c.mu.Unlock()
		w.mu.Lock()
		m := map[string]any{
			"machine": w.machine, "pool": serviceName, "state": "up", "zone": w.zone, "labels": w.labels,
			"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8}, "id": w.id(),
		}
		w.mu.Unlock()
		if busy {
			m["state"] = "upkeep"
			delete(m, "id")
		}
		machines = append(machines, m)
	}
	answer(rw, http.StatusOK, map[string]any{"machines": machines, "next-token": nil})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	var w *worker
	for _, x := range c.lab.workers {
		if x.machine == body.Machine {
			w = x
		}
	}
	if w == nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Yuccapaddle-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case token < c.tokens[body.Machine]:
		answer(rw, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	case !c.wave[body.Machine]:
		answer(rw, http.StatusConflict, map[string]string{"reason": "wave"})
		return
	}
	c.tokens[body.Machine] = token
	if c.busy[body.Machine] || c.done[body.Machine] {
		answer(rw, http.StatusOK, struct{}{})
		return
	}
	if c.onDown != nil {
		c.onDown(w)
	}
	c.lab.record("upkeep", w.id(), "begins on "+body.Machine, 0)
	c.busy[body.Machine] = true
	w.crash()
	time.AfterFunc(maintenance, func() {
		if err := w.start(); err != nil {
			c.lab.say("machine %s does not come back: %v", w.machine, err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy[body.Machine], c.done[body.Machine] = false, true
	})
	answer(rw, http.StatusOK, struct{}{})
}
