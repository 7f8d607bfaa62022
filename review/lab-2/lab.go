package main

import (
	"bufio"
	"bytes"
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "sleeves"
	authority   = "sleeves.example"
	apiKey      = "bench-key"
)

// lab runs the system's hosts and the stand-ins around them.
type lab struct {
	trouble  bool
	root     string // of the repository
	dir      string // temporary
	record   *os.File
	mu       sync.Mutex
	began    time.Time
	store    *store
	storeAt  string
	workers  []*workerProc
	hosts    []*hostProc
	client   *http.Client
	calls    []call
	lateSent int
}

// call is a consumer's call and its answer.
type call struct {
	at     time.Time
	method string
	id     string
	host   int
	status int // 0 without an answer
	state  string
	err    error
}

type workerProc struct {
	cfg   workerConfig
	proxy *proxy
	cmd   *exec.Cmd
}

type hostProc struct {
	name, callers, ready, peers string
	settings                    string
	cmd                         *exec.Cmd
	log                         *os.File
}

func listenRetry(address string) (net.Listener, error) {
	for n := 0; ; n++ {
		l, err := net.Listen("tcp", address)
		if err == nil || n == 50 {
			return l, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Ports are taken from below the range that the system gives to outgoing connections, from a
// place that differs for each process.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePorts returns n free loopback addresses.
func freePorts(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, fmt.Errorf("there are no free ports")
		}
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(nextPort))
		if err != nil {
			continue
		}
		list = append(list, l.Addr().String())
		_ = l.Close()
	}
	return list, nil
}

func serve(h http.Handler) (string, error) {
	ports, err := freePorts(1)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", ports[0])
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func newLab(caseDir string) (*lab, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, record: record, began: time.Now(), store: newStore(),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	l.storeAt, err = serve(l.store)
	return l, err
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started, and removes the temporary folder.
func (l *lab) close() {
	for _, w := range l.workers {
		l.kill(w.cmd)
	}
	for _, h := range l.hosts {
		l.kill(h.cmd)
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

func (l *lab) kill(cmd *exec.Cmd) {
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// queue is a route of the operators' config.
type queue struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout-ms"`
	SLO      int     `json:"slo-ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max-attempts"`
	Stretch  float64 `json:"stretch"`
}

// configure writes the operators' first config, with the queues fast, plain and slow of the
// priorities 0 to 2.
func (l *lab) configure() error {
	var queues []queue
	for i, name := range []string{"fast", "plain", "slow"} {
		queues = append(queues, queue{name, authority, "/" + name + "/", "non_idempotent", 3000, 1200, i, serviceName, 3, 3})
	}
	config, err := json.Marshal(map[string]any{
		"version": 7, "routes": queues,
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "rejects-overload": false, "standby": false}},
		"tenants":  []map[string]any{{"name": "bench", "api-keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
	if err != nil {
		return err
	}
	l.store.put("op/config", config, 0)
	return nil
}

// addWorker starts a worker process behind a proxy.
func (l *lab) addWorker(zone, kind, rack string, gpu int, lateShare float64) error {
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%02d", len(l.workers)+1)
	p := newProxy(ports[0], lateShare, func(body []byte, sentAt time.Time) {
		l.note("an order to %s that was sent %.1f s ago without an answer is passed on: %s", id, time.Since(sentAt).Seconds(), body)
	})
	address, err := serve(p)
	if err != nil {
		return err
	}
	w := &workerProc{proxy: p, cfg: workerConfig{
		ID: id, Listen: ports[0], Address: address, Store: l.storeAt, Zone: zone, Kind: kind, Rack: rack, GPU: gpu,
		Events: filepath.Join(l.dir, id+".events"),
	}}
	l.workers = append(l.workers, w)
	return l.startWorker(w)
}

func (l *lab) startWorker(w *workerProc) error {
	cfg, err := json.Marshal(&w.cfg)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.cmd = exec.Command(self, "worker", string(cfg))
	w.cmd.Stderr = os.Stderr
	l.note("worker %s starts", w.cfg.ID)
	return w.cmd.Start()
}

// crashWorker kills the process of a worker.
func (l *lab) crashWorker(w *workerProc) {
	l.note("worker %s is killed", w.cfg.ID)
	l.kill(w.cmd)
}

// addHost writes the settings of a host, as the deploy file's template renders them, and
// starts it.
func (l *lab) addHost(zone string) error {
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("edge-%d", len(l.hosts)+1)
	settings, err := json.MarshalIndent(map[string]any{
		"host": name, "domain": zone, "region": zone, "callers": ports[0], "ready": ports[1], "peers": ports[2], "requests": ports[3], "metrics": ports[4],
		"store": l.storeAt, "machines": ports[5], "advice": "", "leaseLeastMs": 1000, "heartbeatMs": heartbeat.Milliseconds(), "processor": 0.4, "memoryMb": 284,
		"bounds": map[string]any{
			"holdMaxMs": holdMax.Milliseconds(), "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6,
		},
		"outage":   map[string]any{"showEnds": false, "holdCalls": 512, "longestMs": 30000},
		"capacity": map[string]any{"moveLeaving": true, "learnStalls": true, "orderByDelay": true},
	}, "", "  ")
	if err != nil {
		return err
	}
	h := &hostProc{name: name, callers: ports[0], ready: ports[1], peers: ports[2], settings: filepath.Join(l.dir, name+".json")}
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(l.dir, name+".log")); err != nil {
		return err
	}
	l.hosts = append(l.hosts, h)
	return l.startHost(h)
}

func (l *lab) startHost(h *hostProc) error {
	h.cmd = exec.Command("target/yuccapaddled", "platform")
	h.cmd.Dir = l.root
	h.cmd.Env = append(os.Environ(), "YUCCAPADDLE_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	l.note("host %s starts", h.name)
	return h.cmd.Start()
}

// waitReady waits until every host is ready.
func (l *lab) waitReady() error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range l.hosts {
			resp, err := l.client.Get("http://" + h.ready + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(l.hosts) {
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready")
}

// step is a step of a job as its consumer writes it.
type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu,omitempty"`
	MemoryMB  int    `json:"mem-mb,omitempty"`
	GPU       int    `json:"gpu,omitempty"`
	Estimate  int    `json:"est-runtime-ms,omitempty"`
	Label     string `json:"required-label,omitempty"`
	Lasts     bool   `json:"long-running,omitempty"`
	Gang      bool   `json:"gang,omitempty"`
	MayMiss   int    `json:"may-miss,omitempty"`
	PerServer int    `json:"max-per-server,omitempty"`
	After     []int  `json:"after,omitempty"`
}

// do sends a call to a host and records it.
func (l *lab) do(host int, method, path string, body any) call {
	var data io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		data = bytes.NewReader(b)
	}
	c := call{at: time.Now(), method: method, id: path, host: host}
	req, err := http.NewRequest(method, "http://"+l.hosts[host].callers+path, data)
	if err != nil {
		c.err = err
		return c
	}
	req.Host = authority
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Yuccapaddle-Deadline-Ms", "3000")
	resp, err := l.client.Do(req)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	c.status = resp.StatusCode
	var state struct {
		State   string
		Pending int
	}
	answer, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(answer, &state)
	c.state = state.State
	return c
}

func (l *lab) call(host int, method, path string, body any) call {
	c := l.do(host, method, path, body)
	l.note("%s %s at %s: %d %s %v", method, path, l.hosts[host].name, c.status, c.state, errText(c.err))
	return c
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submit hands a job in, at one host after the other until it is accepted.
func (l *lab) submit(queue, id string, spec taskSpec, steps ...step) error {
	payload, _ := json.Marshal(&spec)
	body := map[string]any{"spec": string(payload), "steps": steps}
	for n := range 8 {
		c := l.call(n%len(l.hosts), http.MethodPost, "/"+queue+"/"+id, body)
		if c.status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for a job's state at each host until one answers with 200 or 410.
func (l *lab) state(queue, id string) call {
	var c call
	for n := range 6 {
		c = l.do(n%len(l.hosts), http.MethodGet, "/"+queue+"/"+id, nil)
		if c.status == http.StatusOK || c.status == http.StatusGone {
			return c
		}
	}
	return c
}

// workerOf returns the worker on which a task was started last, nil if it was not.
func (l *lab) workerOf(task string) *workerProc {
	var found *workerProc
	for _, e := range l.events() {
		if e.What != "start" || e.Task != task {
			continue
		}
		for _, w := range l.workers {
			if w.cfg.ID == e.Worker {
				found = w
			}
		}
	}
	return found
}

// activeHost returns the index of the host that wrote to the store under a condition last, -1 if
// there is none.
func (l *lab) activeHost() int {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	it := l.store.items["yp/lock"]
	for i, h := range l.hosts {
		if it != nil && string(it.Value) == h.peers {
			return i
		}
	}
	return -1
}

// events returns what the workers have done so far, in order.
func (l *lab) events() []event {
	var list []event
	for _, w := range l.workers {
		f, err := os.Open(w.cfg.Events)
		if err != nil {
			continue
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			var e event
			if json.Unmarshal(s.Bytes(), &e) == nil {
				list = append(list, e)
			}
		}
		_ = f.Close()
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].MS < list[j].MS })
	return list
}

// recordEvents writes what the workers have done to the record.
func (l *lab) recordEvents() {
	for _, e := range l.events() {
		l.mu.Lock()
		fmt.Fprintf(l.record, "%8.3f s  worker %s (born %d): %s %s run %d %s token %d\n", float64(e.MS-l.began.UnixMilli())/1000, e.Worker, e.Born, e.What, e.Task, e.Run, e.How, e.Token)
		l.mu.Unlock()
	}
}

// stopGently ends the hosts with SIGTERM.
func (l *lab) stopGently() {
	for _, h := range l.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
}

func jobID(n int) string {
	return strings.Repeat("0", 10) + fmt.Sprintf("%06x", n)
}
