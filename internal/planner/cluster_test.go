package planner_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

const (
	// leaseTime is the time from a worker's last answer until its leases are certainly over.
	leaseTime = 6100 * time.Millisecond
	// crashDelay is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 20 * time.Millisecond
	// absence is how long a crashed worker is away.
	absence = 3 * time.Second
	// longAbsence is how long a worker is cut off in the tests of silent ones.
	longAbsence = 9 * time.Second
)

// comeback is how a crashed worker returns.
type comeback int

const (
	backAsOther  comeback = iota // under another ID at the same address
	backAsSame                   // under its ID, with a later incarnation
	backNever                    // not at all
	backSurvived                 // it was only cut off, and its tasks ran on until the leases ended
)

// cluster extends a simulation by workers that crash and by a ledger, so that the planner
// can be replaced by that of another host.
type cluster struct {
	*simulation
	registered map[string]yuccapaddle.Worker
	comeback   comeback
	crashing   map[string]bool // jobs whose tasks crash their workers
	// crashingStep is the only step of these jobs whose tasks do so, nil for all.
	crashingStep *int
	// crashes is called in place of crash when a task crashes its worker, unless it is nil.
	crashes   func(id string)
	leaseStep time.Duration // by which the leases of each crashed worker end later than those of the one before
	due       []timed       // what happens later
	crashed   []string      // IDs of crashed workers, in order
	beside    []int         // how many other tasks ran there
	startedOn map[yuccapaddle.TaskID][]string
	startedAt map[yuccapaddle.TaskID][]time.Time
	decisions []string
	records   map[string]*yuccapaddle.StoredJob
	parts     map[string]map[int][]byte
}

// timed is an event of a cluster.
type timed struct {
	at time.Time
	do func()
}

func newCluster(t testing.TB, workers int) *cluster {
	cl := &cluster{
		simulation: newSimulation(t, workers), registered: map[string]yuccapaddle.Worker{}, crashing: map[string]bool{},
		startedOn: map[yuccapaddle.TaskID][]string{}, startedAt: map[yuccapaddle.TaskID][]time.Time{},
		records: map[string]*yuccapaddle.StoredJob{}, parts: map[string]map[int][]byte{},
	}
	for _, id := range workerIDs(workers) {
		w, ok := cl.p.Worker(id)
		cl.c.Assert(ok, qt.IsTrue)
		w.Address = "10.0.0." + id
		cl.registered[id] = w
	}
	cl.register()
	return cl
}

func (cl *cluster) register() {
	cl.p.SetTime(cl.now, cl.now)
	cl.p.SetRegistrations(cl.registrations(), cl.now)
}

// registrations lists what is registered by ID.
func (cl *cluster) registrations() []yuccapaddle.Worker {
	var list []yuccapaddle.Worker
	for _, id := range cl.sortedWorkers() {
		list = append(list, cl.registered[id])
	}
	return list
}

func (cl *cluster) after(d time.Duration, do func()) {
	cl.due = append(cl.due, timed{cl.now.Add(d), do})
}

// play moves the time forward in steps of stepTime.
func (cl *cluster) play(d time.Duration) {
	for until := cl.now.Add(d); cl.now.Before(until); cl.now = cl.now.Add(stepTime) {
		cl.p.SetTime(cl.now, cl.now)
		cl.doDue()
		cl.reportEnds()
		cl.p.Plan()
		cl.carryOut(cl.p.TakeBatch())
	}
}

// playUntilFinal plays until the job has ended, at most for the given time, and returns its
// report.
func (cl *cluster) playUntilFinal(id string, most time.Duration) yuccapaddle.JobReport {
	for until := cl.now.Add(most); cl.now.Before(until) && !cl.report(id).State.Final(); {
		cl.play(stepTime)
	}
	return cl.report(id)
}

func (cl *cluster) report(id string) yuccapaddle.JobReport {
	r, _, ok := cl.p.Report(id)
	cl.c.Assert(ok, qt.IsTrue)
	return r
}

func (cl *cluster) doDue() {
	list := cl.due
	cl.due = nil
	for _, e := range list {
		if cl.now.Before(e.at) {
			cl.due = append(cl.due, e)
			continue
		}
		e.do()
	}
}

// carryOut commits a batch and carries out its orders.
func (cl *cluster) carryOut(b yuccapaddle.Batch) {
	cl.commit(b)
	for _, s := range b.Stops {
		cl.stop(s)
	}
	for _, s := range b.Starts {
		if !cl.p.Startable(&s) {
			cl.p.HandleStartReply(s.Worker, s.Task, s.Run, &yuccapaddle.RefusalError{Reason: yuccapaddle.RefusedUnsent})
			continue
		}
		cl.p.NoteStartSent(&s)
		cl.startedOn[s.Task] = append(cl.startedOn[s.Task], s.Worker)
		cl.startedAt[s.Task] = append(cl.startedAt[s.Task], cl.now)
		cl.start(s)
		if cl.crashing[s.Task.Job] && (cl.crashingStep == nil || *cl.crashingStep == s.Task.Step) {
			cl.after(crashDelay, func() { cl.crashUnderTask(s.Worker) })
		}
	}
}

// crashUnderTask makes a worker crash under a task that does so.
func (cl *cluster) crashUnderTask(id string) {
	if cl.crashes != nil {
		cl.crashes(id)
		return
	}
	cl.crash(id, cl.comeback)
}

func (cl *cluster) commit(b yuccapaddle.Batch) {
	for i := range b.Decisions {
		cl.decisions = append(cl.decisions, describeDecision(cl.now, &b.Decisions[i]))
	}
	for _, r := range b.Records {
		stored := cl.records[r.ID]
		if stored == nil {
			stored = &yuccapaddle.StoredJob{}
			cl.records[r.ID], cl.parts[r.ID] = stored, map[int][]byte{}
		}
		if r.Job != nil {
			stored.Job = r.Job
		}
		stored.State = r.State
		maps.Copy(cl.parts[r.ID], r.Parts)
	}
}

// tasksOn lists the tasks that run on a worker.
func (cl *cluster) tasksOn(id string) []yuccapaddle.TaskID {
	var list []yuccapaddle.TaskID
	for task, r := range cl.runs {
		if r.worker == id {
			list = append(list, task)
		}
	}
	slices.SortFunc(list, compareTasks)
	return list
}

// crash makes a worker crash, or be cut off, and come back as told.
func (cl *cluster) crash(id string, how comeback) {
	old, ok := cl.registered[id]
	if !ok {
		return
	}
	tasks := cl.tasksOn(id)
	cl.crashed = append(cl.crashed, id)
	cl.beside = append(cl.beside, len(tasks)-1)
	for _, t := range tasks {
		delete(cl.runs, t)
	}
	delete(cl.registered, id)
	cl.register()
	cl.p.SetResponsive(id, false)
	cl.after(leaseTime+time.Duration(len(cl.crashed)%perRack)*cl.leaseStep, func() { cl.expire(id) })
	switch how {
	case backAsOther:
		cl.after(absence, func() { cl.comeBack(old, id+"x") })
	case backAsSame:
		cl.after(absence, func() { cl.comeBack(old, id) })
	case backSurvived:
		cl.after(longAbsence, func() {
			cl.registered[id] = old
			cl.register()
			cl.answer(id)
		})
	case backNever:
	}
}

// expire ends the leases of a worker that is still silent, as long as it is.
func (cl *cluster) expire(id string) {
	if _, ok := cl.registered[id]; ok {
		return
	}
	cl.p.HandleLeaseExpiry(id)
	if cl.p.Busy(id) {
		cl.after(stepTime, func() { cl.expire(id) })
	}
}

// comeBack registers a restarted worker.
func (cl *cluster) comeBack(old yuccapaddle.Worker, id string) {
	w := old
	w.ID, w.Incarnation = id, cl.now.UnixMilli()
	cl.registered[id] = w
	cl.endNumbers[id] = 0
	cl.register()
	if id == old.ID {
		cl.answer(id)
	}
}

// answer reports that a worker answers a poll.
func (cl *cluster) answer(id string) {
	cl.p.SetResponsive(id, true)
	cl.reportRuns(id, nil)
}

// reportEnds reports the runs that have ended by now to the planner.
func (cl *cluster) reportEnds() {
	ends := map[string][]yuccapaddle.End{}
	for _, task := range slices.SortedFunc(maps.Keys(cl.runs), compareTasks) {
		r := cl.runs[task]
		if cl.now.Before(r.endsAt) {
			continue
		}
		cause := yuccapaddle.EndDone
		if r.fails {
			cause = yuccapaddle.EndFailed
		}
		if r.stopped {
			cause = yuccapaddle.EndStopped
		}
		cl.endNumbers[r.worker]++
		ends[r.worker] = append(ends[r.worker], yuccapaddle.End{Number: cl.endNumbers[r.worker], Task: task, Run: r.run, Cause: cause})
		delete(cl.runs, task)
	}
	for _, id := range slices.Sorted(maps.Keys(ends)) {
		cl.reportRuns(id, ends[id])
	}
}

// reportRuns reports what runs on a worker, and the runs that have ended there.
func (cl *cluster) reportRuns(id string, ends []yuccapaddle.End) {
	reply := &yuccapaddle.HoldReply{Incarnation: cl.registered[id].Incarnation, Ended: ends}
	for _, task := range cl.tasksOn(id) {
		r := cl.runs[task]
		reply.Running = append(reply.Running, yuccapaddle.Run{Task: task, Run: r.run, Percent: int(cl.now.Sub(r.startedAt).Milliseconds())})
	}
	cl.p.HandlePollReply(id, reply, cl.p.NextPoll())
}

// takeOver replaces the planner by that of another host, which has only the records that
// were committed. It polls the workers that are registered, and finds the others silent.
func (cl *cluster) takeOver() {
	rules := cl.p.Rules()
	cl.p = planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond})
	cl.p.SetTime(cl.now, cl.now)
	cl.p.Configure(rules)
	for _, id := range slices.Sorted(maps.Keys(cl.records)) {
		r := cl.records[id]
		cl.c.Assert(cl.p.Restore(&yuccapaddle.StoredJob{Job: r.Job, State: r.State, Parts: slices.Collect(maps.Values(cl.parts[id]))}), qt.IsNil)
	}
	cl.register()
	for _, id := range cl.p.BusyWorkers() {
		if _, ok := cl.registered[id]; ok {
			cl.reportRuns(id, nil)
			continue
		}
		cl.p.SetResponsive(id, false)
		cl.after(leaseTime, func() { cl.expire(id) })
	}
}

// waitForCrashes plays until so many workers have crashed.
func (cl *cluster) waitForCrashes(n int) {
	for until := cl.now.Add(time.Minute); len(cl.crashed) < n && cl.now.Before(until); {
		cl.play(stepTime)
	}
	cl.c.Assert(len(cl.crashed) >= n, qt.IsTrue)
}

// workerIDs lists the IDs of a simulation's workers.
func workerIDs(n int) []string {
	list := make([]string, n)
	for i := range n {
		list[i] = string([]byte{'w', byte('0' + i/10), byte('0' + i%10)})
	}
	return list
}
