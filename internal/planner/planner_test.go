package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

// simulation simulates a cluster around a planner: workers carry out orders at once, and
// tasks run for as many milliseconds as their payload says.
type simulation struct {
	c              *qt.C
	p              *planner.Planner
	now            time.Time
	runs           map[yuccapaddle.TaskID]simRun
	endNumbers     map[string]int64 // number of the latest end of each worker
	stoppedSeconds float64          // run time of the tasks that were stopped
	startDelays    []time.Duration  // from the submission of an urgent job to the start of each of its tasks
	faulty         map[string]bool  // workers that fail every task
	submittedAt    map[string]time.Time
}

// simRun is a run in progress on a simulated worker.
type simRun struct {
	endsAt, startedAt time.Time
	worker            string
	run               int
	stopped           bool
	fails             bool
}

const (
	stepTime      = 20 * time.Millisecond
	stopDelay     = 300 * time.Millisecond
	faultyRunTime = 60 * time.Millisecond
	workerCPU     = 64000
	gpus          = 8
	perRack       = 8
	queueQuick    = "quick"
	queueBatch    = "batch"
)

func newSimulation(t testing.TB, workers int, opts ...planner.Option) *simulation {
	sim := &simulation{
		c: qt.New(t), now: time.Unix(1000, 0), runs: map[yuccapaddle.TaskID]simRun{}, endNumbers: map[string]int64{}, submittedAt: map[string]time.Time{}, faulty: map[string]bool{},
		p: planner.New(yuccapaddle.PlanLimits{RemoteSlowdown: 3, Retention: time.Hour, Restore: 600 * time.Millisecond}, opts...),
	}
	rules := &yuccapaddle.Rules{
		Version: 1, Digest: 1,
		Queues: []yuccapaddle.Queue{
			{Name: queueQuick, Service: "svc", Priority: 0, Attempts: 2, Stretch: 1.5, ObjectiveMS: 400},
			{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMS: 3000},
		},
	}
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules.Index())
	var list []yuccapaddle.Worker
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/perRack)
		list = append(list, yuccapaddle.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: "a", Service: "svc", Domain: "d", Rack: rack, Labels: []string{"a", rack},
			Capacity: yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: gpus}, Incarnation: 1,
		})
	}
	sim.p.SetRegistrations(list, sim.now)
	return sim
}

func (sim *simulation) submit(id, queue string, s yuccapaddle.Step) {
	sim.p.Submit(&yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Steps: []yuccapaddle.Step{s}, Payload: fmt.Sprint(s.Estimate)})
	sim.submittedAt[id] = sim.now
}

// advance moves the time forward in steps of stepTime, and plans in each.
func (sim *simulation) advance(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); sim.now = sim.now.Add(stepTime) {
		sim.p.SetTime(sim.now, sim.now)
		sim.reportEnds()
		sim.p.Plan()
		b := sim.p.TakeBatch()
		for _, s := range b.Stops {
			sim.stop(s)
		}
		for _, s := range b.Starts {
			sim.start(s)
		}
	}
}

func (sim *simulation) start(s yuccapaddle.RunStart) {
	var ms int
	_, err := fmt.Sscan(s.Payload, &ms)
	sim.c.Assert(err, qt.IsNil)
	r := simRun{endsAt: sim.now.Add(time.Duration(ms) * time.Millisecond), startedAt: sim.now, worker: s.Worker, run: s.Run}
	if sim.faulty[s.Worker] {
		r.endsAt, r.fails = sim.now.Add(faultyRunTime), true
	}
	sim.runs[s.Task] = r
	sim.p.HandleStartReply(s.Worker, s.Task, s.Run, nil)
	if s.Task.Job[0] == 'u' {
		sim.startDelays = append(sim.startDelays, sim.now.Sub(sim.submittedAt[s.Task.Job]))
	}
}

func (sim *simulation) stop(s yuccapaddle.RunStop) {
	r, ok := sim.runs[s.Task]
	if !ok || r.run != s.Run || r.stopped {
		return
	}
	r.endsAt, r.stopped = sim.now.Add(stopDelay), true
	sim.runs[s.Task] = r
}

// reportEnds reports the runs that have ended by now to the planner.
func (sim *simulation) reportEnds() {
	endsByWorker := map[string][]yuccapaddle.End{}
	for task, r := range sim.runs {
		if sim.now.Before(r.endsAt) {
			continue
		}
		cause := yuccapaddle.EndDone
		if r.fails {
			cause = yuccapaddle.EndFailed
		}
		if r.stopped {
			cause = yuccapaddle.EndStopped
			sim.stoppedSeconds += r.endsAt.Sub(r.startedAt).Seconds()
		}
		sim.endNumbers[r.worker]++
		endsByWorker[r.worker] = append(endsByWorker[r.worker], yuccapaddle.End{Number: sim.endNumbers[r.worker], Task: task, Run: r.run, Cause: cause})
		delete(sim.runs, task)
	}
	for id, ends := range endsByWorker {
		var running []yuccapaddle.Run
		for task, r := range sim.runs {
			if r.worker == id {
				running = append(running, yuccapaddle.Run{Task: task, Run: r.run, Percent: int(sim.now.Sub(r.startedAt).Milliseconds())})
			}
		}
		sim.p.HandlePollReply(id, &yuccapaddle.HoldReply{Incarnation: 1, Ended: ends, Running: running}, sim.p.NextPoll())
	}
}

var sweep = yuccapaddle.Step{Need: yuccapaddle.Need{CPU: 5600, Memory: 16000, GPU: 1}, Estimate: 9500}

// urgentBursts simulates the load that the reserve is for: sweeps fill the cluster, and an
// urgent gang that needs whole workers arrives every second.
func urgentBursts(sim *simulation) {
	for i := range 5 {
		s := sweep
		s.Count = 80
		sim.submit(fmt.Sprintf("b%d", i), queueBatch, s)
	}
	sim.advance(2 * time.Second)
	for i := range 20 {
		more := sweep
		more.Count = 16
		sim.submit(fmt.Sprintf("b-more%02d", i), queueBatch, more)
		sim.submit(fmt.Sprintf("u%02d", i), queueQuick, yuccapaddle.Step{
			Count: 3, Need: yuccapaddle.Need{CPU: 7500, Memory: 31000, GPU: 8}, Estimate: 2500, Gang: true, OneRack: true,
		})
		sim.advance(time.Second)
	}
}

// TestUrgentBurst checks that on a cluster full of sweeps every urgent gang starts within
// the time that a guarantee allows, and that less work is stopped for the gangs than
// without the reserve.
func TestUrgentBurst(t *testing.T) {
	sim, base := newSimulation(t, 48), newSimulation(t, 48, planner.WithoutReserve())
	urgentBursts(sim)
	urgentBursts(base)
	sim.c.Assert(sim.startDelays, qt.HasLen, 60)
	for _, d := range sim.startDelays {
		sim.c.Check(d <= 2900*time.Millisecond, qt.IsTrue, qt.Commentf("a task started after %v", d))
	}
	t.Logf("task-seconds stopped: %.0f, without the reserve %.0f", sim.stoppedSeconds, base.stoppedSeconds)
	sim.c.Check(sim.stoppedSeconds < base.stoppedSeconds, qt.IsTrue)
}

// TestCheapVictims checks that an urgent gang preempts tasks that have just started rather
// than long-running ones, and no more than it needs.
func TestCheapVictims(t *testing.T) {
	sim := newSimulation(t, 2)
	long, short := sweep, sweep
	long.Count, short.Count = 8, 8
	sim.submit("b-long", queueBatch, long)
	sim.advance(6 * time.Second)
	sim.submit("b-short", queueBatch, short)
	sim.advance(time.Second)
	sim.submit("u", queueQuick, yuccapaddle.Step{Count: 4, Need: yuccapaddle.Need{CPU: 5600, GPU: 1}, Estimate: 2500, Gang: true})
	sim.advance(time.Second)
	sim.c.Check(sim.startDelays, qt.HasLen, 4)
	// Four tasks that have run for about a second each.
	sim.c.Check(sim.stoppedSeconds < 8, qt.IsTrue, qt.Commentf("%.1f task-seconds were stopped", sim.stoppedSeconds))
}

// TestOneRack checks that a gang which asks for one rack waits for room there as long as
// that is faster than running in several racks.
func TestOneRack(t *testing.T) {
	sim := newSimulation(t, 16)
	for _, rack := range []string{"r0", "r1"} {
		sim.submit("b-"+rack, queueBatch, yuccapaddle.Step{Count: 60, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 4000, Label: rack})
	}
	sim.advance(time.Second)
	sim.submit("b-gang", queueBatch, yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000, Gang: true, OneRack: true})
	sim.advance(5 * time.Second)
	racks := map[bool]int{}
	for task, r := range sim.runs {
		if task.Job == "b-gang" {
			racks[r.worker < "w08"]++
		}
	}
	sim.c.Check(racks[true]+racks[false], qt.Equals, 8)
	sim.c.Check(racks, qt.HasLen, 1, qt.Commentf("tasks in the first rack, and in the second: %v", racks))
}

// TestNoHeadOfLineBlocking checks that a job which does not fit does not delay the jobs
// behind it.
func TestNoHeadOfLineBlocking(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.submit("b-half", queueBatch, yuccapaddle.Step{Count: 4, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000})
	sim.advance(100 * time.Millisecond)
	sim.submit("b-gang", queueBatch, yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000, Gang: true})
	sim.submit("b-small", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 500})
	sim.advance(time.Second)
	report, _, _ := sim.p.Report("b-small")
	sim.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted)
}

// failureBurst simulates the load that the preference for proven workers is for: short
// tasks and urgent gangs fill half of the cluster, and some workers begin to fail every
// task. It returns the number of gangs that failed.
func failureBurst(sim *simulation) int {
	const gangs = 80
	for i := range gangs {
		sim.submit(fmt.Sprintf("b%02d", i), queueBatch, yuccapaddle.Step{Count: 10, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 1500})
		sim.submit(fmt.Sprintf("u%02d", i), queueQuick, yuccapaddle.Step{Count: 5, Need: yuccapaddle.Need{CPU: 8000, GPU: 2}, Estimate: 1500, Gang: true})
		if i == gangs/4 {
			for n := range 12 {
				sim.faulty[fmt.Sprintf("w%02d", 5*n)] = true
			}
		}
		sim.advance(120 * time.Millisecond)
	}
	sim.advance(10 * time.Second)
	failed := 0
	for i := range gangs {
		if report, _, _ := sim.p.Report(fmt.Sprintf("u%02d", i)); report.State == yuccapaddle.JobFailed {
			failed++
		}
	}
	return failed
}

// TestFailureBurst checks that when a fifth of the workers begins to fail every task, fewer
// gangs use up their attempts than without the preference for proven workers.
func TestFailureBurst(t *testing.T) {
	sim, base := newSimulation(t, 60), newSimulation(t, 60, planner.WithoutProvenPreference())
	with, without := failureBurst(sim), failureBurst(base)
	t.Logf("gangs failed: %d, without preference for proven workers %d", with, without)
	sim.c.Check(with < without, qt.IsTrue)
}
