package planner_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

const (
	registryInterval = 1100 * time.Millisecond // between two reads of the registrations
	holdInterval     = 1900 * time.Millisecond // between two lists of a worker on which nothing ends
	checkpointStop   = 400 * time.Millisecond  // until a stopped task has saved its work
	restoreTime      = 300 * time.Millisecond
	breakDelay       = 500 * time.Millisecond // until the other members of a gang end
	notice           = 5500 * time.Millisecond
)

// departures simulates workers that leave around a planner. Tasks make progress, save their
// work when they are stopped if their step writes checkpoints, and go on from there. The
// planner knows the workers by registrations and lists that lag as on the platform.
type departures struct {
	c        *qt.C
	limits   yuccapaddle.PlanLimits
	p        *planner.Planner
	now      time.Time
	workers  map[string]*leavingWorker
	runs     map[yuccapaddle.TaskID]*progressRun
	steps    map[string]yuccapaddle.Step
	done     map[yuccapaddle.TaskID]bool
	records  map[string]*yuccapaddle.JobRecord
	nextRead time.Time
	later    []timed
	endless  bool     // tasks do not end, and are up once their work is done
	stops    []string // details of the stops, one for each run and task
	resumed  int      // starts that went on from a checkpoint
	lost     map[bool]float64
	broken   map[bool]int // gang runs that ended with a worker; by whether they write checkpoints
	cut      map[bool]int // single runs that ended with their worker
}

// leavingWorker is a worker of the simulation.
type leavingWorker struct {
	yuccapaddle.Worker
	gone       bool
	endNumber  int64
	nextHold   time.Time
	unreported []yuccapaddle.End
}

// progressRun is a run in progress, whose work begins at startsAt.
type progressRun struct {
	worker   string
	run      int
	startsAt time.Time
	restored time.Duration // the work that the checkpoint holds
	total    time.Duration
	stopAt   time.Time // when a stop takes effect, zero if none was ordered
	breaks   time.Time // when it ends since another member has, zero if none has
}

func newDepartures(t testing.TB, workers int, move bool) *departures {
	d := &departures{
		c: qt.New(t), now: time.Unix(1000, 0), workers: map[string]*leavingWorker{}, runs: map[yuccapaddle.TaskID]*progressRun{},
		limits: yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond, MoveLeaving: move},
		steps:  map[string]yuccapaddle.Step{}, done: map[yuccapaddle.TaskID]bool{}, records: map[string]*yuccapaddle.JobRecord{},
		lost: map[bool]float64{}, broken: map[bool]int{}, cut: map[bool]int{},
	}
	for i, id := range workerIDs(workers) {
		d.workers[id] = &leavingWorker{Worker: yuccapaddle.Worker{
			ID: id, Address: id, Service: "svc", Domain: "d", Rack: fmt.Sprintf("r%d", i/perRack),
			Capacity: yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: gpus}, Incarnation: 1,
		}}
	}
	d.takeOver()
	return d
}

// takeOver replaces the planner by that of another host, which has the committed records.
func (d *departures) takeOver() {
	d.p = planner.New(d.limits)
	d.p.SetTime(d.now, d.now)
	rules := &yuccapaddle.Rules{Version: 1, Digest: 1, Queues: []yuccapaddle.Queue{{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMS: 3000}}}
	d.p.Configure(rules.Index())
	for _, id := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[id]
		d.c.Assert(d.p.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: slices.Collect(maps.Values(r.Parts))}), qt.IsNil)
	}
	d.register()
	for _, w := range d.sortedWorkers() {
		w.nextHold = d.now
	}
}

func (d *departures) sortedWorkers() []*leavingWorker {
	return slices.SortedFunc(maps.Values(d.workers), func(a, b *leavingWorker) int { return cmp.Compare(a.ID, b.ID) })
}

// register lets the planner read the registrations.
func (d *departures) register() {
	var list []yuccapaddle.Worker
	for _, w := range d.sortedWorkers() {
		if !w.gone {
			list = append(list, w.Worker)
		}
	}
	d.p.SetRegistrations(list, d.now)
	d.nextRead = d.now.Add(registryInterval)
}

// submit submits a job of one step whose tasks take the given time.
func (d *departures) submit(id string, s yuccapaddle.Step, takes time.Duration) {
	d.p.SetTime(d.now, d.now)
	d.steps[id] = s
	d.p.Submit(&yuccapaddle.Job{ID: id, Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{s}, Payload: strconv.FormatInt(takes.Milliseconds(), 10)})
}

// notice announces that workers leave; cancel takes it back.
func (d *departures) notice(left time.Duration, ids ...string) {
	for _, id := range ids {
		w := d.workers[id]
		w.Draining, w.LeavesAt = true, d.now.Add(left)
	}
}

func (d *departures) cancel(id string) {
	d.workers[id].Draining, d.workers[id].LeavesAt = false, time.Time{}
}

// play moves the time forward in steps of stepTime.
func (d *departures) play(span time.Duration) {
	for until := d.now.Add(span); d.now.Before(until); d.now = d.now.Add(stepTime) {
		d.p.SetTime(d.now, d.now)
		d.leave()
		d.endRuns()
		d.hold()
		if !d.now.Before(d.nextRead) {
			d.register()
		}
		d.doLater()
		d.p.Plan()
		d.carryOut(d.p.TakeBatch())
	}
}

func (d *departures) doLater() {
	list := d.later
	d.later = nil
	for _, e := range list {
		if d.now.Before(e.at) {
			d.later = append(d.later, e)
			continue
		}
		e.do()
	}
}

// leave ends what runs on workers whose time is up.
func (d *departures) leave() {
	for _, w := range d.sortedWorkers() {
		if w.gone || w.LeavesAt.IsZero() || d.now.Before(w.LeavesAt) {
			continue
		}
		w.gone = true
		for _, task := range d.tasks() {
			if r := d.runs[task]; r != nil && r.worker == w.ID {
				d.loseRun(task, r)
			}
		}
		d.p.SetResponsive(w.ID, false)
		id := w.ID
		d.later = append(d.later, timed{d.now.Add(leaseTime), func() { d.p.HandleLeaseExpiry(id) }})
	}
}

// loseRun ends a run with its worker, and those of its gang soon after.
func (d *departures) loseRun(task yuccapaddle.TaskID, r *progressRun) {
	step := d.steps[task.Job]
	d.lose(task, r)
	delete(d.runs, task)
	if !step.Gang {
		d.cut[step.WritesCheckpoints]++
		return
	}
	first := r.breaks.IsZero()
	for other, x := range d.runs {
		if other.Job == task.Job && x.run == r.run && x.breaks.IsZero() {
			x.breaks = d.now.Add(breakDelay)
		}
	}
	if first {
		d.broken[step.WritesCheckpoints]++
	}
}

// lose counts the work that a run has done since its start as lost.
func (d *departures) lose(task yuccapaddle.TaskID, r *progressRun) {
	d.countLost(task, max(d.now.Sub(r.startsAt), 0))
}

// countLost counts lost work in core-seconds.
func (d *departures) countLost(task yuccapaddle.TaskID, work time.Duration) {
	step := d.steps[task.Job]
	cores := float64(step.Need.CPU)/1000 + 8*float64(step.Need.GPU)
	d.lost[step.WritesCheckpoints] += work.Seconds() * cores
}

func (r *progressRun) work(now time.Time) time.Duration {
	return min(r.restored+max(now.Sub(r.startsAt), 0), r.total)
}

func (d *departures) tasks() []yuccapaddle.TaskID {
	return slices.SortedFunc(maps.Keys(d.runs), func(a, b yuccapaddle.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// completed returns the number of completed jobs.
func (d *departures) completed() int {
	n := 0
	for id := range d.steps {
		if report, _, _ := d.p.Report(id); report.State == yuccapaddle.JobCompleted {
			n++
		}
	}
	return n
}

// endRuns ends the runs that are done, stopped or broken by now.
func (d *departures) endRuns() {
	for _, task := range d.tasks() {
		r := d.runs[task]
		w, end := d.workers[r.worker], yuccapaddle.End{Task: task, Run: r.run}
		switch {
		case !r.breaks.IsZero() && !d.now.Before(r.breaks):
			end.Cause = yuccapaddle.EndBroken
			d.lose(task, r)
		case r.work(d.now) >= r.total && !d.endless:
			end.Cause = yuccapaddle.EndDone
			d.done[task] = true
		case !r.stopAt.IsZero() && !d.now.Before(r.stopAt):
			end.Cause = yuccapaddle.EndStopped
			if d.steps[task.Job].WritesCheckpoints {
				end.Checkpoint = strconv.FormatInt(r.work(d.now).Milliseconds(), 10)
			} else {
				d.lose(task, r)
			}
		default:
			continue
		}
		delete(d.runs, task)
		w.endNumber++
		end.Number = w.endNumber
		w.unreported = append(w.unreported, end)
		w.nextHold = d.now
	}
}

// hold reports the lists of the workers that are due.
func (d *departures) hold() {
	for _, w := range d.sortedWorkers() {
		if w.gone || d.now.Before(w.nextHold) {
			continue
		}
		reply := &yuccapaddle.HoldReply{Incarnation: 1, Ended: w.unreported}
		for task, r := range d.runs {
			if r.worker == w.ID {
				reply.Running = append(reply.Running, yuccapaddle.Run{Task: task, Run: r.run, Percent: int(100 * r.work(d.now) / r.total)})
			}
		}
		d.p.HandlePollReply(w.ID, reply, d.p.NextPoll())
		w.unreported, w.nextHold = nil, d.now.Add(holdInterval)
	}
}

// carryOut commits a batch and carries out its orders.
func (d *departures) carryOut(b yuccapaddle.Batch) {
	for i := range b.Records {
		r := &b.Records[i]
		stored := d.records[r.ID]
		if stored == nil {
			stored = &yuccapaddle.JobRecord{Job: r.Job, Parts: map[int][]byte{}}
			d.records[r.ID] = stored
		}
		stored.State = r.State
		maps.Copy(stored.Parts, r.Parts)
	}
	for _, x := range b.Decisions {
		if x.Event == "stop" {
			d.stops = append(d.stops, x.Detail)
		}
	}
	for _, s := range b.Stops {
		if r := d.runs[s.Task]; r != nil && r.run == s.Run && r.stopAt.IsZero() {
			r.stopAt = d.now.Add(checkpointStop)
		}
	}
	for i := range b.Starts {
		d.start(&b.Starts[i])
	}
}

// start carries out a start, and checks that it may be.
func (d *departures) start(s *yuccapaddle.RunStart) {
	if !d.p.Startable(s) || d.workers[s.Worker].gone {
		d.p.HandleStartReply(s.Worker, s.Task, s.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
		return
	}
	d.p.NoteStartSent(s)
	if r := d.runs[s.Task]; r != nil {
		d.c.Assert(r.run, qt.Equals, s.Run, qt.Commentf("task %v runs twice", s.Task))
		return
	}
	d.c.Assert(d.done[s.Task], qt.IsFalse, qt.Commentf("task %v starts after its end", s.Task))
	total, err := strconv.Atoi(s.Payload)
	d.c.Assert(err, qt.IsNil)
	r := &progressRun{worker: s.Worker, run: s.Run, startsAt: d.now, total: time.Duration(total) * time.Millisecond}
	if s.Checkpoint != "" {
		ms, err := strconv.Atoi(s.Checkpoint)
		d.c.Assert(err, qt.IsNil)
		r.restored, r.startsAt = time.Duration(ms)*time.Millisecond, d.now.Add(restoreTime)
		d.resumed++
		d.countLost(s.Task, restoreTime)
	}
	d.runs[s.Task] = r
	d.p.HandleStartReply(s.Worker, s.Task, s.Run, nil)
}

// checkNothingLost checks that no run has lost more than the time that it took to go on.
func (d *departures) checkNothingLost() {
	d.c.Helper()
	const cores = 4 + 8 // of a task of checkpointGang
	d.c.Check(d.lost[true] <= float64(d.resumed)*restoreTime.Seconds()*cores+0.001, qt.IsTrue, qt.Commentf("%.1f core-seconds were lost", d.lost[true]))
	d.c.Check(d.broken[true]+d.cut[true], qt.Equals, 0)
}
