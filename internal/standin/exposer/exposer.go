// Package exposer serves the stand-ins over HTTP with JSON bodies. Additional paths
// let tests inject faults and read the recorded history.
package exposer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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
	callTimeout  = 2 * time.Second
	maxBodyBytes = 8 << 20
)

// Exposer serves the stand-ins that are not nil; the paths of the others answer 404.
type Exposer struct {
	store  *storer.Storer
	hosts  *lister.Lister
	worker *worker.Worker
}

// New returns an Exposer for the given stand-ins, each of which may be nil.
func New(store *storer.Storer, hosts *lister.Lister, w *worker.Worker) *Exposer {
	return &Exposer{store: store, hosts: hosts, worker: w}
}

// ListFaults is the body of /list-faults: how long the host list lags behind, in
// milliseconds, and whether it is down.
type ListFaults struct {
	LagMS int  `json:"lagMs"`
	Down  bool `json:"down"`
}

// WorkerFaults is the body of /worker-faults: the new faults of the worker or
// upstream with the name. Restart also restarts the upstream.
type WorkerFaults struct {
	Name    string        `json:"name"`
	Restart bool          `json:"restart"`
	Faults  worker.Faults `json:"faults"`
}

// Serve listens on an address, host:port, until the context ends.
func (e *Exposer) Serve(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	srv := &fasthttp.Server{Handler: e.Handle, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close() // a server that does not serve yet is not stopped by Shutdown
		_ = srv.Shutdown()
	})
	defer stop()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}

// Handle handles one HTTP request.
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

// handleStore handles the paths of the key-value service. It reports whether the
// path is one of them.
func (e *Exposer) handleStore(ctx *fasthttp.RequestCtx, path string) bool {
	args := ctx.QueryArgs()
	key := string(args.Peek("key"))
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch {
	case path == "/v1/kv" && ctx.IsGet():
		entry, err := e.store.Get(callCtx, key)
		replyStore(ctx, entry, err)
	case path == "/v1/list":
		entries, err := e.store.List(callCtx, string(args.Peek("prefix")))
		replyStore(ctx, entries, err)
	case path == "/v1/kv" && ctx.IsPost():
		e.handlePut(callCtx, ctx)
	case path == "/v1/kv" && ctx.IsDelete():
		err := e.store.Delete(callCtx, key, uintArg(ctx, "ifRevision"))
		replyStore(ctx, struct{}{}, err)
	case path == "/v1/watch":
		wait := time.Duration(uintArg(ctx, "wait")) * time.Millisecond
		watchCtx, cancel := context.WithTimeout(context.Background(), wait+callTimeout)
		defer cancel()
		entry, err := e.store.Watch(watchCtx, key, uintArg(ctx, "after"), time.Now().Add(wait))
		replyStore(ctx, entry, err)
	case path == "/faults" && ctx.IsPost():
		var f storer.Faults
		if decodeBody(ctx, &f) {
			e.store.SetFaults(f)
		}
	case path == "/counts":
		writer.JSON(ctx, fasthttp.StatusOK, e.store.Counts())
	default:
		return false
	}
	return true
}

func (e *Exposer) handlePut(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var b client.PutBody
	if !decodeBody(ctx, &b) {
		return
	}
	w := yuccapaddle.Write{Key: b.Key, Value: b.Value, IfRevision: b.IfRevision}
	if b.TTL > 0 {
		w.Expiry = time.Now().Add(time.Duration(b.TTL) * time.Millisecond)
	}
	rev, err := e.store.Put(callCtx, w)
	replyStore(ctx, yuccapaddle.Entry{Key: b.Key, Revision: rev}, err)
}

// replyStore answers 409 for a conflict, 503 for a write that was not applied and
// 504 if that is not known.
func replyStore(ctx *fasthttp.RequestCtx, v any, err error) {
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

// handleHosts handles the paths of the host list. It reports whether the path is
// one of them.
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
		if decodeBody(ctx, &h) {
			e.hosts.Set(h)
		}
	case path == "/list-faults" && ctx.IsPost():
		var f ListFaults
		if decodeBody(ctx, &f) {
			e.hosts.SetFaults(time.Duration(f.LagMS)*time.Millisecond, f.Down)
		}
	default:
		return false
	}
	return true
}

// handleWorker handles the paths of the upstreams. It reports whether the path is
// one of them.
func (e *Exposer) handleWorker(ctx *fasthttp.RequestCtx, path string) bool {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch path {
	case "/v1/reserve":
		var r yuccapaddle.Reservation
		if decodeBody(ctx, &r) {
			replyWorker(ctx, struct{}{}, e.worker.Reserve(callCtx, r))
		}
	case "/v1/start", "/v1/checkpoint", "/v1/stop", "/v1/forget":
		e.handleLeaseCommand(callCtx, ctx, path)
	case "/v1/sync":
		var r yuccapaddle.SyncRequest
		if !decodeBody(ctx, &r) {
			return true
		}
		syncCtx, cancel := context.WithDeadline(context.Background(), r.WaitUntil.Add(callTimeout))
		defer cancel()
		report, err := e.worker.Sync(syncCtx, r)
		replyWorker(ctx, report, err)
	case "/worker-faults":
		var f WorkerFaults
		if decodeBody(ctx, &f) {
			e.setWorkerFaults(ctx, f)
		}
	case "/runs":
		writer.JSON(ctx, fasthttp.StatusOK, e.worker.Runs())
	default:
		return false
	}
	return true
}

func (e *Exposer) handleLeaseCommand(callCtx context.Context, ctx *fasthttp.RequestCtx, path string) {
	var c yuccapaddle.LeaseCommand
	if !decodeBody(ctx, &c) {
		return
	}
	switch path {
	case "/v1/start":
		replyWorker(ctx, struct{}{}, e.worker.Start(callCtx, c))
	case "/v1/checkpoint":
		replyWorker(ctx, struct{}{}, e.worker.Checkpoint(callCtx, c))
	case "/v1/stop":
		reply, err := e.worker.Stop(callCtx, c)
		replyWorker(ctx, reply, err)
	case "/v1/forget":
		replyWorker(ctx, struct{}{}, e.worker.Forget(callCtx, c))
	}
}

func (e *Exposer) setWorkerFaults(ctx *fasthttp.RequestCtx, f WorkerFaults) {
	err := e.worker.SetFaults(f.Name, f.Faults)
	if f.Restart {
		err = e.worker.Restart(f.Name)
	}
	if err != nil {
		writer.Error(ctx, fasthttp.StatusNotFound, err.Error())
	}
}

// replyWorker answers 409 for a refusal. Status 504 stands for a worker that gives
// no answer at all; the caller treats it as such.
func replyWorker(ctx *fasthttp.RequestCtx, v any, err error) {
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

// decodeBody decodes the body into v, or answers 400 and returns false.
func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// uintArg returns a query argument, 0 if it is missing or invalid.
func uintArg(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, err := ctx.QueryArgs().GetUint(name)
	if err != nil {
		return 0
	}
	return uint64(n)
}
