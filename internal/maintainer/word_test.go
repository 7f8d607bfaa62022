package maintainer_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/maintainer"
)

// oddFleet is a fleet whose answers can be changed for a test.
type oddFleet struct {
	*fleet
	absentFrom  time.Time // from then until absentUntil the list of machines leaves out m1
	absentUntil time.Time
	notOfWave   bool      // the next order for m1 is refused since it is not of the wave
	refuseUntil time.Time // until then orders for m1 are refused with refusal
	refusal     error
	refusals    int
	m1Last      bool // m1 was ordered down after all others
	ended       bool // another host has reported the end of the wave since Completed was asked
}

// Report implements yuccapaddle.Fleet.
func (f *oddFleet) Report(ctx context.Context, wave int64, completed bool) error {
	if f.ended && !completed {
		f.completed = true
		return yuccapaddle.ErrWaveCompleted
	}
	return f.fleet.Report(ctx, wave, completed)
}

// Machines implements yuccapaddle.Fleet.
func (f *oddFleet) Machines(ctx context.Context) ([]yuccapaddle.Machine, error) {
	list, err := f.fleet.Machines(ctx)
	if now := time.Now(); !now.Before(f.absentFrom) && now.Before(f.absentUntil) {
		list = slices.DeleteFunc(list, func(m yuccapaddle.Machine) bool { return m.Name == "m1" })
	}
	return list, err
}

// Maintain implements yuccapaddle.Fleet.
func (f *oddFleet) Maintain(ctx context.Context, machine string, wave int64, holder string, token uint64) error {
	if machine == "m1" && f.notOfWave {
		f.notOfWave = false
		return yuccapaddle.ErrNotOfWave
	}
	if machine == "m1" && time.Now().Before(f.refuseUntil) {
		f.refusals++
		return f.refusal
	}
	if machine == "m1" {
		f.m1Last = len(f.maintained) == len(machineNames)-1
	}
	return f.fleet.Maintain(ctx, machine, wave, holder, token)
}

// runOddWave runs a Maintainer for 20 s of virtual time on a wave over the machines in that
// order, at most so many at once.
func runOddWave(t *testing.T, machines []string, maxDown int, setUp func(fl *oddFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &oddFleet{fleet: newFleet(qt.New(t), maxDown)}
		setUp(fl)
		rules := &yuccapaddle.Rules{Waves: []yuccapaddle.Wave{{Number: 1, Machines: machines, DurationS: 20, MaxDown: maxDown}}}
		m := maintainer.New(fl, fl, func() *yuccapaddle.Rules { return rules }, yuccapaddle.SystemClock{}, "h", 7, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return m.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		fl.c.Check(g.Wait(), qt.IsNil)
		fl.c.Check(fl.completed, qt.IsTrue)
	})
}

// TestMachineBackInWave guards against a wave that is reported as completed without a machine
// that the operators took out of it and put back, between two reads of the rules: the refusal
// of its order was of the wave as it was then.
func TestMachineBackInWave(t *testing.T) {
	runOddWave(t, machineNames, 2, func(fl *oddFleet) { fl.notOfWave = true })
}

// TestMachineRefused checks that a machine whose orders are refused for a time gets its
// maintenance later, is not ordered down without pause, and does not hold up the others.
func TestMachineRefused(t *testing.T) {
	for _, refusal := range []error{yuccapaddle.ErrNotOfWave, yuccapaddle.ErrNoMachine} {
		var fl *oddFleet
		runOddWave(t, machineNames, 1, func(f *oddFleet) {
			fl, f.refusal, f.refuseUntil = f, refusal, time.Now().Add(11*time.Second)
		})
		c := qt.New(t)
		c.Check(fl.m1Last, qt.IsTrue)
		c.Check(fl.refusals > 1 && fl.refusals <= 6, qt.IsTrue, qt.Commentf("%d refusals in 11 s", fl.refusals))
	}
}

// TestMachineMissingFromList guards against a wave that is reported as completed without a
// machine that one list left out.
func TestMachineMissingFromList(t *testing.T) {
	runOddWave(t, machineNames, 2, func(fl *oddFleet) { fl.absentUntil = time.Now().Add(100 * time.Millisecond) })
}

// TestMaintainedMachineMissingFromList guards against more machines down at once than the wave
// allows, since a list leaves out one that is down. Whether it is this host that has ordered
// it down makes no difference.
func TestMaintainedMachineMissingFromList(t *testing.T) {
	for _, byFormerHost := range []bool{false, true} {
		runOddWave(t, []string{"m1", "m0", "m2", "m3"}, 1, func(fl *oddFleet) {
			now := time.Now()
			fl.absentFrom, fl.absentUntil = now.Add(300*time.Millisecond), now.Add(1100*time.Millisecond)
			if byFormerHost {
				fl.absentFrom, fl.maintained["m1"], fl.backAt["m1"] = now, 1, now.Add(downTime)
			}
		})
	}
}

// TestMachineLeft checks that a wave is completed without a machine that no list names any
// more, whether it left before its maintenance or in it.
func TestMachineLeft(t *testing.T) {
	for _, maintained := range []bool{false, true} {
		runOddWave(t, machineNames, 2, func(fl *oddFleet) {
			fl.left = "m1"
			fl.absentUntil = time.Now().Add(time.Hour)
			if maintained {
				fl.absentFrom = time.Now().Add(300 * time.Millisecond)
			}
		})
	}
}

// TestCompletedMeanwhile guards against workers that are drained again for a wave which a
// former host completes during the takeover.
func TestCompletedMeanwhile(t *testing.T) {
	var fl *oddFleet
	runOddWave(t, machineNames, 2, func(f *oddFleet) { fl, f.ended = f, true })
	qt.New(t).Check(fl.drained, qt.HasLen, 0)
}

// TestDownForFormerHost guards against more machines down at once than the wave allows, after a
// takeover: a machine that the former host has ordered down counts, wherever the wave names it.
func TestDownForFormerHost(t *testing.T) {
	reversed := slices.Clone(machineNames)
	slices.Reverse(reversed)
	runOddWave(t, reversed, 1, func(fl *oddFleet) {
		fl.maintained["m0"], fl.backAt["m0"] = 1, time.Now().Add(downTime)
	})
}
