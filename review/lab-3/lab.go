package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "sleeve-orders"
	authority   = "sleeves.example"
	apiKey      = "lab-key-0123456789"
)

// event is a line of the record.
type event struct {
	at          time.Time
	kind, where string
	what        string
	run         int
}

// lab holds the stand-ins of the platform and the system's processes.
type lab struct {
	dir     string
	begun   time.Time
	store   *store
	cloud   *cloud
	workers []*worker
	hosts   []*host
	http    *http.Client

	mu      sync.Mutex
	out     *os.File
	events  []event
	gangs   map[string]*gang
	counts  map[string]int // tasks of each job
	onStart func(w *worker, r *run)
}

// host is one of the system's processes.
type host struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	ended              chan struct{}
}

func newLab(record string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &lab{
		dir: dir, begun: time.Now(), out: out, store: newStore(), gangs: map[string]*gang{}, counts: map[string]int{},
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// record writes a line to the record.
func (l *lab) record(kind, where, what string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := event{time.Now(), kind, where, what, run}
	l.events = append(l.events, e)
	fmt.Fprintf(l.out, "%8.3f  %-8s %-14s %s", e.at.Sub(l.begun).Seconds(), kind, where, what)
	if run != 0 {
		fmt.Fprintf(l.out, " run %d", run)
	}
	fmt.Fprintln(l.out)
}

func (l *lab) say(format string, args ...any) {
	l.record("lab", "", fmt.Sprintf(format, args...), 0)
}

// noteStart records a start, and joins the run to its gang. The caller holds w.mu.
func (l *lab) noteStart(w *worker, r *run) {
	l.record("start", w.id(), r.task, r.number)
	l.mu.Lock()
	key := gangOf(r.task, r.number)
	if r.spec.Gang <= 1 {
		key = fmt.Sprintf("%s/%d@%s", r.task, r.number, w.id())
	}
	g := l.gangs[key]
	if g == nil {
		g = &gang{}
		l.gangs[key] = g
	}
	r.gang = g
	if int(g.members.Add(1)) >= max(r.spec.Gang, 1) {
		g.present.CompareAndSwap(0, time.Now().UnixNano())
	}
	hook := l.onStart
	l.mu.Unlock()
	if hook != nil {
		go hook(w, r)
	}
}

func (l *lab) noteEnd(w *worker, task string, run int, how string) {
	l.record("end", w.id(), task+" "+how, run)
}

// ends counts the ends of a job's tasks that had a cause.
func (l *lab) ends(job, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e.kind == "end" && strings.HasPrefix(e.what, job) && strings.HasSuffix(e.what, " "+how) {
			n++
		}
	}
	return n
}

// serve serves a handler on a free port and returns the address.
func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Ports of the hosts are below those that the operating system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freePorts returns the first of n consecutive free ports.
func freePorts(n int) (int, error) {
	for range 200 {
		if first := firstPort + rand.IntN(lastPort-firstPort); allFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func allFree(first, n int) bool {
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// workerPlan describes a worker to be added.
type workerPlan struct {
	zone, kind, rack string
}

// route is a queue of the configuration.
type route struct {
	name               string
	priority, attempts int
	objectiveMS        int
}

// setUp serves the platform, starts the workers and the hosts, and waits until a host is ready.
func (l *lab) setUp(plans []workerPlan, hosts int) error {
	l.putConfig()
	for i, p := range plans {
		w := &worker{lab: l, machine: fmt.Sprintf("m%02d", i), zone: p.zone, labels: []string{p.kind, p.rack}}
		if err := w.start(); err != nil {
			return err
		}
		l.workers = append(l.workers, w)
	}
	go l.checkIn()
	l.cloud = newCloud(l)
	cloudAddress, err := serve(l.cloud)
	if err != nil {
		return err
	}
	storeAddress, err := serve(l.store)
	if err != nil {
		return err
	}
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	regions := []string{"vlaanderen", "wallonie", "brussel"}
	for i := range hosts {
		h, err := l.addHost(i, zones[i%3], regions[i%3], storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		if err := l.startHost(h); err != nil {
			return err
		}
	}
	return l.waitReady(15 * time.Second)
}

// putConfig writes the operator's configuration: a queue for each priority, and one tenant.
func (l *lab) putConfig() {
	var routes []map[string]any
	for _, r := range []route{{"urgent", 0, 3, 400}, {"proofs", 1, 2, 1200}, {"sweeps", 2, 3, 3000}} {
		routes = append(routes, map[string]any{
			"name": "r-" + r.name, "host": authority, "prefix": "/" + r.name + "/", "kind": "non_idempotent", "timeout-ms": 3000, "slo-ms": r.objectiveMS,
			"priority": r.priority, "service": serviceName, "max-attempts": r.attempts, "stretch": 3.0, "public": false, "allowed-regions": []string{},
		})
	}
	l.store.put("op/config", map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "warmup-s": 0.0, "warmup-per-s": 0.0, "rejects-overload": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "lab", "api-keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 72}, "allowed-regions": []string{}}},
	})
}

// checkIn has the workers check in, and ends what has to end also where nobody asks.
func (l *lab) checkIn() {
	for {
		time.Sleep(checkIn)
		for _, w := range l.workers {
			w.mu.Lock()
			if w.up {
				w.advance()
				w.register()
			}
			w.mu.Unlock()
		}
	}
}

// addHost writes the settings of a host as deploy/settings.json gives them.
func (l *lab) addHost(i int, zone, region, storeAddress, cloudAddress string) (*host, error) {
	port, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), front: at(0), ready: at(1), settings: filepath.Join(l.dir, fmt.Sprintf("host-%d.json", i+1))}
	data, err := json.MarshalIndent(map[string]any{
		"host": h.name, "domain": zone, "region": region, "callers": h.front, "ready": h.ready, "peers": at(2), "metrics": at(4),
		"store": storeAddress, "machines": cloudAddress, "advice": "127.0.0.1:1", "leaseLeastMs": 1000, "heartbeatMs": 1500,
		"processor": 0.4, "memoryMb": 284, "descriptors": 4100, "requests": at(3),
		"bounds":   map[string]any{"holdMaxMs": 6000, "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6},
		"outage":   map[string]any{"showEnds": false, "holdCalls": 512, "longestMs": 30000},
		"capacity": map[string]any{"moveLeaving": true, "learnStalls": true, "orderByDelay": true},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	return h, os.WriteFile(h.settings, data, 0o600)
}

// startHost starts a host with the command of the deploy file.
func (l *lab) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/yuccapaddled", "platform")
	h.cmd.Env = append(os.Environ(), "YUCCAPADDLE_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		err := cmd.Wait()
		l.record("process", h.name, fmt.Sprintf("ended: %v", err), 0)
		close(ended)
	}()
	return nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, h := range l.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	_ = l.out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

func (l *lab) waitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range l.hosts {
			resp, err := l.http.Get("http://" + h.ready + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(l.hosts) {
			time.Sleep(3 * time.Second) // contact-ms
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %v", limit)
}

// call sends one call of a consumer to a host. Its code is 0 if there was no answer.
func (l *lab) call(h *host, method, path string, body any) (code int, text string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = authority
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Yuccapaddle-Deadline-Ms", "3000")
	resp, err := l.http.Do(req)
	if err != nil {
		l.record("call", h.name, method+" "+path+" no answer: "+err.Error(), 0)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	l.record("call", h.name, fmt.Sprintf("%s %s %d %s", method, path, resp.StatusCode, bytes.TrimSpace(answer)), 0)
	return resp.StatusCode, string(answer)
}

// submit hands a job in until it is accepted, at one host after the other.
func (l *lab) submit(queue, id string, s spec, steps ...map[string]any) error {
	text, _ := json.Marshal(s)
	body := map[string]any{"spec": string(text), "steps": steps}
	l.mu.Lock()
	for _, step := range steps {
		l.counts[id] += step["count"].(int)
	}
	l.mu.Unlock()
	l.record("job", id, fmt.Sprintf("%s %s %v", queue, text, steps), 0)
	for i := range 8 {
		if code, _ := l.call(l.hosts[i%len(l.hosts)], http.MethodPost, "/"+queue+"/"+id, body); code == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// tasks returns the number of a job's tasks.
func (l *lab) tasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[job]
}

// state asks for a job's state at one host after the other, "" if no host answers with 200.
func (l *lab) state(queue, id string) string {
	for _, h := range l.hosts {
		code, text := l.call(h, http.MethodGet, "/"+queue+"/"+id, nil)
		var body struct {
			State string `json:"state"`
		}
		if code == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
	}
	return ""
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// where returns the workers on which a job's tasks run now, by task.
func (l *lab) where(job string) map[string]*worker {
	found := map[string]*worker{}
	for _, w := range l.workers {
		w.mu.Lock()
		if w.up {
			w.advance()
			for t := range w.runs {
				if strings.HasPrefix(t, job+".") {
					found[t] = w
				}
			}
		}
		w.mu.Unlock()
	}
	return found
}

// atWork counts the tasks of a job that have a percent of 100.
func (l *lab) atWork(job string) int {
	n := 0
	for _, w := range l.workers {
		w.mu.Lock()
		if w.up {
			w.advance()
			for t, r := range w.runs {
				if strings.HasPrefix(t, job+".") && r.percent() == 100 {
					n++
				}
			}
		}
		w.mu.Unlock()
	}
	return n
}

// idleSpans watches a job for a time, and returns the spans in which nothing of it ran before so many
// of its tasks were done.
func (l *lab) idleSpans(job string, tasks int, watch time.Duration) []span {
	var spans []span
	var since time.Time
	for until := time.Now().Add(watch); ; time.Sleep(25 * time.Millisecond) {
		now := time.Now()
		idle := len(l.where(job)) == 0 && l.ends(job, "done") < tasks
		switch {
		case idle && since.IsZero():
			since = now
		case !idle && !since.IsZero():
			spans = append(spans, span{since, now})
			since = time.Time{}
		}
		if now.After(until) {
			break
		}
	}
	if !since.IsZero() {
		spans = append(spans, span{since, time.Now()})
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].length() > spans[j].length() })
	return spans
}

type span struct{ from, to time.Time }

func (s span) length() time.Duration { return s.to.Sub(s.from) }
