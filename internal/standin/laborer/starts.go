package laborer

import (
	"sync"

	"yuccapaddle"
)

// Starts notes over all workers which runs of each task have been started, so
// that tests can see a task that runs twice.
type Starts struct {
	mu     sync.Mutex
	starts map[yuccapaddle.TaskID][]string
}

// NewStarts returns an empty note.
func NewStarts() *Starts {
	return &Starts{starts: map[yuccapaddle.TaskID][]string{}}
}

func (g *Starts) note(worker string, o yuccapaddle.StartOrder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts[o.Task] = append(g.starts[o.Task], worker)
}

// Of lists the workers that have started the task, in order.
func (g *Starts) Of(t yuccapaddle.TaskID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts[t]
}
