package executor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
	"yuccapaddle/internal/sleeper"
)

const (
	registryTimeout = 600 * time.Millisecond
	// shortRegistryTimeout and registryRetryInterval apply while the registrations cannot
	// be read: no task is placed until they are.
	shortRegistryTimeout  = 250 * time.Millisecond
	registryRetryInterval = 100 * time.Millisecond
)

// pollRegistry reads the registrations until the context ends.
func (e *Executor) pollRegistry() error {
	attempts := attempter.New(registryTimeout, shortRegistryTimeout)
	for {
		pause := e.leaveTime(pollFraction)
		read, err := e.readRegistry(attempts)
		if err != nil {
			pause = registryRetryInterval
		} else {
			e.post(func() { e.applyRegistry(&read) })
		}
		if sleeper.Sleep(e.ctx, pause) != nil {
			return e.ctx.Err()
		}
	}
}

// registryRead is the result of reading the registrations.
type registryRead struct {
	workers []yuccapaddle.Worker
	// sentAt is the time before the call: the list is at least as new. arrivedAt is the
	// time after it: the workers' clocks were read by then.
	sentAt, arrivedAt time.Time
}

// readRegistry reads the registrations once.
func (e *Executor) readRegistry(attempts *attempter.Attempter) (registryRead, error) {
	r := registryRead{sentAt: e.clock.Now()}
	ctx, cancel := context.WithTimeout(e.ctx, attempts.Timeout())
	defer cancel()
	var err error
	r.workers, err = e.registry.Workers(ctx)
	r.arrivedAt = e.clock.Now()
	attempts.Note(err == nil, r.arrivedAt.Sub(r.sentAt))
	e.meter.Observe("registrations", outcomeLabel(err), r.arrivedAt.Sub(r.sentAt))
	if (err != nil) != e.registryDown {
		e.registryDown = err != nil
		e.log.Info("registrations", zap.Bool("readable", !e.registryDown), zap.Error(err))
	}
	return r, err
}

// applyRegistry puts registrations into force.
func (e *Executor) applyRegistry(r *registryRead) {
	e.registryReadAt = r.sentAt
	e.plan.SetRegistrations(r.workers)
	e.updateClocks(r.workers, r.arrivedAt)
}
