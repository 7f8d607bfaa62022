package maintainer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/maintainer"
	"yuccapaddle/internal/sleeper"
)

const downTime = 2 * time.Second

// fleet is a stand-in for the machines m0 to m3 and the drainer of their workers sm0 to
// sm3.
type fleet struct {
	c          *qt.C
	maxDown    int
	backAt     map[string]time.Time
	maintained map[string]int
	completed  bool
	drained    map[string]bool
	noWorker   string        // machine that has no worker
	left       string        // machine that the wave may be completed without
	busyUntil  time.Time     // until then tasks run on the workers
	outdated   bool          // orders are refused with ErrOutdated
	listing    time.Duration // in which the list of machines arrives, a byte each 100 ms
}

var machineNames = []string{"m0", "m1", "m2", "m3"}

func newFleet(c *qt.C, maxDown int) *fleet {
	return &fleet{c: c, maxDown: maxDown, backAt: map[string]time.Time{}, maintained: map[string]int{}, drained: map[string]bool{}}
}

func (f *fleet) state(name string) yuccapaddle.MachineState {
	if time.Now().Before(f.backAt[name]) {
		return yuccapaddle.MachineMaintained
	}
	return yuccapaddle.MachineUp
}

// Machines implements yuccapaddle.Fleet.
func (f *fleet) Machines(ctx context.Context) ([]yuccapaddle.Machine, error) {
	for start := time.Now(); time.Since(start) < f.listing; awaiter.From(ctx).Arrived(1) {
		if err := sleeper.Sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	var list []yuccapaddle.Machine
	for _, n := range machineNames {
		m := yuccapaddle.Machine{Name: n, State: f.state(n), Worker: "s" + n}
		if n == f.noWorker {
			m.Worker = ""
		}
		list = append(list, m)
	}
	return list, nil
}

// Maintain implements yuccapaddle.Fleet.
func (f *fleet) Maintain(_ context.Context, machine string, _ int64, _ string, _ uint64) error {
	if f.outdated {
		return yuccapaddle.ErrOutdated
	}
	if f.maintained[machine] > 0 {
		return nil
	}
	down := 0
	for _, n := range machineNames {
		if f.state(n) == yuccapaddle.MachineMaintained {
			down++
		}
	}
	f.c.Check(down < f.maxDown, qt.IsTrue, qt.Commentf("%s goes down while %d are", machine, down))
	f.maintained[machine]++
	f.backAt[machine] = time.Now().Add(downTime)
	return nil
}

// Completed implements yuccapaddle.Fleet.
func (f *fleet) Completed(context.Context, int64) (bool, error) { return f.completed, nil }

// Report implements yuccapaddle.Fleet.
func (f *fleet) Report(_ context.Context, _ int64, completed bool) error {
	if completed {
		for _, n := range machineNames {
			if n != f.left {
				f.c.Check(f.maintained[n], qt.Equals, 1, qt.Commentf("completed, machine %s", n))
			}
		}
	}
	f.completed = completed
	return nil
}

// Drain implements yuccapaddle.Drainer.
func (f *fleet) Drain(_ context.Context, worker string, drain bool) (empty, mustStay bool) {
	f.c.Check(worker, qt.Not(qt.Equals), "")
	f.drained[worker] = drain
	return time.Now().After(f.busyUntil), false
}

// runWave runs a Maintainer for 20 s of virtual time on a wave of that time over all
// machines, at most so many at once. setUp prepares the fleet, check inspects it.
func runWave(t *testing.T, maxDown int, setUp func(fl *fleet), check func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(qt.New(t), maxDown)
		setUp(fl)
		rules := &yuccapaddle.Rules{Waves: []yuccapaddle.Wave{{Number: 1, Machines: machineNames, DurationS: 20, MaxDown: maxDown}}}
		m := maintainer.New(fl, fl, func() *yuccapaddle.Rules { return rules }, yuccapaddle.SystemClock{}, "h", 7, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return m.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		err := g.Wait()
		if fl.outdated {
			fl.c.Check(err, qt.ErrorIs, yuccapaddle.ErrOutdated)
		} else {
			fl.c.Check(err, qt.IsNil)
		}
		check(fl)
	})
}

// TestWave checks that all machines get their maintenance, never more at once than allowed.
func TestWave(t *testing.T) {
	runWave(t, 2, func(*fleet) {}, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestBusyMachines checks that machines whose tasks outlast the wave still get their
// maintenance in time.
func TestBusyMachines(t *testing.T) {
	runWave(t, 2, func(fl *fleet) { fl.busyUntil = time.Now().Add(time.Hour) }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestTakenOver checks that a host that takes over in the middle of a wave does not repeat
// the maintenance of machines that have had it.
func TestTakenOver(t *testing.T) {
	runWave(t, 1, func(fl *fleet) { fl.maintained["m0"], fl.maintained["m1"] = 1, 1 }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestCompletedBefore guards against workers that a host which takes over drains again for a
// wave that a former host has completed.
func TestCompletedBefore(t *testing.T) {
	runWave(t, 4, func(fl *fleet) {
		fl.completed, fl.busyUntil = true, time.Now().Add(time.Hour)
		for _, n := range machineNames {
			fl.maintained[n] = 1
		}
	}, func(fl *fleet) {
		fl.c.Check(fl.completed, qt.IsTrue)
		fl.c.Check(fl.drained, qt.HasLen, 0)
	})
}

// TestLongList checks that a wave advances although the list of machines takes longer to
// arrive than a silent call is waited for.
func TestLongList(t *testing.T) {
	runWave(t, 2, func(fl *fleet) { fl.listing = 1500 * time.Millisecond }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestOutdated checks that the Maintainer stops once a later host gives orders.
func TestOutdated(t *testing.T) {
	runWave(t, 1, func(fl *fleet) { fl.outdated = true }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsFalse) })
}

// TestNoWorker checks that a machine without a worker gets its maintenance without a drain.
func TestNoWorker(t *testing.T) {
	runWave(t, 2, func(fl *fleet) { fl.noWorker, fl.busyUntil = "m1", time.Now().Add(3*time.Second) }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestWithdrawnWave checks that workers get new runs again when their machines are taken
// out of a wave, or the wave is withdrawn, before the maintenance.
func TestWithdrawnWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(qt.New(t), 4)
		fl.busyUntil = time.Now().Add(time.Hour)
		var rules atomic.Pointer[yuccapaddle.Rules]
		set := func(waves ...yuccapaddle.Wave) {
			rules.Store(&yuccapaddle.Rules{Waves: waves})
			time.Sleep(2 * time.Second)
			synctest.Wait()
		}
		m := maintainer.New(fl, fl, rules.Load, yuccapaddle.SystemClock{}, "h", 7, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return m.Run(ctx) })
		set(yuccapaddle.Wave{Number: 1, Machines: machineNames, DurationS: 1000, MaxDown: 4})
		fl.c.Check(fl.drained, qt.DeepEquals, map[string]bool{"sm0": true, "sm1": true, "sm2": true, "sm3": true})
		set(yuccapaddle.Wave{Number: 1, Machines: machineNames[2:], DurationS: 1000, MaxDown: 4})
		fl.c.Check(fl.drained, qt.DeepEquals, map[string]bool{"sm0": false, "sm1": false, "sm2": true, "sm3": true})
		set()
		fl.c.Check(fl.drained, qt.DeepEquals, map[string]bool{"sm0": false, "sm1": false, "sm2": false, "sm3": false})
		cancel()
		fl.c.Check(g.Wait(), qt.IsNil)
		fl.c.Check(fl.maintained, qt.HasLen, 0)
	})
}
