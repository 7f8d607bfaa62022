// Package spooler writes log lines in the background, so that logging never blocks on a
// slow output. Lines that do not fit into the queue are dropped and counted.
package spooler

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines   = 4096
	syncTimeout      = 500 * time.Millisecond
	syncPollInterval = 5 * time.Millisecond
)

// Spooler is a zapcore.WriteSyncer with a bounded queue. It is safe for concurrent use.
type Spooler struct {
	out       io.Writer
	queue     chan []byte
	dropped   atomic.Int64
	unwritten atomic.Int64 // lines that are queued or being written
}

// New returns a Spooler for an output. Nothing is written until Run is called.
func New(out io.Writer) *Spooler {
	return &Spooler{out: out, queue: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of a line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (s *Spooler) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	s.unwritten.Add(1)
	select {
	case s.queue <- line:
	default:
		s.unwritten.Add(-1)
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits up to syncTimeout until all queued lines are written. It always returns nil,
// also if the output has not accepted them by then.
func (s *Spooler) Sync() error {
	for deadline := time.Now().Add(syncTimeout); time.Now().Before(deadline); time.Sleep(syncPollInterval) {
		if s.unwritten.Load() == 0 {
			return nil
		}
	}
	return nil
}

// Dropped returns the number of lines that have been dropped.
func (s *Spooler) Dropped() int64 {
	return s.dropped.Load()
}

// Run writes queued lines until stop is closed and the queue is empty. It returns the
// error of the first write that fails.
func (s *Spooler) Run(stop <-chan struct{}) error {
	reportedDrops := int64(0)
	for {
		select {
		case line := <-s.queue:
			if err := s.write(line, &reportedDrops); err != nil {
				return err
			}
		case <-stop:
			if len(s.queue) == 0 {
				return nil
			}
			if err := s.write(<-s.queue, &reportedDrops); err != nil {
				return err
			}
		}
	}
}

// write writes a line, after a line with the number of lines that were dropped since the
// last such report. reportedDrops is the number reported so far.
func (s *Spooler) write(line []byte, reportedDrops *int64) error {
	defer s.unwritten.Add(-1)
	if n := s.dropped.Load(); n > *reportedDrops {
		if _, err := fmt.Fprintf(s.out, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n-*reportedDrops); err != nil {
			return fmt.Errorf("write the log: %w", err)
		}
		*reportedDrops = n
	}
	if _, err := s.out.Write(line); err != nil {
		return fmt.Errorf("write the log: %w", err)
	}
	return nil
}
