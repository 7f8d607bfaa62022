package taskrunner

import (
	"slices"
	"sync"

	"yuccapaddle"
)

// StartLog records the starts of each task across all workers, so that tests can
// detect a task that ran twice. It is safe for concurrent use.
type StartLog struct {
	mu     sync.Mutex
	starts map[yuccapaddle.TaskID][]string // IDs of the workers, in order
	runs   map[yuccapaddle.TaskID]map[int]bool
	beside []yuccapaddle.StartOrder
}

// NewStartLog returns an empty StartLog.
func NewStartLog() *StartLog {
	return &StartLog{starts: map[yuccapaddle.TaskID][]string{}, runs: map[yuccapaddle.TaskID]map[int]bool{}}
}

// record records a start. beside means that an earlier run of the task is in progress there.
func (l *StartLog) record(worker string, o yuccapaddle.StartOrder, beside bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[o.Task] = append(l.starts[o.Task], worker)
	if l.runs[o.Task] == nil {
		l.runs[o.Task] = map[int]bool{}
	}
	l.runs[o.Task][o.Run] = true
	if beside {
		l.beside = append(l.beside, o)
	}
}

// Workers returns the IDs of the workers that have started the task, in order.
func (l *StartLog) Workers(t yuccapaddle.TaskID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[t]
}

// Runs returns how many runs of the task were started. An order that arrived again after
// a crash of the worker counts once.
func (l *StartLog) Runs(t yuccapaddle.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[t])
}

// Beside returns the orders of the starts that were carried out while an earlier run of the
// task was in progress on the same worker.
func (l *StartLog) Beside() []yuccapaddle.StartOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.beside)
}
