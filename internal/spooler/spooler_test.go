package spooler_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccapaddle/internal/spooler"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// reportedDrops adds up the dropped lines that are reported in the output.
func reportedDrops(c *qt.C, text string) int {
	n := 0
	for _, m := range regexp.MustCompile(`"log lines dropped","count":(\d+)`).FindAllStringSubmatch(text, -1) {
		count, err := strconv.Atoi(m[1])
		c.Assert(err, qt.IsNil)
		n += count
	}
	return n
}

// TestFlood checks that writes do not block while the output does, that the lines over
// the limit are dropped and counted, and that the count is written once the output
// accepts lines again.
func TestFlood(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{open: make(chan struct{})}
	s := spooler.New(out)
	stop := make(chan struct{})
	var g errgroup.Group
	const flood = 20_000
	for i := range flood {
		if i == flood/2 { // by now lines have been dropped, and none is written
			g.Go(func() error { return s.Run(stop) })
		}
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
	c.Check(reportedDrops(c, text), qt.Equals, int(dropped))
}
