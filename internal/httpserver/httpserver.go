// Package httpserver serves HTTP on a listener. The bodies of requests are left to the
// handler, which reads them within the memory of the process.
package httpserver

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/gatekeeper"
)

const (
	// readTime is how long a request may take to arrive, from its first byte, and how long a new
	// connection may be silent.
	readTime = 30 * time.Second
	// writeTime is how long a client may take to read a response.
	writeTime = 30 * time.Second
	// idleTime is how long a connection is kept between two requests.
	idleTime = 60 * time.Second
)

// HTTPServer serves the requests of one listener.
type HTTPServer struct {
	server   *fasthttp.Server
	listener atomic.Pointer[gatekeeper.Gatekeeper]
}

// Option changes an HTTPServer under construction.
type Option func(*fasthttp.Server)

// WithReadTime sets how long a request may take to arrive, in place of 30 s.
func WithReadTime(d time.Duration) Option {
	return func(s *fasthttp.Server) { s.ReadTimeout = d }
}

// WithWriteTime sets how long a client may take to read a response, in place of 30 s.
func WithWriteTime(d time.Duration) Option {
	return func(s *fasthttp.Server) { s.WriteTimeout = d }
}

// WithHeaderBytes sets the size of the largest header.
func WithHeaderBytes(n int) Option {
	return func(s *fasthttp.Server) { s.ReadBufferSize = n }
}

// New returns an HTTPServer. The handler reads bodies with bodyreader.Read only, as ctx.PostBody
// has no bound.
func New(handler fasthttp.RequestHandler, bodies *bodyreader.BodyReader, log *zap.Logger, opts ...Option) *HTTPServer {
	s := &fasthttp.Server{
		Handler: bodies.Wrap(handler), Name: "yuccapaddle", ReadTimeout: readTime, WriteTimeout: writeTime, IdleTimeout: idleTime,
		// The handler is called when the first byte of a body is there, before memory is set aside for it.
		StreamRequestBody: true, MaxRequestBodySize: 1,
		CloseOnShutdown: true, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
		ConnState: noteState, Logger: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	for _, o := range opts {
		o(s)
	}
	return &HTTPServer{server: s}
}

// noteState tells a connection that the first byte of a request has arrived.
func noteState(c net.Conn, state fasthttp.ConnState) {
	if conn, ok := c.(interface{ Touch() }); ok && state == fasthttp.StateActive {
		conn.Touch()
	}
}

// Serve serves the connections of a listener until it is shut down.
func (s *HTTPServer) Serve(l *gatekeeper.Gatekeeper) error {
	s.listener.Store(l)
	if err := s.server.Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shutdown closes the listener, waits for the requests in progress until ctx ends, and then
// closes the connections that are left: those of clients that do not end what they have begun.
func (s *HTTPServer) Shutdown(ctx context.Context) error {
	err := s.server.ShutdownWithContext(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	if l := s.listener.Load(); l != nil {
		l.CloseAll()
	}
	return nil
}
