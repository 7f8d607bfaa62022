package soak_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/laborer"
	"yuccapaddle/platform/booter"
	"yuccapaddle/platform/exposer"
	"yuccapaddle/platform/wire"
)

const (
	holdMaxMS   = 6000
	workerCount = 8
	beatEvery   = 300 * time.Millisecond
)

// bed runs real hosts against the stand-ins of the platform.
type bed struct {
	c       *qt.C
	dir     string
	store   *bookkeeper.Bookkeeper
	workers []*worker
	hosts   []*host
	starts  *laborer.Starts
	group   errgroup.Group
	done    chan struct{}
	closers []func()
	mu      sync.Mutex
	version int64
	queues  []string
}

// worker is a stand-in worker behind a proxy.
type worker struct {
	*laborer.Laborer
	id     string
	proxy  *proxy
	hidden bool
	mu     sync.Mutex
}

// host is one process of the system.
type host struct {
	name     string
	settings string
	callers  string
	store    *proxy
	log      *os.File
	process  atomic.Pointer[process]
}

// process is one life of a host.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newBed(t *testing.T, binary string, hosts int) *bed {
	b := &bed{c: qt.New(t), dir: t.TempDir(), store: bookkeeper.New(), starts: laborer.NewStarts(), done: make(chan struct{}), version: 1, queues: []string{"quick", "batch"}}
	b.configure()
	store := b.serve(exposer.Store(b.store))
	for i := range workerCount {
		b.addWorker(i)
	}
	b.group.Go(b.beat)
	for i := range hosts {
		b.addHost(binary, i, store)
	}
	return b
}

func (b *bed) serve(handle fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	s := &fasthttp.Server{Handler: handle, CloseOnShutdown: true, Logger: quiet{}}
	b.group.Go(func() error { return s.Serve(l) })
	b.closers = append(b.closers, func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// quiet drops the stand-ins' complaints about broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (b *bed) proxied(target string) *proxy {
	p, err := newProxy(target)
	b.c.Assert(err, qt.IsNil)
	b.closers = append(b.closers, p.stop)
	return p
}

func work(_ yuccapaddle.TaskID, payload string) (time.Duration, bool) {
	ms, err := strconv.Atoi(payload)
	if err != nil {
		return time.Second, false
	}
	return time.Duration(ms) * time.Millisecond, false
}

func (b *bed) addWorker(i int) {
	id := fmt.Sprintf("w%d", i)
	self := yuccapaddle.Worker{
		ID: id, Service: "svc", Domain: fmt.Sprintf("z%d", i%2), Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: 8},
	}
	l := laborer.New(self, holdMaxMS, work, b.starts)
	p := b.proxied(b.serve(exposer.Worker(l)))
	b.workers = append(b.workers, &worker{Laborer: l, id: id, proxy: p})
}

// beat keeps the workers registered.
func (b *bed) beat() error {
	for {
		select {
		case <-b.done:
			return nil
		case <-time.After(beatEvery):
		}
		for _, w := range b.workers {
			b.register(w)
		}
	}
}

func (b *bed) register(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hidden {
		b.store.Drop("servers/" + w.id)
		return
	}
	s := w.Worker()
	address, state := w.proxy.address(), "ready"
	if s.Draining {
		state = "draining"
	}
	data, err := json.Marshal(wire.Entry{
		Service: &s.Service, Address: &address, Zone: &s.Domain, State: &state, Labels: s.Labels, Clock: s.Clock, Born: s.Born,
		Capacity: &wire.Capacity{CPU: s.Capacity.CPU, Memory: s.Capacity.Memory, GPU: s.Capacity.GPU},
	})
	b.c.Check(err, qt.IsNil)
	b.store.Put("servers/"+w.id, data)
}

func (w *worker) hide(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hidden = on
}

// configure writes the operators' rules as they are now.
func (b *bed) configure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	type route struct {
		Name     string  `json:"name"`
		Host     string  `json:"host"`
		Prefix   string  `json:"prefix"`
		Service  string  `json:"service"`
		Priority int     `json:"priority"`
		Attempts int     `json:"max-attempts"`
		Stretch  float64 `json:"stretch"`
	}
	type tenant struct {
		Name string   `json:"name"`
		Keys []string `json:"api-keys"`
	}
	var routes []route
	for i, q := range b.queues {
		routes = append(routes, route{Name: q, Host: "h.example", Prefix: "/" + q + "/", Service: "svc", Priority: min(i, 1), Attempts: 100, Stretch: 3})
	}
	data, err := json.Marshal(map[string]any{
		"version": b.version, "routes": routes, "tenants": []tenant{{"t", []string{"key"}}},
		"services": []map[string]any{{"name": "svc"}},
	})
	b.c.Assert(err, qt.IsNil)
	b.version++
	b.store.Put("op/config", data)
}

func (b *bed) addHost(binary string, i int, store string) {
	h := &host{name: fmt.Sprintf("h%d", i), store: b.proxied(store)}
	h.callers = b.free()
	h.settings = filepath.Join(b.dir, h.name+".json")
	data, err := json.Marshal(map[string]any{
		"host": h.name, "domain": fmt.Sprintf("z%d", i%2), "region": "r", "callers": h.callers, "ready": b.free(), "peers": b.free(),
		"metrics": b.free(), "store": h.store.address(), "machines": "127.0.0.1:1", "advice": "127.0.0.1:1",
		"leaseLeastMs": 1000, "memoryMb": 284, "processor": 1,
		"bounds": map[string]any{
			"holdMaxMs": holdMaxMS, "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6,
		},
	})
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(os.WriteFile(h.settings, data, 0o600), qt.IsNil)
	h.log, err = os.Create(filepath.Join(b.dir, h.name+".log"))
	b.c.Assert(err, qt.IsNil)
	b.hosts = append(b.hosts, h)
	b.run(binary, h)
}

// free returns an address of which nobody listens at the moment.
func (b *bed) free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	defer func() { b.c.Check(l.Close(), qt.IsNil) }()
	return l.Addr().String()
}

func (b *bed) run(binary string, h *host) {
	cmd := exec.Command(binary, "platform")
	cmd.Env = []string{booter.Variable + "=" + h.settings, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	b.c.Assert(cmd.Start(), qt.IsNil)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	h.process.Store(p)
	b.group.Go(func() error {
		_ = cmd.Wait() // killed processes end with an error
		close(p.exited)
		return nil
	})
}

// signal sends a signal to a process that this test has started.
func (h *host) signal(s syscall.Signal) {
	p := h.process.Load()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// exited is closed once the host's process has ended.
func (h *host) exited() chan struct{} {
	return h.process.Load().exited
}

func (b *bed) stop() {
	for _, h := range b.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited()
	}
	close(b.done)
	for _, f := range b.closers {
		f()
	}
	_ = b.group.Wait()
	for _, h := range b.hosts {
		b.c.Check(h.log.Close(), qt.IsNil)
	}
}
