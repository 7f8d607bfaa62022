// Package caller makes HTTP calls with JSON bodies. Its errors distinguish a call
// that was not sent, one that was answered with an error status, and one that may
// have taken effect.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout       = time.Second
	idleTimeout       = time.Minute
	maxConnsPerServer = 512
	maxBodyBytes      = 8 << 20
)

// ErrNotSent reports a call of which nothing reached the server.
var ErrNotSent = errors.New("the call was not sent")

// ErrNoReply reports a call without a usable reply, which may have taken effect.
var ErrNoReply = errors.New("the call got no reply")

// StatusError is a reply with a status other than 200.
type StatusError struct {
	code int
	text string
}

// Error returns the status code and the body of the reply.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.code, e.text)
}

// Code returns the HTTP status code.
func (e *StatusError) Code() int {
	return e.code
}

// Caller is an HTTP client for any number of servers. It does not retry.
type Caller struct {
	client     *fasthttp.Client
	token      string
	closeConns bool

	observe func(url string, sent, received int)
}

// Option configures a Caller.
type Option func(*Caller)

// WithToken makes the Caller send a bearer token with each call.
func WithToken(token string) Option {
	return func(c *Caller) { c.token = token }
}

// WithFreshConnections makes the Caller open a new connection for each call, so that
// a call after a restart of the server does not fail on a stale connection.
func WithFreshConnections() Option {
	return func(c *Caller) { c.closeConns = true }
}

// WithObserver makes the Caller pass observe the sizes in bytes of the request and
// reply bodies of each answered call.
func WithObserver(observe func(url string, sent, received int)) Option {
	return func(c *Caller) { c.observe = observe }
}

// New returns a Caller.
func New(opts ...Option) *Caller {
	c := &Caller{client: &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConnsPerServer,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
	}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Call sends body as JSON, unless it is nil, and decodes the reply into reply, which
// may be nil as well. It gives up at the deadline of ctx, or after timeout if that
// is sooner. Errors match ErrNotSent or ErrNoReply, or are a *StatusError, except
// for fasthttp.ErrNoFreeConns, after which nothing was sent either.
func (c *Caller) Call(ctx context.Context, method, url string, body, reply any, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if c.closeConns {
		req.SetConnectionClose()
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%w: encode the body: %w", ErrNotSent, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.client.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
			return fmt.Errorf("%s %s: %w", method, url, err)
		}
		return fmt.Errorf("%s %s: %w: %w", method, url, ErrNoReply, err)
	}
	if c.observe != nil {
		c.observe(url, len(req.Body()), len(resp.Body()))
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &StatusError{code: resp.StatusCode(), text: string(resp.Body())}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return fmt.Errorf("%s %s: %w: reply cannot be decoded: %w", method, url, ErrNoReply, err)
	}
	return nil
}

// Text returns the body of the reply.
func (e *StatusError) Text() string {
	return e.text
}
