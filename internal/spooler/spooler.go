// Package spooler writes log lines in the background, so that logging never
// waits for the output. Lines that find no place are counted and dropped.
package spooler

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// mostLines is how many lines may wait for the output.
	mostLines = 4096
	syncTime  = 500 * time.Millisecond
	syncStep  = 5 * time.Millisecond
)

// Spooler is a zapcore.WriteSyncer. It is safe for concurrent use.
type Spooler struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	waiting atomic.Int64
}

// New returns a Spooler to an output; Run has to be called for it to write.
func New(out io.Writer) *Spooler {
	return &Spooler{out: out, lines: make(chan []byte, mostLines)}
}

// Write takes a line, or drops it, and never blocks. It never fails.
func (s *Spooler) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	s.waiting.Add(1)
	select {
	case s.lines <- line:
	default:
		s.waiting.Add(-1)
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits a moment for the lines that were written before. An output that
// does not take them is not waited for.
func (s *Spooler) Sync() error {
	for deadline := time.Now().Add(syncTime); time.Now().Before(deadline); time.Sleep(syncStep) {
		if s.waiting.Load() == 0 {
			return nil
		}
	}
	return nil
}

// Dropped is the number of lines that were dropped.
func (s *Spooler) Dropped() int64 {
	return s.dropped.Load()
}

// Run writes lines until stop is closed and none is left.
func (s *Spooler) Run(stop <-chan struct{}) error {
	told := int64(0)
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line, &told); err != nil {
				return err
			}
		case <-stop:
			if len(s.lines) == 0 {
				return nil
			}
			if err := s.write(<-s.lines, &told); err != nil {
				return err
			}
		}
	}
}

func (s *Spooler) write(line []byte, told *int64) error {
	defer s.waiting.Add(-1)
	if n := s.dropped.Load(); n > *told {
		if _, err := fmt.Fprintf(s.out, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n-*told); err != nil {
			return fmt.Errorf("write the log: %w", err)
		}
		*told = n
	}
	if _, err := s.out.Write(line); err != nil {
		return fmt.Errorf("write the log: %w", err)
	}
	return nil
}
