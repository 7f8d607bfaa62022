package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/standin/laborer"
	"yuccapaddle/platform/booter"
	"yuccapaddle/platform/provider"
)

const (
	holdMaxMS   = 6000
	workerCount = 8
)

// bed runs real hosts against the stand-ins of the platform.
type bed struct {
	c        *qt.C
	dir      string
	platform *provider.Provider
	workers  []*worker
	hosts    []*host
	starts   *laborer.Starts
	group    errgroup.Group
	done     chan struct{}
	closers  []func()
	queues   []string
}

// worker is a stand-in worker behind a proxy.
type worker struct {
	*laborer.Laborer
	id    string
	proxy *proxy
}

// host is one process of the system.
type host struct {
	name     string
	settings string
	callers  string
	requests string
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
	b := &bed{
		c: qt.New(t), dir: t.TempDir(), platform: provider.New(), starts: laborer.NewStarts(), done: make(chan struct{}),
		queues: []string{"quick", "batch"},
	}
	b.configure()
	store, err := b.platform.Serve("127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	for i := range workerCount {
		b.addWorker(i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	b.closers = append(b.closers, cancel)
	b.group.Go(func() error { return b.platform.Run(ctx) })
	for i := range hosts {
		b.addHost(binary, i, store)
	}
	return b
}

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
	address, err := b.platform.Add(l)
	b.c.Assert(err, qt.IsNil)
	w := &worker{Laborer: l, id: id, proxy: b.proxied(address)}
	b.hide(w, false)
	b.workers = append(b.workers, w)
}

// hide takes a worker's registration away, or brings it back.
func (b *bed) hide(w *worker, on bool) {
	if on {
		b.platform.Hide(w.Laborer, w.proxy.address())
		return
	}
	b.c.Check(b.platform.Register(w.Laborer, w.proxy.address()), qt.IsNil)
}

// configure writes the operators' rules as they are now.
func (b *bed) configure() {
	var queues []yuccapaddle.Queue
	for i, q := range b.queues {
		queues = append(queues, yuccapaddle.Queue{
			Name: q, Authority: "h.example", Prefix: "/" + q + "/", Service: "svc", Priority: min(i, 1), Attempts: 100, Stretch: 3,
		})
	}
	grants := []yuccapaddle.WorkspaceGrant{{Name: workspace, Keys: []string{"key"}}}
	b.c.Assert(b.platform.Configure(queues, grants), qt.IsNil)
}

func (b *bed) addHost(binary string, i int, store string) {
	h := &host{name: fmt.Sprintf("h%d", i), store: b.proxied(store)}
	h.callers, h.requests = b.free(), b.free()
	h.settings = filepath.Join(b.dir, h.name+".json")
	data, err := json.Marshal(map[string]any{
		"host": h.name, "domain": fmt.Sprintf("z%d", i%2), "region": "r", "callers": h.callers, "ready": b.free(), "peers": b.free(),
		"metrics": b.free(), "requests": h.requests, "store": h.store.address(), "machines": "127.0.0.1:1", "advice": "127.0.0.1:1",
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
	b.c.Check(b.platform.Close(), qt.IsNil)
	b.c.Check(b.group.Wait(), qt.IsNil)
	for _, h := range b.hosts {
		b.c.Check(h.log.Close(), qt.IsNil)
	}
}
