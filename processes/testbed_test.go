package processes

import (
	"encoding/json"
	"fmt"
	"io"
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
	"yuccapaddle/internal/portpicker"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/standin/worker"
)

// testbed is a deployment of separate processes on loopback: the stand-in
// platform, its upstreams and the hosts.
type testbed struct {
	t            testing.TB
	dir          string
	binDir       string
	platformAddr string
	logLevel     string
	settings     loader.Settings
	hosts        []loader.Host
	processes    map[string]*exec.Cmd
	client       *caller.Caller
}

func newTestbed(t *testing.T) *testbed {
	return startTestbed(t, hostCount, (*testbed).smallSite)
}

// startTestbed starts the platform, its upstreams and the hosts, and waits until
// they serve. The functions changes may adjust the hosts' settings first.
func startTestbed(t testing.TB, hosts int, site func(b *testbed) yuccapaddle.Site, changes ...func(b *testbed)) *testbed {
	b := &testbed{t: t, logLevel: "debug", dir: t.TempDir(), processes: map[string]*exec.Cmd{}, client: caller.New(caller.WithToken("team"), caller.WithFreshConnections())}
	b.binDir = filepath.Join(b.dir, "bin") + "/"
	out, err := exec.Command("go", "build", "-o", b.binDir, "../cmd/...").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	t.Cleanup(b.close)
	b.configure(site(b), hosts)
	for _, change := range changes {
		change(b)
	}
	b.writeSettings()
	b.startProcess("platform", "standin", "platform", "--address", b.platformAddr)
	b.startProcess("upstreams", append([]string{"standin", "upstreams"}, b.settingsFlags(0)...)...)
	b.waitFor("the platform answers", func() bool {
		return b.client.Call(t.Context(), fasthttp.MethodGet, "http://"+b.platformAddr+"/counts", nil, nil, time.Second) == nil
	})
	for i := range b.hosts {
		b.startHost(i)
	}
	b.waitFor("the configuration is accepted", func() bool {
		return b.change(0, applier.Change{ID: "first", Action: applier.ActionApply, Site: &b.settings.Site, Reason: "test"}).Status == applier.Accepted
	})
	b.waitFor("a request is answered", func() bool {
		o, err := b.submit(0, responder.Submission{ID: "probe", Class: "quick", Tasks: 1, Accelerators: 1}, 1, "1s")
		return err == nil && o.Verdict == yuccapaddle.VerdictDone
	})
	return b
}

// freeAddress returns a free loopback address that it has not returned before.
func (b *testbed) freeAddress() string {
	address, err := ports.Address()
	qt.Assert(b.t, err, qt.IsNil)
	return address
}

// ports chooses the addresses of all testbeds of this process.
var ports = portpicker.New()

// smallSite returns a site of two failure domains, each with two racks of two
// workers.
func (b *testbed) smallSite() yuccapaddle.Site {
	site := yuccapaddle.Site{Name: "test", Limits: yuccapaddle.Limits{EvictionGraceMS: 500, Attempts: 3}}
	for i, d := range []string{"d1", "d2"} {
		region := []string{"r", "far"}[i]
		site.Domains = append(site.Domains, yuccapaddle.Domain{Name: d, Region: region, Upstreams: []yuccapaddle.Upstream{
			{Name: d + "-u1", Address: b.freeAddress(), Racks: []yuccapaddle.Rack{{Name: d + "-ra", Workers: 2, Accelerators: 8}}},
			{Name: d + "-u2", Address: b.freeAddress(), Racks: []yuccapaddle.Rack{{Name: d + "-rb", Workers: 2, Accelerators: 8}}},
		}})
	}
	site.Workspaces = []yuccapaddle.Workspace{{Name: "w", Guarantees: []yuccapaddle.Guarantee{{Count: 1, Workers: 2, Accelerators: 8, Span: yuccapaddle.SpanRack}}}}
	return site
}

// configure prepares the settings of the site and of the given number of hosts.
func (b *testbed) configure(site yuccapaddle.Site, hosts int) {
	b.platformAddr = b.freeAddress()
	b.settings = loader.Settings{Host: loader.DefaultHost(), Site: site}
	var peers []loader.Peer
	for i := range hosts {
		peers = append(peers, loader.Peer{Name: fmt.Sprintf("h%d", i), Address: b.freeAddress()})
	}
	for i := range hosts {
		h := loader.DefaultHost()
		h.Name, h.Domain, h.Region, h.Peers = peers[i].Name, "d1", "r", peers
		h.Listen = loader.Listen{Callers: b.freeAddress(), Operators: b.freeAddress(), Peers: peers[i].Address, Metrics: b.freeAddress()}
		h.Platform = loader.Platform{Store: b.platformAddr, HostList: b.platformAddr}
		h.Tokens.Peers = "the hosts of the process tests"
		h.Tokens.Callers = []loader.CallerToken{{Workspace: "w", Caller: "c", Hash: authenticator.Hash("team")}}
		h.Tokens.Operators = []loader.OperatorToken{{Name: "op", Hash: authenticator.Hash("team")}}
		b.hosts = append(b.hosts, h)
	}
}

func (b *testbed) writeSettings() {
	for i, h := range b.hosts {
		b.writeJSON(fmt.Sprintf("host%d.json", i), map[string]any{"host": h})
	}
	b.writeJSON("base.json", map[string]any{"site": b.settings.Site})
}

func (b *testbed) writeJSON(name string, v any) {
	data, err := json.Marshal(v)
	qt.Assert(b.t, err, qt.IsNil)
	qt.Assert(b.t, os.WriteFile(filepath.Join(b.dir, name), data, 0o600), qt.IsNil)
}

// settingsFlags returns the flags that name a host's settings files.
func (b *testbed) settingsFlags(host int) []string {
	return []string{"--base", filepath.Join(b.dir, "base.json"), "--overlay", filepath.Join(b.dir, fmt.Sprintf("host%d.json", host))}
}

// startProcess runs args[0] of binDir, with its output appended to the log that
// name gives.
func (b *testbed) startProcess(name string, args ...string) {
	cmd := exec.Command(b.binDir+args[0], args[1:]...)
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(b.t, err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(b.t, cmd.Start(), qt.IsNil)
	b.processes[name] = cmd
}

func (b *testbed) startHost(i int) {
	b.startProcess(b.hosts[i].Name, append([]string{"yuccapaddled", "--log", b.logLevel}, b.settingsFlags(i)...)...)
}

func (b *testbed) close() {
	for name, cmd := range b.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if b.t.Failed() {
			b.showLog(name)
		}
	}
}

// showLog prints the last lines of a process's log.
func (b *testbed) showLog(name string) {
	f, err := os.Open(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return
	}
	defer f.Close()
	data, _ := io.ReadAll(f)
	lines := strings.Split(string(data), "\n")
	b.t.Logf("%s:\n%s", name, strings.Join(lines[max(len(lines)-15, 0):], "\n"))
}

// waitFor polls ok and fails the test if it does not become true within
// waitTimeout.
func (b *testbed) waitFor(what string, ok func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			qt.Assert(b.t, what, qt.Equals, "", qt.Commentf("state was not reached before the timeout"))
		}
		time.Sleep(pollInterval)
	}
}

// change sends a change to a host's operators' API. The result is empty if the
// call failed.
func (b *testbed) change(host int, c applier.Change) applier.Result {
	var r applier.Result
	_ = b.client.Call(b.t.Context(), fasthttp.MethodPost, "http://"+b.hosts[host].Listen.Operators+"/v1/change", c, &r, callTimeout)
	return r
}

// submit submits a request whose tasks run for ms milliseconds.
func (b *testbed) submit(host int, s responder.Submission, ms int64, wait string) (yuccapaddle.Outcome, error) {
	s.Payload, _ = json.Marshal(worker.Payload{MS: ms, Answer: json.RawMessage(`"` + s.ID + `"`)})
	return b.callRequests(fasthttp.MethodPost, host, "?wait="+wait, s)
}

// callRequests calls a host's request API. An error response that carries an
// outcome returns that outcome without an error.
func (b *testbed) callRequests(method string, host int, path string, body any) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	err := b.client.Call(b.t.Context(), method, "http://"+b.hosts[host].Listen.Callers+"/v1/requests"+path, body, &o, callTimeout)
	if status, ok := err.(*caller.StatusError); ok {
		_ = json.Unmarshal([]byte(status.Text()), &o)
		if o.Verdict != "" {
			return o, nil
		}
	}
	return o, err
}

// awaitOutcome asks the hosts in turn until one returns the request's final
// outcome.
func (b *testbed) awaitOutcome(id string, hosts ...int) yuccapaddle.Outcome {
	var o yuccapaddle.Outcome
	b.waitFor("request "+id+" is settled", func() bool {
		for _, h := range hosts {
			got, err := b.callRequests(fasthttp.MethodGet, h, "/"+id+"?wait=2s", nil)
			if err == nil && got.Verdict.Final() {
				o = got
				return true
			}
		}
		return false
	})
	return o
}

// hostStatus returns a host's own status, false if the host does not answer.
func (b *testbed) hostStatus(host int) (yuccapaddle.HostStatus, bool) {
	var all []yuccapaddle.HostReply
	err := b.client.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.hosts[host].Listen.Operators+"/v1/state", nil, &all, callTimeout)
	if err != nil || len(all) == 0 || all[0].Status == nil {
		return yuccapaddle.HostStatus{}, false
	}
	return *all[0].Status, true
}

// awaitActive waits until a host that is not in except is active, and returns
// its index.
func (b *testbed) awaitActive(except ...int) int {
	found := -1
	b.waitFor("a host is active", func() bool {
		for i := range b.hosts {
			skip := false
			for _, excluded := range except {
				skip = skip || excluded == i
			}
			if skip {
				continue
			}
			if st, ok := b.hostStatus(i); ok && st.Active {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (b *testbed) signal(host int, sig syscall.Signal) {
	qt.Assert(b.t, b.processes[b.hosts[host].Name].Process.Signal(sig), qt.IsNil)
}

// runs returns the runs of a request's tasks that the stand-in workers recorded.
func (b *testbed) runs(id string) []worker.Run {
	var all, out []worker.Run
	err := b.client.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.settings.Site.Domains[0].Upstreams[0].Address+"/runs", nil, &all, callTimeout)
	qt.Assert(b.t, err, qt.IsNil)
	for _, r := range all {
		if r.Key == "w/"+id {
			out = append(out, r)
		}
	}
	return out
}

// freshStarts counts the runs of a request's tasks that did not resume from a
// checkpoint.
func (b *testbed) freshStarts(id string) int {
	n := 0
	for _, r := range b.runs(id) {
		if !r.Resumed {
			n++
		}
	}
	return n
}

// metrics returns the text of a host's metrics endpoint.
func (b *testbed) metrics(host int) (string, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+b.hosts[host].Listen.Metrics+"/metrics", callTimeout)
	return string(body), err
}

// otherHosts returns the indexes of all hosts but one.
func otherHosts(host int) []int {
	var out []int
	for i := range hostCount {
		if i != host {
			out = append(out, i)
		}
	}
	return out
}
