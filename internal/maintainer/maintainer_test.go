package maintainer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/maintainer"
)

const downTime = 2 * time.Second

// fleet plays the machines m0 to m3, each with the worker of the same number.
type fleet struct {
	c         *qt.C
	most      int
	backAt    map[string]time.Time
	serviced  map[string]int
	completed bool
	busyUntil time.Time // until then tasks run on the workers
	outdated  bool
}

var names = []string{"m0", "m1", "m2", "m3"}

func newFleet(c *qt.C, most int) *fleet {
	return &fleet{c: c, most: most, backAt: map[string]time.Time{}, serviced: map[string]int{}}
}

func (f *fleet) state(name string) yuccapaddle.MachineState {
	if time.Now().Before(f.backAt[name]) {
		return yuccapaddle.MachineMaintained
	}
	return yuccapaddle.MachineUp
}

// Machines implements yuccapaddle.Fleet.
func (f *fleet) Machines(context.Context) ([]yuccapaddle.Machine, error) {
	var list []yuccapaddle.Machine
	for _, n := range names {
		list = append(list, yuccapaddle.Machine{Name: n, State: f.state(n), Worker: "s" + n})
	}
	return list, nil
}

// Maintain implements yuccapaddle.Fleet.
func (f *fleet) Maintain(_ context.Context, machine string, _ int64, _ string, _ uint64) error {
	if f.outdated {
		return yuccapaddle.ErrOutdated
	}
	if f.serviced[machine] > 0 {
		return nil
	}
	down := 0
	for _, n := range names {
		if f.state(n) == yuccapaddle.MachineMaintained {
			down++
		}
	}
	f.c.Check(down < f.most, qt.IsTrue, qt.Commentf("%s goes down while %d are", machine, down))
	f.serviced[machine]++
	f.backAt[machine] = time.Now().Add(downTime)
	return nil
}

// Report implements yuccapaddle.Fleet.
func (f *fleet) Report(_ context.Context, _ int64, completed bool) error {
	if completed {
		for _, n := range names {
			f.c.Check(f.serviced[n], qt.Equals, 1, qt.Commentf("completed, machine %s", n))
		}
	}
	f.completed = completed
	return nil
}

// Drain implements yuccapaddle.Drainer.
func (f *fleet) Drain(context.Context, string, bool) (empty, needed bool) {
	return time.Now().After(f.busyUntil), false
}

func play(t *testing.T, most int, f func(fl *fleet), check func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(qt.New(t), most)
		f(fl)
		rules := &yuccapaddle.Rules{Waves: []yuccapaddle.Wave{{Number: 1, Machines: names, DurationS: 20, Most: most}}}
		u := maintainer.New(fl, fl, func() *yuccapaddle.Rules { return rules }, yuccapaddle.SystemClock{}, "h", 7, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return u.Run(ctx) })
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

// TestWave: all machines have their maintenance, never more at once than allowed.
func TestWave(t *testing.T) {
	play(t, 2, func(*fleet) {}, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestBusy: machines on which tasks run for longer than the wave may take have
// their maintenance in time all the same.
func TestBusy(t *testing.T) {
	play(t, 2, func(fl *fleet) { fl.busyUntil = time.Now().Add(time.Hour) }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestTakenOver: a host that takes over halfway does not do again what is done.
func TestTakenOver(t *testing.T) {
	play(t, 1, func(fl *fleet) { fl.serviced["m0"], fl.serviced["m1"] = 1, 1 }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsTrue) })
}

// TestOutdated: once a later host gives orders this one stops.
func TestOutdated(t *testing.T) {
	play(t, 1, func(fl *fleet) { fl.outdated = true }, func(fl *fleet) { fl.c.Check(fl.completed, qt.IsFalse) })
}
