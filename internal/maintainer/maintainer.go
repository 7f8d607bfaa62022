// Package maintainer takes machines down for the maintenance that operators order in
// waves. It first drains their workers as far as the time of the wave allows, and limits
// how many machines are down at once.
package maintainer

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/sleeper"
)

const (
	checkInterval = 400 * time.Millisecond
	callTimeout   = 700 * time.Millisecond
	// reportTimeout bounds a report, which reads and writes.
	reportTimeout = 2 * callTimeout
	// refusalRetryInterval is the time until an order is tried again that was refused since the
	// machine is not of the wave, or not there. It covers the age of the rules in force.
	refusalRetryInterval = 2 * time.Second
	// listTimeout bounds the read of the list of machines as long as it arrives; it ends
	// when nothing has arrived for callTimeout.
	listTimeout = 10 * time.Second
)

// Maintainer carries out the maintenance waves. It runs on the active host.
type Maintainer struct {
	fleet   yuccapaddle.Fleet
	drainer yuccapaddle.Drainer
	rules   func() *yuccapaddle.Rules
	clock   yuccapaddle.Clock
	log     *zap.Logger
	holder  string
	token   uint64
	waves   map[int64]*waveProgress

	leased    func() bool
	notBefore func() time.Time
}

// Option changes a Maintainer under construction.
type Option func(*Maintainer)

// WithRole makes the Maintainer order only what no other host contradicts: nothing unless
// leased reports, right before the order, that this host has renewed its lease of late, and
// nothing before the time that notBefore returns, until which a former active host may still
// be ordering. Machines need not check fencing tokens.
func WithRole(leased func() bool, notBefore func() time.Time) Option {
	return func(m *Maintainer) { m.leased, m.notBefore = leased, notBefore }
}

// New returns a Maintainer. Its orders carry holder and the fencing token, so that those
// of a former host are refused where machines check them.
func New(fleet yuccapaddle.Fleet, drainer yuccapaddle.Drainer, rules func() *yuccapaddle.Rules, clock yuccapaddle.Clock,
	holder string, token uint64, log *zap.Logger, opts ...Option,
) *Maintainer {
	m := &Maintainer{
		fleet: fleet, drainer: drainer, rules: rules, clock: clock, holder: holder, token: token, log: log, waves: map[int64]*waveProgress{},
		leased: func() bool { return true }, notBefore: func() time.Time { return time.Time{} },
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// mayOrder reports whether this host is the only one that orders maintenance now.
func (m *Maintainer) mayOrder() bool {
	return m.leased() && !m.clock.Now().Before(m.notBefore())
}

// Run works on the waves until the context ends, when it returns nil, or until a later
// host gives orders, when its error matches ErrOutdated.
func (m *Maintainer) Run(ctx context.Context) error {
	for {
		if err := m.step(ctx); errors.Is(err, yuccapaddle.ErrOutdated) {
			return err
		} else if err != nil {
			m.log.Info("maintenance waves cannot advance", zap.Error(err))
		}
		if sleeper.Sleep(ctx, checkInterval) != nil {
			return nil
		}
	}
}

// step advances every open wave.
func (m *Maintainer) step(ctx context.Context) error {
	m.releaseWithdrawn(ctx)
	if err := m.skipCompleted(ctx); err != nil {
		return err
	}
	waves := m.openWaves()
	if len(waves) == 0 {
		return nil
	}
	callCtx, wait := awaiter.New(ctx, callTimeout, listTimeout)
	machines, err := m.fleet.Machines(callCtx)
	wait.Stop()
	if err != nil {
		return err
	}
	byName := make(map[string]*yuccapaddle.Machine, len(machines))
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
	}
	var errs []error
	for _, w := range waves {
		errs = append(errs, m.advance(ctx, w, byName))
	}
	return errors.Join(errs...)
}

// skipCompleted marks the waves as completed that a former host has completed: their workers
// must not be drained again.
func (m *Maintainer) skipCompleted(ctx context.Context) error {
	for _, w := range m.openWaves() {
		if w.looked {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		completed, err := m.fleet.Completed(callCtx, w.Number)
		cancel()
		if err != nil {
			return err
		}
		w.looked, w.completed = true, completed
		if completed {
			m.log.Info("wave was completed before", zap.Int64("wave", w.Number))
		}
	}
	return nil
}

// releaseWithdrawn lets the workers get new runs again whose machines were taken out of a
// wave, or whose wave was withdrawn, before the maintenance, or are no longer listed.
func (m *Maintainer) releaseWithdrawn(ctx context.Context) {
	rules := m.rules()
	if rules == nil {
		return
	}
	ordered := map[int64][]string{}
	for _, order := range rules.Waves {
		ordered[order.Number] = order.Machines
	}
	now := m.clock.Now()
	for number, w := range m.waves {
		machines, open := ordered[number]
		for name := range w.drainingSince {
			stays := slices.Contains(machines, name) && !w.gone(name, now)
			if w.done[name] || !w.down[name].IsZero() || stays {
				continue
			}
			m.drain(ctx, w.workers[name], false)
			delete(w.drainingSince, name)
			delete(w.workers, name)
		}
		if !open {
			delete(m.waves, number)
		}
	}
}

// drain stops or allows new runs on a worker and reports whether nothing runs there, and
// whether it has to stay. A machine without a worker has nothing to drain.
func (m *Maintainer) drain(ctx context.Context, worker string, drain bool) (empty, mustStay bool) {
	if worker == "" {
		return true, false
	}
	return m.drainer.Drain(ctx, worker, drain)
}

// openWaves returns the waves of the rules in force that are not completed. The time of
// a wave starts when this host first sees it.
func (m *Maintainer) openWaves() []*waveProgress {
	rules := m.rules()
	if rules == nil {
		return nil
	}
	var list []*waveProgress
	for _, order := range rules.Waves {
		w := m.waves[order.Number]
		if w == nil {
			w = newWaveProgress(m.clock.Now().Add(time.Duration(order.DurationS * float64(time.Second))))
			m.waves[order.Number] = w
		}
		w.Wave = order
		if !w.completed {
			list = append(list, w)
		}
	}
	return list
}

// advance takes further machines of a wave down as far as its limit allows, and reports
// its start and end.
func (m *Maintainer) advance(ctx context.Context, w *waveProgress, machines map[string]*yuccapaddle.Machine) error {
	if !w.announced {
		err := m.reportWave(ctx, w, false)
		w.announced, w.completed = err == nil, errors.Is(err, yuccapaddle.ErrWaveCompleted)
		if err != nil {
			return err
		}
	}
	now := m.clock.Now()
	w.observe(machines, now)
	m.finishMaintained(ctx, w, machines)
	inProgress := w.inProgress(machines, now)
	remaining := 0
	for _, name := range w.Machines {
		if w.done[name] || !w.down[name].IsZero() || w.gone(name, now) {
			continue
		}
		remaining++
		if machines[name] == nil || now.Before(w.retryAt[name]) {
			continue
		}
		if !inProgress[name] && len(inProgress) >= w.limit() {
			continue
		}
		inProgress[name] = true
		if err := m.takeDown(ctx, w, machines[name]); err != nil {
			return err
		}
	}
	if remaining > 0 || len(w.down) > 0 {
		return nil
	}
	if err := m.reportWave(ctx, w, true); err != nil {
		return err
	}
	w.completed = true
	return nil
}

// finishMaintained marks the machines that are back from maintenance, or are no longer part
// of the fleet, as done, and lets their workers get new runs again.
func (m *Maintainer) finishMaintained(ctx context.Context, w *waveProgress, machines map[string]*yuccapaddle.Machine) {
	now := m.clock.Now()
	for name, at := range w.down {
		machine := machines[name]
		// Maintain is idempotent, so a machine that is up a check interval after the order
		// is either back or had its maintenance before.
		back := machine != nil && machine.State == yuccapaddle.MachineUp && now.Sub(at) >= checkInterval
		if !back && !w.gone(name, now) {
			continue
		}
		delete(w.down, name)
		w.done[name] = true
		m.drain(ctx, w.workers[name], false)
	}
}

// takeDown drains the worker of a machine, and orders the machine down once nothing runs
// there or its drain deadline has passed, unless a step needs the worker or this host may
// not be the only one that orders. An error that is not ErrOutdated is only logged, since
// the next step tries again.
func (m *Maintainer) takeDown(ctx context.Context, w *waveProgress, machine *yuccapaddle.Machine) error {
	now, name := m.clock.Now(), machine.Name
	if w.drainingSince[name].IsZero() {
		w.drainingSince[name], w.workers[name] = now, machine.Worker
	}
	empty, mustStay := m.drain(ctx, machine.Worker, true)
	if !empty && (mustStay || now.Before(w.drainDeadline(name))) {
		return nil
	}
	if !m.mayOrder() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.fleet.Maintain(callCtx, name, w.Number, m.holder, m.token)
	m.log.Info("maintenance ordered", zap.String("machine", name), zap.Int64("wave", w.Number), zap.String("worker", machine.Worker),
		zap.Bool("empty", empty), zap.Int64("waited_ms", now.Sub(w.drainingSince[name]).Milliseconds()), zap.Error(err))
	switch {
	case err == nil:
		w.down[name], w.workers[name] = now, machine.Worker
	case errors.Is(err, yuccapaddle.ErrNotOfWave), errors.Is(err, yuccapaddle.ErrNoMachine):
		m.postpone(ctx, w, machine)
	case errors.Is(err, yuccapaddle.ErrOutdated):
		return err
	}
	return nil
}

// postpone lets the worker of a machine whose order was refused get new runs again until the
// next attempt. The refusal is of the wave or the machine as the platform had it then. The
// machine stays in the wave for as long as the rules name it.
func (m *Maintainer) postpone(ctx context.Context, w *waveProgress, machine *yuccapaddle.Machine) {
	m.drain(ctx, machine.Worker, false)
	delete(w.drainingSince, machine.Name)
	delete(w.workers, machine.Name)
	w.retryAt[machine.Name] = m.clock.Now().Add(refusalRetryInterval)
}

// reportWave reports the start or the end of a wave to the operators.
func (m *Maintainer) reportWave(ctx context.Context, w *waveProgress, completed bool) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := m.fleet.Report(ctx, w.Number, completed); err != nil {
		return err
	}
	m.log.Info("wave", zap.Int64("wave", w.Number), zap.Bool("completed", completed))
	return nil
}
