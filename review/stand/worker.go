package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLeaseMS   = 6000
	stopDuration = 50 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 500 * time.Millisecond
	// maxWaitMS is the longest time that a hold waits for an end.
	maxWaitMS = 2000
)

// worker plays one life of a worker, in a process of its own. It prints what it starts and
// what ends, a line each.
type worker struct {
	mu      sync.Mutex
	reg     map[string]any
	id      string
	started time.Time
	seq     int
	token   uint64
	lease   int64 // deadline on the worker's clock
	runs    map[string]*run
	highest map[string]int
	ends    [][]any
	count   int64
}

type run struct {
	number  int
	at      time.Time
	lasts   time.Duration // 0: until it is stopped
	fails   bool
	stopAt  time.Time
	percent int
}

// runWorker runs a worker: ID ADDRESS STORE ZONE RACK MACHINE KIND.
func runWorker(args []string) error {
	w := &worker{id: args[0], started: time.Now(), runs: map[string]*run{}, highest: map[string]int{}}
	w.reg = map[string]any{
		"service": "sleeves", "address": args[1], "zone": args[3], "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8}, "labels": []string{args[6], args[4]},
		"machine": args[5], "born": w.started.UnixMilli(),
	}
	go w.checkIn("http://" + args[2] + "/check-in/" + w.id)
	go w.tick()
	return http.ListenAndServe(args[1], w)
}

func (w *worker) checkIn(url string) {
	for {
		w.mu.Lock()
		w.seq++
		w.reg["seq"], w.reg["clock-ms"] = w.seq, w.clock()
		data, _ := json.Marshal(w.reg)
		w.mu.Unlock()
		if resp, err := http.Post(url, "application/json", bytes.NewReader(data)); err == nil {
			resp.Body.Close()
		}
		time.Sleep(checkIn)
	}
}

func (w *worker) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.endDue()
		w.mu.Unlock()
	}
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// report prints an event for the script.
func (w *worker) report(event, task string, number int, detail string) {
	fmt.Fprintf(os.Stdout, "%d %s %s %s %d %s\n", time.Now().UnixMilli(), w.id, event, task, number, detail)
}

// endDue ends the runs of which the lease has ended, that are stopped or are over.
func (w *worker) endDue() {
	now := time.Now()
	for task, r := range w.runs {
		how := ""
		switch {
		case w.clock() > w.lease:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.lasts > 0 && now.Sub(r.at) >= r.lasts && r.fails:
			how = "failed"
		case r.lasts > 0 && now.Sub(r.at) >= r.lasts:
			how = "done"
		default:
			continue
		}
		delete(w.runs, task)
		w.count++
		w.ends = append(w.ends, []any{w.count, task, r.number, how, ""})
		w.report("end", task, r.number, how)
	}
}

func (r *run) progress() int {
	if r.lasts == 0 {
		if time.Since(r.at) < startup {
			return 0
		}
		return 100
	}
	return min(int(100*time.Since(r.at)/r.lasts), 99)
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxLeaseMS))
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if id := r.Header.Get("X-Yuccapaddle-Target-Instance"); id != "" && id != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock-ms": w.clock(), "born": w.reg["born"]})
		return
	}
	var o order
	if json.Unmarshal(readAll(r), &o) != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clock-ms": w.clock()})
		return
	}
	w.mu.Lock()
	w.endDue()
	if o.Token < w.token {
		w.answer(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.token = o.Token
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "run-start":
		w.answer(rw, w.start(&o))
	case "run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if x := w.runs[o.Task]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopDuration)
		}
		w.answer(rw, "")
	case "pace":
		w.answer(rw, "")
	case "hold":
		w.hold(rw, &o)
		return
	default:
		w.answer(rw, "unknown")
	}
	w.mu.Unlock()
}

// answer writes the answer to an order, with the reason if it is refused. The caller
// holds mu.
func (w *worker) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.reg["born"]}
	if reason == "" {
		writeJSON(rw, http.StatusOK, body)
		return
	}
	body["reason"] = reason
	writeJSON(rw, http.StatusConflict, body)
}

func (w *worker) start(o *order) string {
	if o.Deadline < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if x := w.runs[o.Task]; x != nil && x.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	// The spec is the run time in milliseconds, 0 for a task that lasts, and "fail" after it
	// for one that fails, or "twice" for one that lasts but fails in its first two runs.
	ms, fails, _ := strings.Cut(o.Spec, " ")
	n, _ := strconv.Atoi(ms)
	if fails == "twice" && o.Run > 2 {
		n = 0
	}
	w.highest[o.Task] = o.Run
	w.runs[o.Task] = &run{number: o.Run, at: time.Now(), lasts: time.Duration(n) * time.Millisecond, fails: fails != "", percent: 100}
	w.report("start", o.Task, o.Run, "-")
	return ""
}

// hold answers a hold, and releases mu, which the caller holds.
func (w *worker) hold(rw http.ResponseWriter, o *order) {
	if o.Deadline != 0 {
		w.extend(o.Deadline)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e[0].(int64) > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.report("noted", e[1].(string), e[2].(int), e[3].(string))
	}
	w.ends = kept
	until := time.Now().Add(time.Duration(min(o.WaitMS, maxWaitMS)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", r.progress(), 1})
	}
	writeJSON(rw, http.StatusOK, map[string]any{
		"clock-ms": w.clock(), "born": w.reg["born"], "running": running, "finished": append([][]any{}, w.ends[:min(len(w.ends), 500)]...),
	})
}
