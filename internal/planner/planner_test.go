package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

// world plays a load on the planner alone: workers obey at once, tasks take the
// time that their payload says.
type world struct {
	c       *qt.C
	p       *planner.Planner
	now     time.Time
	ends    map[yuccapaddle.TaskID]end
	run     map[string]int64 // ends listed by each worker
	stopped float64          // core-seconds of work that was stopped
	late    []time.Duration  // from the submission of an urgent job to its last start
	grey    map[string]bool  // workers that fail whatever they start
	since   map[string]time.Time
}

type end struct {
	at, begun time.Time
	worker    string
	run       int
	stopped   bool
	fails     bool
}

const (
	step       = 20 * time.Millisecond
	stopTime   = 300 * time.Millisecond
	greyTime   = 60 * time.Millisecond
	workerCPU  = 64000
	gpus       = 8
	perRack    = 8
	queueQuick = "quick"
	queueBatch = "batch"
)

func newWorld(t testing.TB, workers int, opts ...planner.Option) *world {
	w := &world{
		c: qt.New(t), now: time.Unix(1000, 0), ends: map[yuccapaddle.TaskID]end{}, run: map[string]int64{}, since: map[string]time.Time{}, grey: map[string]bool{},
		p: planner.New(yuccapaddle.PlanLimits{Remote: 3, Retention: time.Hour, Restore: 600 * time.Millisecond}, opts...),
	}
	rules := &yuccapaddle.Rules{
		Version: 1, Digest: 1,
		Queues: []yuccapaddle.Queue{
			{Name: queueQuick, Service: "svc", Priority: 0, Attempts: 2, Stretch: 1.5, ObjectiveMS: 400},
			{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMS: 3000},
		},
	}
	w.p.At(w.now, w.now)
	w.p.Configure(rules.Index())
	var list []yuccapaddle.Worker
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/perRack)
		list = append(list, yuccapaddle.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: "a", Service: "svc", Domain: "d", Rack: rack, Labels: []string{"a", rack},
			Capacity: yuccapaddle.Need{CPU: workerCPU, Memory: 262144, GPU: gpus}, Born: 1,
		})
	}
	w.p.List(list)
	return w
}

func (w *world) submit(id, queue string, s yuccapaddle.Step) {
	w.p.Submit(&yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Steps: []yuccapaddle.Step{s}, Payload: fmt.Sprint(s.Estimate)})
	w.since[id] = w.now
}

// advance lets time pass, a step at a time.
func (w *world) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(step) {
		w.p.At(w.now, w.now)
		w.report()
		w.p.Plan()
		b := w.p.Take()
		for _, s := range b.Stops {
			w.stop(s)
		}
		for _, s := range b.Starts {
			w.start(s)
		}
	}
}

func (w *world) start(s yuccapaddle.RunStart) {
	var ms int
	_, err := fmt.Sscan(s.Payload, &ms)
	w.c.Assert(err, qt.IsNil)
	e := end{at: w.now.Add(time.Duration(ms) * time.Millisecond), begun: w.now, worker: s.Worker, run: s.Run}
	if w.grey[s.Worker] {
		e.at, e.fails = w.now.Add(greyTime), true
	}
	w.ends[s.Task] = e
	w.p.Answered(s.Worker, s.Task, s.Run, nil)
	if s.Task.Job[0] == 'u' {
		w.late = append(w.late, w.now.Sub(w.since[s.Task.Job]))
	}
}

func (w *world) stop(s yuccapaddle.RunStop) {
	e, ok := w.ends[s.Task]
	if !ok || e.run != s.Run || e.stopped {
		return
	}
	e.at, e.stopped = w.now.Add(stopTime), true
	w.ends[s.Task] = e
}

// report tells the planner of the ends up to now.
func (w *world) report() {
	by := map[string][]yuccapaddle.End{}
	for task, e := range w.ends {
		if w.now.Before(e.at) {
			continue
		}
		cause := yuccapaddle.EndDone
		if e.fails {
			cause = yuccapaddle.EndFailed
		}
		if e.stopped {
			cause = yuccapaddle.EndStopped
			w.stopped += e.at.Sub(e.begun).Seconds()
		}
		w.run[e.worker]++
		by[e.worker] = append(by[e.worker], yuccapaddle.End{Number: w.run[e.worker], Task: task, Run: e.run, Cause: cause})
		delete(w.ends, task)
	}
	for id, ends := range by {
		var running []yuccapaddle.Run
		for task, e := range w.ends {
			if e.worker == id {
				running = append(running, yuccapaddle.Run{Task: task, Run: e.run, Percent: int(w.now.Sub(e.begun).Milliseconds())})
			}
		}
		w.p.Heard(id, &yuccapaddle.HoldReply{Born: 1, Ended: ends, Running: running}, w.p.Ask())
	}
}

var sweep = yuccapaddle.Step{Need: yuccapaddle.Need{CPU: 5600, Memory: 16000, GPU: 1}, Estimate: 9500}

// burst is the load that the reserve answers: sweeps fill the cluster, and urgent
// gangs that need whole workers come every second.
func burst(w *world) {
	for i := range 5 {
		s := sweep
		s.Count = 80
		w.submit(fmt.Sprintf("b%d", i), queueBatch, s)
	}
	w.advance(2 * time.Second)
	for i := range 20 {
		more := sweep
		more.Count = 16
		w.submit(fmt.Sprintf("b-more%02d", i), queueBatch, more)
		w.submit(fmt.Sprintf("u%02d", i), queueQuick, yuccapaddle.Step{
			Count: 3, Need: yuccapaddle.Need{CPU: 7500, Memory: 31000, GPU: 8}, Estimate: 2500, Gang: true, OneRack: true,
		})
		w.advance(time.Second)
	}
}

// TestUrgentBurst: on a cluster full of sweeps every urgent gang starts within
// the time that a guarantee allows, and less work is stopped for them than when
// no workers are kept free.
func TestUrgentBurst(t *testing.T) {
	w, base := newWorld(t, 48), newWorld(t, 48, planner.WithoutReserve())
	burst(w)
	burst(base)
	w.c.Assert(w.late, qt.HasLen, 60)
	for _, d := range w.late {
		w.c.Check(d <= 2900*time.Millisecond, qt.IsTrue, qt.Commentf("a task started after %v", d))
	}
	t.Logf("task-seconds stopped: %.0f, without the reserve %.0f", w.stopped, base.stopped)
	w.c.Check(w.stopped < base.stopped, qt.IsTrue)
}

// TestCheapVictims: for an urgent gang, tasks that have just begun are stopped
// rather than those that have run for long, and no more than are needed.
func TestCheapVictims(t *testing.T) {
	w := newWorld(t, 2)
	long, short := sweep, sweep
	long.Count, short.Count = 8, 8
	w.submit("b-long", queueBatch, long)
	w.advance(6 * time.Second)
	w.submit("b-short", queueBatch, short)
	w.advance(time.Second)
	w.submit("u", queueQuick, yuccapaddle.Step{Count: 4, Need: yuccapaddle.Need{CPU: 5600, GPU: 1}, Estimate: 2500, Gang: true})
	w.advance(time.Second)
	w.c.Check(w.late, qt.HasLen, 4)
	// Four tasks that have run for about a second each.
	w.c.Check(w.stopped < 8, qt.IsTrue, qt.Commentf("%.1f task-seconds were stopped", w.stopped))
}

// TestOneRack: a gang that asks for one rack waits for it rather than run slowly,
// for as long as that is the shorter way.
func TestOneRack(t *testing.T) {
	w := newWorld(t, 16)
	for _, rack := range []string{"r0", "r1"} {
		w.submit("b-"+rack, queueBatch, yuccapaddle.Step{Count: 60, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 4000, Label: rack})
	}
	w.advance(time.Second)
	w.submit("b-gang", queueBatch, yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000, Gang: true, OneRack: true})
	w.advance(5 * time.Second)
	racks := map[bool]int{}
	for task, e := range w.ends {
		if task.Job == "b-gang" {
			racks[e.worker < "w08"]++
		}
	}
	w.c.Check(racks[true]+racks[false], qt.Equals, 8)
	w.c.Check(racks, qt.HasLen, 1, qt.Commentf("tasks in the first rack, and in the second: %v", racks))
}

// TestLargeAfterSmall: a job that does not fit does not hold up those behind it.
func TestLargeAfterSmall(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("b-half", queueBatch, yuccapaddle.Step{Count: 4, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000})
	w.advance(100 * time.Millisecond)
	w.submit("b-gang", queueBatch, yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 5000, Gang: true})
	w.submit("b-small", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 500})
	w.advance(time.Second)
	report, _, _ := w.p.Report("b-small")
	w.c.Check(report.State, qt.Equals, yuccapaddle.JobCompleted)
}

// storm is the load that the care for proven workers answers: a cluster half full of
// short tasks and urgent gangs, of which some workers begin to fail all they start.
// It returns how many of the gangs failed.
func storm(w *world) int {
	const gangs = 80
	for i := range gangs {
		w.submit(fmt.Sprintf("b%02d", i), queueBatch, yuccapaddle.Step{Count: 10, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 1500})
		w.submit(fmt.Sprintf("u%02d", i), queueQuick, yuccapaddle.Step{Count: 5, Need: yuccapaddle.Need{CPU: 8000, GPU: 2}, Estimate: 1500, Gang: true})
		if i == gangs/4 {
			for n := range 12 {
				w.grey[fmt.Sprintf("w%02d", 5*n)] = true
			}
		}
		w.advance(120 * time.Millisecond)
	}
	w.advance(10 * time.Second)
	failed := 0
	for i := range gangs {
		if report, _, _ := w.p.Report(fmt.Sprintf("u%02d", i)); report.State == yuccapaddle.JobFailed {
			failed++
		}
	}
	return failed
}

// TestStorm: when a fifth of the workers begins to fail all that it starts, fewer
// gangs use up their attempts than without regard to that.
func TestStorm(t *testing.T) {
	w, base := newWorld(t, 60), newWorld(t, 60, planner.WithoutProof())
	with, without := storm(w), storm(base)
	t.Logf("gangs failed: %d, without regard to failures %d", with, without)
	w.c.Check(with < without, qt.IsTrue)
}
