package planner_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

const (
	// holdWait and lookSlack are those of the executor.
	holdWait  = 1900 * time.Millisecond
	lookSlack = 50 * time.Millisecond
	freeze    = 7 * time.Second
	// stallStopDelay is that of the stand-in for workers, and the time for two calls.
	stallStopDelay = 100 * time.Millisecond
	// thawed is how long after the end of a freeze, and the time for a percent, a stop for it
	// still counts as right: the last look lies so long before the fixed threshold.
	thawed = 300 * time.Millisecond
)

// stallSim simulates workers whose tasks make progress at the speed of the worker, and
// stand still while it is frozen. A worker replies to a hold when a run ends or after the
// wait, and to a look at once, as the executor has it.
type stallSim struct {
	c           *qt.C
	p           *planner.Planner
	limits      yuccapaddle.PlanLimits
	now         time.Time
	random      *rand.Rand // of what happens to the workers
	seed        uint64
	workers     []yuccapaddle.Worker
	frozenFrom  map[string]time.Time
	frozenUntil map[string]time.Time
	slowdown    map[string]float64 // of workers, 1 if absent
	runs        map[yuccapaddle.TaskID]*stallRun
	lockstep    map[string]bool      // gangs
	holdUntil   map[string]time.Time // of the pending hold of each worker that has one
	ends        map[string][]yuccapaddle.End
	endNumbers  map[string]int64
	submittedAt map[string]time.Time
	doneAt      map[string]time.Time
	records     map[string]*yuccapaddle.StoredJob
	parts       map[string]map[int][]byte
	tail        float64                  // share of the tasks that take tailFactor times as long
	replies     int                      // of all workers
	stalls      int                      // stops of runs that stand still
	wrong       []string                 // the same of runs that do not
	startDelay  map[string]time.Duration // from the order to the start on a worker
	lateStarts  []lateStart
	whileFrozen map[string]bool // jobs submitted while workers were frozen
	decisions   []string
}

const (
	tailFactor = 10
	// maxTail is the longest run time. On a worker that is three times slower, one percent
	// of it takes 1.2 s; of runs that take much longer than that for a percent, no report
	// within the fixed threshold of 3.5 s tells whether they stand still.
	maxTail = 40 * time.Second
)

// lateStart is a start that has not been carried out yet.
type lateStart struct {
	at    time.Time
	order yuccapaddle.RunStart
}

type stallRun struct {
	worker       string
	run          int
	needs, done  time.Duration // at full speed
	stopAt       time.Time
	frozenAtLast time.Time // latest time at which it was frozen
}

func newStallSim(t testing.TB, workers int, learn bool, seed uint64) *stallSim {
	sim := &stallSim{
		c: qt.New(t), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), seed: seed,
		limits:     yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond, LearnStalls: learn},
		frozenFrom: map[string]time.Time{}, frozenUntil: map[string]time.Time{}, slowdown: map[string]float64{},
		runs: map[yuccapaddle.TaskID]*stallRun{}, whileFrozen: map[string]bool{}, lockstep: map[string]bool{}, startDelay: map[string]time.Duration{}, holdUntil: map[string]time.Time{}, ends: map[string][]yuccapaddle.End{}, endNumbers: map[string]int64{},
		submittedAt: map[string]time.Time{}, doneAt: map[string]time.Time{}, records: map[string]*yuccapaddle.StoredJob{}, parts: map[string]map[int][]byte{},
	}
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/perRack)
		sim.workers = append(sim.workers, yuccapaddle.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("a%d", i), Service: "svc", Domain: "d", Rack: rack,
			Capacity: yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: gpus}, Incarnation: 1,
		})
	}
	sim.newHost()
	return sim
}

// newHost replaces the planner by that of a host that has only the records.
func (sim *stallSim) newHost() {
	sim.p = planner.New(sim.limits)
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure((&yuccapaddle.Rules{Version: 1, Digest: 1, Queues: []yuccapaddle.Queue{
		{Name: queueQuick, Service: "svc", Priority: 0, Attempts: 3, Stretch: 1.5, ObjectiveMS: 400},
		{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMS: 3000},
	}}).Index())
	for id, r := range sim.records {
		sim.c.Assert(sim.p.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: slices.Collect(maps.Values(sim.parts[id]))}), qt.IsNil)
	}
	sim.p.SetRegistrations(sim.workers, sim.now)
	for _, id := range sim.p.BusyWorkers() {
		sim.report(id) // the first hold does not wait
	}
}

func (sim *stallSim) submit(id, queue string, s yuccapaddle.Step) {
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Submit(&yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Steps: []yuccapaddle.Step{s}, Payload: fmt.Sprint(s.Estimate)})
	sim.submittedAt[id], sim.lockstep[id] = sim.now, s.Gang
	for i := range sim.workers {
		sim.whileFrozen[id] = sim.whileFrozen[id] || sim.frozen(sim.workers[i].ID)
	}
}

// freezeWorkers stops the progress on n workers, at random, for a while.
func (sim *stallSim) freezeWorkers(n int, d time.Duration) {
	for _, i := range sim.random.Perm(len(sim.workers))[:n] {
		sim.freezeWorker(sim.workers[i].ID, d)
	}
}

func (sim *stallSim) freezeWorker(id string, d time.Duration) {
	sim.frozenFrom[id], sim.frozenUntil[id] = sim.now, sim.now.Add(d)
}

func (sim *stallSim) frozen(id string) bool {
	return sim.now.Before(sim.frozenUntil[id])
}

func (sim *stallSim) play(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); sim.now = sim.now.Add(stepTime) {
		sim.p.SetTime(sim.now, sim.now)
		sim.work()
		sim.reply()
		sim.p.Plan()
		sim.carryOut(sim.p.TakeBatch())
	}
}

// work lets the runs make progress for one step of time. The tasks of a gang wait for each
// other.
func (sim *stallSim) work() {
	frozenJobs := map[string]bool{}
	for task, r := range sim.runs {
		if sim.frozen(r.worker) {
			r.frozenAtLast = sim.now
			frozenJobs[task.Job] = frozenJobs[task.Job] || sim.lockstep[task.Job]
		}
	}
	for _, l := range sim.lateStarts {
		frozenJobs[l.order.Task.Job] = sim.lockstep[l.order.Task.Job]
	}
	for _, task := range sim.tasks() {
		r := sim.runs[task]
		if !sim.frozen(r.worker) && !frozenJobs[task.Job] {
			r.done += time.Duration(float64(stepTime) / max(sim.slowdown[r.worker], 1))
		}
		cause := yuccapaddle.EndDone
		switch {
		case !r.stopAt.IsZero() && !sim.now.Before(r.stopAt):
			cause = yuccapaddle.EndStopped
		case r.done < r.needs:
			continue
		}
		sim.endNumbers[r.worker]++
		sim.ends[r.worker] = append(sim.ends[r.worker], yuccapaddle.End{Number: sim.endNumbers[r.worker], Task: task, Run: r.run, Cause: cause})
		delete(sim.runs, task)
	}
}

// tasks lists the tasks that run, in a fixed order.
func (sim *stallSim) tasks() []yuccapaddle.TaskID {
	return slices.SortedFunc(maps.Keys(sim.runs), compareTasks)
}

func compareTasks(a, b yuccapaddle.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// reply lets the workers reply to holds and looks.
func (sim *stallSim) reply() {
	for i := range sim.workers {
		id := sim.workers[i].ID
		until, pending := sim.holdUntil[id]
		if !pending && !sim.p.Busy(id) {
			continue
		}
		look := sim.p.LookAt(id)
		due := !look.IsZero() && !sim.now.Before(look) && until.After(sim.now.Add(lookSlack))
		if pending && sim.now.Before(until) && len(sim.ends[id]) == 0 {
			if due {
				sim.p.ClearLook(id)
				sim.report(id)
			}
			continue
		}
		if pending {
			sim.report(id)
		}
		sim.holdUntil[id] = sim.now.Add(holdWait)
		if look := sim.p.LookAt(id); !look.IsZero() && look.Before(sim.holdUntil[id]) {
			sim.holdUntil[id] = look
		}
	}
}

func (sim *stallSim) report(id string) {
	reply := &yuccapaddle.HoldReply{Incarnation: 1, Ended: sim.ends[id]}
	for _, task := range sim.tasks() {
		if r := sim.runs[task]; r.worker == id {
			reply.Running = append(reply.Running, yuccapaddle.Run{Task: task, Run: r.run, Percent: min(int(100*r.done/r.needs), 99)})
		}
	}
	delete(sim.ends, id)
	delete(sim.holdUntil, id)
	sim.replies++
	sim.p.HandlePollReply(id, reply, sim.p.NextPoll())
}

func (sim *stallSim) carryOut(b yuccapaddle.Batch) {
	for _, r := range b.Records {
		if sim.records[r.ID] == nil {
			sim.records[r.ID], sim.parts[r.ID] = &yuccapaddle.StoredJob{Job: r.Job}, map[int][]byte{}
		}
		sim.records[r.ID].State = r.State
		maps.Copy(sim.parts[r.ID], r.Parts)
		if r.Report.State == yuccapaddle.JobCompleted && sim.doneAt[r.ID].IsZero() {
			sim.doneAt[r.ID] = sim.now
		}
	}
	for i := range b.Decisions {
		sim.decisions = append(sim.decisions, describeDecision(sim.now, &b.Decisions[i]))
		sim.judge(&b.Decisions[i])
	}
	for _, s := range b.Stops {
		if r := sim.runs[s.Task]; r != nil && r.run == s.Run && r.stopAt.IsZero() {
			r.stopAt = sim.now.Add(stallStopDelay)
		}
	}
	for _, s := range b.Starts {
		sim.lateStarts = append(sim.lateStarts, lateStart{sim.now.Add(sim.startDelay[s.Worker]), s})
	}
	sim.lateStarts = slices.DeleteFunc(sim.lateStarts, func(l lateStart) bool {
		if sim.now.Before(l.at) {
			return false
		}
		sim.start(l.order)
		return true
	})
}

// describeDecision describes a decision and the time at which it was taken.
func describeDecision(at time.Time, d *yuccapaddle.Decision) string {
	return fmt.Sprintf("%v %+v", at.Sub(time.Unix(1000, 0)), *d)
}

// checkSameCourse checks that two plays of one seed have led to the same decisions.
func checkSameCourse(c *qt.C, got, want []string) {
	for i := range min(len(got), len(want)) {
		c.Assert(got[i], qt.Equals, want[i], qt.Commentf("decision %d of %d", i, len(want)))
	}
	c.Assert(len(got), qt.Equals, len(want))
}

// judge checks a decision to stop a run that stands still.
func (sim *stallSim) judge(d *yuccapaddle.Decision) {
	if d.Event != "stop" || d.Detail != "task "+d.Task+" stands still" {
		return
	}
	sim.stalls++
	for task, r := range sim.runs {
		if task.String() != d.Task {
			continue
		}
		frozenAtLast := r.frozenAtLast
		for other, o := range sim.runs {
			if other.Job == task.Job && sim.lockstep[task.Job] && o.frozenAtLast.After(frozenAtLast) {
				frozenAtLast = o.frozenAtLast // a task of a gang holds up the others
			}
		}
		percent := time.Duration(float64(r.needs) * max(sim.slowdown[r.worker], 1) / 100)
		if frozenAtLast.IsZero() || sim.now.Sub(frozenAtLast) > thawed+percent {
			sim.wrong = append(sim.wrong, fmt.Sprintf("%s on %s at %v, %v of %v done", d.Task, d.Worker, sim.now.Sub(time.Unix(1000, 0)), r.done, r.needs))
			continue
		}
	}
}

func (sim *stallSim) start(s yuccapaddle.RunStart) {
	var ms int
	_, err := fmt.Sscan(s.Payload, &ms)
	sim.c.Assert(err, qt.IsNil)
	task := s.Task
	if sim.lockstep[task.Job] {
		task.Index = 0
	}
	random := sim.randomOf(task)
	needs := time.Duration(float64(ms)*(0.9+0.2*random.Float64())) * time.Millisecond
	if random.Float64() < sim.tail {
		needs = min(needs*tailFactor, maxTail)
	}
	sim.runs[s.Task] = &stallRun{worker: s.Worker, run: s.Run, needs: needs}
	sim.p.HandleStartReply(s.Worker, s.Task, s.Run, nil)
}

// randomOf returns random numbers that depend on the task alone, so that its run time does
// not depend on the decisions before.
func (sim *stallSim) randomOf(t yuccapaddle.TaskID) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.String())) // a hash returns no error
	return rand.New(rand.NewPCG(sim.seed, h.Sum64()))
}

// share is how many jobs of some were done in time.
type share struct{ good, all int }

func (s share) late() int { return s.all - s.good }

func (s share) add(o share) share { return share{s.good + o.good, s.all + o.all} }

// shares are those of the urgent jobs: of all, and of the single tasks and the gangs among
// those that were submitted while workers were frozen.
type shares struct{ all, singles, gangs share }

func (s shares) add(o shares) shares {
	return shares{s.all.add(o.all), s.singles.add(o.singles), s.gangs.add(o.gangs)}
}

// inTime returns how many of the urgent jobs that were submitted since then were done within
// the time after their submission.
func (sim *stallSim) inTime(since time.Time, within time.Duration) shares {
	var list shares
	for id, at := range sim.submittedAt {
		if !strings.HasPrefix(id, "u") || at.Before(since) {
			continue
		}
		one := share{0, 1}
		if done := sim.doneAt[id]; !done.IsZero() && done.Sub(at) <= within {
			one.good = 1
		}
		list.all = list.all.add(one)
		switch {
		case !sim.whileFrozen[id]:
		case sim.lockstep[id]:
			list.gangs = list.gangs.add(one)
		default:
			list.singles = list.singles.add(one)
		}
	}
	return list
}
