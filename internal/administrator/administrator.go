// Package administrator serves the operators' API over HTTP and JSON: the
// configuration, taking items out of service and bringing them back, the audit
// trail, and the state of the hosts.
package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/bodyreader"
	"yuccapaddle/internal/checker"
	"yuccapaddle/internal/forwarder"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/watcher"
	"yuccapaddle/internal/writer"
)

const (
	applyTimeout = 8 * time.Second
	readTimeout  = 2 * time.Second
)

// Administrator handles the HTTP requests of operators.
type Administrator struct {
	auth          *authenticator.Authenticator
	changeApplier *applier.Applier
	configWatcher *watcher.Watcher
	peerClient    *forwarder.Forwarder
	store         yuccapaddle.Store
	host          *loader.Host
	hostStatus    func() yuccapaddle.HostStatus
	log           *zap.Logger
	notify        func(cfg *yuccapaddle.Config)
}

// Option configures an Administrator.
type Option func(*Administrator)

// WithNotify sets a function that is called with the new configuration when a
// change has been committed.
func WithNotify(f func(cfg *yuccapaddle.Config)) Option {
	return func(a *Administrator) { a.notify = f }
}

// New returns an Administrator. hostStatus returns the status of this host.
func New(auth *authenticator.Authenticator, apply *applier.Applier, watch *watcher.Watcher, forward *forwarder.Forwarder,
	store yuccapaddle.Store, host *loader.Host, hostStatus func() yuccapaddle.HostStatus, log *zap.Logger, opts ...Option,
) *Administrator {
	a := &Administrator{
		auth: auth, changeApplier: apply, configWatcher: watch, peerClient: forward, store: store, host: host, hostStatus: hostStatus, log: log,
		notify: func(*yuccapaddle.Config) {},
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Handle serves one HTTP request.
func (a *Administrator) Handle(ctx *fasthttp.RequestCtx) {
	operator, ok := a.auth.Operator(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		writer.Error(ctx, fasthttp.StatusUnauthorized, "the bearer token is missing or not known")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/config" && ctx.IsGet():
		a.config(ctx)
	case path == "/v1/check" && ctx.IsPost():
		a.check(ctx)
	case path == "/v1/change" && ctx.IsPost():
		a.change(ctx, operator)
	case path == "/v1/audit" && ctx.IsGet():
		a.audit(ctx)
	case path == "/v1/state" && ctx.IsGet():
		a.hostStates(ctx)
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, fmt.Sprintf("there is no %s %s", ctx.Method(), path))
	}
}

func (a *Administrator) config(ctx *fasthttp.RequestCtx) {
	cfg := a.configWatcher.Current()
	if cfg == nil {
		writer.Error(ctx, fasthttp.StatusNotFound, "no configuration has been applied yet")
		return
	}
	writer.JSON(ctx, fasthttp.StatusOK, cfg)
}

func (a *Administrator) check(ctx *fasthttp.RequestCtx) {
	var site yuccapaddle.Site
	if !readStrict(ctx, &site) {
		return
	}
	r := applier.Result{Status: applier.Accepted}
	if problems := checker.Check(&site); len(problems) > 0 {
		r = applier.Result{Status: applier.Invalid, Reason: "the configuration has mistakes", Problems: problems}
	}
	writer.JSON(ctx, fasthttp.StatusOK, r)
}

// readStrict decodes the body of a request into v, which has all of its fields. It reports
// whether it could; if not, the request has been answered.
func readStrict(ctx *fasthttp.RequestCtx, v any) bool {
	body, ok := bodyreader.Read(ctx)
	if !ok {
		return false
	}
	if n := countValues(body); n > maxValues {
		writer.Error(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("a body has up to %d values, this one has %d", maxValues, n))
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("the body is not valid: %v", err))
		return false
	}
	return true
}

func (a *Administrator) change(ctx *fasthttp.RequestCtx, operator string) {
	var c applier.Change
	if !readStrict(ctx, &c) {
		return
	}
	c.Operator = operator
	applyCtx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	result, cfg := a.changeApplier.Apply(applyCtx, c)
	a.log.Info("change", zap.String("operator", operator), zap.String("action", c.Action), zap.String("target", c.Target),
		zap.String("reason", c.Reason), zap.String("status", string(result.Status)), zap.Uint64("revision", result.Revision))
	if cfg != nil {
		a.configWatcher.Offer(cfg)
		a.notify(cfg)
	}
	writer.JSON(ctx, httpStatus(result.Status), result)
}

func httpStatus(s applier.Status) int {
	switch s {
	case applier.Accepted:
		return fasthttp.StatusOK
	case applier.Conflict:
		return fasthttp.StatusConflict
	case applier.Invalid:
		return fasthttp.StatusUnprocessableEntity
	case applier.NotApplied:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusGatewayTimeout
}

// audit writes all audit entries, oldest first.
func (a *Administrator) audit(ctx *fasthttp.RequestCtx) {
	cfg := a.configWatcher.Current()
	if cfg == nil {
		writer.JSON(ctx, fasthttp.StatusOK, []yuccapaddle.Audit{})
		return
	}
	out := []yuccapaddle.Audit{}
	readCtx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for n := range cfg.Segments {
		var entries []yuccapaddle.Audit
		e, err := a.store.Get(readCtx, applier.AuditSegmentKey(n))
		if err == nil {
			err = json.Unmarshal(e.Value, &entries)
		}
		if err != nil {
			writer.Error(ctx, fasthttp.StatusServiceUnavailable, fmt.Sprintf("audit segment %d cannot be read: %v", n, err))
			return
		}
		out = append(out, entries...)
	}
	writer.JSON(ctx, fasthttp.StatusOK, append(out, cfg.Audit...))
}

// hostStates writes the status of this host and of its peers. A peer that cannot be
// reached is listed with the error.
func (a *Administrator) hostStates(ctx *fasthttp.RequestCtx) {
	ownStatus := a.hostStatus()
	out := []yuccapaddle.HostReply{{Host: a.host.Name, Status: &ownStatus}}
	for _, p := range a.host.Peers {
		if p.Name == a.host.Name {
			continue
		}
		r := yuccapaddle.HostReply{Host: p.Name}
		status, err := a.peerClient.State(context.Background(), p.Address)
		if err != nil {
			r.Error = err.Error()
		} else {
			r.Status = status
		}
		out = append(out, r)
	}
	writer.JSON(ctx, fasthttp.StatusOK, out)
}
