// Package attempter chooses the timeouts of calls that are repeated until a service
// answers. The calls have to be idempotent.
package attempter

import "time"

const (
	// latencyFactor times the highest latency of late is how long the first attempt waits:
	// a reply that takes longer is more likely lost than slow.
	latencyFactor = 8
	// latencyDecay is what remains of a high latency after each faster answer.
	latencyDecay = 0.95
	// shortAttempts is how many short attempts follow each full one while there is no
	// answer at all.
	shortAttempts = 2
)

// Attempter gives attempts a timeout by the latency of late, so that a lost reply costs
// little, and longer ones if that is not enough. While the service does not answer at all,
// most attempts are short, so that its return is noticed soon, and some have the full
// timeout, in case it is only slow. It is not safe for concurrent use.
type Attempter struct {
	full, short time.Duration
	latency     time.Duration // the highest of late, 0 if there was no answer yet
	unanswered  int           // attempts since the last answer
}

// New returns an Attempter for calls with the timeout full. No timeout is less than short.
func New(full, short time.Duration) *Attempter {
	return &Attempter{full: full, short: short}
}

// Timeout returns the timeout of the next attempt.
func (a *Attempter) Timeout() time.Duration {
	switch {
	case a.unanswered == 0:
		return a.first()
	case a.unanswered == 1:
		return min(2*a.first(), a.full)
	case (a.unanswered-2)%(shortAttempts+1) == 0:
		return a.full
	}
	return a.short
}

// first returns the timeout of an attempt after one that was answered.
func (a *Attempter) first() time.Duration {
	if a.latency == 0 {
		return a.full
	}
	return min(max(latencyFactor*a.latency, a.short), a.full)
}

// Note records whether an attempt was answered, if only by a refusal, and how long it
// took.
func (a *Attempter) Note(answered bool, took time.Duration) {
	if !answered {
		a.unanswered++
		return
	}
	a.unanswered = 0
	a.latency = max(took, time.Duration(latencyDecay*float64(a.latency)), 1)
}
