// Package responder is the interface of callers: submit, ask, cancel, over
// HTTP and JSON.
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
	"yuccapaddle/internal/limiter"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/writer"
)

const prefix = "/v1/requests"

// Responder serves callers. It is safe for concurrent use.
type Responder struct {
	auth     authority
	requests yuccapaddle.RequestService
	limit    *limiter.Limiter
	bounds   loader.Limits
	region   string
	log      *zap.Logger
	observe  func(verdict string, took time.Duration)
	draining atomic.Bool
	cutShort context.Context
	cut      context.CancelFunc
}

// authority recognises callers by an Authorization header.
type authority interface {
	Caller(header string) (workspace, caller string, ok bool)
}

// New returns a Responder; observe is called for every answer.
func New(auth authority, requests yuccapaddle.RequestService, limit *limiter.Limiter,
	host *loader.Host, log *zap.Logger, observe func(verdict string, took time.Duration),
) *Responder {
	ctx, cancel := context.WithCancel(context.Background())
	return &Responder{
		auth: auth, requests: requests, limit: limit, bounds: host.Limits, region: host.Region, log: log, observe: observe,
		cutShort: ctx, cut: cancel,
	}
}

// Drain makes waiting callers leave with what is known so far, so that a
// planned stop answers every one of them.
func (r *Responder) Drain() {
	r.draining.Store(true)
	r.cut()
}

// Submission is the body of a submit.
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
	leave, retryAfter, reason := r.limit.Enter(workspace + "/" + caller)
	if leave == nil {
		r.refuse(ctx, retryAfter, reason)
		return
	}
	defer leave()
	wait, err := r.wait(ctx)
	if err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	path := string(ctx.Path())
	id, hasID := strings.CutPrefix(path, prefix+"/")
	switch {
	case path == prefix && ctx.IsPost():
		r.submit(ctx, workspace, caller, wait, start)
	case hasID && id != "" && ctx.IsGet():
		r.show(ctx, workspace+"/"+id, wait, start)
	case hasID && id != "" && ctx.IsDelete():
		r.cancel(ctx, workspace+"/"+id, wait, start)
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, "use POST "+prefix+", GET or DELETE "+prefix+"/<id>")
	}
}

func (r *Responder) refuse(ctx *fasthttp.RequestCtx, retryAfter time.Time, reason string) {
	writer.RetryAfter(ctx, retryAfter)
	o := yuccapaddle.Outcome{Verdict: yuccapaddle.VerdictRefused, Reason: "not run: " + reason, RetryAfter: retryAfter}
	writer.JSON(ctx, fasthttp.StatusTooManyRequests, o)
}

// wait is how long the caller wants to wait for a final outcome.
func (r *Responder) wait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("wait %q is not a duration such as 10s", text[:min(len(text), 32)])
	}
	return min(d, time.Duration(r.bounds.WaitMS)*time.Millisecond), nil
}

func (r *Responder) submit(ctx *fasthttp.RequestCtx, workspace, caller string, wait time.Duration, start time.Time) {
	req, err := r.parse(ctx.PostBody(), workspace, caller, start)
	if err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	settleBy := req.AcceptBy.Add(time.Duration(r.bounds.SettleMS-r.bounds.AcceptMS) * time.Millisecond)
	o := r.requests.Submit(context.Background(), req, settleBy)
	if wait > 0 && !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictUnknown {
		if later, err := r.await(req.Key(), start.Add(wait)); err == nil {
			o = later
		}
	}
	r.answer(ctx, o, start)
}

func (r *Responder) parse(body []byte, workspace, caller string, now time.Time) (*yuccapaddle.Request, error) {
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
		Payload: s.Payload, AcceptBy: now.Add(time.Duration(r.bounds.AcceptMS) * time.Millisecond),
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
	req.Content = content(s)
	return req, nil
}

// content is a hash of what the caller asked for, which does not depend on the
// host that received it.
func content(s Submission) uint64 {
	data, _ := json.Marshal(s) // a decoded submission always encodes
	return xxhash.Sum64(data)
}

// await waits for a final outcome. A drain ends the wait, and the caller gets
// what is known then.
func (r *Responder) await(key string, deadline time.Time) (yuccapaddle.Outcome, error) {
	o, err := r.requests.Await(r.cutShort, key, deadline)
	if err != nil && r.draining.Load() {
		return r.requests.Await(context.Background(), key, time.Now())
	}
	return o, err
}

func (r *Responder) show(ctx *fasthttp.RequestCtx, key string, wait time.Duration, start time.Time) {
	o, err := r.await(key, start.Add(wait))
	if err != nil {
		r.unavailable(ctx, err)
		return
	}
	r.answer(ctx, o, start)
}

func (r *Responder) cancel(ctx *fasthttp.RequestCtx, key string, wait time.Duration, start time.Time) {
	settleBy := start.Add(time.Duration(r.bounds.SettleMS) * time.Millisecond)
	o, err := r.requests.Cancel(context.Background(), key, settleBy)
	if err != nil {
		r.unavailable(ctx, err)
		return
	}
	if wait > 0 && !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictNotFound {
		if later, err := r.await(key, start.Add(wait)); err == nil {
			o = later
		}
	}
	r.answer(ctx, o, start)
}

func (r *Responder) unavailable(ctx *fasthttp.RequestCtx, err error) {
	writer.RetryAfter(ctx, time.Now().Add(time.Second))
	writer.Error(ctx, fasthttp.StatusServiceUnavailable, "no host can answer now, ask again: "+err.Error())
}

// answer chooses the status: 200 for a final outcome, 202 while it is not, 422
// for a refusal that stays, 503 for one that passes.
func (r *Responder) answer(ctx *fasthttp.RequestCtx, o yuccapaddle.Outcome, start time.Time) {
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
