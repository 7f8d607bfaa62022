package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

// TestCrashedWorkerBack checks that a worker that has crashed and is back is not used for
// the same task, and is used for others at once.
func TestCrashedWorkerBack(t *testing.T) {
	for _, how := range []comeback{backAsOther, backAsSame} {
		cl := newCluster(t, 2)
		cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
		cl.play(time.Second)
		first := cl.startedOn[yuccapaddle.TaskID{Job: "a"}][0]
		cl.crash(first, how)
		cl.play(absence + 200*time.Millisecond)
		cl.submit("other", queueBatch, yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{GPU: gpus}, Estimate: 9000})
		cl.play(200 * time.Millisecond)
		other := cl.startedOn[yuccapaddle.TaskID{Job: "other"}]
		cl.c.Assert(other, qt.HasLen, 1)
		cl.c.Check(other[0][:3], qt.Equals, first)
		cl.play(leaseTime)
		on := cl.startedOn[yuccapaddle.TaskID{Job: "a"}]
		cl.c.Assert(on, qt.HasLen, 2)
		cl.c.Check(on[1][:3], qt.Not(qt.Equals), first)
	}
}

// TestSuspectAlone checks that a task that may have crashed its worker is placed where
// nothing else runs, and that nothing is placed beside it.
func TestSuspectAlone(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.fill(10 * gpus)
	cl.submitBad(badJob, shortTask)
	cl.waitForCrashes(1)
	for i := 0; len(cl.crashed) < 2; i++ {
		cl.submit(fmt.Sprintf("more%d", i), queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 300})
		cl.submit(fmt.Sprintf("urgent%d", i), queueQuick, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 300})
		cl.play(3 * stepTime)
	}
	cl.c.Check(cl.beside[1], qt.Equals, 0)
	cl.c.Check(cl.playUntilFinal(badJob, 10*time.Second).State, qt.Equals, yuccapaddle.JobFailed)
}

// TestOldRunsNotSuspect checks that a crash that no recent start can have caused delays no
// work: the tasks go at once where there is room.
func TestOldRunsNotSuspect(t *testing.T) {
	cl := newCluster(t, perRack)
	innocent := cl.fill(5 * gpus)
	cl.play(5 * time.Second)
	lost := cl.tasksOn("w00")
	cl.c.Assert(lost, qt.HasLen, gpus)
	cl.crash("w00", backAsOther)
	cl.play(leaseTime + 4*stepTime)
	for _, task := range lost {
		cl.c.Check(cl.startedOn[task], qt.HasLen, 2, qt.Commentf("%s waits", task))
	}
	cl.checkCompleted(time.Minute, innocent...)
}

// TestSuspectWaitsShortly checks that on a full cluster a suspect waits no longer for an
// empty worker than its limit allows, and preempts nobody meanwhile.
func TestSuspectWaitsShortly(t *testing.T) {
	cl := newCluster(t, perRack)
	cl.fill(perRack*gpus - 8)
	cl.submit("a", queueQuick, shortTask)
	cl.play(stepTime)
	task := yuccapaddle.TaskID{Job: "a"}
	cl.crash(cl.startedOn[task][0], backAsOther)
	cl.submit("more", queueBatch, yuccapaddle.Step{Count: 3 * gpus, Need: oneGPUTask, Estimate: 60000})
	cl.play(leaseTime + 1900*time.Millisecond)
	for other, r := range cl.runs {
		cl.c.Check(r.stopped, qt.IsFalse, qt.Commentf("%s was stopped", other))
	}
	cl.play(time.Second)
	cl.c.Assert(cl.startedOn[task], qt.HasLen, 2)
	delay := cl.startedAt[task][1].Sub(cl.startedAt[task][0]) - leaseTime
	cl.c.Check(delay < 2900*time.Millisecond, qt.IsTrue, qt.Commentf("it waited %v", delay))
	cl.checkCompleted(10*time.Second, "a")
}

// TestUnansweredNotAlone checks that a crash before the worker has answered for the start
// counts, but does not prove that the task was there: three such crashes are needed.
func TestUnansweredNotAlone(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
	for n := 1; n <= 3; n++ {
		starts := cl.waitForStart()
		cl.c.Assert(starts, qt.HasLen, 1)
		s := starts[0]
		cl.p.NoteStartSent(&s)
		cl.p.HandleStartReply(s.Worker, s.Task, s.Run, yuccapaddle.ErrNoAnswer)
		cl.crash(s.Worker, backAsOther)
		cl.c.Check(cl.report("a").State.Final(), qt.IsFalse)
	}
	cl.c.Check(cl.waitForStart(), qt.HasLen, 0)
	report := cl.report("a")
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(report.Reason, qt.Equals, "3 workers have crashed under task a.0.0.0")
	cl.c.Check(cl.p.View("a").Steps[0].Crashes, qt.Equals, 3)
}

// TestUnsentNotCrashed checks that the crash of a worker to which the start of a task has not
// been sent is not counted for the task.
func TestUnsentNotCrashed(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
	for range 4 {
		starts := cl.waitForStart()
		cl.c.Assert(starts, qt.HasLen, 1)
		cl.crash(starts[0].Worker, backAsOther)
	}
	cl.c.Check(cl.waitForStart(), qt.HasLen, 1)
	cl.c.Check(cl.report("a").State.Final(), qt.IsFalse)
	cl.c.Check(cl.p.View("a").Steps[0].Crashes, qt.Equals, 0)
}

// waitForStart moves the time forward until there are starts, at most for ten seconds, and
// returns them. It does not carry them out.
func (cl *cluster) waitForStart() []yuccapaddle.RunStart {
	for range 500 {
		cl.now = cl.now.Add(stepTime)
		cl.p.SetTime(cl.now, cl.now)
		cl.doDue()
		if starts := cl.starts(); len(starts) > 0 {
			return starts
		}
	}
	return nil
}

// TestOverdueSuspects checks that suspects for which there is only the worker that has
// crashed under them are tried there one after the other.
func TestOverdueSuspects(t *testing.T) {
	cl := newCluster(t, 2)
	cl.fill(2*gpus - 3)
	cl.play(4 * time.Second)
	for _, id := range []string{"p0", "p1", "p2"} {
		cl.submit(id, queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 60000, Label: "a"})
	}
	cl.play(time.Second)
	on := cl.startedOn[yuccapaddle.TaskID{Job: "p0"}]
	cl.c.Assert(on, qt.HasLen, 1)
	cl.crash(on[0], backAsOther)
	cl.play(leaseTime + 2*time.Second + trustTime + time.Second)
	suspects := 0
	for _, id := range []string{"p0", "p1", "p2"} {
		suspects += len(cl.startedOn[yuccapaddle.TaskID{Job: id}]) - 1
	}
	cl.c.Check(suspects, qt.Equals, 2, qt.Commentf("one after the other, each for %v", trustTime))
}

// TestWaitingSuspect checks that a suspect that waits for a place of its own remains one
// while another task of its job runs: it is not placed beside others before its wait is over.
func TestWaitingSuspect(t *testing.T) {
	cl := newCluster(t, 3)
	most := yuccapaddle.Step{Count: 3, Need: yuccapaddle.Need{GPU: gpus - 2}, Estimate: 60000}
	cl.submit("most", queueBatch, most)
	cl.play(5 * time.Second)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 2, PerWorker: 1, Need: oneGPUTask, Estimate: 60000})
	cl.play(time.Second)
	task := yuccapaddle.TaskID{Job: "a"}
	cl.c.Assert(cl.startedOn[task], qt.HasLen, 1)
	cl.crash(cl.startedOn[task][0], backAsOther)
	cl.play(leaseTime + 1900*time.Millisecond)
	cl.c.Check(cl.startedOn[task], qt.HasLen, 1)
	cl.play(time.Second)
	cl.c.Check(cl.startedOn[task], qt.HasLen, 2)
}

// TestCrowdNotAlone checks that a task is not given up for the second crash if many workers
// crash at the same time, since that speaks for another cause, but for the sixth.
func TestCrowdNotAlone(t *testing.T) {
	for n := 1; n <= 6; n++ {
		cl := newCluster(t, 3*perRack)
		cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 9000})
		task := yuccapaddle.TaskID{Job: "a"}
		for i := range n {
			cl.play(time.Second)
			cl.c.Assert(cl.startedOn[task], qt.HasLen, i+1)
			first := cl.startedOn[task][i]
			cl.crash(first, backAsOther)
			for k, other := range cl.sortedWorkers() {
				if k%4 == 0 && other != first {
					cl.crash(other, backAsOther)
				}
			}
			cl.play(leaseTime + 3*time.Second)
		}
		cl.c.Check(cl.report("a").State.Final(), qt.Equals, n == 6, qt.Commentf("after %d crashes", n))
	}
}

// TestCrowdNotSuspect checks that tasks lost in a crowd for the first time do not wait for
// places of their own.
func TestCrowdNotSuspect(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 4 * gpus, Need: oneGPUTask, Estimate: 60000})
	for i := range 3 * perRack { // so that no worker is empty
		cl.submit(fmt.Sprintf("m%02d", i), queueBatch, yuccapaddle.Step{Count: 1, PerWorker: 1, Need: yuccapaddle.Need{GPU: gpus / 2}, Estimate: 60000})
	}
	cl.play(time.Second)
	var lost []yuccapaddle.TaskID
	for k, id := range cl.sortedWorkers() {
		if k%4 == 0 {
			lost = append(lost, cl.tasksOn(id)...)
			cl.crash(id, backAsOther)
		}
	}
	cl.c.Assert(len(lost) > gpus, qt.IsTrue)
	cl.play(leaseTime + 4*stepTime)
	for _, task := range lost {
		cl.c.Check(cl.startedOn[task], qt.HasLen, 2, qt.Commentf("%s waits", task))
	}
}

// TestCrowdAfterStart checks that a task whose workers crash right after its starts, while
// nothing else runs there, is given up after two crashes also if many others crash at the
// same time.
func TestCrowdAfterStart(t *testing.T) {
	cl := newCluster(t, 3*perRack)
	cl.submitBad(badJob, shortTask)
	for n := 1; n <= 2; n++ {
		cl.waitForCrashes(len(cl.crashed) + 1)
		for k, id := range cl.sortedWorkers() {
			if k%4 == 0 {
				cl.crash(id, backAsOther)
			}
		}
	}
	report := cl.playUntilFinal(badJob, 10*time.Second)
	cl.c.Check(report.State, qt.Equals, yuccapaddle.JobFailed)
	cl.c.Check(cl.startedOn[badTask], qt.HasLen, 2)
}

// TestSilentOverTakeover checks that a worker that was cut off while the active host changed
// and is registered as before does not count as crashed, although nothing runs there any more
// and so it is not asked.
func TestSilentOverTakeover(t *testing.T) {
	cl := newCluster(t, 2*perRack)
	cl.submit("a", queueBatch, yuccapaddle.Step{Count: 1, Need: oneGPUTask, Estimate: 60000})
	cl.play(time.Second)
	first := cl.startedOn[yuccapaddle.TaskID{Job: "a"}][0]
	w := cl.registered[first]
	cl.crash(first, backNever)
	cl.play(leaseTime + time.Second)
	cl.takeOver()
	cl.play(5 * time.Second)
	cl.registered[first] = w
	cl.register()
	cl.play(40 * time.Second)
	cl.c.Check(cl.p.View("a").Steps[0].Crashes, qt.Equals, 0)
	cl.c.Check(cl.startedOn[yuccapaddle.TaskID{Job: "a"}], qt.HasLen, 2)
}
