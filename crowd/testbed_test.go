// Package crowd_test starts the system's own processes on loopback addresses, sends them what
// clients outside of all limits send, and checks that each process lives, stays within its
// memory and its descriptors, and answers an ordinary request meanwhile and afterwards.
//
// It checks no times. Run its tests one at a time and apart from other load:
//
//	go test -p 1 ./crowd
package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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
	hostCount   = 3
	workerCount = 4
	maxLeaseMS  = 6000
	// memoryMB and descriptors are the limits of each process, in the settings and as the bounds
	// of the checks.
	memoryMB    = 64
	descriptors = 300
	// patience is how long the tests wait for what has to come at some time.
	patience     = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// crowdTime is how long a crowd stays.
	crowdTime = 5 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "yuccapaddled")
	// go test runs the tests again after a change of the files that they have read.
	for _, f := range []string{"main.go", "memory.go", "platform.go"} {
		if _, err := os.ReadFile(filepath.Join("..", "cmd", "yuccapaddled", f)); err != nil {
			panic(err)
		}
	}
	if out, err := exec.Command("go", "build", "-o", binary, "yuccapaddle/cmd/yuccapaddled").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// ports chooses the addresses of all hosts of this process.
var ports = portpicker.New()

// testbed runs host processes against stand-ins for the platform's store and workers.
type testbed struct {
	c        *qt.C
	dir      string
	platform *simulator.Simulator
	startLog *taskrunner.StartLog
	hosts    []*host
	group    errgroup.Group
	cancel   context.CancelFunc
	jobs     int
}

// listener is one of a host's listeners.
type listener string

const (
	callers   listener = "callers"
	requests  listener = "requests"
	readiness listener = "ready"
	metrics   listener = "metrics"
	peers     listener = "peers"
)

var listeners = []listener{callers, requests, readiness, metrics, peers}

// host is one host and its process.
type host struct {
	name      string
	addresses map[listener]string
	cmd       *exec.Cmd
	log       *os.File
	exited    chan struct{}
	watch     *watch
}

// newTestbed starts the hosts. The first one becomes active.
func newTestbed(t *testing.T, limited bool) *testbed {
	b := &testbed{c: qt.New(t), dir: t.TempDir(), platform: simulator.New(), startLog: taskrunner.NewStartLog()}
	queue := yuccapaddle.Queue{Name: "quick", Authority: authority, Prefix: "/quick/", Service: "svc", Attempts: 100, Stretch: 3}
	grants := []yuccapaddle.WorkspaceGrant{{Name: "w", Keys: []string{key}}, {Name: "v", Keys: []string{ordinaryKey}}}
	b.c.Assert(b.platform.SetRules([]yuccapaddle.Queue{queue}, grants), qt.IsNil)
	store, err := b.platform.ServeStore("127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	for i := range workerCount {
		b.addWorker(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.group.Go(func() error { return b.platform.Run(ctx) })
	t.Cleanup(b.stop)
	for i := range hostCount {
		h := b.startHost(i, store, limited)
		b.waitFor("a host is ready", func() bool { return h.isReady() })
		if i == 0 {
			b.submitOrdinary(h) // it is active from now on
		}
	}
	return b
}

func (b *testbed) addWorker(i int) {
	runner := taskrunner.New(yuccapaddle.Worker{
		ID: fmt.Sprintf("w%d", i), Service: "svc", Domain: "z0", Labels: []string{"a", "r0"},
		Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: 8},
	}, maxLeaseMS, taskTime, b.startLog)
	address, err := b.platform.ServeWorker(runner)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(b.platform.Register(runner, address), qt.IsNil)
}

// taskTime returns how long a task runs, and that it does not fail.
func taskTime(yuccapaddle.TaskID, string) (time.Duration, bool) {
	return 20 * time.Millisecond, false
}

func (b *testbed) startHost(i int, store string, limited bool) *host {
	h := b.newHost(fmt.Sprintf("h%d", i), listeners)
	settings := map[string]any{
		"host": h.name, "domain": fmt.Sprintf("z%d", i), "region": "r", "store": store, "machines": "127.0.0.1:1", "advice": "127.0.0.1:1",
		"leaseLeastMs": 1000, "memoryMb": memoryMB, "descriptors": descriptors, "processor": 1,
		"bounds": map[string]any{
			"holdMaxMs": maxLeaseMS, "drainMs": 2500, "evacuateMs": 5000, "applyMs": 2500, "restoreMs": 600, "remotePenalty": 3, "statusS": 120, "graceS": 6,
		},
	}
	for l, address := range h.addresses {
		settings[string(l)] = address
	}
	b.writeSettings(h.name, settings)
	b.startProcess(h, limited, "platform")
	return h
}

// startProcess starts a host's program. With limited set, the operating system limits its
// descriptors as well as its settings.
func (b *testbed) startProcess(h *host, limited bool, args ...string) {
	var err error
	h.log, err = os.Create(filepath.Join(b.dir, h.name+".log"))
	b.c.Assert(err, qt.IsNil)
	h.cmd = exec.Command(binary, args...)
	if limited {
		h.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n ` + strconv.Itoa(descriptors) + ` && exec "$0" "$@"`, binary}, args...)...)
	}
	h.cmd.Env = []string{configurer.EnvVariable + "=" + b.settingsPath(h.name), "GOMAXPROCS=2", "PATH=" + os.Getenv("PATH")}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	b.c.Assert(h.cmd.Start(), qt.IsNil)
	b.hosts = append(b.hosts, h)
	b.group.Go(func() error {
		_ = h.cmd.Wait() // a killed process ends with an error
		close(h.exited)
		return nil
	})
	h.watch = newWatch(h.cmd.Process.Pid, h.addresses, h.exited)
	b.group.Go(h.watch.run)
}

func (b *testbed) settingsPath(name string) string { return filepath.Join(b.dir, name+".json") }

// writeSettings writes a settings file.
func (b *testbed) writeSettings(name string, settings any) {
	data, err := json.Marshal(settings)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(os.WriteFile(b.settingsPath(name), data, 0o600), qt.IsNil)
}

// newHost returns a host with an address for each of the listeners.
func (b *testbed) newHost(name string, listeners []listener) *host {
	h := &host{name: name, addresses: map[listener]string{}, exited: make(chan struct{})}
	for _, l := range listeners {
		address, err := ports.Address()
		b.c.Assert(err, qt.IsNil)
		h.addresses[l] = address
	}
	return h
}

func (b *testbed) stop() {
	for _, h := range b.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL) // the process may have ended
		<-h.exited
	}
	b.cancel()
	b.c.Check(b.platform.Close(), qt.IsNil)
	b.c.Check(b.group.Wait(), qt.IsNil)
	for _, h := range b.hosts {
		b.c.Check(h.log.Close(), qt.IsNil)
	}
}

// lives reports whether the host's process has not ended.
func (h *host) lives() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (b *testbed) waitFor(what string, done func() bool) {
	for until := time.Now().Add(patience); !done(); time.Sleep(pollInterval) {
		b.c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("%s", what))
	}
}

// checkHosts checks that all processes live and have stayed within their bounds.
func (b *testbed) checkHosts() {
	for _, h := range b.hosts {
		peak, unread, open := h.watch.peaks()
		b.c.Logf("%s: peak memory %.1f MB, with what it had not read %.1f MB; %d descriptors", h.name, megabytes(peak), megabytes(unread), open)
		b.c.Check(h.lives(), qt.IsTrue, qt.Commentf("%s has ended: %s", h.name, h.lastLine()))
		b.c.Check(peak <= memoryMB<<20, qt.IsTrue, qt.Commentf("%s: %.1f MB", h.name, megabytes(peak)))
		b.c.Check(unread <= memoryMB<<20, qt.IsTrue, qt.Commentf("%s: %.1f MB with what it had not read", h.name, megabytes(unread)))
		b.c.Check(open <= descriptors, qt.IsTrue, qt.Commentf("%s: %d descriptors", h.name, open))
	}
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// lastLine returns the end of the host's log.
func (h *host) lastLine() string {
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-300):])
}
