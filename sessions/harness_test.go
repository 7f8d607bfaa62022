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
	exclusionGrace = 3 * time.Second
	maxPartialTime = 15 * time.Second
)

// simulation runs a whole system in one process and in virtual time: hosts with
// their production code, and fakes for the store, the host list and the workers.
type simulation struct {
	t               *testing.T
	store           *storer.Storer
	list            *lister.Lister
	worker          *worker.Worker
	hosts           map[string]*host
	site            yuccapaddle.Site
	topology        *mapper.Mapper
	mu              sync.Mutex
	output          strings.Builder
	pendingLines    []string
	history         verifier.History
	group           errgroup.Group
	listLag         time.Duration // of the host list
	startedAt       time.Time
	exclusionOrders []exclusionOrder
	streamed        bool // the number of runs is not reproducible
}

// host is one entry host whose calls pass through an interceptor.
type host struct {
	name        string
	server      *server.Server
	interceptor *interceptor
	cancel      context.CancelFunc
	stop        chan struct{}
	done        chan struct{}
}

func newSimulation(t *testing.T, site yuccapaddle.Site) *simulation {
	sim := &simulation{
		t: t, store: storer.New(), list: lister.New(), worker: worker.New(), hosts: map[string]*host{},
		site: site, topology: mapper.New(&site), startedAt: time.Now(),
	}
	for _, d := range site.Domains {
		for _, u := range d.Upstreams {
			sim.worker.Add(u)
		}
	}
	sim.history = verifier.History{
		Requests: map[string]*yuccapaddle.Request{}, Outcomes: map[string][]yuccapaddle.Outcome{},
		ExpectedPart:   func(key string, rank int) string { return fmt.Sprintf(`{"rank":%d,"answer":%q}`, rank, key) },
		ExclusionGrace: exclusionGrace, MaxPartialTime: maxPartialTime,
	}
	return sim
}

// hostNames are the names of all hosts; each is configured as a peer of the
// others.
var hostNames = []string{"h1", "h2", "h3"}

func (sim *simulation) hostSettings(name string) *loader.Host {
	h := loader.DefaultHost()
	h.Name, h.Domain, h.Region = name, "d1", "r1"
	h.Listen.Peers = name
	for _, n := range hostNames {
		h.Peers = append(h.Peers, loader.Peer{Name: n, Address: n})
	}
	for _, ws := range sim.site.Workspaces {
		h.Tokens.Callers = append(h.Tokens.Callers, loader.CallerToken{Workspace: ws.Name, Caller: "c", Hash: authenticator.Hash(ws.Name)})
	}
	h.Tokens.Callers = append(h.Tokens.Callers, loader.CallerToken{Workspace: "nowhere", Caller: "c", Hash: authenticator.Hash("nowhere")})
	h.Tokens.Operators = []loader.OperatorToken{{Name: "op", Hash: authenticator.Hash("op")}}
	h.Limits.NotReadyMS = 100
	return &h
}

func (sim *simulation) startHost(name string) {
	h := &host{name: name, interceptor: newInterceptor(), stop: make(chan struct{}), done: make(chan struct{})}
	wrap := func(func(string) string, func(string, int, int)) yuccapaddle.GangWorker {
		return interceptedWorker{h.interceptor, sim.worker}
	}
	sim.mu.Lock()
	startCount := len(sim.hosts)
	sim.mu.Unlock()
	nonce := fmt.Sprintf("%s-%d-%d", name, startCount, time.Now().UnixNano())
	h.server = server.New(sim.hostSettings(name), nonce, interceptedStore{h.interceptor, sim.store}, wrap, zap.NewNop(),
		server.WithoutListeners(), server.WithHostList(sim.list), server.WithDial(func(address string) (peer.PeerClient, error) {
			return sim.dial(h, address)
		}))
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	sim.mu.Lock()
	sim.hosts[name] = h
	sim.mu.Unlock()
	sim.group.Go(func() error {
		defer close(h.done)
		return h.server.Run(ctx, h.stop)
	})
}

func (sim *simulation) dial(from *host, address string) (peer.PeerClient, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	to := sim.hosts[address]
	if to == nil || to.interceptor.killed.Load() {
		return nil, errDisconnected
	}
	return peerClient{from: from.interceptor, to: to.interceptor, server: to.server.PeerServer()}, nil
}

// killHost ends a host at once, as a crash: none of its calls or answers get out
// any more.
func (sim *simulation) killHost(name string) {
	h := sim.hosts[name]
	h.interceptor.killed.Store(true)
	h.interceptor.resume()
	h.cancel()
	<-h.done
}

func (sim *simulation) killAll() {
	sim.store.SetFaults(storer.Faults{})
	for _, name := range sortedKeys(sim.hosts) {
		sim.killHost(name)
	}
	err := sim.group.Wait()
	qt.Assert(sim.t, err, qt.IsNil)
}

// callHandler calls an HTTP handler of a host and returns the status and body;
// the status is 0 if the host was killed meanwhile.
func (sim *simulation) callHandler(h *host, handle fasthttp.RequestHandler, method, uri, token string, body any) (int, []byte) {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.Set("Authorization", "Bearer "+token)
	if text, ok := body.(string); ok {
		req.SetBodyString(text)
	} else if body != nil {
		data, err := json.Marshal(body)
		qt.Assert(sim.t, err, qt.IsNil)
		req.SetBody(data)
	}
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	h.interceptor.waitResumed()
	handle(&ctx)
	h.interceptor.waitResumed()
	if h.interceptor.killed.Load() {
		return 0, nil // the host's connections broke with it
	}
	return ctx.Response.StatusCode(), append([]byte(nil), ctx.Response.Body()...)
}

func (sim *simulation) change(h *host, action, target string, base uint64, site *yuccapaddle.Site) applier.Result {
	id := fmt.Sprintf("%s %s %d", action, target, time.Now().UnixNano())
	requestedAt := time.Now()
	c := applier.Change{ID: id, Action: action, Target: target, Base: base, Site: site, Reason: "session"}
	_, body := sim.callHandler(h, h.server.OperatorHandler(), "POST", "/v1/change", "op", c)
	var r applier.Result
	if body != nil {
		qt.Assert(sim.t, json.Unmarshal(body, &r), qt.IsNil)
	}
	// A return to service whose outcome is unknown may be in force as well.
	maybeReturned := strings.HasSuffix(action, "-back") && r.Status != applier.Conflict && r.Status != applier.Invalid && r.Status != applier.NotApplied
	if r.Status == applier.Accepted || maybeReturned {
		sim.recordExclusionOrder(action, target, r.Revision, requestedAt, time.Now())
	}
	return r
}

// exclusionOrder is one accepted order to take a failure domain, upstream or worker
// out of service or to return it. Answers may arrive out of order; the revision
// tells which order came first.
type exclusionOrder struct {
	target                  string
	takesOut                bool
	revision                float64
	requestedAt, acceptedAt time.Time
}

// recordExclusionOrder records an order. One without a known revision (0) sorts after
// all orders that have been recorded.
func (sim *simulation) recordExclusionOrder(action, target string, revision uint64, requestedAt, acceptedAt time.Time) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	o := exclusionOrder{target: target, revision: float64(revision), requestedAt: requestedAt, acceptedAt: acceptedAt}
	switch action {
	case applier.ActionDomainOut, applier.ActionUpstreamDrain, applier.ActionWorkerDrain, "leaving":
		o.takesOut = true
	case applier.ActionDomainBack, applier.ActionUpstreamBack, applier.ActionWorkerBack, "live":
	default:
		return
	}
	if revision == 0 {
		for _, other := range sim.exclusionOrders {
			o.revision = max(o.revision, other.revision)
		}
		o.revision += 0.5
	}
	sim.exclusionOrders = append(sim.exclusionOrders, o)
}

// exclusions returns the periods in which nothing may start at a target: from the
// acceptance of the order that takes it out until its return is requested, since
// the return may be in force before its answer arrives.
func (sim *simulation) exclusions() []verifier.Exclusion {
	sort.SliceStable(sim.exclusionOrders, func(a, b int) bool { return sim.exclusionOrders[a].revision < sim.exclusionOrders[b].revision })
	var out []verifier.Exclusion
	for i, o := range sim.exclusionOrders {
		if !o.takesOut {
			continue
		}
		e := verifier.Exclusion{Name: o.target, From: o.acceptedAt, Covers: func(r *verifier.Run) bool {
			return r.Worker == o.target || r.Domain == o.target || sim.topology.UpstreamOf(r.Worker) == o.target
		}}
		for _, back := range sim.exclusionOrders[i+1:] {
			if back.target == o.target && !back.takesOut {
				e.To = back.requestedAt
				break
			}
		}
		out = append(out, e)
	}
	return out
}

// check completes the recorded history and returns the guarantees it violates.
func (sim *simulation) check() []error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history.Now = time.Now()
	sim.history.Runs = nil
	sim.history.Exclusions = sim.exclusions()
	for _, r := range sim.worker.Runs() {
		sim.history.Runs = append(sim.history.Runs, verifier.Run{
			Key: r.Key, Lease: r.Lease, Worker: r.Worker, Domain: sim.topology.DomainOf(sim.topology.UpstreamOf(r.Worker)),
			Rank: r.Rank, Resumed: r.Resumed, Done: r.Done, StartAt: r.StartAt, EndAt: r.EndAt,
		})
	}
	return sim.history.Check()
}

func (sim *simulation) recordOutcome(key string, o yuccapaddle.Outcome) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history.Outcomes[key] = append(sim.history.Outcomes[key], o)
}

func (sim *simulation) printf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.pendingLines = append(sim.pendingLines, fmt.Sprintf(format, args...))
}

// flushOutput writes the lines that a command printed. Events at the same moment
// of virtual time have no order, so the lines are sorted.
func (sim *simulation) flushOutput() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sort.Strings(sim.pendingLines)
	for _, line := range sim.pendingLines {
		fmt.Fprintln(&sim.output, line)
	}
	sim.pendingLines = nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
