package executor

import (
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
	"yuccapaddle/internal/awaiter"
	"yuccapaddle/internal/sleeper"
)

const (
	// registryTimeout bounds the silence of a read of the registrations, which may be a
	// long list.
	registryTimeout = 600 * time.Millisecond
	// shortRegistryTimeout and registryRetryInterval apply while the registrations cannot
	// be read: no task is placed until they are.
	shortRegistryTimeout  = 250 * time.Millisecond
	registryRetryInterval = 100 * time.Millisecond
	// registryFraction bounds a whole read, as a fraction of Bounds.LeaveWithinMS.
	registryFraction = 4
)

// pollRegistry reads the registrations until the context ends. It closes first after the
// first attempt.
func (e *Executor) pollRegistry(first chan<- struct{}) error {
	attempts := attempter.New(registryTimeout, shortRegistryTimeout)
	for {
		read, err := e.readRegistry(attempts)
		if err == nil {
			e.post(func() { e.applyRegistry(&read) })
		} else {
			e.post(e.plan.NoteFailedRead)
		}
		if first != nil {
			close(first)
			first = nil
		}
		if sleeper.Sleep(e.ctx, e.registryPause(&read, err)) != nil {
			return e.ctx.Err()
		}
	}
}

// registryPause returns the time until the next read after one that ended with err.
func (e *Executor) registryPause(read *registryRead, err error) time.Duration {
	switch {
	case err == nil:
		return e.leaveTime(pollFraction)
	case read.bytes > 0: // the next one begins anew, so leave the link to others
		return max(registryRetryInterval, read.arrivedAt.Sub(read.sentAt))
	}
	return registryRetryInterval
}

// registryRead is the result of reading the registrations.
type registryRead struct {
	workers []yuccapaddle.Worker
	bytes   int64 // that have arrived
	// sentAt is the time before the call: the list is at least as new. arrivedAt is the
	// time after it: the workers' clocks were read by then.
	sentAt, arrivedAt time.Time
}

// readRegistry reads the registrations once.
func (e *Executor) readRegistry(attempts *attempter.Attempter) (registryRead, error) {
	r := registryRead{sentAt: e.clock.Now()}
	ctx, wait := awaiter.New(e.ctx, attempts.Timeout(), e.leaveTime(registryFraction))
	defer wait.Stop()
	var err error
	r.workers, err = e.registry.Workers(ctx)
	r.arrivedAt, r.bytes = e.clock.Now(), wait.Bytes()
	attempts.Note(err == nil, wait.Longest())
	e.meter.Observe("registrations", outcomeLabel(err), r.arrivedAt.Sub(r.sentAt))
	if (err != nil) != e.registryDown {
		e.registryDown = err != nil
		e.log.Info("registrations", zap.Bool("readable", !e.registryDown), zap.Int64("arrived", r.bytes), zap.Error(err))
	}
	return r, err
}

// applyRegistry puts registrations into force.
func (e *Executor) applyRegistry(r *registryRead) {
	e.registryReadAt = r.sentAt
	e.setLeaveTimes(r)
	e.plan.SetRegistrations(r.workers, r.sentAt)
	e.updateClocks(r.workers, r.arrivedAt)
}
