package httpserver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/gatekeeper"
	"yuccapaddle/internal/httpserver"
)

const (
	maxBody = 1 << 20
	memory  = 8 << 20
	conns   = 10
	large   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx"
)

// serve serves a handler that reads bodies, and returns the server, its address and the end of
// Serve.
func serve(c *qt.C, opts ...httpserver.Option) (s *httpserver.HTTPServer, address string, ended func() error) {
	l, err := gatekeeper.Listen("127.0.0.1:0", "callers", conns, yuccapaddle.NoMeter{}, zap.NewNop())
	c.Assert(err, qt.IsNil)
	bodies := bodyreader.New(maxBody, memory, yuccapaddle.NoMeter{})
	s = httpserver.New(func(ctx *fasthttp.RequestCtx) { _, _ = bodyreader.Read(ctx) }, bodies, zap.NewNop(), opts...)
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	return s, l.Addr().String(), group.Wait
}

func shutDown(c *qt.C, s *httpserver.HTTPServer, ended func() error, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	c.Check(s.Shutdown(ctx), qt.IsNil)
	c.Check(ended(), qt.IsNil)
}

// send sends text on a new connection and returns all that comes until it is closed.
func send(c *qt.C, address, text string) string {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Check(err == nil || errors.Is(err, io.EOF), qt.IsTrue)
	return string(answer)
}

// TestSlowClients checks that connections are closed whose clients send nothing, part of a
// head, or part of a body, and that the last ones are told.
func TestSlowClients(t *testing.T) {
	c := qt.New(t)
	s, address, ended := serve(c, httpserver.WithReadTime(100*time.Millisecond))
	send(c, address, "")
	send(c, address, "POST / HTTP/1.1\r\nHost:")
	c.Check(send(c, address, large), qt.Contains, "408")
	shutDown(c, s, ended, time.Second)
}

// TestUnreadAnswers checks that the connection of a client is closed that goes on sending
// requests and reads no answer.
func TestUnreadAnswers(t *testing.T) {
	c := qt.New(t)
	s, address, ended := serve(c, httpserver.WithWriteTime(100*time.Millisecond))
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	for err == nil {
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%v", err))
	shutDown(c, s, ended, time.Second)
}

// TestShutdown checks that a server shuts down while a client holds part of a request.
func TestShutdown(t *testing.T) {
	c := qt.New(t)
	s, address, ended := serve(c)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, large)
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	shutDown(c, s, ended, 100*time.Millisecond)
}
