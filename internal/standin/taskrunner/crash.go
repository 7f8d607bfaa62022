package taskrunner

import (
	"fmt"
	"time"

	"yuccapaddle"
)

const (
	// crashDelay is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 20 * time.Millisecond
	// downtime is how long a worker that returns is away after a crash.
	downtime = 3 * time.Second
)

// WithCrashes makes every task for which crashes returns true crash the worker soon
// after its start.
func WithCrashes(crashes func(t yuccapaddle.TaskID, payload string) bool) Option {
	return func(tr *TaskRunner) { tr.crashes = crashes }
}

// WithReturn makes the worker return from a crash some seconds later: with a later
// incarnation or, if replaced, under another ID. Without it, the worker is away until
// Restart.
func WithReturn(replaced bool) Option {
	return func(tr *TaskRunner) { tr.returns, tr.replaced = true, replaced }
}

// CrashOn makes the worker crash soon after it has started a task of the job. crashed is
// called after each such crash.
func (tr *TaskRunner) CrashOn(job string, crashed func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.crashes = func(t yuccapaddle.TaskID, _ string) bool { return t.Job == job }
	tr.crashed = crashed
}

// Crash makes the worker crash: all that runs there is lost, and calls fail, also those
// under way, until it is back.
func (tr *TaskRunner) Crash() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.down {
		tr.crash()
	}
}

// Up reports whether the worker is not away after a crash.
func (tr *TaskRunner) Up() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return !tr.down
}

// Crashes returns how often the worker has crashed.
func (tr *TaskRunner) Crashes() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.crashCount
}

// crash makes the worker crash. The caller holds tr.mu.
func (tr *TaskRunner) crash() {
	tr.down = true
	tr.crashCount++
	tr.runs, tr.ends = map[yuccapaddle.TaskID]*run{}, nil
	if tr.returns {
		n := tr.crashCount
		time.AfterFunc(downtime, func() { tr.comeBack(n) })
	}
}

// crashUnder makes the worker crash if the run is still there.
func (tr *TaskRunner) crashUnder(r *run) {
	tr.mu.Lock()
	there := tr.runs[r.order.Task] == r
	if there {
		tr.crash()
	}
	crashed := tr.crashed
	tr.mu.Unlock()
	if there && crashed != nil {
		crashed()
	}
}

// comeBack ends the time away after the crash of the number, unless it has ended already.
func (tr *TaskRunner) comeBack(crash int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.down || tr.crashCount != crash {
		return
	}
	if tr.replaced {
		tr.registration.ID = fmt.Sprintf("%s-%d", tr.firstID, tr.crashCount)
	}
	tr.reset()
}
