// Package worker is an in-memory stand-in for upstreams and their workers. It
// simulates tasks under leases, and faults can be injected.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

// Worker simulates any number of upstreams with their workers. It implements
// yuccapaddle.GangWorker and is safe for concurrent use.
type Worker struct {
	mu          sync.Mutex
	upstreams   map[string]*upstream
	bootCount   int
	checkpoints map[string]int64 // remaining milliseconds by taskKey
	runs        []Run
	bootPrefix  string
}

// Faults are the injected faults of a worker, or of a whole upstream if they are
// set under its name. A number n of a counted fault affects the next n messages.
type Faults struct {
	Down           bool `json:"dead"`
	Leaving        bool `json:"leaving"`
	RefuseReserves int  `json:"refuseReserves"`
	RefuseStarts   int  `json:"refuseStarts"`
	// LoseStartAnswers: starts take effect, but get no answer.
	LoseStartAnswers int `json:"loseStartAnswers"`
	// LoseStarts and LoseStops: the messages have no effect and get no answer.
	LoseStarts       int  `json:"loseStarts"`
	LoseStops        int  `json:"loseStops"`
	FailTasks        bool `json:"failTasks"`
	IgnoreCheckpoint bool `json:"ignoreCheckpoint"`
	// ReportTwice: the end of a task is reported again 10 ms later.
	ReportTwice bool `json:"reportTwice"`
	// ReverseParts: the tasks of a lease end in reverse order of rank.
	ReverseParts bool `json:"reverseParts"`
	// LateMS is how much longer each task runs, in milliseconds.
	LateMS int `json:"lateMs"`
	// ClockMS is how far an upstream's clock is ahead, or behind if negative, in
	// milliseconds.
	ClockMS int `json:"clockMs"`
}

// Run is one period in which a task ran, recorded for checks of the history. EndAt
// is zero while it runs.
type Run struct {
	Key     string    `json:"key"`
	Lease   string    `json:"lease"`
	Rank    int       `json:"rank"`
	Worker  string    `json:"worker"`
	Resumed bool      `json:"resumed"`
	StartAt time.Time `json:"startAt"`
	EndAt   time.Time `json:"endAt,omitzero"`
	Done    bool      `json:"done"`
}

// Payload is the behaviour of a simulated task: it runs for MS milliseconds and
// then returns Answer, or fails with the error Fail if that is not empty.
type Payload struct {
	MS     int64           `json:"ms"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Fail   string          `json:"fail,omitempty"`
}

type upstream struct {
	name       string
	boot       string // name of the incarnation
	seq        uint64 // number of the last change in this incarnation
	token      uint64 // highest fencing token seen
	down       bool
	leaving    bool
	capacity   map[string]int     // accelerators by worker
	faults     map[string]*Faults // by worker, or the upstream's name
	leases     map[string]*lease
	changed    chan struct{}     // closed and replaced at each change
	workerSeqs map[string]uint64 // seq of the last change of each worker
}

type lease struct {
	yuccapaddle.Reservation
	tasks map[int]*task
	timer *time.Timer
	ended bool
}

type task struct {
	report      yuccapaddle.TaskReport
	changeSeq   uint64 // upstream.seq of the last change
	timer       *time.Timer
	runIndex    int // index in Worker.runs, -1 before the start
	remainingMS int64
	startedAt   time.Time
}

var _ yuccapaddle.GangWorker = (*Worker)(nil)

// Option configures a Worker.
type Option func(*Worker)

// WithBootPrefix sets the prefix of the names of incarnations. It distinguishes
// processes that serve the same upstream one after the other. The default is "boot".
func WithBootPrefix(prefix string) Option {
	return func(w *Worker) { w.bootPrefix = prefix }
}

// New returns a Worker without upstreams.
func New(opts ...Option) *Worker {
	w := &Worker{upstreams: map[string]*upstream{}, checkpoints: map[string]int64{}, bootPrefix: "boot"}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Add adds an upstream with the workers of its racks, as a new incarnation.
func (w *Worker) Add(u yuccapaddle.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	capacity := map[string]int{}
	for _, r := range u.Racks {
		for i := range r.Workers {
			capacity[r.WorkerName(i)] = r.Accelerators
		}
	}
	w.bootCount++
	w.upstreams[u.Name] = &upstream{
		name: u.Name, boot: w.bootName(), capacity: capacity,
		faults: map[string]*Faults{}, leases: map[string]*lease{},
		changed: make(chan struct{}), workerSeqs: map[string]uint64{},
	}
}

func (w *Worker) bootName() string {
	return w.bootPrefix + "-" + strconv.Itoa(w.bootCount)
}

// Restart ends all tasks of an upstream, drops its leases and reports, and starts a
// new incarnation. Checkpoints and faults stay.
func (w *Worker) Restart(name string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[name]
	if u == nil {
		return fmt.Errorf("upstream %q does not exist", name)
	}
	for _, l := range u.leases {
		w.endLease(u, l, "the upstream restarted")
	}
	w.bootCount++
	u.boot, u.seq, u.token = w.bootName(), 0, 0
	u.leases = map[string]*lease{}
	u.workerSeqs = map[string]uint64{}
	u.notifyWaiters()
	return nil
}

// SetFaults replaces the faults of a worker or an upstream. Setting Down ends the
// tasks of a worker; those of an upstream run on, but it gives no answer.
func (w *Worker) SetFaults(name string, f Faults) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u.name == name {
			u.faults[name] = &f
			u.down, u.leaving = f.Down, f.Leaving
			u.nextSeq()
			return nil
		}
		if _, ok := u.capacity[name]; !ok {
			continue
		}
		u.faults[name] = &f
		u.workerSeqs[name] = u.nextSeq()
		if f.Down {
			w.stopWorkerTasks(u, name)
		}
		return nil
	}
	return fmt.Errorf("there is no worker or upstream %q", name)
}

// Runs returns all runs of tasks, in order of their start.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// stopWorkerTasks ends the tasks of a worker that went down.
func (w *Worker) stopWorkerTasks(u *upstream, name string) {
	for _, l := range u.leases {
		for _, t := range l.tasks {
			if t.report.Worker == name {
				w.stopTask(u, t, "worker "+name+" is down")
			}
		}
	}
}

// now returns the time of the upstream's clock, which ClockMS offsets.
func (u *upstream) now() time.Time {
	return time.Now().Add(time.Duration(u.faultsOf(u.name).ClockMS) * time.Millisecond)
}

// timeUntil returns the time left until t by the upstream's clock, at least the
// shortest that a timer is set to.
func (u *upstream) timeUntil(t time.Time) time.Duration {
	return sleeper.TimerDuration(t.Sub(u.now()))
}

// nextSeq returns the sequence number of a new change and wakes waiting calls of Sync.
func (u *upstream) nextSeq() uint64 {
	u.seq++
	u.notifyWaiters()
	return u.seq
}

func (u *upstream) notifyWaiters() {
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) faultsOf(name string) *Faults {
	if f := u.faults[name]; f != nil {
		return f
	}
	return &Faults{}
}

// consumeFault decrements the counted fault that field selects, of the upstream or
// else of the first member's worker that has it. It returns the name under which
// the fault was set, empty if there is none.
func (u *upstream) consumeFault(members []yuccapaddle.Member, field func(*Faults) *int) string {
	names := []string{u.name}
	for _, m := range members {
		names = append(names, m.Worker)
	}
	for _, n := range names {
		if p := field(u.faultsOf(n)); *p > 0 {
			*p--
			return n
		}
	}
	return ""
}

// findUpstream returns an upstream. The error matches yuccapaddle.ErrNoAnswer if ctx
// has ended or the upstream is down, and is a WorkerError if it does not exist.
func (w *Worker) findUpstream(ctx context.Context, name string) (*upstream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", yuccapaddle.ErrNoAnswer, err)
	}
	u := w.upstreams[name]
	if u == nil {
		return nil, &yuccapaddle.WorkerError{Reason: fmt.Sprintf("upstream %q does not exist", name)}
	}
	if u.down {
		return nil, fmt.Errorf("upstream %q: %w", name, yuccapaddle.ErrNoAnswer)
	}
	return u, nil
}

// checkToken refuses a message with an outdated fencing token, or one that arrives
// after notAfter unless that is zero.
func (u *upstream) checkToken(token uint64, notAfter time.Time) error {
	if token < u.token {
		return &yuccapaddle.WorkerError{Outdated: true, Reason: fmt.Sprintf("token %d is older than %d", token, u.token)}
	}
	u.token = token
	if !notAfter.IsZero() && u.now().After(notAfter) {
		return &yuccapaddle.WorkerError{Reason: "the message came after its deadline"}
	}
	return nil
}

// usedAccelerators returns how many accelerators reserved and running tasks hold on
// a worker.
func (u *upstream) usedAccelerators(name string) int {
	n := 0
	for _, l := range u.leases {
		for _, t := range l.tasks {
			holds := t.report.State == yuccapaddle.TaskReserved || t.report.State == yuccapaddle.TaskRunning
			if holds && t.report.Worker == name {
				n += l.Accelerators
			}
		}
	}
	return n
}

// requestKey returns the key of the request from the name of its lease, which adds
// "/" and a suffix to it.
func requestKey(lease string) string {
	i := strings.LastIndexByte(lease, '/')
	return lease[:max(i, 0)]
}

// activeLeases returns the sorted names of the leases that have not ended.
func (u *upstream) activeLeases() []string {
	var names []string
	for name, l := range u.leases {
		if !l.ended {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
