package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const checkpointTime = 50 * time.Millisecond

// Reserve implements yuccapaddle.GangWorker.
func (w *Worker) Reserve(ctx context.Context, r yuccapaddle.Reservation) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.find(ctx, r.Upstream)
	if err != nil {
		return err
	}
	if err := u.fence(r.Token, r.NotAfter); err != nil {
		return err
	}
	if l := u.leases[r.Lease]; l != nil {
		if l.over {
			return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is over", r.Lease)}
		}
		return nil
	}
	if err := u.canReserve(r); err != nil {
		return err
	}
	l := &lease{Reservation: r, tasks: map[int]*task{}}
	u.leases[r.Lease] = l
	change := u.bump()
	for _, m := range r.Members {
		for _, rank := range m.Ranks() {
			report := yuccapaddle.TaskReport{Lease: r.Lease, Rank: rank, Worker: m.Worker, State: yuccapaddle.TaskReserved}
			l.tasks[rank] = &task{report: report, change: change, run: -1}
		}
	}
	l.timer = time.AfterFunc(u.until(r.Expiry), func() { w.lapse(u, l) })
	if r.Start {
		w.startLease(u, l)
	}
	return nil
}

func (u *upstream) canReserve(r yuccapaddle.Reservation) error {
	if name := u.take(r.Members, func(f *Faults) *int { return &f.RefuseReserves }); name != "" {
		return &yuccapaddle.WorkerError{Worker: name, Reason: fmt.Sprintf("%q refuses reservations", name)}
	}
	for _, m := range r.Members {
		capacity, ok := u.capacity[m.Worker]
		if !ok {
			return &yuccapaddle.WorkerError{Worker: m.Worker, Reason: fmt.Sprintf("worker %q does not exist", m.Worker)}
		}
		f := u.fault(m.Worker)
		if f.Dead || f.Leaving || u.leaving {
			return &yuccapaddle.WorkerError{Worker: m.Worker, Reason: fmt.Sprintf("worker %q is down or leaving", m.Worker)}
		}
		if u.used(m.Worker)+m.Count*r.Accelerators > capacity {
			return &yuccapaddle.WorkerError{Worker: m.Worker, Reason: fmt.Sprintf("worker %q has no %d free accelerators", m.Worker, m.Count*r.Accelerators)}
		}
	}
	return nil
}

// Start implements yuccapaddle.GangWorker.
func (w *Worker) Start(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, l, err := w.findLease(ctx, c)
	if err != nil {
		return err
	}
	if l == nil || l.over {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is not held", c.Lease)}
	}
	if name := u.take(l.Members, func(f *Faults) *int { return &f.RefuseStarts }); name != "" {
		return &yuccapaddle.WorkerError{Worker: name, Reason: fmt.Sprintf("%q refuses starts", name)}
	}
	if u.take(l.Members, func(f *Faults) *int { return &f.LoseStarts }) != "" {
		return yuccapaddle.ErrNoAnswer
	}
	w.startLease(u, l)
	if u.take(l.Members, func(f *Faults) *int { return &f.LoseStartAnswers }) != "" {
		return yuccapaddle.ErrNoAnswer
	}
	return nil
}

func (w *Worker) findLease(ctx context.Context, c yuccapaddle.LeaseCommand) (*upstream, *lease, error) {
	u, err := w.find(ctx, c.Upstream)
	if err != nil {
		return nil, nil, err
	}
	if err := u.fence(c.Token, c.NotAfter); err != nil {
		return nil, nil, err
	}
	return u, u.leases[c.Lease], nil
}

func (w *Worker) startLease(u *upstream, l *lease) {
	var p Payload
	_ = json.Unmarshal(l.Payload, &p) // a payload of another shape runs for no time
	for _, rank := range sortedRanks(l.tasks) {
		t := l.tasks[rank]
		if t.report.State != yuccapaddle.TaskReserved {
			continue
		}
		w.startTask(u, l, t, p)
	}
}

func (w *Worker) startTask(u *upstream, l *lease, t *task, p Payload) {
	key := requestKey(l.Lease)
	t.left = p.MS
	if l.Resume {
		if left, ok := w.saved[taskKey(key, t.report.Rank)]; ok {
			t.left = left
		}
	}
	t.started = time.Now()
	t.run = len(w.runs)
	w.runs = append(w.runs, Run{
		Key: key, Lease: l.Lease, Rank: t.report.Rank, Worker: t.report.Worker, Resumed: l.Resume, StartAt: t.started,
	})
	t.report.State = yuccapaddle.TaskRunning
	t.change = u.bump()
	f := u.fault(t.report.Worker)
	late := time.Duration(f.LateMS) * time.Millisecond
	if f.ReverseParts {
		late += time.Duration(len(l.tasks)-t.report.Rank) * 10 * time.Millisecond
	}
	t.timer = time.AfterFunc(sleeper.Ahead(time.Duration(t.left)*time.Millisecond+late), func() { w.finish(u, t, p) })
}

func (w *Worker) finish(u *upstream, t *task, p Payload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.report.State != yuccapaddle.TaskRunning {
		return
	}
	f := u.fault(t.report.Worker)
	t.report.State = yuccapaddle.TaskDone
	t.report.Part = part(t.report.Rank, p.Answer)
	if f.FailTasks || p.Fail != "" {
		t.report.State = yuccapaddle.TaskFailed
		t.report.Part = nil
		t.report.Error = p.Fail
		if p.Fail == "" {
			t.report.Error = "worker " + t.report.Worker + " fails every task"
		}
	}
	w.runs[t.run].EndAt = time.Now()
	w.runs[t.run].Done = t.report.State == yuccapaddle.TaskDone
	t.change = u.bump()
	if f.ReportTwice {
		time.AfterFunc(10*time.Millisecond, func() { w.reportAgain(u, t) })
	}
}

func (w *Worker) reportAgain(u *upstream, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.change = u.bump()
}

func part(rank int, answer json.RawMessage) json.RawMessage {
	if answer == nil {
		answer = json.RawMessage("null")
	}
	return json.RawMessage(fmt.Sprintf(`{"rank":%d,"answer":%s}`, rank, answer))
}

// Checkpoint implements yuccapaddle.GangWorker.
func (w *Worker) Checkpoint(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, l, err := w.findLease(ctx, c)
	if err != nil {
		return err
	}
	if l == nil || l.over {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is not held", c.Lease)}
	}
	time.AfterFunc(checkpointTime, func() { w.saveLease(u, l) })
	return nil
}

func (w *Worker) saveLease(u *upstream, l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range l.tasks {
		if t.report.State != yuccapaddle.TaskRunning || u.fault(t.report.Worker).IgnoreCheckpoint || u.fault(u.name).IgnoreCheckpoint {
			continue
		}
		left := t.left - time.Since(t.started).Milliseconds()
		w.saved[taskKey(requestKey(l.Lease), t.report.Rank)] = max(left, 0)
		t.report.Checkpointed = true
		t.change = u.bump()
	}
}

// Stop implements yuccapaddle.GangWorker.
func (w *Worker) Stop(ctx context.Context, c yuccapaddle.LeaseCommand) (yuccapaddle.StopReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, l, err := w.findLease(ctx, c)
	if err != nil {
		return yuccapaddle.StopReply{}, err
	}
	out := yuccapaddle.StopReply{Boot: u.boot}
	if u.take(nil, func(f *Faults) *int { return &f.LoseStops }) != "" {
		return out, yuccapaddle.ErrNoAnswer
	}
	if l == nil {
		u.leases[c.Lease] = &lease{over: true, tasks: map[int]*task{}, Reservation: yuccapaddle.Reservation{Lease: c.Lease}}
		return out, nil
	}
	w.endLease(u, l, "stopped")
	for _, rank := range sortedRanks(l.tasks) {
		out.Tasks = append(out.Tasks, l.tasks[rank].report)
	}
	return out, nil
}

// Forget implements yuccapaddle.GangWorker.
func (w *Worker) Forget(ctx context.Context, c yuccapaddle.LeaseCommand) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, l, err := w.findLease(ctx, c)
	if err != nil || l == nil {
		return err
	}
	w.endLease(u, l, "forgotten")
	l.tasks = map[int]*task{} // the closed lease stays, so that no late start revives it
	return nil
}

func (w *Worker) lapse(u *upstream, l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.over || u.now().Before(l.Expiry) {
		return
	}
	w.endLease(u, l, "the lease lapsed")
}

func (w *Worker) endLease(u *upstream, l *lease, why string) {
	l.over = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for _, rank := range sortedRanks(l.tasks) {
		w.stopTask(u, l.tasks[rank], why)
	}
}

func (w *Worker) stopTask(u *upstream, t *task, why string) {
	switch t.report.State {
	case yuccapaddle.TaskReserved:
		t.report.State = yuccapaddle.TaskNeverStarted
	case yuccapaddle.TaskRunning:
		t.timer.Stop()
		t.report.State = yuccapaddle.TaskStopped
		w.runs[t.run].EndAt = time.Now()
	default:
		return
	}
	t.report.Error = why
	t.change = u.bump()
}

func taskKey(key string, rank int) string {
	return fmt.Sprintf("%s#%d", key, rank)
}

func sortedRanks(tasks map[int]*task) []int {
	ranks := make([]int, 0, len(tasks))
	for r := range tasks {
		ranks = append(ranks, r)
	}
	sort.Ints(ranks)
	return ranks
}
