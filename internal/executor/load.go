package executor

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/sleeper"
)

const (
	loadRetryInterval = 100 * time.Millisecond
	// loadPollInterval is the time between two looks for submissions that have waited too
	// long for the job records.
	loadPollInterval = 50 * time.Millisecond
)

// load reads the job records and the registrations, at the same time, until it has the
// records. Submissions that arrive meanwhile wait, and are refused if that takes long.
func (e *Executor) load() error {
	results := make(chan []yuccapaddle.StoredJob, 1)
	e.group.Go("load", func() error {
		records, err := e.read()
		if err == nil {
			results <- records
		}
		return err
	})
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case s := <-e.submissions:
			e.pendingSubmissions = append(e.pendingSubmissions, s)
		case <-ticker.C:
			e.readClock()
			e.refuseOverdue()
		case records := <-results:
			e.readClock()
			e.restore(records)
			e.applyRules()   // calls are judged by them before the loop begins
			e.handleEvents() // the registrations, before any submission
			e.restored.Store(true)
			return nil
		}
	}
}

// read reads the job records. It repeats the read until it succeeds or the context ends.
// Meanwhile the registrations are read, and wait among the events until the loop begins:
// the planner needs the workers for its first decision. read waits for them as long as for
// those of a service that is silent, since the records let it keep what runs.
func (e *Executor) read() ([]yuccapaddle.StoredJob, error) {
	first := make(chan struct{})
	e.group.Go("registrations", func() error { return e.pollRegistry(first) })
	enough := time.NewTimer(registryTimeout)
	defer enough.Stop()
	records, err := e.readRecords()
	if err != nil {
		return nil, err
	}
	select {
	case <-first:
	case <-enough.C:
	case <-e.ctx.Done():
	}
	return records, nil
}

func (e *Executor) readRecords() ([]yuccapaddle.StoredJob, error) {
	for {
		records, err := e.rec.Load(e.ctx)
		if err == nil {
			return records, nil
		}
		if errors.Is(err, yuccapaddle.ErrInvalid) {
			return nil, fmt.Errorf("load the job records: %w", err)
		}
		e.log.Info("cannot load the job records yet", zap.Error(err))
		if sleeper.Sleep(e.ctx, loadRetryInterval) != nil {
			return nil, e.ctx.Err()
		}
	}
}

// restore gives the planner what was read, and follows the workers on which runs of the
// former host may be in progress.
func (e *Executor) restore(records []yuccapaddle.StoredJob) {
	n := 0
	for i := range records {
		r := &records[i]
		if r.Cancellation != nil {
			if err := e.plan.RestoreCancellation(r); err != nil {
				e.log.Error("skipping a cancellation that cannot be restored", zap.Error(err))
			}
			continue
		}
		if err := e.plan.Restore(r); err != nil {
			e.log.Error("skipping a job record that cannot be restored", zap.Error(err))
			continue
		}
		n++
	}
	for _, r := range e.plan.Reports() {
		e.committedJobs[r.ID] = committedJob{r.Report, r.Spec}
	}
	for _, id := range e.plan.BusyWorkers() {
		e.link(id) // its leases have to be tracked even if it never registers again
	}
	e.log.Info("jobs loaded", zap.Int("jobs", n), zap.Uint64("epoch", e.rec.Epoch()),
		zap.Int64("took_ms", e.now.Sub(e.startedAt).Milliseconds()))
}
