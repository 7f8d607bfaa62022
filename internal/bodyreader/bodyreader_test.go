package bodyreader

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
)

const (
	maxBody = 1 << 20
	// memory leaves room for one largest body at a time.
	memory = 8 << 20
)

// service serves a handler that answers with the size of the body it has read.
type service struct {
	c        *qt.C
	reader   *BodyReader
	listener net.Listener
}

func newService(t *testing.T) *service {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &service{c: c, reader: New(maxBody, memory, yuccapaddle.NoMeter{}), listener: listener}
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: 1, Handler: s.reader.Wrap(func(ctx *fasthttp.RequestCtx) {
		if body, ok := Read(ctx); ok {
			ctx.SetBodyString(fmt.Sprint(len(body)))
		}
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(s.listener) })
	t.Cleanup(func() {
		s.c.Check(s.listener.Close(), qt.IsNil)
		_ = group.Wait() // the listener is closed
	})
	return s
}

// send sends parts of a request on a new connection.
func (s *service) send(parts ...string) net.Conn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, qt.IsNil)
	for _, p := range parts {
		_, err := io.WriteString(conn, p)
		s.c.Assert(err, qt.IsNil)
	}
	return conn
}

// answer returns the status, the body and whether the answer tells when to come again.
func (s *service) answer(conn net.Conn) (status int, body string, retry bool) {
	var resp fasthttp.Response
	s.c.Assert(resp.Read(bufio.NewReader(conn)), qt.IsNil)
	return resp.StatusCode(), string(resp.Body()), len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
}

func (s *service) held() int64 {
	b := s.reader.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.used + b.large.used
}

func (s *service) waitUntilHeld(least int64) {
	for s.held() < least {
		time.Sleep(time.Millisecond)
	}
}

func announced(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// TestSizes checks that bodies of all sizes up to the largest are read whole, announced or
// not, that larger ones are refused, and that nothing is held afterwards.
func TestSizes(t *testing.T) {
	s := newService(t)
	for _, n := range []int{0, 1, pieceBytes - 1, pieceBytes, smallBytes + 1, 100_000, maxBody, maxBody + 1} {
		want := fasthttp.StatusOK
		if n > maxBody {
			want = fasthttp.StatusRequestEntityTooLarge
		}
		bodies := map[string]string{"announced": announced(n) + strings.Repeat("x", n), "chunked": chunkedHead + "0\r\n\r\n"}
		if n > 0 {
			bodies["chunked"] = chunkedHead + chunk(n) + "0\r\n\r\n"
		}
		for name, text := range bodies {
			conn := s.send()
			var sending errgroup.Group
			sending.Go(func() error {
				_, _ = io.WriteString(conn, text) // it is cut off if the body is too large
				return nil
			})
			status, body, _ := s.answer(conn)
			s.c.Check(status, qt.Equals, want, qt.Commentf("%s %d", name, n))
			if want == fasthttp.StatusOK {
				s.c.Check(body, qt.Equals, fmt.Sprint(n))
			}
			s.c.Check(conn.Close(), qt.IsNil)
			s.c.Check(sending.Wait(), qt.IsNil)
		}
	}
	for s.held() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestAnnouncedTakesNothing checks that a body takes no memory by being announced.
func TestAnnouncedTakesNothing(t *testing.T) {
	s := newService(t)
	for range 50 {
		defer s.send(announced(maxBody), "x").Close()
	}
	s.waitUntilHeld(50 * smallBytes)
	s.c.Check(s.held(), qt.Equals, int64(50*smallBytes))
}

// TestFullOfHeldBodies checks that large bodies which are held leave room for small ones, and
// that a large one takes the place of one that makes no progress, which is told so.
func TestFullOfHeldBodies(t *testing.T) {
	s := newService(t)
	n := int(s.reader.budget.large.limit / maxBody)
	var held []net.Conn
	for range n {
		held = append(held, s.send(announced(maxBody), strings.Repeat("x", maxBody-1)))
	}
	s.waitUntilHeld(int64(n) * maxBody)
	const large = 600_000
	late := s.send(announced(maxBody), strings.Repeat("x", large))
	defer late.Close()
	status, _, retry := s.answer(late)
	s.c.Check(status, qt.Equals, fasthttp.StatusServiceUnavailable)
	s.c.Check(retry, qt.IsTrue)
	small := s.send(announced(smallBytes) + strings.Repeat("x", smallBytes))
	defer small.Close()
	status, _, _ = s.answer(small)
	s.c.Check(status, qt.Equals, fasthttp.StatusOK)
	time.Sleep(progressTime + 100*time.Millisecond)
	next := s.send(announced(large) + strings.Repeat("x", large))
	defer next.Close()
	status, _, _ = s.answer(next)
	s.c.Check(status, qt.Equals, fasthttp.StatusOK)
	status, _, retry = s.answer(held[0])
	s.c.Check(status, qt.Equals, fasthttp.StatusServiceUnavailable, qt.Commentf("the first to be held is the first to be cut off"))
	s.c.Check(retry, qt.IsTrue)
	for _, conn := range held {
		s.c.Check(conn.Close(), qt.IsNil)
	}
	for s.held() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCutBodies checks that a body which ends early, announced or not, is not taken for whole.
func TestCutBodies(t *testing.T) {
	s := newService(t)
	for name, text := range map[string]string{
		"announced": announced(10) + "123456789",
		"chunked":   chunkedHead + "a\r\n123456789",
		"no end":    chunkedHead + chunk(10),
	} {
		conn := s.send(text)
		s.c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		status, _, _ := s.answer(conn)
		s.c.Check(status, qt.Equals, fasthttp.StatusBadRequest, qt.Commentf("%s", name))
		s.c.Check(conn.Close(), qt.IsNil)
	}
}

// TestPanicGivesBack checks that a request whose handler panics gives its memory back.
func TestPanicGivesBack(t *testing.T) {
	c := qt.New(t)
	r := New(maxBody, memory, yuccapaddle.NoMeter{})
	handler := r.Wrap(func(ctx *fasthttp.RequestCtx) {
		_, _ = Read(ctx)
		panic("malformed")
	})
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	ctx.Request.SetBodyStream(strings.NewReader("body"), -1)
	c.Check(func() { handler(&ctx) }, qt.PanicMatches, "malformed")
	c.Check(r.budget.small.used, qt.Equals, int64(0))
}
