// Package maintainer takes machines down for their maintenance, as operators order it
// in waves: each in time, not too many at once, and empty ones first.
package maintainer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	lookEvery = 400 * time.Millisecond
	callTime  = 700 * time.Millisecond
	// emptyShare is the part of a machine's share of the time in which it may wait
	// until nothing runs on it.
	emptyShare = 0.8
)

// Maintainer runs on the active host.
type Maintainer struct {
	fleet   yuccapaddle.Fleet
	drainer yuccapaddle.Drainer
	rules   func() *yuccapaddle.Rules
	clock   yuccapaddle.Clock
	log     *zap.Logger
	holder  string
	token   uint64
	waves   map[int64]*wave
}

// wave is the progress of one order.
type wave struct {
	yuccapaddle.Wave
	until     time.Time
	done      map[string]bool
	down      map[string]time.Time // ordered down, and when
	vacated   map[string]time.Time // workers that are being emptied, by machine
	workers   map[string]string
	announced bool
	completed bool
}

// New returns an Maintainer that gives orders in the name of holder under a token.
func New(fleet yuccapaddle.Fleet, drainer yuccapaddle.Drainer, rules func() *yuccapaddle.Rules, clock yuccapaddle.Clock,
	holder string, token uint64, log *zap.Logger,
) *Maintainer {
	return &Maintainer{
		fleet: fleet, drainer: drainer, rules: rules, clock: clock, holder: holder, token: token, log: log, waves: map[int64]*wave{},
	}
}

// Run works on the waves until the context ends or a later host gives orders.
func (u *Maintainer) Run(ctx context.Context) error {
	for {
		if err := u.step(ctx); errors.Is(err, yuccapaddle.ErrOutdated) {
			return err
		} else if err != nil {
			u.log.Info("a wave does not advance", zap.Error(err))
		}
		if sleeper.Sleep(ctx, lookEvery) != nil {
			return nil
		}
	}
}

// step brings every wave that is not completed forward.
func (u *Maintainer) step(ctx context.Context) error {
	open := u.open()
	if len(open) == 0 {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	machines, err := u.fleet.Machines(callCtx)
	cancel()
	if err != nil {
		return err
	}
	byName := make(map[string]*yuccapaddle.Machine, len(machines))
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
	}
	var errs []error
	for _, w := range open {
		errs = append(errs, u.advance(ctx, w, byName))
	}
	return errors.Join(errs...)
}

// open lists the waves to work on.
func (u *Maintainer) open() []*wave {
	rules := u.rules()
	if rules == nil {
		return nil
	}
	var list []*wave
	for _, r := range rules.Waves {
		w := u.waves[r.Number]
		if w == nil {
			w = &wave{
				until: u.clock.Now().Add(time.Duration(r.DurationS * float64(time.Second))),
				done:  map[string]bool{}, down: map[string]time.Time{}, vacated: map[string]time.Time{}, workers: map[string]string{},
			}
			u.waves[r.Number] = w
		}
		w.Wave = r
		if !w.completed {
			list = append(list, w)
		}
	}
	return list
}

func (u *Maintainer) advance(ctx context.Context, w *wave, machines map[string]*yuccapaddle.Machine) error {
	if !w.announced {
		if err := u.report(ctx, w, false); err != nil {
			return err
		}
		w.announced = true
	}
	u.settle(ctx, w, machines)
	busy := len(w.down)
	left := 0
	for _, name := range w.Machines {
		if w.done[name] || !w.down[name].IsZero() {
			continue
		}
		left++
		if busy >= max(w.Most, 1) {
			continue
		}
		busy++
		if err := u.takeDown(ctx, w, machines[name], name); err != nil {
			return err
		}
	}
	if left > 0 || len(w.down) > 0 {
		return nil
	}
	if err := u.report(ctx, w, true); err != nil {
		return err
	}
	w.completed = true
	return nil
}

// settle notes which machines are back from their maintenance.
func (u *Maintainer) settle(ctx context.Context, w *wave, machines map[string]*yuccapaddle.Machine) {
	for name, at := range w.down {
		m := machines[name]
		// A machine that is up soon after the order had its maintenance before.
		back := m == nil || m.State == yuccapaddle.MachineUp
		if !back || u.clock.Now().Sub(at) < lookEvery {
			continue
		}
		delete(w.down, name)
		w.done[name] = true
		u.drainer.Drain(ctx, w.workers[name], false)
	}
}

// takeDown orders a machine down once nothing runs on it, or its time is up.
func (u *Maintainer) takeDown(ctx context.Context, w *wave, m *yuccapaddle.Machine, name string) error {
	now := u.clock.Now()
	if m == nil {
		w.done[name] = true // it has left for good
		return nil
	}
	if w.vacated[name].IsZero() {
		w.vacated[name], w.workers[name] = now, m.Worker
	}
	empty, needed := u.drainer.Drain(ctx, m.Worker, true)
	if !empty && (needed || now.Before(u.patience(w, name))) {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	err := u.fleet.Maintain(callCtx, name, w.Number, u.holder, u.token)
	u.log.Info("maintenance ordered", zap.String("machine", name), zap.Int64("wave", w.Number), zap.String("worker", m.Worker),
		zap.Bool("empty", empty), zap.Int64("waited_ms", now.Sub(w.vacated[name]).Milliseconds()), zap.Error(err))
	switch {
	case err == nil:
		w.down[name], w.workers[name] = now, m.Worker
	case errors.Is(err, yuccapaddle.ErrNotOfWave):
		w.done[name] = true
		u.drainer.Drain(ctx, m.Worker, false)
	case errors.Is(err, yuccapaddle.ErrOutdated):
		return err
	}
	return nil
}

// patience is until when a machine may wait for its tasks: its share of the time
// that the wave has, at as many at once as are allowed.
func (u *Maintainer) patience(w *wave, name string) time.Time {
	left := 0
	for _, m := range w.Machines {
		if !w.done[m] {
			left++
		}
	}
	rounds := (left + max(w.Most, 1) - 1) / max(w.Most, 1)
	share := w.until.Sub(w.vacated[name]) / time.Duration(max(rounds, 1))
	return w.vacated[name].Add(time.Duration(emptyShare * float64(share)))
}

func (u *Maintainer) report(ctx context.Context, w *wave, completed bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := u.fleet.Report(ctx, w.Number, completed); err != nil {
		return err
	}
	u.log.Info("wave", zap.Int64("wave", w.Number), zap.Bool("completed", completed))
	return nil
}
