package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/portpicker"
	"yuccapaddle/internal/standin/taskrunner"
	"yuccapaddle/platform/configurer"
	"yuccapaddle/platform/simulator"
)

const (
	maxLeaseMS  = 6000
	workerCount = 8
)

// testbed runs host processes against stand-ins for the platform: its store
// and its workers.
type testbed struct {
	c        *qt.C
	dir      string
	platform *simulator.Simulator
	workers  []*worker
	hosts    []*host
	startLog *taskrunner.StartLog
	group    errgroup.Group
	done     chan struct{}
	cleanups []func()
	queues   []string

	rulesMu       sync.Mutex
	growthCount   int    // versions of the rules with added queues
	newestVersion string // the name of a queue that only the newest version has
}

// worker is a stand-in worker that the hosts reach through a proxy.
type worker struct {
	*taskrunner.TaskRunner
	id    string
	proxy *proxy
}

// host is the configuration of one host and its current process.
type host struct {
	name         string
	settingsFile string
	callersAddr  string
	metricsAddr  string
	requestsAddr string
	storeProxy   *proxy
	logFile      *os.File
	process      atomic.Pointer[process]
}

// process is one run of a host's program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newTestbed(t *testing.T, binary string, hostCount int) *testbed {
	b := &testbed{
		c: qt.New(t), dir: t.TempDir(), platform: simulator.New(), startLog: taskrunner.NewStartLog(), done: make(chan struct{}),
		queues: []string{"quick", "batch"},
	}
	b.setRules()
	storeAddr, err := b.platform.ServeStore("127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	for i := range workerCount {
		b.addWorker(i)
	}
	b.addOddEntries()
	ctx, cancel := context.WithCancel(t.Context())
	b.cleanups = append(b.cleanups, cancel)
	b.group.Go(func() error { return b.platform.Run(ctx) })
	for i := range hostCount {
		b.addHost(binary, i, storeAddr)
	}
	return b
}

// startProxy starts a proxy in front of target; stop closes it.
func (b *testbed) startProxy(target string) *proxy {
	p, err := newProxy(target)
	b.c.Assert(err, qt.IsNil)
	b.cleanups = append(b.cleanups, p.stop)
	return p
}

// taskRuntime parses the payload as the task's run time in milliseconds. No task
// fails; an invalid payload runs for a second.
func taskRuntime(_ yuccapaddle.TaskID, payload string) (time.Duration, bool) {
	ms, err := strconv.Atoi(payload)
	if err != nil {
		return time.Second, false
	}
	return time.Duration(ms) * time.Millisecond, false
}

func (b *testbed) addWorker(i int) {
	id := fmt.Sprintf("w%d", i)
	info := yuccapaddle.Worker{
		ID: id, Service: "svc", Domain: fmt.Sprintf("z%d", i%2), Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: fullCapacity,
	}
	opts := []taskrunner.Option{taskrunner.WithCrashes(crashesWorker), taskrunner.WithNeeds(taskNeed), taskrunner.WithReturn(i%4 >= 2)}
	runner := taskrunner.New(info, maxLeaseMS, taskRuntime, b.startLog, opts...)
	address, err := b.platform.ServeWorker(runner)
	b.c.Assert(err, qt.IsNil)
	w := &worker{TaskRunner: runner, id: id, proxy: b.startProxy(address)}
	b.setDeregistered(w, false)
	b.workers = append(b.workers, w)
}

// addOddEntries registers what names no worker to use, as another writer may: text that cannot
// be decoded, values out of range, and entries with much room that look like workers.
func (b *testbed) addOddEntries() {
	const valid = `{"service":"svc","address":"%s","zone":"z0","state":"ready","capacity":{"cpu":%d,"mem-mb":1000000,"gpu":1000},"labels":["a","r0"],"clock-ms":%d,"born":%d}`
	for id, value := range map[string]string{
		"odd-deep":    strings.Repeat("[", 100_000),
		"odd-port":    fmt.Sprintf(valid, "127.0.0.1:65536", 1000, 1, 1),
		"odd-number":  fmt.Sprintf(valid, "127.0.0.1:1", 1000, 1, 1) + "9",
		"odd-clock":   fmt.Sprintf(valid, "127.0.0.1:1", 1000, int64(math.MinInt64), 1),
		"odd-start":   fmt.Sprintf(valid, "127.0.0.1:1", 1000, 1, int64(math.MaxInt64)),
		"odd-nobody":  fmt.Sprintf(valid, b.freeAddress(), 1_000_000, 1, 1),
		"odd-another": fmt.Sprintf(valid, b.workers[0].proxy.address(), 1_000_000, 1, int64(1<<52)),
	} {
		b.platform.Store().Put("servers/"+id, []byte(value))
	}
}

// setDeregistered removes a worker's registration from the platform or restores it.
func (b *testbed) setDeregistered(w *worker, deregistered bool) {
	if deregistered {
		b.platform.Deregister(w.TaskRunner, w.proxy.address())
		return
	}
	b.c.Check(b.platform.Register(w.TaskRunner, w.proxy.address()), qt.IsNil)
}

// setRules stores the operators' rules: the queues and the workspace.
func (b *testbed) setRules() {
	b.c.Assert(b.setRulesWith(nil), qt.IsNil)
}

// setRulesWith stores the operators' rules with further queues after the usual ones.
func (b *testbed) setRulesWith(further []yuccapaddle.Queue) error {
	var queues []yuccapaddle.Queue
	for i, q := range b.queues {
		queues = append(queues, yuccapaddle.Queue{
			Name: q, Authority: "h.example", Prefix: "/" + q + "/", Service: "svc", Priority: min(i, 1), Attempts: 100, Stretch: 3,
		})
	}
	grants := []yuccapaddle.WorkspaceGrant{{Name: workspace, Keys: []string{"key"}}}
	return b.platform.SetRules(append(queues, further...), grants)
}

func (b *testbed) addHost(binary string, i int, storeAddr string) {
	h := &host{name: fmt.Sprintf("h%d", i), storeProxy: b.startProxy(storeAddr)}
	h.callersAddr, h.requestsAddr, h.metricsAddr = b.freeAddress(), b.freeAddress(), b.freeAddress()
	h.settingsFile = filepath.Join(b.dir, h.name+".json")
	data, err := json.Marshal(map[string]any{
		"host": h.name, "domain": fmt.Sprintf("z%d", i%2), "region": "r", "callers": h.callersAddr, "ready": b.freeAddress(), "peers": b.freeAddress(),
		"metrics": h.metricsAddr, "requests": h.requestsAddr, "store": h.storeProxy.address(), "machines": "127.0.0.1:1", "advice": "127.0.0.1:1",
		"leaseLeastMs": 1000, "memoryMb": 284, "processor": 1,
		"bounds": map[string]any{
			"holdMaxMs": maxLeaseMS, "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6,
		},
	})
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(os.WriteFile(h.settingsFile, data, 0o600), qt.IsNil)
	h.logFile, err = os.Create(filepath.Join(b.dir, h.name+".log"))
	b.c.Assert(err, qt.IsNil)
	b.hosts = append(b.hosts, h)
	b.startHost(binary, h)
}

// freeAddress returns a loopback address that nobody listens on at the moment.
func (b *testbed) freeAddress() string {
	address, err := ports.Address()
	b.c.Assert(err, qt.IsNil)
	return address
}

// ports chooses the addresses of all testbeds of this process.
var ports = portpicker.New()

// startHost starts a new process of a host.
func (b *testbed) startHost(binary string, h *host) {
	cmd := exec.Command(binary, "platform")
	cmd.Env = []string{configurer.EnvVariable + "=" + h.settingsFile, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
	b.c.Assert(cmd.Start(), qt.IsNil)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	h.process.Store(p)
	b.group.Go(func() error {
		_ = cmd.Wait() // a killed process ends with an error
		close(p.exited)
		return nil
	})
}

// signal sends a signal to the host's process unless it has ended.
func (h *host) signal(s syscall.Signal) {
	p := h.process.Load()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // the process may have ended in the meantime
	}
}

// exited returns a channel that is closed once the host's process has ended.
func (h *host) exited() chan struct{} {
	return h.process.Load().exited
}

func (b *testbed) stop() {
	for _, h := range b.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited()
	}
	close(b.done)
	for _, f := range b.cleanups {
		f()
	}
	b.c.Check(b.platform.Close(), qt.IsNil)
	b.c.Check(b.group.Wait(), qt.IsNil)
	for _, h := range b.hosts {
		b.c.Check(h.logFile.Close(), qt.IsNil)
	}
}
