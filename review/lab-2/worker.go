package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as on the sheet of ardv-sleeves.
const (
	holdMax     = 6000 * time.Millisecond
	stopTime    = 300 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	startupTime = 300 * time.Millisecond
	maxEnds     = 500
)

// workerConfig says what a worker is. Address is where it registers.
type workerConfig struct {
	ID, Listen, Address, Store, Zone, Kind, Rack, Events string
	GPU                                                  int
}

// taskSpec is the payload of a task. It runs for MS milliseconds, or until it is stopped if
// Lasts is set. The run number FailUntil and those below it fail after FailAfterMS.
type taskSpec struct {
	MS, FailAfterMS int64
	Lasts           bool
	FailUntil       int
}

// event is what a worker has done, for the driver.
type event struct {
	MS                int64 // Unix time
	Worker            string
	Born              int64
	What              string // boot, start, end, or noted: last-seen has reached an end
	Task              string
	Run               int
	How               string
	Token, DeadlineMS int64
}

type run struct {
	task      string
	run       int
	spec      taskSpec
	startedAt time.Time
	endsAt    time.Time // by itself, zero if it does not
	fails     bool
	stopAt    time.Time // zero if it is not being stopped
}

// worker is a stand-in for a worker of the platform.
type worker struct {
	cfg     workerConfig
	mu      sync.Mutex
	bornAt  time.Time
	born    int64
	token   int64
	holdTo  time.Time
	runs    map[string]*run
	highest map[string]int // highest run stopped or ended there, by task
	ends    [][]any
	lastEnd int64
	changed chan struct{}
	events  *os.File
}

func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() }

func (w *worker) log(e event) {
	e.MS, e.Worker, e.Born = time.Now().UnixMilli(), w.cfg.ID, w.born
	data, _ := json.Marshal(e)
	_, _ = w.events.Write(append(data, '\n'))
}

// advance ends what has come to its end by now. It must be called with mu held.
func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.runs {
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		case now.After(w.holdTo):
			w.finish(r, "lapsed")
		case !r.endsAt.IsZero() && now.After(r.endsAt) && r.fails:
			w.finish(r, "failed")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.finish(r, "done")
		}
	}
}

func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.run, how, ""})
	w.log(event{What: "end", Task: r.task, Run: r.run, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend applies a deadline on the worker's clock to everything that runs here.
func (w *worker) extend(deadline int64) {
	to := w.bornAt.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(holdMax); to.After(longest) {
		to = longest
	}
	if to.After(w.holdTo) {
		w.holdTo = to
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

// ServeHTTP serves the orders.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Yuccapaddle-Target-Instance"); id != "" && id != w.cfg.ID {
		w.answer(rw, http.StatusMisdirectedRequest, "")
		return
	}
	if r.Method == http.MethodGet {
		rw.Header().Set("X-Yuccapaddle-Instance-Id", w.cfg.ID)
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.answer(rw, http.StatusBadRequest, "")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if o.Token < w.token {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, &o)
	case "/v1/run-stop":
		if x := w.runs[o.Task]; x != nil && x.run == o.Run {
			if x.stopAt.IsZero() {
				x.stopAt = time.Now().Add(stopTime)
			}
		} else {
			w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		}
		w.answer(rw, http.StatusOK, "")
	case "/v1/hold":
		w.hold(rw, r, &o)
	case "/v1/pace":
		w.answer(rw, http.StatusOK, "")
	default:
		w.answer(rw, http.StatusNotFound, "")
	}
}

func (w *worker) start(rw http.ResponseWriter, o *order) {
	if x := w.runs[o.Task]; x != nil && x.run == o.Run {
		w.extend(o.Deadline)
		w.answer(rw, http.StatusOK, "")
		return
	} else if x != nil || o.Run <= w.highest[o.Task] {
		w.extend(o.Deadline)
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	if o.Deadline <= w.clock() {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	x := &run{task: o.Task, run: o.Run, startedAt: time.Now()}
	_ = json.Unmarshal([]byte(o.Spec), &x.spec)
	switch {
	case o.Run <= x.spec.FailUntil:
		x.endsAt, x.fails = x.startedAt.Add(time.Duration(x.spec.FailAfterMS)*time.Millisecond), true
	case !x.spec.Lasts:
		x.endsAt = x.startedAt.Add(time.Duration(x.spec.MS) * time.Millisecond)
	}
	w.extend(o.Deadline)
	w.runs[o.Task] = x
	w.log(event{What: "start", Task: o.Task, Run: o.Run, Token: o.Token, DeadlineMS: o.Deadline})
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.LastSeen {
		w.log(event{What: "noted", Task: w.ends[0][1].(string), Run: w.ends[0][2].(int), How: w.ends[0][3].(string)})
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(time.Until(until), 20*time.Millisecond)):
		}
		w.mu.Lock()
		w.advance()
		if r.Context().Err() != nil {
			return
		}
	}
	running := [][]any{}
	for _, x := range w.runs {
		percent := int64(100)
		if ran := time.Since(x.startedAt); x.spec.Lasts && ran < startupTime {
			percent = 0
		} else if !x.spec.Lasts && x.spec.MS > 0 {
			percent = min(ran.Milliseconds()*100/x.spec.MS, 99)
		}
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ends := w.ends[:min(len(w.ends), maxEnds)]
	reply(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born, "running": running, "finished": append([][]any{}, ends...)})
}

// register writes the worker's entry at each heartbeat.
func (w *worker) register() {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": "sleeves", "address": w.cfg.Address, "zone": w.cfg.Zone, "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
			"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": w.cfg.GPU}, "labels": []string{w.cfg.Kind, w.cfg.Rack},
			"clock-ms": w.clock(), "seq": seq, "born": w.born,
		})
		body, _ := json.Marshal(map[string]any{"ID": w.cfg.ID, "Value": entry, "TTLMS": 3 * heartbeat.Milliseconds()})
		if resp, err := client.Post("http://"+w.cfg.Store+"/lab/register", "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// runWorker serves a worker until the process ends.
func runWorker(args []string) error {
	var cfg workerConfig
	if err := json.Unmarshal([]byte(strings.Join(args, " ")), &cfg); err != nil {
		return err
	}
	events, err := os.OpenFile(cfg.Events, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	now := time.Now()
	w := &worker{
		cfg: cfg, bornAt: now, born: now.UnixMilli(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), events: events,
	}
	w.log(event{What: "boot", How: "pid " + strconv.Itoa(os.Getpid())})
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	l, err := listenRetry(cfg.Listen)
	if err != nil {
		return err
	}
	go w.register()
	return http.Serve(l, w)
}
