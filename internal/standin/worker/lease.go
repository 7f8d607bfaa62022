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

// checkpointDelay is how long a simulated checkpoint takes.
const checkpointDelay = 50 * time.Millisecond

// Reserve implements yuccapaddle.GangWorker.
func (w *Worker) Reserve(ctx context.Context, r yuccapaddle.Reservation) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, err := w.findUpstream(ctx, r.Upstream)
	if err != nil {
		return err
	}
	if err := u.checkToken(r.Token, r.NotAfter); err != nil {
		return err
	}
	if l := u.leases[r.Lease]; l != nil {
		if l.ended {
			return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is over", r.Lease)}
		}
		return nil
	}
	if err := u.checkReservation(r); err != nil {
		return err
	}
	l := &lease{Reservation: r, tasks: map[int]*task{}}
	u.leases[r.Lease] = l
	seq := u.nextSeq()
	for _, m := range r.Members {
		for _, rank := range m.Ranks() {
			report := yuccapaddle.TaskReport{Lease: r.Lease, Rank: rank, Worker: m.Worker, State: yuccapaddle.TaskReserved}
			l.tasks[rank] = &task{report: report, changeSeq: seq, runIndex: -1}
		}
	}
	l.timer = time.AfterFunc(u.timeUntil(r.Expiry), func() { w.expireLease(u, l) })
	if r.Start {
		w.startLease(u, l)
	}
	return nil
}

// checkReservation returns a WorkerError if a member's worker cannot take the
// reservation.
func (u *upstream) checkReservation(r yuccapaddle.Reservation) error {
	if name := u.consumeFault(r.Members, func(f *Faults) *int { return &f.RefuseReserves }); name != "" {
		return &yuccapaddle.WorkerError{Worker: name, Reason: fmt.Sprintf("%q refuses reservations", name)}
	}
	for _, m := range r.Members {
		capacity, ok := u.capacity[m.Worker]
		if !ok {
			return &yuccapaddle.WorkerError{Worker: m.Worker, Reason: fmt.Sprintf("worker %q does not exist", m.Worker)}
		}
		f := u.faultsOf(m.Worker)
		if f.Down || f.Leaving || u.leaving {
			return &yuccapaddle.WorkerError{Worker: m.Worker, Reason: fmt.Sprintf("worker %q is down or leaving", m.Worker)}
		}
		if u.usedAccelerators(m.Worker)+m.Count*r.Accelerators > capacity {
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
	if l == nil || l.ended {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is not held", c.Lease)}
	}
	if name := u.consumeFault(l.Members, func(f *Faults) *int { return &f.RefuseStarts }); name != "" {
		return &yuccapaddle.WorkerError{Worker: name, Reason: fmt.Sprintf("%q refuses starts", name)}
	}
	if u.consumeFault(l.Members, func(f *Faults) *int { return &f.LoseStarts }) != "" {
		return yuccapaddle.ErrNoAnswer
	}
	w.startLease(u, l)
	if u.consumeFault(l.Members, func(f *Faults) *int { return &f.LoseStartAnswers }) != "" {
		return yuccapaddle.ErrNoAnswer
	}
	return nil
}

func (w *Worker) findLease(ctx context.Context, c yuccapaddle.LeaseCommand) (*upstream, *lease, error) {
	u, err := w.findUpstream(ctx, c.Upstream)
	if err != nil {
		return nil, nil, err
	}
	if err := u.checkToken(c.Token, c.NotAfter); err != nil {
		return nil, nil, err
	}
	return u, u.leases[c.Lease], nil
}

func (w *Worker) startLease(u *upstream, l *lease) {
	var p Payload
	_ = json.Unmarshal(l.Payload, &p) // a task with any other payload ends at once
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
	t.remainingMS = p.MS
	if l.Resume {
		if remainingMS, ok := w.checkpoints[taskKey(key, t.report.Rank)]; ok {
			t.remainingMS = remainingMS
		}
	}
	t.startedAt = time.Now()
	t.runIndex = len(w.runs)
	w.runs = append(w.runs, Run{
		Key: key, Lease: l.Lease, Rank: t.report.Rank, Worker: t.report.Worker, Resumed: l.Resume, StartAt: t.startedAt,
	})
	t.report.State = yuccapaddle.TaskRunning
	t.changeSeq = u.nextSeq()
	f := u.faultsOf(t.report.Worker)
	delay := time.Duration(f.LateMS) * time.Millisecond
	if f.ReverseParts {
		delay += time.Duration(len(l.tasks)-t.report.Rank) * 10 * time.Millisecond
	}
	t.timer = time.AfterFunc(sleeper.TimerDuration(time.Duration(t.remainingMS)*time.Millisecond+delay), func() { w.finishTask(u, t, p) })
}

func (w *Worker) finishTask(u *upstream, t *task, p Payload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.report.State != yuccapaddle.TaskRunning {
		return
	}
	f := u.faultsOf(t.report.Worker)
	t.report.State = yuccapaddle.TaskDone
	t.report.Part = answerPart(t.report.Rank, p.Answer)
	if f.FailTasks || p.Fail != "" {
		t.report.State = yuccapaddle.TaskFailed
		t.report.Part = nil
		t.report.Error = p.Fail
		if p.Fail == "" {
			t.report.Error = "worker " + t.report.Worker + " fails every task"
		}
	}
	w.runs[t.runIndex].EndAt = time.Now()
	w.runs[t.runIndex].Done = t.report.State == yuccapaddle.TaskDone
	t.changeSeq = u.nextSeq()
	if f.ReportTwice {
		time.AfterFunc(10*time.Millisecond, func() { w.reportAgain(u, t) })
	}
}

// reportAgain makes the next report include the unchanged task.
func (w *Worker) reportAgain(u *upstream, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.changeSeq = u.nextSeq()
}

func answerPart(rank int, answer json.RawMessage) json.RawMessage {
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
	if l == nil || l.ended {
		return &yuccapaddle.WorkerError{Reason: fmt.Sprintf("lease %q is not held", c.Lease)}
	}
	time.AfterFunc(checkpointDelay, func() { w.saveCheckpoints(u, l) })
	return nil
}

// saveCheckpoints records the remaining time of the lease's running tasks, except
// those on workers that ignore checkpoints.
func (w *Worker) saveCheckpoints(u *upstream, l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range l.tasks {
		if t.report.State != yuccapaddle.TaskRunning || u.faultsOf(t.report.Worker).IgnoreCheckpoint || u.faultsOf(u.name).IgnoreCheckpoint {
			continue
		}
		remainingMS := t.remainingMS - time.Since(t.startedAt).Milliseconds()
		w.checkpoints[taskKey(requestKey(l.Lease), t.report.Rank)] = max(remainingMS, 0)
		t.report.Checkpointed = true
		t.changeSeq = u.nextSeq()
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
	reply := yuccapaddle.StopReply{Boot: u.boot}
	if u.consumeFault(nil, func(f *Faults) *int { return &f.LoseStops }) != "" {
		return reply, yuccapaddle.ErrNoAnswer
	}
	if l == nil {
		u.leases[c.Lease] = &lease{ended: true, tasks: map[int]*task{}, Reservation: yuccapaddle.Reservation{Lease: c.Lease}}
		return reply, nil
	}
	w.endLease(u, l, "stopped")
	for _, rank := range sortedRanks(l.tasks) {
		reply.Tasks = append(reply.Tasks, l.tasks[rank].report)
	}
	return reply, nil
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
	l.tasks = map[int]*task{} // the ended lease is kept, so that a late message cannot reserve or start it again
	return nil
}

// expireLease ends a lease whose expiry has passed and was not extended meanwhile.
func (w *Worker) expireLease(u *upstream, l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.ended || u.now().Before(l.Expiry) {
		return
	}
	w.endLease(u, l, "the lease lapsed")
}

func (w *Worker) endLease(u *upstream, l *lease, reason string) {
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for _, rank := range sortedRanks(l.tasks) {
		w.stopTask(u, l.tasks[rank], reason)
	}
}

func (w *Worker) stopTask(u *upstream, t *task, reason string) {
	switch t.report.State {
	case yuccapaddle.TaskReserved:
		t.report.State = yuccapaddle.TaskNeverStarted
	case yuccapaddle.TaskRunning:
		t.timer.Stop()
		t.report.State = yuccapaddle.TaskStopped
		w.runs[t.runIndex].EndAt = time.Now()
	default:
		return
	}
	t.report.Error = reason
	t.changeSeq = u.nextSeq()
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
