// Package exposer serves the stand-ins over HTTP and JSON, with extra paths by
// which tests switch faults on and read the history.
package exposer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/standin/lister"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/standin/worker"
	"yuccapaddle/internal/writer"

	client "yuccapaddle/internal/storer"
)

const (
	callTime = 2 * time.Second
	mostBody = 8 << 20
)

// Exposer serves any of the stand-ins; nil ones answer 404.
type Exposer struct {
	store  *storer.Storer
	hosts  *lister.Lister
	worker *worker.Worker
}

// New returns an Exposer.
func New(store *storer.Storer, hosts *lister.Lister, w *worker.Worker) *Exposer {
	return &Exposer{store: store, hosts: hosts, worker: w}
}

// ListFaults are the faults of the host list.
type ListFaults struct {
	LagMS int  `json:"lagMs"`
	Down  bool `json:"down"`
}

// WorkerFaults are the faults of one worker or upstream.
type WorkerFaults struct {
	Name    string        `json:"name"`
	Restart bool          `json:"restart"`
	Faults  worker.Faults `json:"faults"`
}

// Serve answers at an address until the context ends.
func (e *Exposer) Serve(ctx context.Context, address string) error {
	srv := &fasthttp.Server{Handler: e.Handle, MaxRequestBodySize: mostBody, NoDefaultServerHeader: true, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	return srv.ListenAndServe(address)
}

// Handle serves one HTTP request.
func (e *Exposer) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case e.store != nil && e.handleStore(ctx, path):
	case e.hosts != nil && e.handleHosts(ctx, path):
	case e.worker != nil && e.handleWorker(ctx, path):
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, "there is no "+path)
	}
}

func (e *Exposer) handleStore(ctx *fasthttp.RequestCtx, path string) bool {
	args := ctx.QueryArgs()
	key := string(args.Peek("key"))
	callCtx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	switch {
	case path == "/v1/kv" && ctx.IsGet():
		entry, err := e.store.Get(callCtx, key)
		answerStore(ctx, entry, err)
	case path == "/v1/list":
		entries, err := e.store.List(callCtx, string(args.Peek("prefix")))
		answerStore(ctx, entries, err)
	case path == "/v1/kv" && ctx.IsPost():
		e.put(callCtx, ctx)
	case path == "/v1/kv" && ctx.IsDelete():
		err := e.store.Delete(callCtx, key, number(ctx, "ifRevision"))
		answerStore(ctx, struct{}{}, err)
	case path == "/v1/watch":
		wait := time.Duration(number(ctx, "wait")) * time.Millisecond
		watchCtx, cancel := context.WithTimeout(context.Background(), wait+callTime)
		defer cancel()
		entry, err := e.store.Watch(watchCtx, key, number(ctx, "after"), time.Now().Add(wait))
		answerStore(ctx, entry, err)
	case path == "/faults" && ctx.IsPost():
		var f storer.Faults
		if decode(ctx, &f) {
			e.store.SetFaults(f)
		}
	case path == "/counts":
		writer.JSON(ctx, fasthttp.StatusOK, e.store.Counts())
	default:
		return false
	}
	return true
}

func (e *Exposer) put(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var b client.PutBody
	if !decode(ctx, &b) {
		return
	}
	w := yuccapaddle.Write{Key: b.Key, Value: b.Value, IfRevision: b.IfRevision}
	if b.TTL > 0 {
		w.Expiry = time.Now().Add(time.Duration(b.TTL) * time.Millisecond)
	}
	rev, err := e.store.Put(callCtx, w)
	answerStore(ctx, yuccapaddle.Entry{Key: b.Key, Revision: rev}, err)
}

func answerStore(ctx *fasthttp.RequestCtx, v any, err error) {
	switch {
	case err == nil:
		writer.JSON(ctx, fasthttp.StatusOK, v)
	case errors.Is(err, yuccapaddle.ErrConflict):
		writer.Error(ctx, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, yuccapaddle.ErrNotApplied):
		writer.Error(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	default:
		writer.Error(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	}
}

func (e *Exposer) handleHosts(ctx *fasthttp.RequestCtx, path string) bool {
	switch {
	case path == "/v1/hosts" && ctx.IsGet():
		hosts, err := e.hosts.Hosts(context.Background())
		if err != nil {
			writer.Error(ctx, fasthttp.StatusServiceUnavailable, err.Error())
			return true
		}
		writer.JSON(ctx, fasthttp.StatusOK, hosts)
	case path == "/v1/hosts" && ctx.IsPost():
		var h yuccapaddle.Host
		if decode(ctx, &h) {
			e.hosts.Set(h)
		}
	case path == "/list-faults" && ctx.IsPost():
		var f ListFaults
		if decode(ctx, &f) {
			e.hosts.SetFaults(time.Duration(f.LagMS)*time.Millisecond, f.Down)
		}
	default:
		return false
	}
	return true
}

func (e *Exposer) handleWorker(ctx *fasthttp.RequestCtx, path string) bool {
	callCtx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	switch path {
	case "/v1/reserve":
		var r yuccapaddle.Reservation
		if decode(ctx, &r) {
			answerWorker(ctx, struct{}{}, e.worker.Reserve(callCtx, r))
		}
	case "/v1/start", "/v1/checkpoint", "/v1/stop", "/v1/forget":
		e.command(callCtx, ctx, path)
	case "/v1/sync":
		var r yuccapaddle.SyncRequest
		if !decode(ctx, &r) {
			return true
		}
		syncCtx, cancel := context.WithDeadline(context.Background(), r.WaitUntil.Add(callTime))
		defer cancel()
		report, err := e.worker.Sync(syncCtx, r)
		answerWorker(ctx, report, err)
	case "/worker-faults":
		var f WorkerFaults
		if decode(ctx, &f) {
			e.fault(ctx, f)
		}
	case "/runs":
		writer.JSON(ctx, fasthttp.StatusOK, e.worker.Runs())
	default:
		return false
	}
	return true
}

func (e *Exposer) command(callCtx context.Context, ctx *fasthttp.RequestCtx, path string) {
	var c yuccapaddle.LeaseCommand
	if !decode(ctx, &c) {
		return
	}
	switch path {
	case "/v1/start":
		answerWorker(ctx, struct{}{}, e.worker.Start(callCtx, c))
	case "/v1/checkpoint":
		answerWorker(ctx, struct{}{}, e.worker.Checkpoint(callCtx, c))
	case "/v1/stop":
		reply, err := e.worker.Stop(callCtx, c)
		answerWorker(ctx, reply, err)
	case "/v1/forget":
		answerWorker(ctx, struct{}{}, e.worker.Forget(callCtx, c))
	}
}

func (e *Exposer) fault(ctx *fasthttp.RequestCtx, f WorkerFaults) {
	err := e.worker.SetFaults(f.Name, f.Faults)
	if f.Restart {
		err = e.worker.Restart(f.Name)
	}
	if err != nil {
		writer.Error(ctx, fasthttp.StatusNotFound, err.Error())
	}
}

// answerWorker answers 409 for a refusal. A worker that would not answer at all
// is played by 504, which the caller takes for no answer.
func answerWorker(ctx *fasthttp.RequestCtx, v any, err error) {
	var we *yuccapaddle.WorkerError
	switch {
	case err == nil:
		writer.JSON(ctx, fasthttp.StatusOK, v)
	case errors.As(err, &we):
		writer.JSON(ctx, fasthttp.StatusConflict, we)
	default:
		writer.Error(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	}
}

func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func number(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, err := ctx.QueryArgs().GetUint(name)
	if err != nil {
		return 0
	}
	return uint64(n)
}
