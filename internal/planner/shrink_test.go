package planner_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

var (
	shrinkSeeds     = flag.Int("shrink-seeds", 30, "number of histories that TestCapacityHistories plays")
	firstShrinkSeed = flag.Uint64("shrink-first", 1, "seed of the first of them")
)

const (
	shrinkWorkers  = 6
	shrinkStep     = 50 * time.Millisecond
	shrinkTime     = 40 * time.Second // of changes and faults
	shrinkSettle   = 90 * time.Second // without any, in which all jobs have to end
	slowestStop    = 2 * time.Second
	longestCommit  = 3 * time.Second
	longestTask    = 4 * time.Second
	longestDelay   = 3 * time.Second // of a start without an answer
	shrinkPollGaps = 8               // a worker is polled once in this many steps
)

// history is a seeded play of hosts and workers around the planner. Capacities shrink and
// grow, commits hang, stops are slow, starts and their answers are lost, workers restart and
// hosts change. Registrations are read in every step, so the capacity that the planner knows
// is the worker's own.
type history struct {
	c         *qt.C
	rng       *rand.Rand
	p         *planner.Planner
	now       time.Time
	seed      uint64
	epoch     int
	workers   []*historyWorker
	steps     map[string]*yuccapaddle.Step      // of each job
	records   map[string]*yuccapaddle.JobRecord // committed
	committed time.Time                         // when the pending batch is committed
	pending   *yuccapaddle.Batch
	calm      bool // no more faults
	jobs      []string
	over      int // steps in which a worker was over its capacity
	unsent    int // starts held back right before they were sent
	answers   []func()
	sentGangs map[string]bool // jobs of gangs of which the last batch has sent a start
	delayed   []delayedStart
	heartbeat time.Duration          // see yuccapaddle.PlanLimits
	odd       map[string]oddCapacity // of another writer, by the worker whose ID it is under
}

// oddCapacity is the capacity in an entry of another writer, which stands until the worker
// registers again.
type oddCapacity struct {
	capacity yuccapaddle.Need
	until    time.Time
}

// delayedStart is a start that has had no answer and is carried out later.
type delayedStart struct {
	yuccapaddle.RunStart
	at          time.Time
	epoch       int
	incarnation int64
}

func newHistory(t testing.TB, seed uint64, heartbeat time.Duration) *history {
	h := &history{
		c: qt.New(t), seed: seed, heartbeat: heartbeat, odd: map[string]oddCapacity{}, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), records: map[string]*yuccapaddle.JobRecord{},
		steps: map[string]*yuccapaddle.Step{},
	}
	for i := range shrinkWorkers {
		w := &historyWorker{Worker: yuccapaddle.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: "a", Service: "svc", Domain: "d", Rack: fmt.Sprintf("r%d", i/3),
			Capacity: fullCapacity, Incarnation: 1,
		}}
		w.reset()
		h.workers = append(h.workers, w)
	}
	h.takeOver()
	return h
}

// chance reports true in about one of n steps, never in the calm time.
func (h *history) chance(n int) bool {
	return h.rng.IntN(n) == 0 && !h.calm
}

// takeOver drops what the active host has not committed, and restores its records on the
// next one, before or after it has the registrations. That has no earlier ones to compare with,
// so the workers have registered again by then.
func (h *history) takeOver() {
	clear(h.odd)
	h.epoch++
	h.pending, h.answers = nil, nil
	h.p = planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond, Heartbeat: h.heartbeat})
	h.p.SetTime(h.now, h.now)
	rules := &yuccapaddle.Rules{Version: 1, Digest: 1, Queues: []yuccapaddle.Queue{
		{Name: queueQuick, Service: "svc", Priority: 0, Attempts: 50, Stretch: 1.5, ObjectiveMS: 400},
		{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 50, Stretch: 3, ObjectiveMS: 3000},
	}}
	h.p.Configure(rules.Index())
	recordsFirst := h.rng.IntN(2) == 0
	if !recordsFirst {
		h.register()
	}
	for _, id := range h.jobs {
		r := h.records[id]
		if r == nil {
			continue
		}
		var parts [][]byte
		for n := range r.PartCount {
			if r.Parts[n] != nil {
				parts = append(parts, r.Parts[n])
			}
		}
		if err := h.p.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: parts}); err != nil {
			h.c.Fatalf("seed %d: %v", h.seed, err)
		}
	}
	if recordsFirst {
		h.register()
	}
}

func (h *history) register() {
	list := make([]yuccapaddle.Worker, len(h.workers))
	for i, w := range h.workers {
		list[i] = w.Worker
		if odd, ok := h.odd[w.ID]; ok {
			list[i].Capacity = odd.capacity
		}
	}
	h.p.SetRegistrations(list, h.now)
}

// play plays the whole history and checks it.
func (h *history) play() {
	end := h.now.Add(shrinkTime)
	for h.now.Before(end) {
		h.change()
		h.step()
	}
	h.calm = true
	clear(h.odd)
	for _, w := range h.workers {
		w.Capacity = fullCapacity
	}
	for end = h.now.Add(shrinkSettle); h.now.Before(end) && !h.ended(); {
		h.step()
	}
	for _, id := range h.jobs {
		if r := h.records[id]; r != nil && !r.Report.State.Final() {
			h.c.Errorf("seed %d: job %s is %s at the end", h.seed, id, r.Report.State)
		}
	}
}

// ended reports whether all jobs that were accepted have ended.
func (h *history) ended() bool {
	for _, id := range h.jobs {
		if r := h.records[id]; r != nil && !r.Report.State.Final() {
			return false
		}
	}
	return true
}

// change makes what happens from outside in one step.
func (h *history) change() {
	w := h.workers[h.rng.IntN(len(h.workers))]
	if h.heartbeat != 0 {
		h.changeOdd(w)
	}
	_, odd := h.odd[w.ID]
	switch {
	case odd: // a change would be registered, which replaces the entry
	case h.chance(12):
		w.Capacity = yuccapaddle.Need{CPU: h.rng.IntN(workerCPU + 1), Memory: h.rng.IntN(262144 + 1), GPU: h.rng.IntN(gpus + 1)}
	case h.chance(12):
		w.Capacity = fullCapacity
	case h.chance(8):
		h.submit()
	case h.chance(200):
		h.takeOver()
	case h.chance(200):
		w.reset()
		w.Incarnation++
	case h.chance(60) && len(h.jobs) > 0:
		h.p.Cancel(h.jobs[h.rng.IntN(len(h.jobs))])
	}
}

// changeOdd ends the odd entries that the workers have replaced by now, and may put one under
// the ID of w. Between two of them a read shows the worker's own.
func (h *history) changeOdd(w *historyWorker) {
	_, stood := h.odd[w.ID]
	maps.DeleteFunc(h.odd, func(_ string, odd oddCapacity) bool { return !h.now.Before(odd.until) })
	if stood || !h.chance(10) {
		return
	}
	most := 3 * (gpus + 1)
	capacity := yuccapaddle.Need{CPU: h.rng.IntN(3 * workerCPU), Memory: h.rng.IntN(3 * 262144), GPU: h.rng.IntN(most)}
	h.odd[w.ID] = oddCapacity{capacity, h.now.Add(time.Duration(h.rng.Int64N(int64(h.heartbeat))))}
}

func (h *history) submit() {
	id := fmt.Sprintf("j%03d", len(h.jobs))
	step := yuccapaddle.Step{
		Count: 1 + h.rng.IntN(6), Gang: h.rng.IntN(3) == 0, Spare: h.rng.IntN(8) == 0, Estimate: 2000,
		Need: yuccapaddle.Need{CPU: h.rng.IntN(20000), Memory: h.rng.IntN(60000), GPU: h.rng.IntN(4)},
	}
	queue := queueBatch
	if h.rng.IntN(4) == 0 && !step.Spare {
		queue = queueQuick
	}
	h.steps[id] = &step
	h.p.Submit(&yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Steps: []yuccapaddle.Step{step}})
	h.jobs = append(h.jobs, id)
}

// step lets the workers and the active host act, and moves the time on.
func (h *history) step() {
	h.now = h.now.Add(shrinkStep)
	h.p.SetTime(h.now, h.now)
	h.register()
	answers := h.answers
	h.answers = nil
	for _, f := range answers {
		f()
	}
	h.delayed = slices.DeleteFunc(h.delayed, func(d delayedStart) bool {
		due := !h.now.Before(d.at)
		if due && h.worker(d.Worker).accepts(&d) {
			h.run(h.worker(d.Worker), &d.RunStart)
		}
		return due
	})
	for _, w := range h.workers {
		w.endDue(h.now)
		if !w.used().Fits(w.Capacity) {
			h.over++
		}
		if h.rng.IntN(shrinkPollGaps) == 0 && !h.chance(4) {
			h.poll(w)
		}
	}
	h.commit()
}

// commit takes a batch, and carries it out once its commit is through, which may take long.
func (h *history) commit() {
	if h.pending == nil {
		h.p.Plan()
		b := h.p.TakeBatch()
		h.pending, h.committed = &b, h.now
		h.checkWhole(b.Decisions)
		if h.chance(15) {
			h.committed = h.now.Add(time.Duration(h.rng.Int64N(int64(longestCommit))))
		}
	}
	if h.now.Before(h.committed) {
		return
	}
	b := h.pending
	h.pending = nil
	lost := h.chance(60) // the host is lost before all of it is committed and anything sent
	committed := len(b.Records)
	if lost {
		committed = h.rng.IntN(committed + 1)
	}
	for i := range b.Records[:committed] {
		h.save(&b.Records[i])
	}
	if lost {
		h.takeOver()
		return
	}
	for _, s := range b.Stops {
		h.stop(s)
	}
	h.sentGangs = map[string]bool{}
	for _, s := range b.Starts {
		if h.start(s) && h.steps[s.Task.Job].Gang {
			h.sentGangs[s.Task.Job] = true
		}
	}
}

// checkWhole checks that no start of a gang was held back for want of capacity while another
// one of the same batch was sent. decisions are those that followed that batch.
func (h *history) checkWhole(decisions []yuccapaddle.Decision) {
	for _, d := range decisions {
		if d.Event == "start refused" && d.Detail == "unsent: over capacity" && h.sentGangs[d.Job] {
			h.c.Errorf("seed %d: at %v only some starts of gang %s were sent", h.seed, h.now.Sub(time.Unix(1000, 0)), d.Job)
		}
	}
	h.sentGangs = nil
}

func (h *history) save(r *yuccapaddle.JobRecord) {
	saved := h.records[r.ID]
	if saved == nil {
		saved = &yuccapaddle.JobRecord{ID: r.ID, Parts: map[int][]byte{}}
		h.records[r.ID] = saved
	}
	if r.Job != nil {
		saved.Job = r.Job
	}
	saved.State, saved.Report, saved.PartCount = r.State, r.Report, r.PartCount
	for n, part := range r.Parts {
		saved.Parts[n] = part
	}
}

func (h *history) worker(id string) *historyWorker {
	return h.workers[slices.IndexFunc(h.workers, func(w *historyWorker) bool { return w.ID == id })]
}

// start sends a start as the executor does, and checks the worker's use when it is carried
// out. Answers arrive with the next step. It reports whether the start was sent.
func (h *history) start(s yuccapaddle.RunStart) bool {
	if !h.p.Startable(&s) {
		h.unsent++
		h.p.HandleStartReply(s.Worker, s.Task, s.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
		return false
	}
	h.p.NoteStartSent(&s)
	w, incarnation := h.worker(s.Worker), h.worker(s.Worker).Incarnation
	step := h.steps[s.Task.Job]
	if used := h.mayUse(w, &s); !used.Fits(w.Capacity) {
		h.c.Errorf("seed %d: at %v the start of %s, which needs %+v, may bring %s to %+v of %+v",
			h.seed, h.now.Sub(time.Unix(1000, 0)), s.Task, step.Room(), w.ID, used, w.Capacity)
	}
	var err error
	switch {
	case h.chance(25): // lost
		err = yuccapaddle.ErrNoAnswer
	case h.chance(25):
		err = yuccapaddle.ErrNoAnswer
		at := h.now.Add(time.Duration(h.rng.Int64N(int64(longestDelay))))
		h.delayed = append(h.delayed, delayedStart{s, at, h.epoch, w.Incarnation})
	default:
		w.epoch = h.epoch
		if r := w.runs[s.Task]; r == nil || r.run != s.Run {
			if s.Run <= w.highestRun[s.Task] {
				err = &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedSuperseded}
				break
			}
			h.run(w, &s)
		}
		if h.chance(25) { // the reply is lost
			err = yuccapaddle.ErrNoAnswer
		}
	}
	p := h.p
	h.answers = append(h.answers, func() {
		if p.HandleStartReply(s.Worker, s.Task, s.Run, err) && w.Incarnation == incarnation {
			h.poll(w)
		}
	})
	return true
}

// run starts a run on a worker, which does not guard its capacity.
func (h *history) run(w *historyWorker, s *yuccapaddle.RunStart) {
	w.highestRun[s.Task] = s.Run
	w.runs[s.Task] = &historyRun{
		run: s.Run, need: h.steps[s.Task.Job].Room(), endsAt: h.now.Add(time.Duration(h.rng.Int64N(int64(longestTask)))), fails: h.chance(20),
	}
}

// mayUse returns the room that the runs on a worker hold once a start has been carried out,
// with those that are being stopped and those that delayed starts may still begin.
func (h *history) mayUse(w *historyWorker, s *yuccapaddle.RunStart) yuccapaddle.Need {
	used := w.used()
	counted := map[yuccapaddle.TaskID]bool{}
	for t := range w.runs {
		counted[t] = true
	}
	add := func(t yuccapaddle.TaskID) {
		if !counted[t] {
			counted[t] = true
			used = used.Add(h.steps[t.Job].Room())
		}
	}
	for i := range h.delayed {
		if w.accepts(&h.delayed[i]) {
			add(h.delayed[i].Task)
		}
	}
	if s.Run > w.highestRun[s.Task] {
		add(s.Task)
	}
	return used
}

func (h *history) stop(s yuccapaddle.RunStop) {
	w := h.worker(s.Worker)
	if h.chance(10) {
		return // lost
	}
	w.epoch = h.epoch
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.run <= s.Run && !r.stopped {
		r.stopped, r.endsAt = true, h.now.Add(time.Duration(h.rng.Int64N(int64(slowestStop))))
	}
	p := h.p
	h.answers = append(h.answers, func() {
		if p.HandleStopConfirmed(s.Worker, s.Task, s.Run) {
			h.poll(w)
		}
	})
}

// poll reports the worker's runs and ends to the planner. Ends stay listed, as if their
// acknowledgement were slow.
func (h *history) poll(w *historyWorker) {
	w.epoch = h.epoch
	reply := &yuccapaddle.HoldReply{Incarnation: w.Incarnation, Ended: slices.Clone(w.ends)}
	for _, t := range w.tasks() {
		reply.Running = append(reply.Running, yuccapaddle.Run{Task: t, Run: w.runs[t].run, Percent: h.rng.IntN(100)})
	}
	h.p.HandlePollReply(w.ID, reply, h.p.NextPoll())
}

// TestCapacityHistories checks in random histories that no start brings a worker over the
// capacity that it registered last, what is being stopped included, that gangs are started
// whole or not at all, and that all jobs end once capacities are back. For more: -shrink-seeds 5000 -shrink-first 1000.
func TestCapacityHistories(t *testing.T) {
	playHistories(t, 0)
}

// TestOddCapacityHistories checks the same while another writer registers other capacities under
// the IDs of the workers, each until the worker registers again.
func TestOddCapacityHistories(t *testing.T) {
	playHistories(t, heartbeat)
}

func playHistories(t *testing.T, heartbeat time.Duration) {
	over, unsent := 0, 0
	for i := range *shrinkSeeds {
		h := newHistory(t, *firstShrinkSeed+uint64(i), heartbeat)
		h.play()
		over, unsent = over+h.over, unsent+h.unsent
	}
	t.Logf("%d steps with a worker over its capacity, %d starts held back", over, unsent)
	qt.Check(t, over > 0 && unsent > 0, qt.IsTrue)
}
