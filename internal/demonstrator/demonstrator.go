// Package demonstrator runs the main job in one process: an in-memory store,
// stand-in workers, a burst of quick requests, a gang and a reclaim.
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
	burst       = 40
	readyTime   = 20 * time.Second
	readyPoll   = 50 * time.Millisecond
	answerWait  = "20s"
	operator    = "operator"
	accelerator = 8
)

// Demonstrator plays the demonstration.
type Demonstrator struct {
	out    io.Writer
	server *server.Server
	began  time.Time
}

// New returns a Demonstrator that writes its timeline to out.
func New(out io.Writer) *Demonstrator {
	return &Demonstrator{out: out}
}

func site() *yuccapaddle.Site {
	s := &yuccapaddle.Site{Name: "demo", Limits: yuccapaddle.Limits{EvictionGraceMS: 1500, Attempts: 3}}
	for i, name := range []string{"east", "west"} {
		s.Domains = append(s.Domains, yuccapaddle.Domain{Name: name, Region: name, Upstreams: []yuccapaddle.Upstream{{
			Name: name + "-up", Address: "127.0.0.1:" + strconv.Itoa(i+1),
			Racks: []yuccapaddle.Rack{{Name: name + "-rack", Workers: 4, Accelerators: accelerator}},
		}}})
	}
	s.Workspaces = []yuccapaddle.Workspace{
		{Name: "checks", Guarantees: []yuccapaddle.Guarantee{{Count: 2, Workers: 1, Accelerators: 4, Span: yuccapaddle.SpanWorker}}},
		{Name: "proofing", Guarantees: []yuccapaddle.Guarantee{{Count: 1, Workers: 4, Accelerators: 8, Span: yuccapaddle.SpanRack}}},
		{Name: "sweeps"},
	}
	return s
}

// Run plays the demonstration; it takes a few seconds.
func (d *Demonstrator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sites := site()
	w := worker.New()
	for _, dom := range sites.Domains {
		for _, u := range dom.Upstreams {
			w.Add(u)
		}
	}
	host := loader.Defaults()
	host.Name, host.Domain, host.Region = "demo", "east", "east"
	for _, ws := range sites.Workspaces {
		token := loader.CallerToken{Workspace: ws.Name, Caller: "demo", Hash: authenticator.Hash(ws.Name)}
		host.Tokens.Callers = append(host.Tokens.Callers, token)
	}
	host.Tokens.Operators = []loader.OperatorToken{{Name: operator, Hash: authenticator.Hash(operator)}}
	host.Limits.DrainMS = 0
	d.server = server.New(&host, namer.Unique("demo"), storer.New(),
		func(func(string) string, func(string, int, int)) yuccapaddle.GangWorker { return w }, zap.NewNop(), server.WithoutListeners())
	d.began = time.Now()
	stop := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return d.server.Run(ctx, stop) })
	err := d.play(sites)
	close(stop)
	if waitErr := g.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (d *Demonstrator) play(s *yuccapaddle.Site) error {
	if err := d.configure(s); err != nil {
		return err
	}
	steps := []func() error{d.burst, d.gang, d.reclaim}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.say("done: every request was answered")
	return nil
}

func (d *Demonstrator) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demonstrator) call(handle fasthttp.RequestHandler, uri, token string, body, reply any) error {
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
		return fmt.Errorf("answer of %s: %w", uri, err)
	}
	return nil
}

func (d *Demonstrator) configure(s *yuccapaddle.Site) error {
	var r applier.Result
	c := applier.Change{ID: "demo", Action: applier.ActionApply, Site: s, Reason: "demonstration"}
	if err := d.call(d.server.Operators(), "/v1/change", operator, c, &r); err != nil {
		return err
	}
	if r.Status != applier.Accepted {
		return fmt.Errorf("the configuration was not accepted: %s", r.Reason)
	}
	d.say("configuration accepted as revision %d: 8 workers of %d accelerators in 2 failure domains", r.Revision, accelerator)
	deadline := time.Now().Add(readyTime)
	for time.Now().Before(deadline) {
		o, err := d.submit("checks", responder.Submission{ID: "probe", Class: "quick", Tasks: 1, Accelerators: 1}, 1)
		if err == nil && o.Verdict == yuccapaddle.VerdictDone {
			d.say("the host is active and its workers answer")
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("the host was not ready within %v", readyTime)
}

func (d *Demonstrator) submit(workspace string, s responder.Submission, ms int64) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	payload, err := json.Marshal(worker.Payload{MS: ms, Answer: json.RawMessage(strconv.Quote(s.ID))})
	if err != nil {
		return o, fmt.Errorf("encode the payload: %w", err)
	}
	s.Payload = payload
	err = d.call(d.server.Callers(), "/v1/requests?wait="+answerWait, workspace, s, &o)
	return o, err
}

// want submits and insists on a whole answer.
func (d *Demonstrator) want(workspace string, s responder.Submission, ms int64) (yuccapaddle.Outcome, error) {
	o, err := d.submit(workspace, s, ms)
	if err != nil {
		return o, err
	}
	if o.Verdict != yuccapaddle.VerdictDone || len(o.Parts) != s.Tasks {
		return o, fmt.Errorf("request %s/%s: %s with %d of %d parts: %s", workspace, s.ID, o.Verdict, len(o.Parts), s.Tasks, o.Reason)
	}
	return o, nil
}

func (d *Demonstrator) burst() error {
	d.say("burst: %d quick requests of 50 ms", burst)
	var g errgroup.Group
	for i := range burst {
		g.Go(func() error {
			s := responder.Submission{ID: fmt.Sprintf("quick-%d", i), Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker"}
			_, err := d.want("checks", s, 50)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	d.say("burst: all %d answers are whole", burst)
	return nil
}

func (d *Demonstrator) gang() error {
	d.say("gang: 16 tasks of 2 accelerators, together or not at all")
	o, err := d.want("proofing", responder.Submission{ID: "gang", Tasks: 16, Accelerators: 2, Span: "rack"}, 500)
	if err != nil {
		return err
	}
	d.say("gang: answered with %d parts, the last %s", len(o.Parts), o.Parts[len(o.Parts)-1])
	return nil
}

// reclaim lets sweeps borrow everything, then has proofing take its guaranteed
// rack back.
func (d *Demonstrator) reclaim() error {
	var g errgroup.Group
	for _, id := range []string{"sweep-1", "sweep-2"} {
		g.Go(func() error {
			o, err := d.want("sweeps", responder.Submission{ID: id, Tasks: 4, Accelerators: 8, Span: "rack", Repeatable: true}, 3000)
			if err == nil {
				d.say("reclaim: %s answered; placements: %d", id, o.Attempts)
			}
			return err
		})
	}
	time.Sleep(time.Second)
	d.say("reclaim: sweeps borrow all 64 accelerators; proofing asks for its rack")
	o, err := d.want("proofing", responder.Submission{ID: "urgent", Class: "quick", Tasks: 4, Accelerators: 8, Span: "rack"}, 300)
	if err != nil {
		return err
	}
	d.say("reclaim: proofing started %.2f s after it asked and is answered", o.StartAt.Sub(o.SubmitAt).Seconds())
	return g.Wait()
}
