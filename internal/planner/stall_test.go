package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

const (
	stallWorkers = 36
	// urgentLimit is how long an urgent job of 2.5 s may take.
	urgentLimit    = 4 * time.Second
	urgentInterval = 300 * time.Millisecond
)

var quickTask = yuccapaddle.Step{Count: 1, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 2500}

// load submits urgent single tasks and gangs and batch tasks for as long as told.
func (sim *stallSim) load(name string, d time.Duration) {
	for i := range int(d / urgentInterval) {
		quick := quickTask
		if i%2 == 1 {
			quick.Count, quick.Gang, quick.Need.GPU = 3, true, gpus
		}
		sim.submit(fmt.Sprintf("u-%s%03d", name, i), queueQuick, quick)
		sim.submit(fmt.Sprintf("b-%s%03d", name, i), queueBatch, yuccapaddle.Step{Count: 2, Need: yuccapaddle.Need{CPU: 8000, GPU: 1}, Estimate: 9500})
		sim.play(urgentInterval)
	}
}

// frozenDay plays a load of which the workers freeze, a sixth at a time for 7 s, and returns
// how many urgent jobs were done in time.
func frozenDay(sim *stallSim) shares {
	sim.load("calm", 30*time.Second)
	since := sim.now
	for i := range 6 {
		sim.freezeWorkers(stallWorkers/6, freeze)
		sim.load(fmt.Sprintf("frozen%d-", i), 10*time.Second)
	}
	sim.play(15 * time.Second)
	return sim.inTime(since, urgentLimit)
}

// TestFrozenWorkers guards against urgent jobs that are late because a run that stands still
// is found late, against stops of runs that do not stand still, and against looks at workers
// where nothing is to be decided. Without learned run times, one in twenty of the single
// tasks that are submitted while workers are frozen is late, and runs that have gone on are
// stopped.
func TestFrozenWorkers(t *testing.T) {
	c := qt.New(t)
	var with, without shares
	replies, repliesBefore, wrongBefore := 0, 0, 0
	for seed := range uint64(4) {
		sim, before := newStallSim(t, stallWorkers, true, seed), newStallSim(t, stallWorkers, false, seed)
		with, without = with.add(frozenDay(sim)), without.add(frozenDay(before))
		c.Check(sim.wrong, qt.HasLen, 0)
		c.Check(len(sim.doneAt), qt.Equals, len(sim.submittedAt), qt.Commentf("a stop counts as a failure"))
		replies, repliesBefore, wrongBefore = replies+sim.replies, repliesBefore+before.replies, wrongBefore+len(before.wrong)
	}
	t.Logf("late %d, before %d, of %d; submitted while workers are frozen: single tasks %d, before %d, of %d; gangs %d, before %d, of %d; replies %d, before %d; wrong stops before %d",
		with.all.late(), without.all.late(), with.all.all, with.singles.late(), without.singles.late(), with.singles.all,
		with.gangs.late(), without.gangs.late(), with.gangs.all, replies, repliesBefore, wrongBefore)
	c.Check(without.singles.late() >= 10, qt.IsTrue)
	c.Check(with.singles.late() <= without.singles.late()/2, qt.IsTrue)
	c.Check(with.gangs.late() < without.gangs.late(), qt.IsTrue)
	c.Check(float64(with.all.late()) <= 0.85*float64(without.all.late()), qt.IsTrue)
	c.Check(wrongBefore > 0, qt.IsTrue)
	c.Check(replies <= 2*repliesBefore, qt.IsTrue)
}

// TestSlowNotStalled guards against stops of runs on workers that are two and three times
// slower, and of tasks that take ten times as long as others.
func TestSlowNotStalled(t *testing.T) {
	for seed := range uint64(2) {
		sim := newStallSim(t, stallWorkers, true, seed)
		sim.tail = 0.05
		for i := range sim.workers {
			sim.slowdown[sim.workers[i].ID] = float64(1 + i%3)
		}
		sim.load("slow", time.Minute)
		sim.play(20 * time.Second)
		sim.c.Check(sim.stalls, qt.Equals, 0, qt.Commentf("%v", sim.wrong))
		sim.c.Check(len(sim.doneAt) > 100, qt.IsTrue)
	}
}

// TestSlowAmongFrozen guards against stops of runs on slow workers while runs on others
// stand still.
func TestSlowAmongFrozen(t *testing.T) {
	sim := newStallSim(t, stallWorkers, true, 1)
	sim.tail = 0.05
	for i := range sim.workers {
		sim.slowdown[sim.workers[i].ID] = float64(1 + i%3)
	}
	frozenDay(sim)
	sim.c.Check(sim.stalls > 0, qt.IsTrue)
	sim.c.Check(sim.wrong, qt.HasLen, 0)
}

// TestThawedNotStalled guards against stops of runs whose worker works again, by reports from
// while it was frozen. The seeds have found some.
func TestThawedNotStalled(t *testing.T) {
	for _, seed := range []uint64{78, 86, 94} {
		sim := newStallSim(t, stallWorkers, true, seed)
		frozenDay(sim)
		sim.c.Check(sim.wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestShortPause guards against stops of runs on workers that stand still for a moment.
func TestShortPause(t *testing.T) {
	for seed := range uint64(2) {
		sim := newStallSim(t, stallWorkers, true, seed)
		sim.load("calm", 15*time.Second)
		for i := range 40 {
			sim.freezeWorkers(stallWorkers/3, 500*time.Millisecond)
			sim.load(fmt.Sprintf("paused%d-", i), urgentInterval)
			sim.play(time.Duration(200+sim.random.IntN(800)) * time.Millisecond)
		}
		sim.c.Check(sim.stalls, qt.Equals, 0)
	}
}

// TestLateMember guards against stops of a gang whose members wait for one that starts late.
func TestLateMember(t *testing.T) {
	sim := newStallSim(t, 4, true, 1)
	gang := quickTask
	gang.Count, gang.Gang, gang.Need.GPU = 3, true, gpus
	for i := range 6 {
		sim.submit(fmt.Sprintf("u-%d", i), queueQuick, gang)
		sim.play(4 * time.Second)
	}
	for i := range sim.workers {
		sim.startDelay[sim.workers[i].ID] = time.Duration(i) * 800 * time.Millisecond
	}
	sim.submit("u-late", queueQuick, gang)
	sim.play(8 * time.Second)
	sim.c.Check(sim.doneAt["u-late"].IsZero(), qt.IsFalse)
	sim.c.Check(sim.stalls, qt.Equals, 0)
}

// TestStallTakeover guards against a host that stops runs of a former one before its own
// reports show that they stand still.
func TestStallTakeover(t *testing.T) {
	sim := newStallSim(t, stallWorkers, true, 1)
	sim.load("calm", 20*time.Second)
	sim.freezeWorkers(stallWorkers/6, freeze)
	sim.play(100 * time.Millisecond)
	sim.newHost()
	before := sim.stalls
	sim.play(3 * time.Second)
	sim.c.Check(sim.stalls, qt.Equals, before, qt.Commentf("nothing is learned yet"))
	sim.play(2 * time.Second)
	sim.c.Check(sim.stalls > before, qt.IsTrue, qt.Commentf("the fixed threshold holds"))
	sim.play(10 * time.Second)
	sim.newHost()
	before = sim.stalls
	sim.load("sound", 10*time.Second)
	sim.c.Check(sim.stalls, qt.Equals, before)
	sim.freezeWorkers(stallWorkers, freeze)
	sim.play(1500 * time.Millisecond)
	sim.c.Check(sim.stalls > before, qt.IsTrue, qt.Commentf("it has learned"))
}

// TestLearnStallsOff guards against looks, and against other decisions, without the setting.
func TestLearnStallsOff(t *testing.T) {
	sim := newStallSim(t, stallWorkers, false, 1)
	sim.load("calm", 20*time.Second)
	sim.freezeWorkers(stallWorkers, freeze)
	frozenAt := sim.now
	for sim.stalls == 0 {
		sim.play(stepTime)
		due, next := sim.p.DueLooks()
		sim.c.Assert(due, qt.HasLen, 0)
		sim.c.Assert(next.IsZero(), qt.IsTrue)
	}
	found := sim.now.Sub(frozenAt)
	sim.c.Check(found > 1600*time.Millisecond, qt.IsTrue, qt.Commentf("found after %v", found))
}

// TestSameCourse checks that a day takes the same course each time: what the planner decides
// depends on what it is told, and not on the order of a map.
func TestSameCourse(t *testing.T) {
	for _, learn := range []bool{true, false} {
		first, again := newStallSim(t, stallWorkers, learn, 0), newStallSim(t, stallWorkers, learn, 0)
		frozenDay(first)
		frozenDay(again)
		checkSameCourse(first.c, again.decisions, first.decisions)
	}
}
