package laborer

import (
	"sync"

	"yuccapaddle"
)

// Starts records the starts of each task across all workers, so that tests can
// detect a task that ran twice. It is safe for concurrent use.
type Starts struct {
	mu     sync.Mutex
	starts map[yuccapaddle.TaskID][]string // IDs of the workers, in order
}

// NewStarts returns an empty record.
func NewStarts() *Starts {
	return &Starts{starts: map[yuccapaddle.TaskID][]string{}}
}

func (s *Starts) record(worker string, o yuccapaddle.StartOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[o.Task] = append(s.starts[o.Task], worker)
}

// Of returns the IDs of the workers that have started the task, in order.
func (s *Starts) Of(t yuccapaddle.TaskID) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[t]
}
