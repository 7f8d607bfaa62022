package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the small deployment that the workers keep.
const (
	holdMax     = 6 * time.Second
	stopTime    = 200 * time.Millisecond  // stop-timeout-ms is 400
	startupTime = time.Second             // of a task that lasts
	failTime    = 300 * time.Millisecond  // until a task on a failing worker fails
	checkIn     = 1500 * time.Millisecond // heartbeat-ms
	silence     = 3 * checkIn             // after which the store drops an entry
	gangTimeout = 3 * time.Second
)

// spec is what the tasks of the lab do; the system passes it on as text.
type spec struct {
	MS    int64 `json:"ms"`    // of work, for tasks that do not last
	Lasts bool  `json:"lasts"` // until the job is cancelled
	Gang  int   `json:"gang"`  // tasks of one run that work only together
}

type run struct {
	task   string
	number int
	spec   spec
	began  time.Time
	stopAt time.Time
	gang   *gang
}

// gang is shared by the members of one run of a gang, or is that of a single task.
type gang struct {
	members atomic.Int64
	present atomic.Int64 // when all members were there, in Unix nanoseconds
	broken  atomic.Bool
}

// worked returns how long the task has been at work, 0 if it is not yet.
func (r *run) worked() time.Duration {
	at := r.gang.present.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in for one worker. It starts whatever it is told to, as workers of services
// with rejects-overload false do.
type worker struct {
	lab     *lab
	machine string
	zone    string
	labels  []string
	address string
	life    int // counts its starts

	mu      sync.Mutex
	server  *http.Server
	up      bool
	born    time.Time
	leaseTo int64
	token   uint64
	runs    map[string]*run
	highest map[string]int // run that was stopped or has ended, by task
	ends    []end
	endNo   int64
	failing bool // fails all that it starts
	seq     int
}

func (w *worker) id() string {
	return fmt.Sprintf("i-%s-%d", w.machine, w.life)
}

func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1000
}

// start begins a life of the worker at its address.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.address, w.born, w.up = l.Addr().String(), time.Now(), true
	w.leaseTo, w.token, w.endNo, w.seq = 0, 0, 0, 0
	w.runs, w.highest, w.ends = map[string]*run{}, map[string]int{}, nil
	life := w.life
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(life, rw, r) })}
	srv := w.server
	go func() { _ = srv.Serve(l) }()
	w.register()
	return nil
}

// crash ends the life of the worker at once: nothing runs there, and nothing answers.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for t, r := range w.runs {
		w.lab.record("worker", w.id(), "crash ends "+t, r.number)
	}
	w.runs = map[string]*run{}
	srv, id := w.server, w.id()
	w.mu.Unlock()
	_ = srv.Close()
	time.AfterFunc(silence, func() { w.lab.store.remove("servers/" + id) })
}

// register writes the worker's entry into the store. The caller holds w.mu.
func (w *worker) register() {
	w.seq++
	w.lab.store.put("servers/"+w.id(), map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8}, "labels": w.labels, "clock-ms": w.clock(), "born": w.born.UnixMilli(), "seq": w.seq,
	})
}

// advance ends what has to end by now. The caller holds w.mu.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.leaseTo
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.finish(r, "stopped")
		case w.failing && now.Sub(r.began) >= failTime:
			w.finish(r, "failed")
		case r.gang.broken.Load():
			w.finish(r, "broken")
		case r.worked() == 0 && now.Sub(r.began) >= gangTimeout:
			w.finish(r, "alone")
		case !r.spec.Lasts && r.worked() >= time.Duration(r.spec.MS)*time.Millisecond:
			w.finish(r, "done")
		}
	}
}

// finish lists the end of a run. The caller holds w.mu.
func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	if r.spec.Gang > 1 && how != "done" {
		r.gang.broken.Store(true)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.endNo++
	w.ends = append(w.ends, end{w.endNo, r.task, r.number, how})
	w.lab.noteEnd(w, r.task, r.number, how)
}

func (r *run) percent() int {
	switch {
	case r.spec.Lasts && r.worked() >= startupTime:
		return 100
	case r.spec.Lasts:
		return int(99 * r.worked() / startupTime)
	}
	return min(int(100*r.worked().Milliseconds()/max(r.spec.MS, 1)), 99)
}

type order struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Deadline int64   `json:"deadline-ms"`
	Token    uint64  `json:"fencing-token"`
	LastSeen int64   `json:"last-seen"`
	WaitMS   int64   `json:"wait-ms"`
	Percent  float64 `json:"percent"`
}

func (w *worker) serve(life int, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("X-Yuccapaddle-Instance-Id", w.id())
		answer(rw, http.StatusOK, struct{}{})
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	if !w.up || w.life != life {
		w.mu.Unlock()
		hangUp(rw)
		return
	}
	if target := r.Header.Get("X-Yuccapaddle-Target-Instance"); target != "" && target != w.id() {
		w.mu.Unlock()
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	w.advance()
	if o.Token < w.token {
		w.reply(rw, http.StatusConflict, "fence")
		w.mu.Unlock()
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/v1/run-start":
		w.handleStart(rw, &o)
	case "/v1/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if x := w.runs[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			w.lab.record("stop", w.id(), o.Task, o.Run)
		}
		w.reply(rw, http.StatusOK, "")
	case "/v1/pace":
		w.reply(rw, http.StatusOK, "")
	case "/v1/hold":
		w.handleHold(life, rw, &o)
		return // it has released w.mu
	default:
		answer(rw, http.StatusNotFound, struct{}{})
	}
	w.mu.Unlock()
}

func hangUp(rw http.ResponseWriter) {
	if h, ok := rw.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func (w *worker) reply(rw http.ResponseWriter, code int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, code, body)
}

func (w *worker) extend(deadline int64) {
	w.leaseTo = max(w.leaseTo, min(deadline, w.clock()+holdMax.Milliseconds()))
}

// handleStart carries a start out. The caller holds w.mu.
func (w *worker) handleStart(rw http.ResponseWriter, o *order) {
	if o.Deadline < w.clock() {
		w.reply(rw, http.StatusConflict, "late")
		return
	}
	w.extend(o.Deadline)
	if x := w.runs[o.Task]; x != nil && x.number == o.Run {
		w.reply(rw, http.StatusOK, "")
		return
	}
	if o.Run <= w.highest[o.Task] {
		w.reply(rw, http.StatusConflict, "old")
		return
	}
	x := &run{task: o.Task, number: o.Run, began: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &x.spec); err != nil {
		w.reply(rw, http.StatusBadRequest, "")
		return
	}
	w.highest[o.Task] = o.Run - 1
	w.runs[o.Task] = x
	w.lab.noteStart(w, x)
	w.reply(rw, http.StatusOK, "")
}

// handleHold renews, forgets and lists. It releases w.mu, which the caller holds.
func (w *worker) handleHold(life int, rw http.ResponseWriter, o *order) {
	if o.Deadline != 0 {
		w.extend(o.Deadline)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			hangUp(rw)
			return
		}
		w.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// gangOf names the gang that a run belongs to: its job, occurrence, step and run.
func gangOf(task string, number int) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], number)
}
