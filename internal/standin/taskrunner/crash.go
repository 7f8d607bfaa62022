package taskrunner

import (
	"time"

	"yuccapaddle"
)

// crashDelay is the time from the start of a task that crashes its worker to the crash.
const crashDelay = 20 * time.Millisecond

// CrashOn makes the worker crash soon after it has started a task of the job. Calls then
// fail at once, also those under way, until Restart. crashed is called after the crash.
func (tr *TaskRunner) CrashOn(job string, crashed func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.crashOn = func(t yuccapaddle.TaskID) {
		if t.Job == job {
			time.AfterFunc(crashDelay, func() {
				tr.Crash()
				crashed()
			})
		}
	}
}

// Crash makes the worker crash: what runs there is lost, and calls fail at once until
// Restart.
func (tr *TaskRunner) Crash() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.reset()
	tr.down = true
}

// isDown reports whether the worker has crashed and not been restarted.
func (tr *TaskRunner) isDown() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.down
}
