// Package caller makes JSON calls over HTTP and tells apart a call that was
// never sent, one that was answered, and one whose fate is not known.
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
	dialTimeout     = time.Second
	idleTimeout     = time.Minute
	mostConnections = 512
	mostBody        = 8 << 20
)

// ErrNotSent: no byte of the call reached the other side.
var ErrNotSent = errors.New("the call was not sent")

// ErrNoReply: the call may have had its effect.
var ErrNoReply = errors.New("the call got no reply")

// StatusError is an answer other than 200.
type StatusError struct {
	code int
	text string
}

// Error returns the text that the server gave.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.code, e.text)
}

// Code is the HTTP status code.
func (e *StatusError) Code() int {
	return e.code
}

// Caller is a client for any number of servers.
type Caller struct {
	client *fasthttp.Client
	token  string
	fresh  bool

	observe func(url string, sent, received int)
}

// Option changes a Caller under construction.
type Option func(*Caller)

// WithToken sends a bearer token with each call.
func WithToken(token string) Option {
	return func(c *Caller) { c.token = token }
}

// WithFreshConnections makes a connection for each call, so that a server which
// restarted between two calls is not met through a dead one.
func WithFreshConnections() Option {
	return func(c *Caller) { c.fresh = true }
}

// WithObserver is told the sizes of the bodies of each answered call.
func WithObserver(observe func(url string, sent, received int)) Option {
	return func(c *Caller) { c.observe = observe }
}

// New returns a Caller.
func New(opts ...Option) *Caller {
	c := &Caller{client: &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           mostConnections,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       mostBody,
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

// Call sends body as JSON and decodes the answer into reply, which may be nil.
// It ends at the deadline of the context, or after wait if that is sooner.
func (c *Caller) Call(ctx context.Context, method, url string, body, reply any, wait time.Duration) error {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if c.fresh {
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
	deadline := time.Now().Add(wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.client.DoDeadline(req, res, deadline); err != nil {
		if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
			return fmt.Errorf("%s %s: %w", method, url, err)
		}
		return fmt.Errorf("%s %s: %w: %w", method, url, ErrNoReply, err)
	}
	if c.observe != nil {
		c.observe(url, len(req.Body()), len(res.Body()))
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return &StatusError{code: res.StatusCode(), text: string(res.Body())}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(res.Body(), reply); err != nil {
		return fmt.Errorf("%s %s: %w: answer cannot be decoded: %w", method, url, ErrNoReply, err)
	}
	return nil
}

// Text is the body of the answer.
func (e *StatusError) Text() string {
	return e.text
}
