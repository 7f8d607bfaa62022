package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

const (
	// cutShare is such that one worker in cutShare is behind each cut.
	cutShare = 6
	// maxUnprovenStarts is how often a task is started at most if its workers always crash
	// beside many others and before they answer.
	maxUnprovenStarts = 10
)

// longTask is a step of one task that takes one accelerator for nine seconds.
var longTask = yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000}

// crashBehindCut cuts off a worker and a share of the others, which crash and start again.
func (cl *cluster) crashBehindCut(id string) {
	for k, other := range cl.sortedWorkers() {
		if k%cutShare == 0 && other != id {
			cl.crash(other, backAsOther)
		}
	}
	cl.crash(id, backAsOther)
}

// startBehindCut waits for the start of the only task and sends it to a worker that has been
// cut off, so that it has no answer. It reports whether there was a start.
func (cl *cluster) startBehindCut() bool {
	starts := cl.waitForStart()
	if len(starts) == 0 {
		return false
	}
	s := starts[0]
	cl.p.NoteStartSent(&s)
	cl.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
	cl.crashBehindCut(s.Worker)
	return true
}

// startAndCrash waits for the start of the only task, has it answered and, so long after,
// loses its worker as told.
func (cl *cluster) startAndCrash(ran time.Duration, lose func(id string)) {
	starts := cl.waitForStart()
	cl.c.Assert(starts, qt.HasLen, 1, qt.Commentf("the job may have been given up"))
	s := starts[0]
	cl.p.NoteStartSent(&s)
	cl.start(s)
	cl.play(ran)
	lose(s.Worker)
}

// checkGoesOn checks that a job has not been given up and is started once more.
func (cl *cluster) checkGoesOn(id string) {
	cl.c.Check(cl.waitForStart(), qt.HasLen, 1)
	report := cl.report(id)
	cl.c.Check(report.State.Final(), qt.IsFalse, qt.Commentf("%s", report.Reason))
}

// TestRebornUnanswered checks that a sound task is not given up since its starts had no answer
// from workers that crashed behind a cut of several.
func TestRebornUnanswered(t *testing.T) {
	cl := newCluster(t, 6*perRack)
	cl.submit("a", queueBatch, longTask)
	for range 3 {
		cl.c.Assert(cl.startBehindCut(), qt.IsTrue, qt.Commentf("%s", cl.report("a").Reason))
	}
	cl.checkGoesOn("a")
	cl.c.Check(cl.p.View("a").Steps[0].Crashes, qt.Equals, 0)
}

// TestRebornAfterWork checks the same for workers that had answered, and were cut off and
// crashed some time after the start, alternately with starts that had no answer.
func TestRebornAfterWork(t *testing.T) {
	for _, ran := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond} {
		t.Run(ran.String(), func(t *testing.T) {
			cl := newCluster(t, 6*perRack)
			cl.submit("a", queueBatch, longTask)
			for range 3 {
				cl.startAndCrash(ran, cl.crashBehindCut)
				cl.c.Assert(cl.startBehindCut(), qt.IsTrue, qt.Commentf("%s", cl.report("a").Reason))
			}
			cl.checkGoesOn("a")
		})
	}
}

// TestRebornTakeover checks that a change of the active host keeps what is known of such
// losses.
func TestRebornTakeover(t *testing.T) {
	cl := newCluster(t, 6*perRack)
	cl.submit("a", queueBatch, longTask)
	task := yuccapaddle.TaskID{Job: "a"}
	for n := 1; n <= 4; n++ {
		for until := cl.now.Add(15 * time.Second); len(cl.startedOn[task]) < n && cl.now.Before(until); {
			cl.play(stepTime)
		}
		cl.c.Assert(cl.startedOn[task], qt.HasLen, n, qt.Commentf("%s", cl.report("a").Reason))
		cl.play(1500 * time.Millisecond)
		cl.crashBehindCut(cl.startedOn[task][n-1])
		cl.play(500 * time.Millisecond)
		cl.takeOver()
	}
	cl.checkGoesOn("a")
}

// TestTwoCrashesAfterWork checks that a sound task is not given up since two of its workers
// crashed, one after the other, some time after it was started there alone: a task that
// crashes its workers does so right after the start.
func TestTwoCrashesAfterWork(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submit("a", queueBatch, longTask)
	for range 2 {
		cl.startAndCrash(1500*time.Millisecond, func(id string) { cl.crash(id, backAsOther) })
	}
	cl.checkGoesOn("a")
}

// TestThreeCrashesAfterWork checks that a task is given up for the third such crash.
func TestThreeCrashesAfterWork(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submit("a", queueBatch, longTask)
	for range 3 {
		cl.startAndCrash(1500*time.Millisecond, func(id string) { cl.crash(id, backAsOther) })
	}
	cl.c.Check(cl.waitForStart(), qt.HasLen, 0)
	cl.c.Check(cl.report("a").Reason, qt.Equals, "3 workers have crashed under task a.0.0.0")
}

// TestCrashesBeforeAnswer checks that a task is given up in the end if its workers crash
// before they answer, each time together with many others.
func TestCrashesBeforeAnswer(t *testing.T) {
	cl := newCluster(t, 6*perRack)
	cl.submit("a", queueBatch, longTask)
	n := 0
	for n <= maxUnprovenStarts && cl.startBehindCut() {
		n++
	}
	cl.c.Check(n, qt.Equals, maxUnprovenStarts)
	cl.c.Check(cl.report("a").State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.report("a").Reason, qt.Equals, fmt.Sprint(maxUnprovenStarts, " workers that had not answered have crashed under task a.0.0.0"))
}

// TestUncountTakeover checks that a crash is taken back as it was counted, by a later host,
// too, if the worker answers in the end.
func TestUncountTakeover(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 600000})
	task := yuccapaddle.TaskID{Job: "a"}
	cl.play(time.Second)
	first := cl.registered[cl.startedOn[task][0]]
	for n := 1; n <= 3; n++ {
		cl.c.Assert(cl.startedOn[task], qt.HasLen, n)
		cl.crash(cl.startedOn[task][n-1], backNever)
		cl.play(leaseTime + time.Second)
	}
	cl.play(12 * time.Second)
	cl.c.Assert(cl.p.View("a").Steps[0].Crashes, qt.Equals, 1)
	cl.takeOver()
	cl.play(time.Second)
	cl.registered[first.ID] = first
	cl.register()
	cl.answer(first.ID)
	cl.play(time.Second)
	cl.c.Assert(cl.p.View("a").Steps[0].Crashes, qt.Equals, 0)
	cl.play(40 * time.Second)
	cl.c.Check(cl.p.View("a").Steps[0].Crashes, qt.Equals, 2)
	cl.c.Check(cl.report("a").State.Final(), qt.IsFalse, qt.Commentf("%s", cl.report("a").Reason))
}
