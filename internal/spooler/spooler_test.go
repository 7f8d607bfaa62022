package spooler_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/spooler"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// TestFlood: with an output that takes nothing, a flood of lines is dropped and
// counted and nobody waits; the count is told once the output takes lines.
func TestFlood(t *testing.T) {
	c := qt.New(t)
	out := &gate{open: make(chan struct{})}
	s := spooler.New(out)
	stop := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return s.Run(stop) })
	const flood = 20_000
	for range flood {
		_, err := s.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	dropped := s.Dropped()
	c.Check(dropped > 0, qt.IsTrue)
	close(out.open)
	close(stop)
	c.Assert(g.Wait(), qt.IsNil)
	text := out.buf.String()
	c.Check(strings.Count(text, "line\n"), qt.Equals, flood-int(dropped))
	c.Check(strings.Count(text, "log lines dropped"), qt.Equals, 1)
}
