package scheduler

import (
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
)

const (
	defaultMaxAttempts       = 4
	defaultQuarantineStrikes = 3
	defaultQuarantineMS      = 600_000
	failureCapFactor         = 3
)

// addStrike records that a request failed on a worker. The strike counts towards
// quarantine only after the same request has succeeded elsewhere, so that a
// request that fails everywhere does not put workers into quarantine.
func (s *Scheduler) addStrike(worker, key string) {
	if s.strikes[worker] == nil {
		s.strikes[worker] = map[string]bool{}
	}
	if _, ok := s.strikes[worker][key]; !ok {
		s.strikes[worker][key] = false
	}
}

// recordSuccess clears the strikes of the workers on which a request succeeded
// and confirms its strikes on the workers where it had failed.
func (s *Scheduler) recordSuccess(tg *trackedGang) {
	for _, m := range tg.gang.Members {
		delete(s.strikes, m.Worker)
	}
	for _, f := range s.state.Failures(tg.gang.Key) {
		if f.Worker != "" {
			s.confirmStrike(f.Worker, tg.gang.Key)
		}
	}
}

// confirmStrike confirms the strike of a request on a worker, and quarantines the
// worker once it has QuarantineStrikes confirmed strikes.
func (s *Scheduler) confirmStrike(worker, key string) {
	byRequest := s.strikes[worker]
	if _, ok := byRequest[key]; !ok {
		return // cleared since by the success of another request
	}
	byRequest[key] = true
	confirmed := 0
	for _, ok := range byRequest {
		if ok {
			confirmed++
		}
	}
	limits := &s.cfg.Site.Limits
	if confirmed < orDefault(limits.QuarantineStrikes, defaultQuarantineStrikes) || s.state.QuarantinedUntil(worker).After(s.now) {
		return
	}
	until := s.now.Add(time.Duration(orDefault(limits.QuarantineMS, defaultQuarantineMS)) * time.Millisecond)
	s.propose(keeper.Quarantine(worker, "jobs that failed there succeeded elsewhere", until, s.now))
	s.needsHomes, s.needsPlan = true, true
}

// dropStrikes removes the strikes of a request that failed everywhere, as they
// say nothing about the workers.
func (s *Scheduler) dropStrikes(key string) {
	for worker, byRequest := range s.strikes {
		delete(byRequest, key)
		if len(byRequest) == 0 {
			delete(s.strikes, worker)
		}
	}
}

// attemptsLeft reports whether a request that has just failed may be tried again.
// It may until it has failed on Attempts different workers, not counting those in
// quarantine, or Attempts*failureCapFactor times in total.
func (s *Scheduler) attemptsLeft(tg *trackedGang) bool {
	maxAttempts := orDefault(s.cfg.Site.Limits.Attempts, defaultMaxAttempts)
	failures := append([]yuccapaddle.Failure(nil), s.state.Failures(tg.gang.Key)...)
	failures = append(failures, *tg.stopCause.failure)
	if len(failures) >= maxAttempts*failureCapFactor {
		return false
	}
	workers := map[string]bool{}
	for _, f := range failures {
		if !s.state.QuarantinedUntil(f.Worker).After(s.now) {
			workers[f.Worker] = true
		}
	}
	return len(workers) < maxAttempts
}

// endQuarantines releases workers whose quarantine has expired. They are on
// probation: they keep one confirmed strike fewer than the limit.
func (s *Scheduler) endQuarantines() {
	for _, worker := range s.state.QuarantinedWorkers() {
		if s.state.QuarantinedUntil(worker).After(s.now) {
			continue
		}
		s.propose(keeper.Quarantine(worker, "the quarantine has ended", time.Time{}, s.now))
		s.strikes[worker] = map[string]bool{}
		for n := range orDefault(s.cfg.Site.Limits.QuarantineStrikes, defaultQuarantineStrikes) - 1 {
			s.strikes[worker][probationKeys[n%len(probationKeys)]] = true
		}
		s.needsHomes, s.needsPlan = true, true
	}
}

// probationKeys stand in for request keys in the strikes that a worker keeps
// after a quarantine.
var probationKeys = []string{"probation/1", "probation/2", "probation/3", "probation/4"}

func orDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}
