package executor_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/executor"
	"yuccapaddle/internal/explainer"
	"yuccapaddle/internal/recorder"
	"yuccapaddle/internal/standin/bookkeeper"
	"yuccapaddle/internal/standin/taskrunner"
)

const (
	maxLeaseMS = 6000 // in milliseconds
	rackSize   = 4
)

// rig is an executor with a ledger and workers in memory, in virtual time.
type rig struct {
	t             *testing.T
	c             *qt.C
	ledger        *bookkeeper.Bookkeeper
	workers       map[string]*taskrunner.TaskRunner
	unregistered  sync.Map // IDs of workers whose registration is removed
	startLog      *taskrunner.StartLog
	taskTime      atomic.Int64 // run time of a task, in nanoseconds
	exec          *executor.Executor
	stop          context.CancelFunc
	group         *errgroup.Group
	runner        yuccapaddle.Runner // the rig itself if nil
	hosts         int                // started so far
	next          *follower          // the host that takes over next, nil if it has not started
	logs          logs
	clock         yuccapaddle.Clock                   // of the executor, the system's if nil
	meter         yuccapaddle.Meter                   // of the executor, none if nil
	lossy         bool                                // the ledger loses replies, see lossyLedger
	leaveWithinMS int64                               // see executor.Bounds
	moveLeaving   bool                                // see yuccapaddle.PlanLimits
	learnStalls   bool                                // see yuccapaddle.PlanLimits
	registryDelay time.Duration                       // from the call to the moment that its reply shows
	platformHangs atomic.Bool                         // the registrations and the rules have no answer
	rulesVersion  atomic.Int64                        // of the operators' rules
	quotaGPU      atomic.Int64                        // see setQuota
	queues        atomic.Pointer[[]yuccapaddle.Queue] // see setQueues
	odd           atomic.Pointer[oddEntries]          // what another writer has registered
	// confirmed and predecessorRenewsUntil are passed to executor.WithRole; confirmed is
	// always true if nil.
	confirmed              func() bool
	predecessorRenewsUntil time.Time
	options                []executor.Option             // further ones of the executor
	committed              func(yuccapaddle.Transaction) // called after each commit, if not nil
	recordsHang            atomic.Bool                   // lists of records have no answer
}

// oddEntries changes a list of registrations as another writer has changed it.
type oddEntries func([]yuccapaddle.Worker) []yuccapaddle.Worker

// logs collects the log output of all hosts.
type logs struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// explainedCause returns the last line that explain prints for a job from the logs alone.
func (r *rig) explainedCause(id string) string {
	r.logs.mu.Lock()
	defer r.logs.mu.Unlock()
	e := explainer.New(id)
	r.c.Assert(e.Read(bytes.NewReader(r.logs.buf.Bytes())), qt.IsNil)
	var out strings.Builder
	r.c.Assert(e.Write(&out), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	return lines[len(lines)-1]
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{
		t: t, c: qt.New(t), ledger: bookkeeper.New(), workers: map[string]*taskrunner.TaskRunner{},
		startLog: taskrunner.NewStartLog(), group: &errgroup.Group{}, leaveWithinMS: 2500,
	}
	r.rulesVersion.Store(1)
	r.taskTime.Store(int64(2 * time.Second))
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		self := yuccapaddle.Worker{
			ID: id, Address: id + ":1", Service: "svc", Domain: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/rackSize),
			Labels: []string{"a", fmt.Sprintf("r%d", i/rackSize)}, Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: 8},
		}
		r.workers[id] = taskrunner.New(self, maxLeaseMS, r.taskResult, r.startLog)
	}
	return r
}

// taskResult implements taskrunner.Work: every task succeeds after taskTime.
func (r *rig) taskResult(yuccapaddle.TaskID, string) (time.Duration, bool) {
	return time.Duration(r.taskTime.Load()), false
}

// hang waits for the end of the context if the platform does not answer.
func (r *rig) hang(ctx context.Context) error {
	if !r.platformHangs.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Workers implements yuccapaddle.Registry.
func (r *rig) Workers(ctx context.Context) ([]yuccapaddle.Worker, error) {
	if err := r.hang(ctx); err != nil {
		return nil, err
	}
	time.Sleep(r.registryDelay)
	var list []yuccapaddle.Worker
	for id, w := range r.workers {
		if _, ok := r.unregistered.Load(id); !ok {
			list = append(list, w.Worker())
		}
	}
	if odd := r.odd.Load(); odd != nil {
		list = (*odd)(list)
	}
	return list, nil
}

// Start implements yuccapaddle.Runner.
func (r *rig) Start(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StartOrder) (int64, error) {
	return r.workers[w.ID].Start(ctx, o)
}

// Stop implements yuccapaddle.Runner.
func (r *rig) Stop(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.StopOrder) (int64, error) {
	return r.workers[w.ID].Stop(ctx, o)
}

// Hold implements yuccapaddle.Runner.
func (r *rig) Hold(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.HoldOrder) (yuccapaddle.HoldReply, error) {
	return r.workers[w.ID].Hold(ctx, o)
}

// Pace implements yuccapaddle.Runner.
func (r *rig) Pace(ctx context.Context, w *yuccapaddle.Worker, o yuccapaddle.PaceOrder) error {
	return r.workers[w.ID].Pace(ctx, o)
}

// Advise implements yuccapaddle.Adviser: only w1 gets a ticket, "t".
func (r *rig) Advise(_ context.Context, _ yuccapaddle.StepID, workers []string) ([]yuccapaddle.Ticket, error) {
	time.Sleep(200 * time.Millisecond)
	if slices.Contains(workers, "w1") {
		return []yuccapaddle.Ticket{{Worker: "w1", Value: "t", ExpiresAt: time.Now().Add(3 * time.Second)}}, nil
	}
	return nil, nil
}

// Read implements yuccapaddle.RuleSource.
func (r *rig) Read(ctx context.Context) ([]byte, error) {
	if err := r.hang(ctx); err != nil {
		return nil, err
	}
	return fmt.Append(nil, r.rulesVersion.Load(), " ", r.quotaGPU.Load(), " ", r.ledger.Revision()), nil
}

// setQuota puts a quota of workspace north into the next version of the rules, 0 for none.
func (r *rig) setQuota(gpus int64) {
	r.quotaGPU.Store(gpus)
	r.changeRules()
}

// changeRules begins the next version of the rules.
func (r *rig) changeRules() {
	r.rulesVersion.Add(1)
	r.ledger.Advance()
}

// setQueues puts queues into the next version of the rules, in place of the usual ones.
func (r *rig) setQueues(list ...yuccapaddle.Queue) {
	r.queues.Store(&list)
	r.changeRules()
}

// Decode implements yuccapaddle.RuleSource.
func (r *rig) Decode(data []byte) (*yuccapaddle.Rules, error) {
	var version int64
	var quota int
	var revision uint64
	if _, err := fmt.Sscan(string(data), &version, &quota, &revision); err != nil {
		return nil, err
	}
	rules := &yuccapaddle.Rules{
		Version: version, Revision: revision, Digest: uint64(version),
		Queues: []yuccapaddle.Queue{
			{Name: "quick", Service: "svc", Priority: 0, Attempts: 3},
			{Name: "batch", Service: "svc", Priority: 2, Attempts: 3},
			{Name: "advised", Service: "svc", Priority: 2, Attempts: 3, Advised: true},
		},
		Workspaces: []yuccapaddle.WorkspaceGrant{
			{Name: "north", Keys: []string{"k"}, Guaranteed: 8, Quota: yuccapaddle.Need{GPU: quota}},
			{Name: "south", Keys: []string{"s"}, Guaranteed: 8},
		},
	}
	if list := r.queues.Load(); list != nil {
		rules.Queues = *list
	}
	return rules.Index(), nil
}

// takeOver stops the executor, if there is one, without letting it finish anything, and
// starts one on another host.
func (r *rig) takeOver() {
	if r.stop != nil {
		r.stop()
		synctest.Wait()
	}
	if r.next == nil {
		r.follow()
	}
	host := r.next
	r.next = nil
	var ledger yuccapaddle.Ledger = r.ledger
	if r.lossy {
		ledger = &lossyLedger{Bookkeeper: r.ledger}
	}
	ledger = &observedLedger{Ledger: ledger, rig: r}
	rec, err := recorder.Claim(r.t.Context(), ledger, host.name, host.name, host.name, yuccapaddle.Lock{Key: "lock-" + host.name, Address: host.name})
	r.c.Assert(err, qt.IsNil)
	meter := r.meter
	if meter == nil {
		meter = yuccapaddle.NoMeter{}
	}
	bounds := executor.Bounds{MaxLeaseMS: maxLeaseMS, LeaveWithinMS: r.leaveWithinMS, Planner: yuccapaddle.PlanLimits{
		RemoteSlowdown: 3, Retention: 2 * time.Minute, MoveLeaving: r.moveLeaving, LearnStalls: r.learnStalls, ProveWorkers: true, Heartbeat: heartbeat,
	}}
	runner := r.runner
	if runner == nil {
		runner = r
	}
	confirmed := r.confirmed
	if confirmed == nil {
		confirmed = func() bool { return true }
	}
	options := append([]executor.Option{
		executor.WithAdviser(r), executor.WithMeter(meter), executor.WithRole(&rigRole{confirmed, r.predecessorRenewsUntil}),
	}, r.options...)
	r.exec, r.stop = executor.New(r, runner, host.rules, rec, bounds, host.clock, host.log, options...), host.stop
	exec := r.exec
	r.group.Go(func() error {
		err := exec.Run(host.ctx)
		if errors.Is(err, yuccapaddle.ErrUnknown) || errors.Is(err, executor.ErrNotActive) {
			return nil
		}
		return err
	})
}

// observedLedger is a Ledger of which the rig sees the commits.
type observedLedger struct {
	yuccapaddle.Ledger
	rig *rig
}

// Commit implements yuccapaddle.Ledger.
func (l *observedLedger) Commit(ctx context.Context, t yuccapaddle.Transaction) (uint64, error) {
	rev, err := l.Ledger.Commit(ctx, t)
	if err == nil && l.rig.committed != nil {
		l.rig.committed(t)
	}
	return rev, err
}

// List implements yuccapaddle.Ledger.
func (l *observedLedger) List(ctx context.Context, prefix string) ([]yuccapaddle.Entry, uint64, error) {
	if l.rig.recordsHang.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return l.Ledger.List(ctx, prefix)
}

func always() bool { return true }

type testWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w testWriter) Write(p []byte) (int, error) {
	if !testing.Verbose() {
		return len(p), nil
	}
	w.t.Logf("%s %s", time.Now().Format("05.000"), strings.TrimSpace(string(p)))
	return len(p), nil
}

// close stops the executor and waits for its goroutines. Every test has to call it before
// its synctest bubble ends.
func (r *rig) close() {
	r.stop()
	if r.next != nil {
		r.next.stop()
	}
	r.c.Check(r.group.Wait(), qt.IsNil)
}

// submit submits a job of one step for workspace north.
func (r *rig) submit(id, queue string, step yuccapaddle.Step) {
	r.t.Helper()
	r.submitFor("north", id, queue, step)
}

func (r *rig) submitFor(workspace, id, queue string, step yuccapaddle.Step) {
	r.t.Helper()
	j := &yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Workspace: workspace, Steps: []yuccapaddle.Step{step}}
	ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
	defer cancel()
	r.c.Assert(r.exec.Submit(ctx, j), qt.IsNil)
}

// state returns the committed state of a job.
func (r *rig) state(id, queue string) yuccapaddle.JobState {
	report, _, err := r.exec.Show(r.t.Context(), id, yuccapaddle.Caller{Queue: queue}, time.Time{})
	r.c.Assert(err, qt.IsNil)
	return report.State
}

// waitForState waits until the job has the state, and checks meanwhile that no task runs
// on two workers.
func (r *rig) waitForState(id, queue string, want yuccapaddle.JobState, within time.Duration) {
	r.t.Helper()
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		r.checkNoDuplicateRuns()
		if r.state(id, queue) == want {
			return
		}
	}
	r.c.Fatalf("job %s is %s after %v, not %s", id, r.state(id, queue), within, want)
}

// checkNoDuplicateRuns fails the test if a task runs on two workers at once.
func (r *rig) checkNoDuplicateRuns() {
	r.t.Helper()
	workerOf := map[yuccapaddle.TaskID]string{}
	for id, w := range r.workers {
		for _, t := range w.Running() {
			if other, ok := workerOf[t]; ok {
				r.c.Fatalf("task %s runs on %s and %s", t, other, id)
			}
			workerOf[t] = id
		}
	}
}
