// Package administrator is the interface of operators over HTTP and JSON:
// configuration, exits and returns, audit, and the state of the hosts.
package administrator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/checker"
	"yuccapaddle/internal/forwarder"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/watcher"
	"yuccapaddle/internal/writer"
)

const (
	applyTime = 8 * time.Second
	readTime  = 2 * time.Second
)

// Administrator serves operators.
type Administrator struct {
	auth    *authenticator.Authenticator
	apply   *applier.Applier
	watch   *watcher.Watcher
	forward *forwarder.Forwarder
	store   yuccapaddle.Store
	host    *loader.Host
	state   func() yuccapaddle.HostStatus
	log     *zap.Logger
	notify  func(cfg *yuccapaddle.Config)
}

// Option changes an Administrator under construction.
type Option func(*Administrator)

// WithNotify sets what is called with every accepted configuration.
func WithNotify(f func(cfg *yuccapaddle.Config)) Option {
	return func(a *Administrator) { a.notify = f }
}

// New returns an Administrator; state describes this host.
func New(auth *authenticator.Authenticator, apply *applier.Applier, watch *watcher.Watcher, forward *forwarder.Forwarder,
	store yuccapaddle.Store, host *loader.Host, state func() yuccapaddle.HostStatus, log *zap.Logger, opts ...Option,
) *Administrator {
	a := &Administrator{
		auth: auth, apply: apply, watch: watch, forward: forward, store: store, host: host, state: state, log: log,
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
		a.states(ctx)
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, fmt.Sprintf("there is no %s %s", ctx.Method(), path))
	}
}

func (a *Administrator) config(ctx *fasthttp.RequestCtx) {
	cfg := a.watch.Current()
	if cfg == nil {
		writer.Error(ctx, fasthttp.StatusNotFound, "no configuration has been applied yet")
		return
	}
	writer.JSON(ctx, fasthttp.StatusOK, cfg)
}

func (a *Administrator) check(ctx *fasthttp.RequestCtx) {
	var site yuccapaddle.Site
	if err := decode(ctx.PostBody(), &site); err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	r := applier.Result{Status: applier.Accepted}
	if problems := checker.Check(&site); len(problems) > 0 {
		r = applier.Result{Status: applier.Invalid, Reason: "the configuration has mistakes", Problems: problems}
	}
	writer.JSON(ctx, fasthttp.StatusOK, r)
}

func decode(body []byte, v any) error {
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("the body is not valid: %w", err)
	}
	return nil
}

func (a *Administrator) change(ctx *fasthttp.RequestCtx, operator string) {
	var c applier.Change
	if err := decode(ctx.PostBody(), &c); err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	c.Operator = operator
	applyCtx, cancel := context.WithTimeout(context.Background(), applyTime)
	defer cancel()
	result, cfg := a.apply.Apply(applyCtx, c)
	a.log.Info("change", zap.String("operator", operator), zap.String("action", c.Action), zap.String("target", c.Target),
		zap.String("reason", c.Reason), zap.String("status", string(result.Status)), zap.Uint64("revision", result.Revision))
	if cfg != nil {
		a.watch.Offer(cfg)
		a.notify(cfg)
	}
	writer.JSON(ctx, statusOf(result.Status), result)
}

func statusOf(s applier.Status) int {
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

// audit returns all audit entries, oldest first.
func (a *Administrator) audit(ctx *fasthttp.RequestCtx) {
	cfg := a.watch.Current()
	if cfg == nil {
		writer.JSON(ctx, fasthttp.StatusOK, []yuccapaddle.Audit{})
		return
	}
	out := []yuccapaddle.Audit{}
	readCtx, cancel := context.WithTimeout(context.Background(), readTime)
	defer cancel()
	for n := range cfg.Segments {
		var entries []yuccapaddle.Audit
		e, err := a.store.Get(readCtx, applier.SegmentKey(n))
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

func (a *Administrator) states(ctx *fasthttp.RequestCtx) {
	own := a.state()
	out := []yuccapaddle.HostReply{{Host: a.host.Name, Status: &own}}
	for _, p := range a.host.Peers {
		if p.Name == a.host.Name {
			continue
		}
		r := yuccapaddle.HostReply{Host: p.Name}
		status, err := a.forward.State(context.Background(), p.Address)
		if err != nil {
			r.Error = err.Error()
		} else {
			r.Status = status
		}
		out = append(out, r)
	}
	writer.JSON(ctx, fasthttp.StatusOK, out)
}
