package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	authority   = "sleeves.example"
	key         = "key-1"
	hostCount   = 3
	workerCount = 24
	perRack     = 8
	// deadlineMS is the consumers' time limit.
	deadlineMS = 3000
)

// bed is one small deployment: three hosts, a store, the service of machines and workers.
type bed struct {
	dir      string
	record   *os.File
	begun    time.Time
	store    *store
	storeAt  string
	cloudAt  string
	hosts    []*host
	slots    []*slot
	client   *http.Client
	mu       sync.Mutex
	events   []event
	upkeeps  []upkeep
	closed   bool
	workers  sync.WaitGroup // the readers of the workers' events
	versions int
}

type host struct {
	name, callers, ready, peers string
	settings                    string
	out                         *os.File
	cmd                         *exec.Cmd
}

// slot is a machine and the worker on it.
type slot struct {
	machine, address, zone, rack string
	kind                         string
	lives                        int
	id                           string
	cmd                          *exec.Cmd
	state                        string // of the machine
	wave                         int64
}

// event is what a worker has started, or what has ended there.
type event struct {
	at     time.Time
	worker string
	what   string // start, end, or noted for an end that last-seen has reached
	task   string
	run    int
	detail string
}

type upkeep struct {
	at      time.Time
	machine string
	worker  string
}

func newBed(folder string) (*bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, record: record, begun: time.Now(), store: newStore(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cloudListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt, b.cloudAt = storeListener.Addr().String(), cloudListener.Addr().String()
	go http.Serve(storeListener, b.store)
	go http.Serve(cloudListener, http.HandlerFunc(b.serveCloud))
	return b, nil
}

// start starts the workers and the hosts, and waits until all hosts are ready.
func (b *bed) start() error {
	for i := range workerCount {
		s := &slot{
			machine: fmt.Sprintf("machine-%02d", i), address: freeAddress(0), zone: fmt.Sprintf("zone-%d", 1+i/perRack), rack: fmt.Sprintf("rack-%d", 1+i/perRack), kind: "a", state: "up",
		}
		if i%perRack == 0 && i > 0 {
			s.kind = "b"
		}
		b.slots = append(b.slots, s)
		if err := b.startWorker(s); err != nil {
			return err
		}
	}
	for i := range hostCount {
		if err := b.startHost(i); err != nil {
			return err
		}
	}
	until := time.Now().Add(20 * time.Second)
	for _, h := range b.hosts {
		for !b.isReady(h) {
			if time.Now().After(until) {
				return errors.New("a host does not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // as the platform's traffic starts some seconds after the machines
	return nil
}

func (b *bed) isReady(h *host) bool {
	resp, err := b.client.Get("http://" + h.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// The ports of hosts and workers are drawn from below those that the system gives to
// connections. Each process has a range of its own, so that two cases seldom meet.
const (
	firstPort  = 20000
	portRange  = 100
	portRanges = 100
)

var usedPorts = map[int]bool{}

// freeAddress returns a loopback address of which the port and the further next ones are free.
func freeAddress(further int) string {
	base := firstPort + os.Getpid()%portRanges*portRange
	for {
		port := base + rand.IntN(portRange)
		if isFree(port, further) {
			for i := range further + 1 {
				usedPorts[port+i] = true
			}
			return "127.0.0.1:" + strconv.Itoa(port)
		}
	}
}

func isFree(port, further int) bool {
	for i := range further + 1 {
		if usedPorts[port+i] {
			return false
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// startHost starts a host with the command of the deploy file and settings as its template
// gives them.
func (b *bed) startHost(i int) error {
	h := &host{name: fmt.Sprintf("edge-%d", i+1), callers: freeAddress(0), ready: freeAddress(0), peers: freeAddress(1)}
	settings := map[string]any{
		"host": h.name, "domain": fmt.Sprintf("zone-%d", i+1), "region": "region", "callers": h.callers, "ready": h.ready,
		"peers": h.peers, "metrics": freeAddress(0), "store": b.storeAt, "machines": b.cloudAt, "advice": "",
		"leaseLeastMs": 1000, "processor": 0.4, "memoryMb": 284,
		"bounds": map[string]any{
			"holdMaxMs": maxLeaseMS, "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6,
		},
		"outage":   map[string]any{"showEnds": false, "holdCalls": 512},
		"capacity": map[string]any{"moveLeaving": true, "learnStalls": true, "orderByDelay": true},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(b.dir, h.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(b.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.settings, h.out = path, out
	b.hosts = append(b.hosts, h)
	return h.start()
}

// start starts a process of the host.
func (h *host) start() error {
	h.cmd = exec.Command("target/yuccapaddled", "platform")
	h.cmd.Env = []string{"YUCCAPADDLE_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH")}
	h.cmd.Stdout, h.cmd.Stderr = h.out, h.out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = time.Second

// kill kills the process of a host, and starts the next one, as the platform does.
func (b *bed) kill(h *host) {
	b.note("trouble: %s is killed, and started again %s later", h.name, restartDelay)
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	time.AfterFunc(restartDelay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.closed {
			_ = h.start()
		}
	})
}

// startWorker starts the next life of the worker on a machine.
func (b *bed) startWorker(s *slot) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed {
		return nil
	}
	s.lives++
	s.id = fmt.Sprintf("%s-life-%d", s.machine, s.lives)
	cmd := exec.Command(self, "worker", s.id, s.address, b.storeAt, s.zone, s.rack, s.machine, s.kind)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	s.cmd = cmd
	if err := cmd.Start(); err != nil {
		return err
	}
	b.workers.Go(func() { b.readEvents(cmd, out) })
	return nil
}

func (b *bed) readEvents(cmd *exec.Cmd, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) != 6 {
			continue
		}
		ms, _ := strconv.ParseInt(f[0], 10, 64)
		number, _ := strconv.Atoi(f[4])
		e := event{at: time.UnixMilli(ms), worker: f[1], what: f[2], task: f[3], run: number, detail: f[5]}
		b.mu.Lock()
		b.events = append(b.events, e)
		b.mu.Unlock()
		b.note("worker %s: %s of %s run %d %s", e.worker, e.what, e.task, e.run, e.detail)
	}
	_ = cmd.Wait()
}

// note writes a line into the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.begun).Seconds()}, args...)...)
	}
}

// stop ends all processes that were started, and waits for them.
func (b *bed) stop() {
	b.mu.Lock()
	b.closed = true
	hosts, slots := b.hosts, b.slots
	b.mu.Unlock()
	for _, h := range hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	for _, s := range slots {
		if s.cmd != nil && s.cmd.Process != nil {
			_ = s.cmd.Process.Kill()
		}
	}
	b.workers.Wait()
	b.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.dir)
	}
}

// route is a queue as the operator's config has it.
type route struct {
	Name, Prefix          string
	Priority, MaxAttempts int
}

// apply writes the next version of the config.
func (b *bed) apply(routes ...route) {
	b.versions += 3
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": authority, "prefix": r.Prefix, "service": "sleeves", "priority": r.Priority, "max-attempts": r.MaxAttempts,
			"timeout-ms": deadlineMS, "slo-ms": 1200, "stretch": 3,
		})
	}
	config := map[string]any{
		"version": b.versions, "routes": list,
		"services": []map[string]any{{"name": "sleeves", "rejects-overload": false, "health-path": "/health"}},
		"tenants":  []map[string]any{{"name": "tenant-1", "api-keys": []string{key}, "guaranteed": map[string]int{"gpu": 16}}},
	}
	data, _ := json.Marshal(config)
	b.store.put("op/config", data)
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name+" at "+r.Prefix)
	}
	b.note("operator: config version %d acknowledged, routes: %s", b.versions, strings.Join(names, ", "))
}

// step is one step of a job.
type step map[string]any

// call sends a consumer's request to a host, and returns the status, 0 without an answer, and
// the body. giveUp is when the consumer leaves.
func (b *bed) call(h int, method, path string, body any, giveUp time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.hosts[h].callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = authority
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Yuccapaddle-Deadline-Ms", strconv.Itoa(deadlineMS))
	req.Header.Set("Content-Type", "application/json")
	b.note("client: %s %s to %s", method, path, b.hosts[h].name)
	resp, err := b.client.Do(req)
	if err != nil {
		b.note("client: %s %s at %s: no answer, the consumer has left", method, path, b.hosts[h].name)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	text := strings.TrimSpace(string(answer))
	b.note("client: %s %s at %s: answered %d %s", method, path, b.hosts[h].name, resp.StatusCode, text)
	return resp.StatusCode, text
}

func jobBody(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// submit hands a job in until it is accepted.
func (b *bed) submit(path string, body any) error {
	for i := range 12 {
		if status, _ := b.call(i%hostCount, http.MethodPost, path, body, deadlineMS*time.Millisecond); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("the job was not accepted")
}

// state asks a host for a job's state.
func (b *bed) state(h int, path string) (int, string) {
	status, text := b.call(h, http.MethodGet, path, nil, deadlineMS*time.Millisecond)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// find returns the events that match.
func (b *bed) find(match func(e *event) bool) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []event
	for i := range b.events {
		if match(&b.events[i]) {
			list = append(list, b.events[i])
		}
	}
	return list
}

// waitEvents waits until n events match, and returns those that do by then.
func (b *bed) waitEvents(n int, limit time.Duration, match func(e *event) bool) []event {
	until := time.Now().Add(limit)
	for {
		list := b.find(match)
		if len(list) >= n || time.Now().After(until) {
			return list
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// running reports whether a task of the job is in progress, by what the workers have told.
func (b *bed) running(job string) bool {
	n := 0
	for _, e := range b.find(func(e *event) bool { return strings.HasPrefix(e.task, job+".") }) {
		switch e.what {
		case "start":
			n++
		case "end":
			n--
		}
	}
	return n > 0
}

func (b *bed) slotOf(worker string) *slot {
	for _, s := range b.slots {
		if s.id == worker {
			return s
		}
	}
	return nil
}

// crash kills a worker's process, and starts the worker's next life after a while.
func (b *bed) crash(s *slot, away time.Duration) {
	b.note("trouble: worker %s crashes (SIGKILL), and is back %s later", s.id, away)
	_ = s.cmd.Process.Kill()
	time.AfterFunc(away, func() {
		if err := b.startWorker(s); err != nil {
			b.note("the worker on %s does not start: %v", s.machine, err)
		}
	})
}

// maintenance is how long an upkeep takes.
const maintenance = 2 * time.Second

// serveCloud plays the service of machines.
func (b *bed) serveCloud(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch r.URL.Path {
	case "/v1/machines":
		list := []map[string]any{}
		for _, s := range b.slots {
			row := map[string]any{
				"machine": s.machine, "pool": "sleeves", "state": s.state, "zone": s.zone, "labels": []string{s.kind, s.rack},
				"capacity": map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8},
			}
			if s.state == "up" {
				row["id"] = s.id
			}
			list = append(list, row)
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": list})
	case "/v1/machine-upkeep":
		var req struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if json.Unmarshal(readAll(r), &req) != nil {
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		b.beginUpkeep(w, req.Machine, req.Wave)
	default:
		writeJSON(w, http.StatusNotFound, nil)
	}
}

// beginUpkeep carries an upkeep out. The caller holds mu.
func (b *bed) beginUpkeep(w http.ResponseWriter, machine string, wave int64) {
	for _, s := range b.slots {
		switch {
		case s.machine != machine:
			continue
		case s.wave == wave: // done already
		case s.state != "up":
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
			return
		default:
			s.wave, s.state = wave, "upkeep"
			b.upkeeps = append(b.upkeeps, upkeep{time.Now(), machine, s.id})
			_ = s.cmd.Process.Kill()
			go b.note("cloud: upkeep of %s begins, worker %s ends", machine, s.id)
			time.AfterFunc(maintenance, func() {
				if err := b.startWorker(s); err != nil {
					b.note("the worker on %s does not start: %v", s.machine, err)
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				s.state = "up"
				go b.note("cloud: upkeep of %s is over, worker %s", machine, s.id)
			})
		}
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	writeJSON(w, http.StatusBadRequest, nil)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func readAll(r *http.Request) []byte {
	data, _ := io.ReadAll(r.Body)
	return data
}
