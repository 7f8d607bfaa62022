// Package inspector serves read-only HTTP endpoints for operators. They return in JSON
// the status of the hosts and what a job does or waits for.
package inspector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/connector"
	"yuccapaddle/internal/elector"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/writer"
)

const (
	statePath = "/v1/state"
	jobPrefix = "/v1/jobs/"
	// queryTimeout is how long this host and the active host together may take to answer.
	queryTimeout = 2 * time.Second
)

// Inspector answers operators' requests.
type Inspector struct {
	hostStatus func(ctx context.Context) (yuccapaddle.HostStatus, error)
	elector    *elector.Elector
	conns      *connector.Connector
	next       fasthttp.RequestHandler
}

// New returns an Inspector. hostStatus returns the status of this host, and next serves
// all other paths and methods.
func New(hostStatus func(ctx context.Context) (yuccapaddle.HostStatus, error), e *elector.Elector, conns *connector.Connector, next fasthttp.RequestHandler) *Inspector {
	return &Inspector{hostStatus: hostStatus, elector: e, conns: conns, next: next}
}

// Handle serves one HTTP request.
func (i *Inspector) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id, isJob := strings.CutPrefix(path, jobPrefix)
	switch {
	case !ctx.IsGet():
		i.next(ctx)
	case path == statePath:
		i.serveState(ctx)
	case isJob && id != "":
		i.serveJob(ctx, id)
	default:
		i.next(ctx)
	}
}

// serveState returns the status of this host and, if another one is active, of that one.
func (i *Inspector) serveState(ctx *fasthttp.RequestCtx) {
	queryCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	own, err := i.hostStatus(queryCtx)
	replies := []yuccapaddle.HostReply{{Host: own.Host, Status: &own}}
	if err != nil {
		replies[0].Error = err.Error()
	}
	if address, ok := i.elector.Leader(); ok && !own.Active {
		replies = append(replies, i.queryActiveHost(queryCtx, address))
	}
	writer.JSON(ctx, fasthttp.StatusOK, replies)
}

// queryActiveHost returns the status of the active host, or the error of asking for it.
func (i *Inspector) queryActiveHost(ctx context.Context, address string) yuccapaddle.HostReply {
	r := yuccapaddle.HostReply{Host: address}
	view, err := i.query(ctx, address, "")
	if err == nil {
		r.Status = &yuccapaddle.HostStatus{}
		err = json.Unmarshal(view, r.Status)
	}
	if err != nil {
		return yuccapaddle.HostReply{Host: address, Error: err.Error()}
	}
	r.Host = r.Status.Host
	return r
}

func (i *Inspector) serveJob(ctx *fasthttp.RequestCtx, id string) {
	queryCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	view, err := i.findJob(queryCtx, id)
	switch {
	case err != nil:
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case view == nil:
		writer.Error(ctx, fasthttp.StatusNotFound, fmt.Sprintf("there is no job %q", id))
	default:
		writer.JSON(ctx, fasthttp.StatusOK, view)
	}
}

var errNoActiveHost = errors.New("no host is active now")

// findJob returns a job from the active host, which may be this one, or nil if there is
// no such job.
func (i *Inspector) findJob(ctx context.Context, id string) (*yuccapaddle.JobView, error) {
	if e := i.elector.LocalExecutor(); e != nil {
		return e.View(ctx, id)
	}
	address, ok := i.elector.Leader()
	if !ok {
		return nil, errNoActiveHost
	}
	data, err := i.query(ctx, address, id)
	if err != nil || len(data) == 0 {
		return nil, err
	}
	view := &yuccapaddle.JobView{}
	if err := json.Unmarshal(data, view); err != nil {
		return nil, fmt.Errorf("decode the answer of host %s about job %q: %w", address, id, err)
	}
	return view, nil
}

// query returns the status of the host at an address in JSON, or a job there if jobID is
// not empty. The error is errNoActiveHost if that host is not active.
func (i *Inspector) query(ctx context.Context, address, jobID string) ([]byte, error) {
	client, err := i.conns.Client(address)
	if err != nil {
		return nil, fmt.Errorf("query host %s: %w", address, err)
	}
	reply, err := client.Inspect(ctx, &peer.InspectRequest{Job: jobID})
	if err != nil {
		return nil, fmt.Errorf("query host %s: %w", address, err)
	}
	if reply.GetInactive() {
		return nil, errNoActiveHost
	}
	return reply.GetView(), nil
}
