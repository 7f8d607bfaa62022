// Package worker is a small stand-in for the platform's workers: upstreams that
// run pretended tasks under leases and can be told to misbehave.
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

// Worker pretends to be any number of upstreams with their workers. It
// implements yuccapaddle.GangWorker.
type Worker struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	boots     int
	saved     map[string]int64
	runs      []Run
	boot      string
}

// Faults are the failures of one worker, or of its whole upstream when set
// under the upstream's name. Counts apply to the next so many messages.
type Faults struct {
	Dead             bool `json:"dead"`
	Leaving          bool `json:"leaving"`
	RefuseReserves   int  `json:"refuseReserves"`
	RefuseStarts     int  `json:"refuseStarts"`
	LoseStartAnswers int  `json:"loseStartAnswers"`
	LoseStarts       int  `json:"loseStarts"`
	LoseStops        int  `json:"loseStops"`
	FailTasks        bool `json:"failTasks"`
	IgnoreCheckpoint bool `json:"ignoreCheckpoint"`
	ReportTwice      bool `json:"reportTwice"`
	ReverseParts     bool `json:"reverseParts"`
	LateMS           int  `json:"lateMs"`
	// ClockMS is how far an upstream's clock is ahead, or behind if negative.
	ClockMS int `json:"clockMs"`
}

// Run is one period in which a task ran, for checks of the history.
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

// Payload is what a pretended task does: run for MS milliseconds, then give
// Answer, or fail with Fail.
type Payload struct {
	MS     int64           `json:"ms"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Fail   string          `json:"fail,omitempty"`
}

type upstream struct {
	name     string
	boot     string
	seq      uint64
	token    uint64
	dead     bool
	leaving  bool
	capacity map[string]int
	faults   map[string]*Faults
	leases   map[string]*lease
	changed  chan struct{}
	downs    map[string]uint64 // sequence number of the last change of a worker
}

type lease struct {
	yuccapaddle.Reservation
	tasks map[int]*task
	timer *time.Timer
	over  bool
}

type task struct {
	report  yuccapaddle.TaskReport
	change  uint64
	timer   *time.Timer
	run     int // index in runs, -1 before the start
	left    int64
	started time.Time
}

var _ yuccapaddle.GangWorker = (*Worker)(nil)

// Option changes a Worker under construction.
type Option func(*Worker)

// WithBoot sets the prefix of incarnation names, which tells apart two
// processes that serve the same upstream one after the other.
func WithBoot(prefix string) Option {
	return func(w *Worker) { w.boot = prefix }
}

// New returns a stand-in without upstreams.
func New(opts ...Option) *Worker {
	w := &Worker{upstreams: map[string]*upstream{}, saved: map[string]int64{}, boot: "boot"}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Add sets up an upstream with the workers of its racks.
func (w *Worker) Add(u yuccapaddle.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	capacity := map[string]int{}
	for _, r := range u.Racks {
		for i := range r.Workers {
			capacity[r.WorkerName(i)] = r.Accelerators
		}
	}
	w.boots++
	w.upstreams[u.Name] = &upstream{
		name: u.Name, boot: w.bootName(), capacity: capacity,
		faults: map[string]*Faults{}, leases: map[string]*lease{},
		changed: make(chan struct{}), downs: map[string]uint64{},
	}
}

func (w *Worker) bootName() string {
	return w.boot + "-" + strconv.Itoa(w.boots)
}

// Restart ends all tasks of an upstream without a trace and starts it anew.
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
	w.boots++
	u.boot, u.seq, u.token = w.bootName(), 0, 0
	u.leases = map[string]*lease{}
	u.downs = map[string]uint64{}
	u.wake()
	return nil
}

// SetFaults replaces the faults of a worker or of an upstream.
func (w *Worker) SetFaults(name string, f Faults) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u.name == name {
			u.faults[name] = &f
			u.dead, u.leaving = f.Dead, f.Leaving
			u.bump()
			return nil
		}
		if _, ok := u.capacity[name]; !ok {
			continue
		}
		u.faults[name] = &f
		u.downs[name] = u.bump()
		if f.Dead {
			w.killWorker(u, name)
		}
		return nil
	}
	return fmt.Errorf("there is no worker or upstream %q", name)
}

// Runs returns the history of all task runs.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

func (w *Worker) killWorker(u *upstream, name string) {
	for _, l := range u.leases {
		for _, t := range l.tasks {
			if t.report.Worker == name {
				w.stopTask(u, t, "worker "+name+" is down")
			}
		}
	}
}

// now is the time that the upstream's clock shows.
func (u *upstream) now() time.Time {
	return time.Now().Add(time.Duration(u.fault(u.name).ClockMS) * time.Millisecond)
}

// until is how long it takes by the upstream's clock until a time.
func (u *upstream) until(t time.Time) time.Duration {
	return sleeper.Ahead(t.Sub(u.now()))
}

func (u *upstream) bump() uint64 {
	u.seq++
	u.wake()
	return u.seq
}

func (u *upstream) wake() {
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) fault(name string) *Faults {
	if f := u.faults[name]; f != nil {
		return f
	}
	return &Faults{}
}

// take uses up one of a counted fault of the upstream or of a worker.
func (u *upstream) take(l []yuccapaddle.Member, field func(*Faults) *int) string {
	names := []string{u.name}
	for _, m := range l {
		names = append(names, m.Worker)
	}
	for _, n := range names {
		if p := field(u.fault(n)); *p > 0 {
			*p--
			return n
		}
	}
	return ""
}

func (w *Worker) find(ctx context.Context, name string) (*upstream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", yuccapaddle.ErrNoAnswer, err)
	}
	u := w.upstreams[name]
	if u == nil {
		return nil, &yuccapaddle.WorkerError{Reason: fmt.Sprintf("upstream %q does not exist", name)}
	}
	if u.dead {
		return nil, fmt.Errorf("upstream %q: %w", name, yuccapaddle.ErrNoAnswer)
	}
	return u, nil
}

func (u *upstream) fence(token uint64, notAfter time.Time) error {
	if token < u.token {
		return &yuccapaddle.WorkerError{Outdated: true, Reason: fmt.Sprintf("token %d is older than %d", token, u.token)}
	}
	u.token = token
	if !notAfter.IsZero() && u.now().After(notAfter) {
		return &yuccapaddle.WorkerError{Reason: "the message came after its deadline"}
	}
	return nil
}

func (u *upstream) used(name string) int {
	n := 0
	for _, l := range u.leases {
		for _, t := range l.tasks {
			busy := t.report.State == yuccapaddle.TaskReserved || t.report.State == yuccapaddle.TaskRunning
			if busy && t.report.Worker == name {
				n += l.Accelerators
			}
		}
	}
	return n
}

// requestKey is the part of a lease that names the request.
func requestKey(lease string) string {
	i := strings.LastIndexByte(lease, '/')
	return lease[:max(i, 0)]
}

func (u *upstream) leaseNames() []string {
	var names []string
	for name, l := range u.leases {
		if !l.over {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
