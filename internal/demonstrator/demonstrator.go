// Package demonstrator runs a host in one process with an in-memory store and
// simulated workers, and demonstrates a burst of quick requests, a gang, and a
// workspace that reclaims its guarantee.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/server"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/standin/worker"
)

const (
	burstSize             = 40
	readyTimeout          = 20 * time.Second
	readyPollInterval     = 50 * time.Millisecond
	requestWait           = "20s"
	operatorName          = "operator"
	acceleratorsPerWorker = 8
)

// Demonstrator runs the demonstration.
type Demonstrator struct {
	out       io.Writer
	server    *server.Server
	startedAt time.Time
}

// New returns a Demonstrator that writes a line to out for each step, with the
// seconds since the start.
func New(out io.Writer) *Demonstrator {
	return &Demonstrator{out: out}
}

// demoSite returns a configuration of two failure domains with 32 accelerators each,
// and three workspaces, of which sweeps has no guarantee.
func demoSite() *yuccapaddle.Site {
	s := &yuccapaddle.Site{Name: "demo", Limits: yuccapaddle.Limits{EvictionGraceMS: 1500, Attempts: 3}}
	for i, name := range []string{"east", "west"} {
		s.Domains = append(s.Domains, yuccapaddle.Domain{Name: name, Region: name, Upstreams: []yuccapaddle.Upstream{{
			Name: name + "-up", Address: "127.0.0.1:" + strconv.Itoa(i+1),
			Racks: []yuccapaddle.Rack{{Name: name + "-rack", Workers: 4, Accelerators: acceleratorsPerWorker}},
		}}})
	}
	s.Workspaces = []yuccapaddle.Workspace{
		{Name: "checks", Guarantees: []yuccapaddle.Guarantee{{Count: 2, Workers: 1, Accelerators: 4, Span: yuccapaddle.SpanWorker}}},
		{Name: "proofing", Guarantees: []yuccapaddle.Guarantee{{Count: 1, Workers: 4, Accelerators: 8, Span: yuccapaddle.SpanRack}}},
		{Name: "sweeps"},
	}
	return s
}

// Run runs the demonstration, which takes a few seconds.
func (d *Demonstrator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	site := demoSite()
	w := worker.New()
	for _, dom := range site.Domains {
		for _, u := range dom.Upstreams {
			w.Add(u)
		}
	}
	host := loader.DefaultHost()
	host.Name, host.Domain, host.Region = "demo", "east", "east"
	for _, ws := range site.Workspaces {
		token := loader.CallerToken{Workspace: ws.Name, Caller: "demo", Hash: authenticator.Hash(ws.Name)}
		host.Tokens.Callers = append(host.Tokens.Callers, token)
	}
	host.Tokens.Operators = []loader.OperatorToken{{Name: operatorName, Hash: authenticator.Hash(operatorName)}}
	host.Limits.NotReadyMS = 0
	d.server = server.New(&host, namer.Unique("demo"), storer.New(),
		func(func(string) string, func(string, int, int)) yuccapaddle.GangWorker { return w }, zap.NewNop(), server.WithoutListeners())
	d.startedAt = time.Now()
	stop := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return d.server.Run(ctx, stop) })
	err := d.runSteps(site)
	close(stop)
	if waitErr := g.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (d *Demonstrator) runSteps(site *yuccapaddle.Site) error {
	if err := d.configure(site); err != nil {
		return err
	}
	steps := []func() error{d.demoBurst, d.demoGang, d.demoReclaim}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.printf("done: every request was answered")
	return nil
}

func (d *Demonstrator) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// post calls a handler of the server without a network connection.
func (d *Demonstrator) post(handle fasthttp.RequestHandler, uri, token string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode the body: %w", err)
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(uri)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	req.SetBody(data)
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	handle(&ctx)
	if err := json.Unmarshal(ctx.Response.Body(), reply); err != nil {
		return fmt.Errorf("reply of %s cannot be decoded: %w", uri, err)
	}
	return nil
}

// configure applies the configuration and waits until a request succeeds.
func (d *Demonstrator) configure(site *yuccapaddle.Site) error {
	var r applier.Result
	c := applier.Change{ID: "demo", Action: applier.ActionApply, Site: site, Reason: "demonstration"}
	if err := d.post(d.server.OperatorHandler(), "/v1/change", operatorName, c, &r); err != nil {
		return err
	}
	if r.Status != applier.Accepted {
		return fmt.Errorf("the configuration was not accepted: %s", r.Reason)
	}
	d.printf("configuration accepted as revision %d: 8 workers of %d accelerators in 2 failure domains", r.Revision, acceleratorsPerWorker)
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		o, err := d.submit("checks", responder.Submission{ID: "probe", Class: "quick", Tasks: 1, Accelerators: 1}, 1)
		if err == nil && o.Verdict == yuccapaddle.VerdictDone {
			d.printf("the host is active and its workers answer")
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return fmt.Errorf("the host was not ready within %v", readyTimeout)
}

// submit submits a request whose tasks run for ms milliseconds, and waits for its
// outcome.
func (d *Demonstrator) submit(workspace string, s responder.Submission, ms int64) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	payload, err := json.Marshal(worker.Payload{MS: ms, Answer: json.RawMessage(strconv.Quote(s.ID))})
	if err != nil {
		return o, fmt.Errorf("encode the payload: %w", err)
	}
	s.Payload = payload
	err = d.post(d.server.CallerHandler(), "/v1/requests?wait="+requestWait, workspace, s, &o)
	return o, err
}

// submitAndCheck submits a request and returns an error unless it is done with all
// its parts.
func (d *Demonstrator) submitAndCheck(workspace string, s responder.Submission, ms int64) (yuccapaddle.Outcome, error) {
	o, err := d.submit(workspace, s, ms)
	if err != nil {
		return o, err
	}
	if o.Verdict != yuccapaddle.VerdictDone || len(o.Parts) != s.Tasks {
		return o, fmt.Errorf("request %s/%s: %s with %d of %d parts: %s", workspace, s.ID, o.Verdict, len(o.Parts), s.Tasks, o.Reason)
	}
	return o, nil
}

func (d *Demonstrator) demoBurst() error {
	d.printf("burst: %d quick requests of 50 ms", burstSize)
	var g errgroup.Group
	for i := range burstSize {
		g.Go(func() error {
			s := responder.Submission{ID: fmt.Sprintf("quick-%d", i), Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker"}
			_, err := d.submitAndCheck("checks", s, 50)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	d.printf("burst: all %d answers are whole", burstSize)
	return nil
}

func (d *Demonstrator) demoGang() error {
	d.printf("gang: 16 tasks of 2 accelerators, together or not at all")
	o, err := d.submitAndCheck("proofing", responder.Submission{ID: "gang", Tasks: 16, Accelerators: 2, Span: "rack"}, 500)
	if err != nil {
		return err
	}
	d.printf("gang: answered with %d parts, the last %s", len(o.Parts), o.Parts[len(o.Parts)-1])
	return nil
}

// demoReclaim lets the workspace sweeps use all accelerators, and then submits a
// request of proofing that reclaims its guaranteed rack.
func (d *Demonstrator) demoReclaim() error {
	var g errgroup.Group
	for _, id := range []string{"sweep-1", "sweep-2"} {
		g.Go(func() error {
			o, err := d.submitAndCheck("sweeps", responder.Submission{ID: id, Tasks: 4, Accelerators: 8, Span: "rack", Repeatable: true}, 3000)
			if err == nil {
				d.printf("reclaim: %s answered; placements: %d", id, o.Attempts)
			}
			return err
		})
	}
	time.Sleep(time.Second)
	d.printf("reclaim: sweeps borrow all 64 accelerators; proofing asks for its rack")
	o, err := d.submitAndCheck("proofing", responder.Submission{ID: "urgent", Class: "quick", Tasks: 4, Accelerators: 8, Span: "rack"}, 300)
	if err != nil {
		return err
	}
	d.printf("reclaim: proofing started %.2f s after it asked and is answered", o.StartAt.Sub(o.SubmitAt).Seconds())
	return g.Wait()
}
