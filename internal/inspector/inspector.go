// Package inspector tells operators over HTTP and JSON what the hosts do and what
// a job waits for. It changes nothing.
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
	"yuccapaddle/internal/claimer"
	"yuccapaddle/internal/linker"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/writer"
)

const (
	statePath = "/v1/state"
	jobPrefix = "/v1/jobs/"
	// askTime is how long the active host may take to answer.
	askTime = 2 * time.Second
)

// Inspector serves operators.
type Inspector struct {
	self    func(ctx context.Context) (yuccapaddle.HostStatus, error)
	claimer *claimer.Claimer
	links   *linker.Linker
	next    fasthttp.RequestHandler
}

// New returns an Inspector; self describes this host, and next serves all other
// paths.
func New(self func(ctx context.Context) (yuccapaddle.HostStatus, error), c *claimer.Claimer, links *linker.Linker, next fasthttp.RequestHandler) *Inspector {
	return &Inspector{self: self, claimer: c, links: links, next: next}
}

// Handle serves one HTTP request.
func (i *Inspector) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id, isJob := strings.CutPrefix(path, jobPrefix)
	switch {
	case !ctx.IsGet():
		i.next(ctx)
	case path == statePath:
		i.state(ctx)
	case isJob && id != "":
		i.job(ctx, id)
	default:
		i.next(ctx)
	}
}

// state answers for this host and, if another one is active, for that.
func (i *Inspector) state(ctx *fasthttp.RequestCtx) {
	askCtx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	own, err := i.self(askCtx)
	replies := []yuccapaddle.HostReply{{Host: own.Host, Status: &own}}
	if err != nil {
		replies[0].Error = err.Error()
	}
	if address, ok := i.claimer.Leader(); ok && !own.Active {
		replies = append(replies, i.active(askCtx, address))
	}
	writer.JSON(ctx, fasthttp.StatusOK, replies)
}

func (i *Inspector) active(ctx context.Context, address string) yuccapaddle.HostReply {
	r := yuccapaddle.HostReply{Host: address}
	view, err := i.ask(ctx, address, "")
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

func (i *Inspector) job(ctx *fasthttp.RequestCtx, id string) {
	askCtx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	view, err := i.find(askCtx, id)
	switch {
	case err != nil:
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case view == nil:
		writer.Error(ctx, fasthttp.StatusNotFound, fmt.Sprintf("there is no job %q", id))
	default:
		writer.JSON(ctx, fasthttp.StatusOK, view)
	}
}

var errNoActive = errors.New("no host is active now")

// find asks the active host, here or elsewhere, for a job; nil if there is none.
func (i *Inspector) find(ctx context.Context, id string) (*yuccapaddle.JobView, error) {
	if e := i.claimer.Local(); e != nil {
		return e.View(ctx, id)
	}
	address, ok := i.claimer.Leader()
	if !ok {
		return nil, errNoActive
	}
	data, err := i.ask(ctx, address, id)
	if err != nil || len(data) == 0 {
		return nil, err
	}
	view := &yuccapaddle.JobView{}
	if err := json.Unmarshal(data, view); err != nil {
		return nil, fmt.Errorf("decode what host %s tells of job %q: %w", address, id, err)
	}
	return view, nil
}

func (i *Inspector) ask(ctx context.Context, address, job string) ([]byte, error) {
	jobs, err := i.links.Jobs(address)
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	reply, err := jobs.Inspect(ctx, &peer.InspectRequest{Job: job})
	if err != nil {
		return nil, fmt.Errorf("ask host %s: %w", address, err)
	}
	if reply.GetInactive() {
		return nil, errNoActive
	}
	return reply.GetView(), nil
}
