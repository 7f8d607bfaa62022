package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// setQueues puts rules with only these queues into force.
func (sim *simulation) setQueues(queues ...yuccapaddle.Queue) {
	rules := &yuccapaddle.Rules{Version: sim.p.Rules().Version + 1, Queues: queues}
	rules.Digest = uint64(rules.Version)
	sim.p.SetTime(sim.now, sim.now)
	sim.p.Configure(rules.Index())
}

// submitWithTerms submits a job that keeps the terms of its queue.
func (sim *simulation) submitWithTerms(id, queue string, s yuccapaddle.Step) {
	terms := sim.p.Rules().Queue(queue).Terms()
	sim.p.Submit(&yuccapaddle.Job{ID: id, Queue: queue, Service: "svc", Terms: &terms, Steps: []yuccapaddle.Step{s}, Payload: fmt.Sprint(s.Estimate)})
	sim.submittedAt[id] = sim.now
}

// TestAttemptsOfRemovedQueue guards against a job that always fails and is started without end
// once its queue is removed, whichever host decides by then and whichever version recorded the
// job.
func TestAttemptsOfRemovedQueue(t *testing.T) {
	batch := yuccapaddle.Queue{Name: queueBatch, Service: "svc", Priority: 2, Attempts: 3, Authority: "h", Prefix: "/b/"}
	more, renamed, quick := batch, batch, yuccapaddle.Queue{Name: queueQuick, Service: "svc", Attempts: 2}
	more.Attempts = 4
	renamed.Name, renamed.Attempts = "other", 9
	tests := []struct {
		name  string
		terms bool // the job's record has them
		after [][]yuccapaddle.Queue
		want  int
	}{
		{"in force", true, nil, 3},
		{"removed", true, [][]yuccapaddle.Queue{{quick}}, 3},
		{"renamed", true, [][]yuccapaddle.Queue{{quick, renamed}}, 3},
		{"more attempts since", true, [][]yuccapaddle.Queue{{quick, more}}, 4},
		{"more attempts, then removed", true, [][]yuccapaddle.Queue{{quick, more}, {quick}}, 4},
		{"removed and added again", true, [][]yuccapaddle.Queue{{quick}, {quick, more}}, 4},
		{"earlier record, removed", false, [][]yuccapaddle.Queue{{quick}}, 3},
	}
	for _, tt := range tests {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %t", tt.name, takeOver), func(t *testing.T) {
				cl := newCluster(t, 6)
				for _, id := range workerIDs(6) {
					cl.faulty[id] = true
				}
				cl.setQueues(quick, batch)
				submit := cl.submit
				if tt.terms {
					submit = cl.submitWithTerms
				}
				submit("bad", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 2000})
				cl.play(2 * stepTime)
				for _, queues := range tt.after {
					cl.setQueues(queues...)
					cl.play(stepTime)
				}
				if takeOver {
					cl.takeOver()
				}
				report := cl.playUntilFinal("bad", 5*time.Minute)
				cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
				cl.c.Check(report.Runs, qt.Equals, tt.want)
			})
		}
	}
}

// TestPriorityOfRemovedQueue guards against an urgent job that gives way to others once its
// queue is removed.
func TestPriorityOfRemovedQueue(t *testing.T) {
	sim := newSimulation(t, 1)
	rules := sim.p.Rules()
	wide := yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 60000}
	sim.submit("first", queueBatch, wide)
	sim.advance(time.Second)
	sim.submitWithTerms("urgent", queueQuick, wide)
	sim.setQueues(*rules.Queue(queueBatch))
	sim.advance(2 * time.Second)
	_, ok := sim.runs[yuccapaddle.TaskID{Job: "urgent"}]
	sim.c.Check(ok, qt.IsTrue)
}

// TestTicketOfRemovedQueue guards against starts without a ticket, which workers refuse, once
// the advised queue of a job is removed.
func TestTicketOfRemovedQueue(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.setQueues(yuccapaddle.Queue{Name: "advised", Service: "svc", Priority: 1, Advised: true})
	sim.submitWithTerms("a", "advised", yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: 1}, Estimate: 2000})
	sim.setQueues(yuccapaddle.Queue{Name: queueQuick, Service: "svc"})
	sim.p.Plan()
	b := sim.p.TakeBatch()
	sim.c.Check(b.Starts, qt.HasLen, 0)
	sim.c.Check(b.AdviceRequests, qt.HasLen, 1)
}

// TestObjectiveOfRemovedQueue guards against a job that waits behind others that are due later
// once its queue is removed.
func TestObjectiveOfRemovedQueue(t *testing.T) {
	sim := orderedSimulation(t, 1, true)
	slow := yuccapaddle.Queue{Name: "slow", Service: "svc", Priority: 1, Stretch: 1, ObjectiveMS: 600_000}
	soon := yuccapaddle.Queue{Name: "soon", Service: "svc", Priority: 1, Stretch: 1, ObjectiveMS: 20_000}
	sim.setQueues(slow, soon)
	wide := yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 5000}
	sim.submitWithTerms("first", "slow", wide)
	sim.advance(time.Second)
	sim.submitWithTerms("later", "slow", wide)
	sim.submitWithTerms("sooner", "soon", wide)
	sim.setQueues(slow)
	sim.advance(6 * time.Second)
	_, ok := sim.runs[yuccapaddle.TaskID{Job: "sooner"}]
	sim.c.Check(ok, qt.IsTrue)
}
