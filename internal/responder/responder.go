// Package responder serves the callers' API over HTTP and JSON: submitting
// requests, reading their outcomes, and cancelling them.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/writer"
)

const requestsPath = "/v1/requests"

// Responder handles the HTTP requests of callers. It is safe for concurrent use.
type Responder struct {
	auth           callerAuthenticator
	requests       yuccapaddle.RequestService
	requestLimiter *limiter.Limiter
	limits         loader.Limits
	region         string
	log            *zap.Logger
	observe        func(verdict string, took time.Duration)
	draining       atomic.Bool
	drainCtx       context.Context
	cancelWaits    context.CancelFunc
}

// callerAuthenticator identifies a caller by the Authorization header.
type callerAuthenticator interface {
	Caller(header string) (workspace, caller string, ok bool)
}

// New returns a Responder. It calls observe for every outcome that the
// RequestService has returned.
func New(auth callerAuthenticator, requests yuccapaddle.RequestService, limit *limiter.Limiter,
	host *loader.Host, log *zap.Logger, observe func(verdict string, took time.Duration),
) *Responder {
	ctx, cancel := context.WithCancel(context.Background())
	return &Responder{
		auth: auth, requests: requests, requestLimiter: limit, limits: host.Limits, region: host.Region, log: log, observe: observe,
		drainCtx: ctx, cancelWaits: cancel,
	}
}

// Drain ends all waits for a final outcome: waiting callers get what is known so
// far, so that a planned stop leaves no caller without a response.
func (r *Responder) Drain() {
	r.draining.Store(true)
	r.cancelWaits()
}

// Submission is the body of a POST to /v1/requests.
type Submission struct {
	ID           string          `json:"id"`
	Team         string          `json:"team,omitempty"`
	Class        string          `json:"class,omitempty"`
	Queue        string          `json:"queue,omitempty"`
	Tasks        int             `json:"tasks"`
	Accelerators int             `json:"accelerators"`
	Span         string          `json:"span,omitempty"`
	Repeatable   bool            `json:"repeatable"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Handle serves one HTTP request.
func (r *Responder) Handle(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	workspace, caller, ok := r.auth.Caller(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		writer.Error(ctx, fasthttp.StatusUnauthorized, "the bearer token is missing or not known")
		return
	}
	release, retryAfter, reason := r.requestLimiter.Admit(workspace + "/" + caller)
	if release == nil {
		r.rejectOverLimit(ctx, retryAfter, reason)
		return
	}
	defer release()
	wait, err := r.waitDuration(ctx)
	if err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	path := string(ctx.Path())
	id, hasID := strings.CutPrefix(path, requestsPath+"/")
	switch {
	case path == requestsPath && ctx.IsPost():
		r.submit(ctx, workspace, caller, wait, start)
	case hasID && id != "" && ctx.IsGet():
		r.get(ctx, workspace+"/"+id, wait, start)
	case hasID && id != "" && ctx.IsDelete():
		r.cancel(ctx, workspace+"/"+id, wait, start)
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, "use POST "+requestsPath+", GET or DELETE "+requestsPath+"/<id>")
	}
}

// rejectOverLimit answers a request that the limiter has refused, with status 429.
func (r *Responder) rejectOverLimit(ctx *fasthttp.RequestCtx, retryAfter time.Time, reason string) {
	writer.RetryAfter(ctx, retryAfter)
	o := yuccapaddle.Outcome{Verdict: yuccapaddle.VerdictRefused, Reason: "not run: " + reason, RetryAfter: retryAfter}
	writer.JSON(ctx, fasthttp.StatusTooManyRequests, o)
}

// waitDuration returns how long the caller wants to wait for a final outcome, at
// most the host's limit.
func (r *Responder) waitDuration(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("wait %q is not a duration such as 10s", text[:min(len(text), 32)])
	}
	return min(d, time.Duration(r.limits.WaitMS)*time.Millisecond), nil
}

func (r *Responder) submit(ctx *fasthttp.RequestCtx, workspace, caller string, wait time.Duration, start time.Time) {
	body, ok := bodyreader.Read(ctx)
	if !ok {
		return
	}
	req, err := r.parseRequest(body, workspace, caller, start)
	if err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	deadline := req.AcceptBy.Add(time.Duration(r.limits.SettleMS-r.limits.AcceptMS) * time.Millisecond)
	o := r.requests.Submit(context.Background(), req, deadline)
	if wait > 0 && !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictUnknown {
		if later, err := r.awaitOutcome(req.Key(), start.Add(wait)); err == nil {
			o = later
		}
	}
	r.writeOutcome(ctx, o, start)
}

func (r *Responder) parseRequest(body []byte, workspace, caller string, now time.Time) (*yuccapaddle.Request, error) {
	var s Submission
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("the request is not valid: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("the request is followed by more data")
	}
	req := &yuccapaddle.Request{
		ID: s.ID, Workspace: workspace, Team: s.Team, Caller: caller, Class: yuccapaddle.Class(s.Class), Queue: s.Queue, Tasks: s.Tasks,
		Accelerators: s.Accelerators, Span: yuccapaddle.Span(s.Span), Repeatable: s.Repeatable, Region: r.region,
		Payload: s.Payload, AcceptBy: now.Add(time.Duration(r.limits.AcceptMS) * time.Millisecond),
	}
	if req.Class == "" {
		req.Class = yuccapaddle.ClassBatch
	}
	if req.Span == "" {
		req.Span = yuccapaddle.SpanDomain
	}
	if err := req.Check(); err != nil {
		return nil, err
	}
	req.Content = contentHash(s)
	return req, nil
}

// contentHash returns a hash of what the caller submitted. It does not depend on
// the host that received the submission.
func contentHash(s Submission) uint64 {
	data, _ := json.Marshal(s) // a decoded submission can always be encoded
	return xxhash.Sum64(data)
}

// awaitOutcome waits for a final outcome until the deadline. A drain ends the wait,
// and the result is then what is known so far.
func (r *Responder) awaitOutcome(key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	o, err := r.requests.Await(r.drainCtx, key, deadline)
	if err != nil && r.draining.Load() {
		return r.requests.Await(context.Background(), key, time.Now())
	}
	return o, err
}

func (r *Responder) get(ctx *fasthttp.RequestCtx, key string, wait time.Duration, start time.Time) {
	o, err := r.awaitOutcome(key, start.Add(wait))
	if err != nil {
		r.writeUnavailable(ctx, err)
		return
	}
	r.writeOutcome(ctx, o, start)
}

func (r *Responder) cancel(ctx *fasthttp.RequestCtx, key string, wait time.Duration, start time.Time) {
	deadline := start.Add(time.Duration(r.limits.SettleMS) * time.Millisecond)
	o, err := r.requests.Cancel(context.Background(), key, deadline)
	if err != nil {
		r.writeUnavailable(ctx, err)
		return
	}
	if wait > 0 && !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictNotFound {
		if later, err := r.awaitOutcome(key, start.Add(wait)); err == nil {
			o = later
		}
	}
	r.writeOutcome(ctx, o, start)
}

func (r *Responder) writeUnavailable(ctx *fasthttp.RequestCtx, err error) {
	writer.RetryAfter(ctx, time.Now().Add(time.Second))
	writer.Error(ctx, fasthttp.StatusServiceUnavailable, "no host can answer now, ask again: "+err.Error())
}

// writeOutcome writes the outcome with its HTTP status: 200 for a final outcome, 202
// for one that is not final, 404 for an unknown request, 422 for a permanent refusal
// and 503 for a temporary one.
func (r *Responder) writeOutcome(ctx *fasthttp.RequestCtx, o yuccapaddle.Outcome, start time.Time) {
	status := fasthttp.StatusOK
	switch {
	case o.Verdict == yuccapaddle.VerdictNotFound:
		status = fasthttp.StatusNotFound
	case o.Verdict == yuccapaddle.VerdictRefused && o.RetryAfter.IsZero():
		status = fasthttp.StatusUnprocessableEntity
	case o.Verdict == yuccapaddle.VerdictRefused:
		status = fasthttp.StatusServiceUnavailable
		writer.RetryAfter(ctx, o.RetryAfter)
	case !o.Verdict.Final():
		status = fasthttp.StatusAccepted
	}
	if r.draining.Load() {
		ctx.SetConnectionClose()
	}
	r.observe(string(o.Verdict), time.Since(start))
	r.log.Debug("answered", zap.String("request", o.Workspace+"/"+o.ID), zap.String("verdict", string(o.Verdict)))
	writer.JSON(ctx, status, o)
}
