package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/attempter"
	"yuccapaddle/internal/sleeper"
)

const (
	// loadTimeout bounds one attempt to read all job records, which may be many pages.
	loadTimeout       = 4 * time.Second
	loadRetryInterval = 100 * time.Millisecond
	// loadPollInterval is the time between two looks for submissions that have waited too
	// long for the job records.
	loadPollInterval = 50 * time.Millisecond
)

// loaded is what this host reads before its first decision.
type loaded struct {
	records  []yuccapaddle.StoredJob
	registry registryRead
	readable bool // the registrations have been read
}

// load reads the job records and the registrations, at the same time, until it has the
// records. Submissions that arrive meanwhile wait, and are refused if that takes long.
func (e *Executor) load() error {
	results := make(chan loaded, 1)
	e.group.Go("load", func() error {
		l, err := e.read()
		if err == nil {
			results <- l
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
		case l := <-results:
			e.readClock()
			e.restore(&l)
			e.restored.Store(true)
			e.group.Go("registrations", e.pollRegistry)
			return nil
		}
	}
}

// read reads the job records and the registrations. It repeats the read of the records
// until it succeeds or the context ends.
func (e *Executor) read() (loaded, error) {
	var l loaded
	registryDone := make(chan struct{})
	e.group.Go("first registrations", func() error {
		defer close(registryDone)
		var err error
		l.registry, err = e.readRegistry(attempter.New(registryTimeout, shortRegistryTimeout))
		l.readable = err == nil
		return nil
	})
	for {
		ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
		records, err := e.rec.Load(ctx)
		cancel()
		if err == nil {
			l.records = records
			break
		}
		if errors.Is(err, yuccapaddle.ErrInvalid) {
			return loaded{}, fmt.Errorf("load the job records: %w", err)
		}
		e.log.Info("cannot load the job records yet", zap.Error(err))
		if sleeper.Sleep(e.ctx, loadRetryInterval) != nil {
			return loaded{}, e.ctx.Err()
		}
	}
	<-registryDone
	return l, nil
}

// restore gives the planner what was read, and follows the workers on which runs of the
// former host may be in progress.
func (e *Executor) restore(l *loaded) {
	n := 0
	for i := range l.records {
		r := &l.records[i]
		if err := e.plan.Restore(r.Job, r.State, r.Parts); err != nil {
			e.log.Error("skipping a job record that cannot be restored", zap.Error(err))
			continue
		}
		n++
	}
	for _, r := range e.plan.Reports() {
		e.committedJobs[r.ID] = committedJob{r.Report, r.Queue}
	}
	for _, id := range e.plan.BusyWorkers() {
		e.link(id) // its leases have to be tracked even if it never registers again
	}
	if l.readable {
		e.applyRegistry(&l.registry) // the planner needs the workers for its first decision
	}
	e.log.Info("jobs loaded", zap.Int("jobs", n), zap.Uint64("epoch", e.rec.Epoch()),
		zap.Int64("took_ms", e.now.Sub(e.startedAt).Milliseconds()))
}
