package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/caller"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/standin/worker"
)

// bed is a whole deployment of processes.
type bed struct {
	t         testing.TB
	dir       string
	bin       string
	platform  string
	log       string // level
	settings  loader.Settings
	hosts     []loader.Host
	processes map[string]*exec.Cmd
	given     map[string]bool // addresses
	calls     *caller.Caller
}

func newBed(t *testing.T) *bed {
	return startBed(t, hostCount, (*bed).smallSite)
}

// startBed starts the platform, its upstreams and the hosts, and waits until
// they serve. The last functions may change the hosts' settings first.
func startBed(t testing.TB, hosts int, site func(b *bed) yuccapaddle.Site, settings ...func(b *bed)) *bed {
	b := &bed{t: t, log: "debug", dir: t.TempDir(), processes: map[string]*exec.Cmd{}, given: map[string]bool{}, calls: caller.New(caller.WithToken("team"), caller.WithFreshConnections())}
	b.bin = filepath.Join(b.dir, "bin") + "/"
	out, err := exec.Command("go", "build", "-o", b.bin, "../cmd/...").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	t.Cleanup(b.close)
	b.configure(site(b), hosts)
	for _, change := range settings {
		change(b)
	}
	b.writeHosts()
	b.run("platform", "standin", "platform", "--address", b.platform)
	b.run("upstreams", append([]string{"standin", "upstreams"}, b.files(0)...)...)
	b.until("the platform answers", func() bool {
		return b.calls.Call(t.Context(), fasthttp.MethodGet, "http://"+b.platform+"/counts", nil, nil, time.Second) == nil
	})
	for i := range b.hosts {
		b.startHost(i)
	}
	b.until("the configuration is accepted", func() bool {
		return b.change(0, applier.Change{ID: "first", Action: applier.ActionApply, Site: &b.settings.Site, Reason: "test"}).Status == applier.Accepted
	})
	b.until("a request is answered", func() bool {
		o, err := b.submit(0, responder.Submission{ID: "probe", Class: "quick", Tasks: 1, Accelerators: 1}, 1, "1s")
		return err == nil && o.Verdict == yuccapaddle.VerdictDone
	})
	return b
}

// address returns a free port on loopback that nobody else has been given.
func (b *bed) address() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b.t, err, qt.IsNil)
		address := l.Addr().String()
		qt.Assert(b.t, l.Close(), qt.IsNil)
		if !b.given[address] {
			b.given[address] = true
			return address
		}
	}
}

// smallSite has two failure domains of two racks of two workers.
func (b *bed) smallSite() yuccapaddle.Site {
	site := yuccapaddle.Site{Name: "test", Limits: yuccapaddle.Limits{EvictionGraceMS: 500, Attempts: 3}}
	for i, d := range []string{"d1", "d2"} {
		region := []string{"r", "far"}[i]
		site.Domains = append(site.Domains, yuccapaddle.Domain{Name: d, Region: region, Upstreams: []yuccapaddle.Upstream{
			{Name: d + "-u1", Address: b.address(), Racks: []yuccapaddle.Rack{{Name: d + "-ra", Workers: 2, Accelerators: 8}}},
			{Name: d + "-u2", Address: b.address(), Racks: []yuccapaddle.Rack{{Name: d + "-rb", Workers: 2, Accelerators: 8}}},
		}})
	}
	site.Workspaces = []yuccapaddle.Workspace{{Name: "w", Guarantees: []yuccapaddle.Guarantee{{Count: 1, Workers: 2, Accelerators: 8, Span: yuccapaddle.SpanRack}}}}
	return site
}

func (b *bed) configure(site yuccapaddle.Site, hosts int) {
	b.platform = b.address()
	b.settings = loader.Settings{Host: loader.Defaults(), Site: site}
	var peers []loader.Peer
	for i := range hosts {
		peers = append(peers, loader.Peer{Name: fmt.Sprintf("h%d", i), Address: b.address()})
	}
	for i := range hosts {
		h := loader.Defaults()
		h.Name, h.Domain, h.Region, h.Peers = peers[i].Name, "d1", "r", peers
		h.Listen = loader.Listen{Callers: b.address(), Operators: b.address(), Peers: peers[i].Address, Metrics: b.address()}
		h.Platform = loader.Platform{Store: b.platform, HostList: b.platform}
		h.Tokens.Peers = "the hosts of the process tests"
		h.Tokens.Callers = []loader.CallerToken{{Workspace: "w", Caller: "c", Hash: authenticator.Hash("team")}}
		h.Tokens.Operators = []loader.OperatorToken{{Name: "op", Hash: authenticator.Hash("team")}}
		b.hosts = append(b.hosts, h)
	}
}

func (b *bed) writeHosts() {
	for i, h := range b.hosts {
		b.write(fmt.Sprintf("host%d.json", i), map[string]any{"host": h})
	}
	b.write("base.json", map[string]any{"site": b.settings.Site})
}

func (b *bed) write(name string, v any) {
	data, err := json.Marshal(v)
	qt.Assert(b.t, err, qt.IsNil)
	qt.Assert(b.t, os.WriteFile(filepath.Join(b.dir, name), data, 0o600), qt.IsNil)
}

func (b *bed) files(host int) []string {
	return []string{"--base", filepath.Join(b.dir, "base.json"), "--overlay", filepath.Join(b.dir, fmt.Sprintf("host%d.json", host))}
}

func (b *bed) run(name string, args ...string) {
	cmd := exec.Command(b.bin+args[0], args[1:]...)
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(b.t, err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(b.t, cmd.Start(), qt.IsNil)
	b.processes[name] = cmd
}

func (b *bed) startHost(i int) {
	b.run(b.hosts[i].Name, append([]string{"yuccapaddled", "--log", b.log}, b.files(i)...)...)
}

func (b *bed) close() {
	for name, cmd := range b.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if b.t.Failed() {
			b.showLog(name)
		}
	}
}

func (b *bed) showLog(name string) {
	f, err := os.Open(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return
	}
	defer f.Close()
	data, _ := io.ReadAll(f)
	lines := strings.Split(string(data), "\n")
	b.t.Logf("%s:\n%s", name, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
}

func (b *bed) until(what string, ok func() bool) {
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			qt.Assert(b.t, what, qt.Equals, "", qt.Commentf("this state never came"))
		}
		time.Sleep(poll)
	}
}

func (b *bed) change(host int, c applier.Change) applier.Result {
	var r applier.Result
	_ = b.calls.Call(b.t.Context(), fasthttp.MethodPost, "http://"+b.hosts[host].Listen.Operators+"/v1/change", c, &r, callTime)
	return r
}

func (b *bed) submit(host int, s responder.Submission, ms int64, wait string) (yuccapaddle.Outcome, error) {
	s.Payload, _ = json.Marshal(worker.Payload{MS: ms, Answer: json.RawMessage(`"` + s.ID + `"`)})
	return b.ask(fasthttp.MethodPost, host, "?wait="+wait, s)
}

func (b *bed) ask(method string, host int, path string, body any) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	err := b.calls.Call(b.t.Context(), method, "http://"+b.hosts[host].Listen.Callers+"/v1/requests"+path, body, &o, callTime)
	if status, ok := err.(*caller.StatusError); ok {
		_ = json.Unmarshal([]byte(status.Text()), &o)
		if o.Verdict != "" {
			return o, nil
		}
	}
	return o, err
}

// settled asks the hosts in turn until one knows the final outcome.
func (b *bed) settled(id string, hosts ...int) yuccapaddle.Outcome {
	var o yuccapaddle.Outcome
	b.until("request "+id+" is settled", func() bool {
		for _, h := range hosts {
			got, err := b.ask(fasthttp.MethodGet, h, "/"+id+"?wait=2s", nil)
			if err == nil && got.Verdict.Final() {
				o = got
				return true
			}
		}
		return false
	})
	return o
}

func (b *bed) state(host int) (yuccapaddle.HostStatus, bool) {
	var all []yuccapaddle.HostReply
	err := b.calls.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.hosts[host].Listen.Operators+"/v1/state", nil, &all, callTime)
	if err != nil || len(all) == 0 || all[0].Status == nil {
		return yuccapaddle.HostStatus{}, false
	}
	return *all[0].Status, true
}

// active returns the host that is active, other than those left out.
func (b *bed) active(without ...int) int {
	found := -1
	b.until("a host is active", func() bool {
		for i := range b.hosts {
			skip := false
			for _, w := range without {
				skip = skip || w == i
			}
			if skip {
				continue
			}
			if st, ok := b.state(i); ok && st.Active {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (b *bed) signal(host int, sig syscall.Signal) {
	qt.Assert(b.t, b.processes[b.hosts[host].Name].Process.Signal(sig), qt.IsNil)
}

func (b *bed) runs(id string) []worker.Run {
	var all, out []worker.Run
	err := b.calls.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.settings.Site.Domains[0].Upstreams[0].Address+"/runs", nil, &all, callTime)
	qt.Assert(b.t, err, qt.IsNil)
	for _, r := range all {
		if r.Key == "w/"+id {
			out = append(out, r)
		}
	}
	return out
}

// freshStarts counts the runs of a request's tasks that did not go on from a
// checkpoint.
func (b *bed) freshStarts(id string) int {
	n := 0
	for _, r := range b.runs(id) {
		if !r.Resumed {
			n++
		}
	}
	return n
}

// metrics returns what a host's metrics listener serves.
func (b *bed) metrics(host int) (string, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+b.hosts[host].Listen.Metrics+"/metrics", callTime)
	return string(body), err
}

// others returns the hosts but one.
func others(host int) []int {
	var out []int
	for i := range hostCount {
		if i != host {
			out = append(out, i)
		}
	}
	return out
}
