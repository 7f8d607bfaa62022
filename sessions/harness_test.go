package sessions

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/mapper"
	"yuccapaddle/internal/peer"
	"yuccapaddle/internal/server"
	"yuccapaddle/internal/standin/lister"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/standin/worker"
	"yuccapaddle/internal/verifier"
)

const (
	exitWithin    = 3 * time.Second
	partialWithin = 15 * time.Second
)

// world is a whole system in one process and in virtual time: hosts of the real
// code, with small fakes at the interfaces.
type world struct {
	t        *testing.T
	store    *storer.Storer
	list     *lister.Lister
	worker   *worker.Worker
	hosts    map[string]*host
	site     yuccapaddle.Site
	topo     *mapper.Mapper
	mu       sync.Mutex
	out      strings.Builder
	lines    []string
	history  verifier.History
	group    errgroup.Group
	lag      time.Duration
	begin    time.Time
	orders   []order
	streamed bool
}

// host is one entry host behind a gate that can be cut or held shut.
type host struct {
	name   string
	server *server.Server
	gate   *gate
	cancel context.CancelFunc
	stop   chan struct{}
	done   chan struct{}
}

func newWorld(t *testing.T, site yuccapaddle.Site) *world {
	w := &world{
		t: t, store: storer.New(), list: lister.New(), worker: worker.New(), hosts: map[string]*host{},
		site: site, topo: mapper.New(&site), begin: time.Now(),
	}
	for _, d := range site.Domains {
		for _, u := range d.Upstreams {
			w.worker.Add(u)
		}
	}
	w.history = verifier.History{
		Requests: map[string]*yuccapaddle.Request{}, Told: map[string][]yuccapaddle.Outcome{},
		Whole:      func(key string, rank int) string { return fmt.Sprintf(`{"rank":%d,"answer":%q}`, rank, key) },
		ExitWithin: exitWithin, PartialWithin: partialWithin,
	}
	return w
}

// hostNames are the hosts that know one another as peers.
var hostNames = []string{"h1", "h2", "h3"}

func (w *world) settings(name string) *loader.Host {
	h := loader.Defaults()
	h.Name, h.Domain, h.Region = name, "d1", "r1"
	h.Listen.Peers = name
	for _, n := range hostNames {
		h.Peers = append(h.Peers, loader.Peer{Name: n, Address: n})
	}
	for _, ws := range w.site.Workspaces {
		h.Tokens.Callers = append(h.Tokens.Callers, loader.CallerToken{Workspace: ws.Name, Caller: "c", Hash: authenticator.Hash(ws.Name)})
	}
	h.Tokens.Callers = append(h.Tokens.Callers, loader.CallerToken{Workspace: "nowhere", Caller: "c", Hash: authenticator.Hash("nowhere")})
	h.Tokens.Operators = []loader.OperatorToken{{Name: "op", Hash: authenticator.Hash("op")}}
	h.Limits.DrainMS = 100
	return &h
}

func (w *world) start(name string) {
	h := &host{name: name, gate: newGate(), stop: make(chan struct{}), done: make(chan struct{})}
	wrap := func(func(string) string, func(string, int, int)) yuccapaddle.GangWorker {
		return gatedWorker{h.gate, w.worker}
	}
	w.mu.Lock()
	boot := len(w.hosts)
	w.mu.Unlock()
	nonce := fmt.Sprintf("%s-%d-%d", name, boot, time.Now().UnixNano())
	h.server = server.New(w.settings(name), nonce, gatedStore{h.gate, w.store}, wrap, zap.NewNop(),
		server.WithoutListeners(), server.WithHostList(w.list), server.WithDial(func(address string) (peer.PeerClient, error) {
			return w.dial(h, address)
		}))
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	w.group.Go(func() error {
		defer close(h.done)
		return h.server.Run(ctx, h.stop)
	})
}

func (w *world) dial(from *host, address string) (peer.PeerClient, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.hosts[address]
	if to == nil || to.gate.dead.Load() {
		return nil, errCut
	}
	return peerClient{from: from.gate, to: to.gate, server: to.server.Peers()}, nil
}

// kill ends a host at once: nothing of it reaches the outside any more.
func (w *world) kill(name string) {
	h := w.hosts[name]
	h.gate.dead.Store(true)
	h.gate.resume()
	h.cancel()
	<-h.done
}

func (w *world) closeAll() {
	w.store.SetFaults(storer.Faults{})
	for _, name := range sorted(w.hosts) {
		w.kill(name)
	}
	err := w.group.Wait()
	qt.Assert(w.t, err, qt.IsNil)
}

// http calls a handler of a host as a caller would.
func (w *world) http(h *host, handle fasthttp.RequestHandler, method, uri, token string, body any) (int, []byte) {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.Set("Authorization", "Bearer "+token)
	if text, ok := body.(string); ok {
		req.SetBodyString(text)
	} else if body != nil {
		data, err := json.Marshal(body)
		qt.Assert(w.t, err, qt.IsNil)
		req.SetBody(data)
	}
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	h.gate.pass()
	handle(&ctx)
	h.gate.pass()
	if h.gate.dead.Load() {
		return 0, nil // the connection broke
	}
	return ctx.Response.StatusCode(), append([]byte(nil), ctx.Response.Body()...)
}

func (w *world) change(h *host, action, target string, base uint64, site *yuccapaddle.Site) applier.Result {
	id := fmt.Sprintf("%s %s %d", action, target, time.Now().UnixNano())
	asked := time.Now()
	c := applier.Change{ID: id, Action: action, Target: target, Base: base, Site: site, Reason: "session"}
	_, body := w.http(h, h.server.Operators(), "POST", "/v1/change", "op", c)
	var r applier.Result
	if body != nil {
		qt.Assert(w.t, json.Unmarshal(body, &r), qt.IsNil)
	}
	// A return whose fate is unknown may be in force as well.
	back := strings.HasSuffix(action, "-back") && r.Status != applier.Conflict && r.Status != applier.Invalid && r.Status != applier.NotApplied
	if r.Status == applier.Accepted || back {
		w.noteExit(action, target, r.Revision, asked, time.Now())
	}
	return r
}

// order is one accepted order to take a place out or to bring it back. Answers
// may arrive out of order; the revision tells which order came first.
type order struct {
	place           string
	out             bool
	revision        float64
	asked, accepted time.Time
}

// noteExit records an order. A return whose fate is unknown, with revision 0,
// counts from when it was asked for.
func (w *world) noteExit(action, target string, revision uint64, asked, accepted time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := order{place: target, revision: float64(revision), asked: asked, accepted: accepted}
	switch action {
	case applier.ActionDomainOut, applier.ActionUpstreamDrain, applier.ActionWorkerDrain, "leaving":
		o.out = true
	case applier.ActionDomainBack, applier.ActionUpstreamBack, applier.ActionWorkerBack, "live":
	default:
		return
	}
	if revision == 0 {
		for _, other := range w.orders {
			o.revision = max(o.revision, other.revision)
		}
		o.revision += 0.5
	}
	w.orders = append(w.orders, o)
}

// exits are the periods in which nothing may start: from the acceptance of an
// order to take a place out, until its return is asked for, since the return
// may be in force before its answer arrives.
func (w *world) exits() []verifier.Exit {
	sort.SliceStable(w.orders, func(a, b int) bool { return w.orders[a].revision < w.orders[b].revision })
	var out []verifier.Exit
	for i, o := range w.orders {
		if !o.out {
			continue
		}
		e := verifier.Exit{Name: o.place, From: o.accepted, Place: func(r *verifier.Run) bool {
			return r.Worker == o.place || r.Domain == o.place || w.topo.UpstreamOf(r.Worker) == o.place
		}}
		for _, back := range w.orders[i+1:] {
			if back.place == o.place && !back.out {
				e.To = back.asked
				break
			}
		}
		out = append(out, e)
	}
	return out
}

// check holds the recorded history against the promises.
func (w *world) check() []error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Now = time.Now()
	w.history.Runs = nil
	w.history.Exits = w.exits()
	for _, r := range w.worker.Runs() {
		w.history.Runs = append(w.history.Runs, verifier.Run{
			Key: r.Key, Lease: r.Lease, Worker: r.Worker, Domain: w.topo.DomainOf(w.topo.UpstreamOf(r.Worker)),
			Rank: r.Rank, Resumed: r.Resumed, Done: r.Done, StartAt: r.StartAt, EndAt: r.EndAt,
		})
	}
	return w.history.Check()
}

func (w *world) told(key string, o yuccapaddle.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Told[key] = append(w.history.Told[key], o)
}

func (w *world) printf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf(format, args...))
}

// flush writes what a command brought about. What happened at one moment of
// virtual time has no order, so the lines are sorted.
func (w *world) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.Strings(w.lines)
	for _, line := range w.lines {
		fmt.Fprintln(&w.out, line)
	}
	w.lines = nil
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
