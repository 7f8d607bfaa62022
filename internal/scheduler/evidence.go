package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

const (
	defaultAttempts     = 4
	defaultStrikes      = 3
	defaultQuarantineMS = 600_000
	attemptsHardFactor  = 3
)

// strike notes that a job failed on a worker. It counts against the worker only
// once the same job has succeeded elsewhere, so that a job that fails
// everywhere does not put workers into quarantine.
func (s *Scheduler) strike(worker, key string) {
	if s.strikes[worker] == nil {
		s.strikes[worker] = map[string]bool{}
	}
	if _, ok := s.strikes[worker][key]; !ok {
		s.strikes[worker][key] = false
	}
}

// credit clears the workers on which a job succeeded and confirms the strikes
// of those on which it had failed.
func (s *Scheduler) credit(lg *liveGang) {
	for _, m := range lg.gang.Members {
		delete(s.strikes, m.Worker)
	}
	for _, f := range s.state.Failures(lg.gang.Key) {
		if f.Worker != "" {
			s.confirm(f.Worker, lg.gang.Key)
		}
	}
}

func (s *Scheduler) confirm(worker, key string) {
	jobs := s.strikes[worker]
	if _, ok := jobs[key]; !ok {
		return // it has succeeded with another job since
	}
	jobs[key] = true
	confirmed := 0
	for _, ok := range jobs {
		if ok {
			confirmed++
		}
	}
	limits := &s.cfg.Site.Limits
	if confirmed < orDefault(limits.QuarantineStrikes, defaultStrikes) || s.state.Quarantined(worker).After(s.now) {
		return
	}
	until := s.now.Add(time.Duration(orDefault(limits.QuarantineMS, defaultQuarantineMS)) * time.Millisecond)
	s.propose(keeper.Quarantine(worker, "jobs that failed there succeeded elsewhere", until, s.now))
	s.rehome, s.dirty = true, true
}

// pardon removes the strikes of a job that failed everywhere.
func (s *Scheduler) pardon(key string) {
	for worker, jobs := range s.strikes {
		delete(jobs, key)
		if len(jobs) == 0 {
			delete(s.strikes, worker)
		}
	}
}

// attemptsLeft counts the different workers on which a request has failed,
// without those that are in quarantine.
func (s *Scheduler) attemptsLeft(lg *liveGang) bool {
	most := orDefault(s.cfg.Site.Limits.Attempts, defaultAttempts)
	failures := append([]yuccapaddle.Failure(nil), s.state.Failures(lg.gang.Key)...)
	failures = append(failures, *lg.ending.failure)
	if len(failures) >= most*attemptsHardFactor {
		return false
	}
	workers := map[string]bool{}
	for _, f := range failures {
		if !s.state.Quarantined(f.Worker).After(s.now) {
			workers[f.Worker] = true
		}
	}
	return len(workers) < most
}

// endQuarantines lets workers back on probation: one confirmed strike less than
// the limit stays on them.
func (s *Scheduler) endQuarantines() {
	for _, worker := range s.state.QuarantineList() {
		if s.state.Quarantined(worker).After(s.now) {
			continue
		}
		s.propose(keeper.Quarantine(worker, "the quarantine has ended", time.Time{}, s.now))
		s.strikes[worker] = map[string]bool{}
		for n := range orDefault(s.cfg.Site.Limits.QuarantineStrikes, defaultStrikes) - 1 {
			s.strikes[worker][probation[n%len(probation)]] = true
		}
		s.rehome, s.dirty = true, true
	}
}

// probation are the keys of strikes that a former quarantine leaves behind.
var probation = []string{"probation/1", "probation/2", "probation/3", "probation/4"}

func orDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}
