package planner_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

const (
	waveSeeds   = 8
	waveWorkers = 24
	waveJobs    = 90
)

// waveOutcome sums the outcomes of several waves, by whether the tasks write checkpoints.
type waveOutcome struct {
	lost   map[bool]float64
	broken map[bool]int
	cut    map[bool]int
}

// playWaves plays waves of workers that leave at notice from a cluster that is full of
// gangs and single tasks, half of which write checkpoints. More of them wait than fit.
func playWaves(t *testing.T, move bool) waveOutcome {
	sum := waveOutcome{map[bool]float64{}, map[bool]int{}, map[bool]int{}}
	for seed := range uint64(waveSeeds) {
		rng := rand.New(rand.NewPCG(seed, seed))
		d := newDepartures(t, waveWorkers, move)
		for i := range waveJobs {
			d.submit(fmt.Sprintf("j%03d", i), yuccapaddle.Step{
				Count: 4 + rng.IntN(8), Need: yuccapaddle.Need{CPU: 4000, GPU: 1}, Gang: i%8 < 6, WritesCheckpoints: i%2 == 0,
			}, time.Duration(2000+rng.IntN(18000))*time.Millisecond)
		}
		d.play(time.Duration(8000+rng.IntN(4000)) * time.Millisecond)
		for _, i := range rng.Perm(waveWorkers)[:waveWorkers/6] {
			d.notice(notice, workerIDs(waveWorkers)[i])
		}
		for until := d.now.Add(5 * time.Minute); d.now.Before(until) && d.completed() < waveJobs; {
			d.play(time.Second)
		}
		d.c.Assert(d.completed(), qt.Equals, waveJobs, qt.Commentf("seed %d", seed))
		for _, k := range []bool{false, true} {
			sum.lost[k] += d.lost[k]
			sum.broken[k] += d.broken[k]
			sum.cut[k] += d.cut[k]
		}
	}
	t.Logf("moved %v: core-seconds lost %.0f with checkpoints, %.0f without; gangs broken %d, %d; single runs lost %d, %d",
		move, sum.lost[true], sum.lost[false], sum.broken[true], sum.broken[false], sum.cut[true], sum.cut[false])
	return sum
}

// TestWave guards against the loss of runs with workers that leave at notice: those that
// write checkpoints lose at most half of the work and of the gangs that they lose without
// being moved, and the others no more than that.
func TestWave(t *testing.T) {
	c := qt.New(t)
	base, moved := playWaves(t, false), playWaves(t, true)
	c.Check(moved.lost[true] <= base.lost[true]/2, qt.IsTrue)
	c.Check(2*moved.broken[true] <= base.broken[true], qt.IsTrue)
	c.Check(2*moved.cut[true] <= base.cut[true], qt.IsTrue)
	c.Check(moved.lost[false] <= base.lost[false], qt.IsTrue)
	c.Check(moved.broken[false] <= base.broken[false], qt.IsTrue)
	c.Check(moved.cut[false] <= base.cut[false], qt.IsTrue)
}

var checkpointGang = yuccapaddle.Step{Count: 8, Need: yuccapaddle.Need{CPU: 4000, GPU: 1}, Gang: true, WritesCheckpoints: true}

// gangOn returns a simulation with a gang of 20 s that fills the first worker of several,
// and has run for 6 s.
func gangOn(t *testing.T, workers int, step yuccapaddle.Step) *departures {
	d := newDepartures(t, workers, true)
	d.submit("gang", step, 20*time.Second)
	d.play(6 * time.Second)
	for _, r := range d.runs {
		d.c.Assert(r.worker, qt.Equals, "w00")
	}
	return d
}

// TestMovedAtOnce guards against a gang that waits for its worker to leave though there is
// room for it elsewhere, and against a stop that does not tell why.
func TestMovedAtOnce(t *testing.T) {
	d := gangOn(t, 2, checkpointGang)
	d.notice(notice, "w00")
	d.play(registryInterval + time.Second)
	d.c.Assert(d.stops, qt.HasLen, 8)
	d.c.Check(d.stops[0], qt.Matches, `its worker leaves in [45]\d\d\d ms: w00`)
	d.c.Assert(d.runs, qt.HasLen, 8)
	for task, r := range d.runs {
		d.c.Check(r.worker, qt.Equals, "w01")
		d.c.Check(r.restored > 5*time.Second, qt.IsTrue, qt.Commentf("%v goes on from %v", task, r.restored))
	}
	d.play(30 * time.Second)
	d.c.Check(d.done, qt.HasLen, 8)
	d.checkNothingLost()
}

// TestMovedLate guards against a gang that is stopped early though it can only wait, and
// against one whose stop does not end before its worker leaves.
func TestMovedLate(t *testing.T) {
	d := gangOn(t, 1, checkpointGang)
	d.notice(notice, "w00")
	d.play(notice - 2500*time.Millisecond)
	d.c.Check(d.stops, qt.HasLen, 0)
	d.play(2500 * time.Millisecond)
	d.c.Check(d.stops, qt.HasLen, 8)
	d.checkNothingLost()
	d.c.Check(d.broken[true], qt.Equals, 0)
}

// TestTakeoverWhileMoving guards against a gang that runs twice, starts anew or is lost if
// the active host fails between the stop of the gang and its next start.
func TestTakeoverWhileMoving(t *testing.T) {
	for _, after := range []time.Duration{stepTime, 200 * time.Millisecond, 380 * time.Millisecond, 420 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			d := gangOn(t, 2, checkpointGang)
			d.notice(notice, "w00")
			for until := d.now.Add(notice); len(d.stops) == 0 && d.now.Before(until); {
				d.play(stepTime)
			}
			d.c.Assert(d.stops, qt.HasLen, 8)
			d.play(after)
			d.takeOver()
			d.play(30 * time.Second)
			d.c.Check(d.done, qt.HasLen, 8)
			d.c.Check(d.resumed, qt.Equals, 8)
			d.checkNothingLost()
		})
	}
}

// TestTakeoverDuringNotice guards against a later host that does not move what the host
// before has left waiting for the last moment.
func TestTakeoverDuringNotice(t *testing.T) {
	d := gangOn(t, 1, checkpointGang)
	d.notice(notice, "w00")
	d.play(2 * time.Second)
	d.takeOver()
	d.play(notice - 2*time.Second)
	d.c.Check(d.stops, qt.HasLen, 8)
	d.checkNothingLost()
}

// TestDrainTakenBack guards against the stop of a gang whose worker stays after all, and
// against one that does not run again after it was stopped for that.
func TestDrainTakenBack(t *testing.T) {
	d := gangOn(t, 1, checkpointGang)
	d.notice(notice, "w00")
	d.play(2 * time.Second)
	d.cancel("w00")
	d.play(30 * time.Second)
	d.c.Check(d.stops, qt.HasLen, 0)
	d.c.Check(d.done, qt.HasLen, 8)

	d = gangOn(t, 1, checkpointGang)
	d.notice(notice, "w00")
	d.play(notice - time.Second)
	d.c.Check(d.stops, qt.HasLen, 8)
	d.cancel("w00")
	d.play(30 * time.Second)
	d.c.Check(d.done, qt.HasLen, 8)
	d.checkNothingLost()
}

// TestUnmoved guards against runs that are stopped without need: the time left is unknown,
// the setting is off, the job may run only once, or the run ends in time.
func TestUnmoved(t *testing.T) {
	t.Run("time left unknown", func(t *testing.T) {
		d := gangOn(t, 2, checkpointGang)
		d.notice(notice, "w00")
		d.workers["w00"].LeavesAt = time.Time{}
		d.workers["w00"].RemainingMS = -7
		d.play(10 * time.Second)
		d.c.Check(d.stops, qt.HasLen, 0)
	})
	t.Run("once", func(t *testing.T) {
		d := newDepartures(t, 2, true)
		d.steps["gang"] = checkpointGang
		d.p.Submit(&yuccapaddle.Job{ID: "gang", Queue: queueBatch, Service: "svc", Steps: []yuccapaddle.Step{checkpointGang}, Payload: "20000", Once: true})
		d.play(6 * time.Second)
		d.notice(notice, "w00")
		d.play(notice - stepTime)
		d.c.Check(d.stops, qt.HasLen, 0)
	})
	t.Run("ends in time", func(t *testing.T) {
		d := newDepartures(t, 2, true)
		d.submit("gang", checkpointGang, 9*time.Second)
		d.play(6 * time.Second)
		d.notice(notice, "w00")
		d.play(5 * time.Second)
		d.c.Check(d.stops, qt.HasLen, 0)
		d.c.Check(d.done, qt.HasLen, 8)
	})
	t.Run("no checkpoints, much done", func(t *testing.T) {
		step := checkpointGang
		step.WritesCheckpoints = false
		d := gangOn(t, 2, step)
		d.notice(notice, "w00")
		d.play(notice - stepTime)
		d.c.Check(d.stops, qt.HasLen, 0)
	})
}

// TestAbsurdLeaveTimes guards against a panic or a stop without room by times that no
// worker can mean.
func TestAbsurdLeaveTimes(t *testing.T) {
	for _, at := range []time.Time{time.Unix(1<<40, 0), time.Unix(1000, 0).Add(1<<63 - 1)} {
		d := gangOn(t, 1, checkpointGang)
		d.workers["w00"].Draining, d.workers["w00"].LeavesAt = true, at
		d.play(5 * time.Second)
		d.c.Check(d.stops, qt.HasLen, 0)
	}
}

// TestServingKeepsLimit guards against more tasks of a service taken off leaving workers at
// once than the step allows to be unavailable.
func TestServingKeepsLimit(t *testing.T) {
	d := newDepartures(t, 4, true)
	step := yuccapaddle.Step{
		Count: 4, Need: yuccapaddle.Need{CPU: 20000, GPU: 1}, Endless: true, PerWorker: 2, LimitsUnavailable: true, MaxUnavailable: 1,
	}
	d.submit("serve", step, time.Second)
	d.endless = true
	d.play(4 * time.Second)
	d.c.Assert(d.runs, qt.HasLen, 4)
	on := map[string]bool{}
	for _, r := range d.runs {
		on[r.worker] = true
	}
	d.c.Assert(on, qt.HasLen, 2)
	for id := range on {
		d.notice(20*time.Second, id)
	}
	for until := d.now.Add(19 * time.Second); d.now.Before(until); {
		d.play(stepTime)
		up := 0
		for _, r := range d.runs {
			if r.work(d.now) >= r.total || !r.stopAt.IsZero() && d.now.Sub(r.startsAt) >= r.total {
				up++
			}
		}
		d.c.Assert(up >= 3, qt.IsTrue, qt.Commentf("%d tasks of 4 are up", up))
	}
	for _, r := range d.runs {
		d.c.Check(on[r.worker], qt.IsFalse, qt.Commentf("a task is still on %s", r.worker))
	}
	for _, s := range d.stops {
		d.c.Check(strings.HasPrefix(s, "its worker leaves in "), qt.IsTrue)
	}
}

// BenchmarkNotice measures one look at a full cluster of which a sixth leaves and nothing
// has room elsewhere.
func BenchmarkNotice(b *testing.B) {
	const workers = 96
	d := newDepartures(b, workers, true)
	for i := range workers + 10 {
		d.submit(fmt.Sprintf("j%03d", i), checkpointGang, 20*time.Minute)
	}
	d.play(2 * time.Minute)
	for _, id := range workerIDs(workers)[:workers/6] {
		d.notice(10*time.Minute, id)
	}
	d.play(registryInterval)
	for b.Loop() {
		d.now = d.now.Add(100 * time.Millisecond)
		d.p.SetTime(d.now, d.now)
		d.p.Plan()
	}
}
