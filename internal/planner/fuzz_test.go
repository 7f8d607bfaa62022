package planner_test

import (
	"encoding/json"
	"testing"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/planner"
)

// maxFuzzTasks keeps one input of the fuzzers small.
const maxFuzzTasks = 2000

// newFuzzPlanner returns a planner with two workers.
func newFuzzPlanner(t testing.TB) *simulation {
	return newSimulation(t, 2)
}

// FuzzRestore checks that any records are restored or are an error, and that the planner
// goes on with what it has restored.
func FuzzRestore(f *testing.F) {
	sim := newFuzzPlanner(f)
	sim.submit("b", queueBatch, yuccapaddle.Step{Count: 3, Need: oneGPUTask, Estimate: 1000})
	sim.p.Plan()
	r := sim.p.TakeBatch().Records[0]
	f.Add(r.Job, r.State, r.Parts[0])
	f.Add([]byte(`{"id":"x","t":[{"n":1,"d":{}}],"x":3,"ev":1}`), []byte(`{"o":9}`), []byte(`[{"k":2,"r":1,"s":1,"m":[{"w":"w00"},{"w":"w00"}]}]`))
	f.Add([]byte(`{"id":"x","t":[{"n":2,"d":{},"gang":true}]}`), []byte(`{"o":1}`),
		[]byte(`[{"r":2,"q":true,"n":[{"i":1,"r":2}],"l":[{"r":1,"w":"w00","a":"a","b":-1},{"r":2,"i":1,"w":"w01","b":1,"v":1}]}]`))
	f.Add([]byte(`{}`), []byte(`{}`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, job, state, part []byte) {
		var spec yuccapaddle.Job
		if json.Unmarshal(job, &spec) == nil && tooLarge(&spec) {
			return
		}
		sim := newFuzzPlanner(t)
		if sim.p.Restore(&yuccapaddle.StoredJob{Job: job, State: state, Parts: [][]byte{part}}) != nil {
			return
		}
		planOn(sim.p, sim.now)
	})
}

// FuzzSubmit checks that any job that passes Check is planned without a panic.
func FuzzSubmit(f *testing.F) {
	f.Add([]byte(`{"id":"a","q":"batch","v":"svc","t":[{"n":3,"d":{"g":1},"gang":true,"rack":true},{"n":2,"d":{"c":1000},"a":[0]}]}`))
	f.Add([]byte(`{"id":"a","q":"quick","v":"svc","t":[{"n":1,"d":{},"on":true,"k":true,"tg":5,"sp":true}],"x":2,"ev":-5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		job := &yuccapaddle.Job{}
		if json.Unmarshal(data, job) != nil || tooLarge(job) || job.Check() != nil {
			return
		}
		sim := newFuzzPlanner(t)
		sim.p.Infeasible(job)
		sim.p.Submit(job)
		planOn(sim.p, sim.now)
	})
}

// FuzzReport checks that any list of a worker is handled without a panic.
func FuzzReport(f *testing.F) {
	f.Add("b", 0, 0, 0, 1, "done", int64(1), 50)
	f.Add("", -1, 99, -7, -1, "", int64(-1), 1000)
	f.Fuzz(func(t *testing.T, job string, occurrence, step, index, run int, cause string, number int64, percent int) {
		sim := newFuzzPlanner(t)
		sim.submit("b", queueBatch, yuccapaddle.Step{Count: 3, Need: oneGPUTask, Estimate: 1000})
		sim.p.Plan()
		sim.p.TakeBatch()
		id := yuccapaddle.TaskID{Job: job, Occurrence: occurrence, Step: step, Index: index}
		reply := &yuccapaddle.HoldReply{
			Incarnation: number, Clock: number, Running: []yuccapaddle.Run{{Task: id, Run: run, Percent: percent}},
			Ended: []yuccapaddle.End{{Number: number, Task: id, Run: run, Cause: yuccapaddle.EndCause(cause)}},
		}
		for _, worker := range []string{"w00", "w01", "other"} {
			sim.p.HandlePollReply(worker, reply, sim.p.NextPoll())
		}
		planOn(sim.p, sim.now)
	})
}

// tooLarge reports whether a job has too many tasks for one input.
func tooLarge(j *yuccapaddle.Job) bool {
	tasks := 0
	for i := range j.Steps {
		tasks += max(j.Steps[i].Count, 0)
	}
	return tasks < 0 || tasks > maxFuzzTasks || j.Occurrences() > maxFuzzTasks || tasks*j.Occurrences() > maxFuzzTasks
}

// planOn lets the planner decide for some seconds.
func planOn(p *planner.Planner, now time.Time) {
	for range 5 {
		now = now.Add(time.Second)
		p.SetTime(now, now)
		p.Plan()
		p.TakeBatch()
	}
}
