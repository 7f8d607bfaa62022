package taskrunner

import (
	"fmt"
	"time"

	"yuccapaddle"
)

const (
	// crashDelay is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 20 * time.Millisecond
	// downtime is how long a worker is away after a crash.
	downtime = 3 * time.Second
)

// WithCrashes makes every task for which crashes returns true crash the worker soon
// after its start.
func WithCrashes(crashes func(t yuccapaddle.TaskID, payload string) bool) Option {
	return func(tr *TaskRunner) { tr.crashes = crashes }
}

// WithReplacement makes the worker come back from a crash under another ID. Without it,
// the worker keeps its ID and has a later incarnation.
func WithReplacement() Option {
	return func(tr *TaskRunner) { tr.replaced = true }
}

// Crash simulates a crash of the worker: all that ran on it is lost, and it answers
// nothing until it is back.
func (tr *TaskRunner) Crash() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.advance()
	if tr.up() {
		tr.crash()
	}
}

// Up reports whether the worker is not away after a crash.
func (tr *TaskRunner) Up() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.advance()
	return tr.up()
}

// Crashes returns how often the worker has crashed.
func (tr *TaskRunner) Crashes() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.advance()
	return tr.crashCount
}

func (tr *TaskRunner) up() bool {
	return tr.returnAt.IsZero()
}

// advance lets a crash or a return that is due take place. The caller holds tr.mu.
func (tr *TaskRunner) advance() {
	now := time.Now()
	if !tr.up() && !now.Before(tr.returnAt) {
		tr.comeBack()
	}
	for _, r := range tr.runs {
		if !r.crashAt.IsZero() && !now.Before(r.crashAt) {
			tr.crash()
			return
		}
	}
}

func (tr *TaskRunner) crash() {
	tr.crashCount++
	tr.returnAt = time.Now().Add(downtime)
	tr.runs, tr.ends = map[yuccapaddle.TaskID]*run{}, nil
}

func (tr *TaskRunner) comeBack() {
	tr.returnAt = time.Time{}
	if tr.replaced {
		tr.registration.ID = fmt.Sprintf("%s-%d", tr.firstID, tr.crashCount)
	}
	tr.reset()
}
