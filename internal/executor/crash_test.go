package executor_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/standin/taskrunner"
)

// absence is how long a crashed worker is away.
const absence = 3 * time.Second

// crashes counts the crashes of a rig's workers.
type crashes struct {
	mu   sync.Mutex
	list []string // IDs of the crashed workers, in order
}

func (l *crashes) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, id)
}

func (l *crashes) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.list)
}

// newCrashRig returns a rig whose workers crash when they start a task of the job "bad".
// They come back under their IDs, or under other ones at the same addresses.
func newCrashRig(t *testing.T, workers int, sameID bool) (*rig, *crashes) {
	r, log := newRig(t, workers), &crashes{}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		lives := []string{id, id} // IDs of the two lives of the worker
		if !sameID {
			lives[1] = id + "x"
			self := r.workers[id].Worker()
			self.ID = lives[1]
			r.workers[self.ID] = taskrunner.New(self, maxLeaseMS, r.taskResult, r.startLog)
			r.unregistered.Store(self.ID, true)
		}
		r.workers[lives[0]].CrashOn("bad", func() { r.crash(log, lives[0], lives[1]) })
		if !sameID {
			r.workers[lives[1]].CrashOn("bad", func() { r.crash(log, lives[1], lives[1]) })
		}
	}
	return r, log
}

// crash removes a crashed worker's registration, and lets it come back under an ID.
func (r *rig) crash(log *crashes, id, next string) {
	log.add(id)
	r.unregistered.Store(id, true)
	time.AfterFunc(absence, func() {
		r.workers[next].Restart()
		r.unregistered.Delete(next)
	})
}

// TestCrashingTask checks that a task that crashes its workers is given up after the second
// one, also if the active host changes right after a commit, and that the work beside it
// completes.
func TestCrashingTask(t *testing.T) {
	takeOvers := map[string]time.Duration{ // after the first crash
		"none": 0, "at once": time.Millisecond, "after a second": time.Second,
		"when it is back": absence + 700*time.Millisecond, "when the leases are over": 6200 * time.Millisecond,
	}
	for name, delay := range takeOvers {
		for _, sameID := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r, log := newCrashRig(t, 2*rackSize, sameID)
					r.taskTime.Store(int64(5 * time.Second))
					r.takeOver()
					defer func() { r.close() }()
					r.submit("good", "batch", yuccapaddle.Step{Count: 4, Need: oneGPU, Estimate: 5000})
					r.submit("bad", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 5000})
					for log.count() == 0 {
						time.Sleep(time.Millisecond)
					}
					if delay > 0 {
						time.Sleep(delay)
						r.takeOver()
					}
					r.waitForState("bad", "batch", yuccapaddle.JobFailed, 40*time.Second)
					r.c.Check(log.count(), qt.Equals, 2)
					r.c.Check(r.explainedCause("bad"), qt.Matches,
						"cause: failed: 2 workers have crashed under task bad.0.0.0, the last while nothing else ran there; it ran on w., w. when they crashed")
					r.waitForState("good", "batch", yuccapaddle.JobCompleted, 30*time.Second)
				})
			})
		}
	}
}

// TestCrashTakeoverAfterWrite checks that a crash counts if the active host is lost between
// the commit of the placement and the worker's answer.
func TestCrashTakeoverAfterWrite(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, log := newCrashRig(t, 2*rackSize, sameID)
			r.takeOver()
			defer func() { r.close() }()
			r.submit("bad", "batch", yuccapaddle.Step{Count: 1, Need: oneGPU, Estimate: 2000})
			time.Sleep(5 * time.Millisecond) // the start is out, the crash is still to come
			r.takeOver()
			r.waitForState("bad", "batch", yuccapaddle.JobFailed, 40*time.Second)
			r.c.Check(log.count(), qt.Equals, 2)
		})
	}
}

// TestWholeDomainOfCrashingTasks checks that a job with a crashing task on each worker of each
// failure domain is given up.
func TestWholeDomainOfCrashingTasks(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r, _ := newCrashRig(t, 3*rackSize, sameID)
			r.takeOver()
			defer func() { r.close() }()
			r.submit("bad", "batch", yuccapaddle.Step{Count: 3 * rackSize, PerWorker: 1, Need: oneGPU, Estimate: 5000})
			r.waitForState("bad", "batch", yuccapaddle.JobFailed, 120*time.Second)
		})
	}
}
