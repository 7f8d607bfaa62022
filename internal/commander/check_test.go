package commander

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/loader"
	"yuccapaddle/platform/configurer"
	"yuccapaddle/platform/documentchecker"
)

var update = flag.Bool("update", false, "write the golden files anew")

const otherError = -1

// run executes a command line and returns its exit code and its output, in which the
// message of the error follows standard output and standard error.
func run(args ...string) (int, string) {
	root := New(WithDocumentCheck(documentchecker.Check), WithHostCheck(configurer.Check))
	var out strings.Builder
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0, out.String()
	}
	fmt.Fprintln(&out, "yuccapaddle:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code, out.String()
	}
	return otherError, out.String()
}

// hostStub is a host that answers reads, by path, and counts changes, which it accepts.
type hostStub struct {
	replies map[string]any
	changes atomic.Int64
}

// serve starts the stub and returns its address.
func (h *hostStub) serve(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		reply := h.replies[string(ctx.Path())]
		if ctx.IsPost() {
			h.changes.Add(1)
			reply = applier.Result{Status: applier.Accepted, Revision: 4}
		}
		if reply == nil {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			reply = map[string]string{"error": "no configuration has been applied yet"}
		}
		data, _ := json.Marshal(reply)
		ctx.SetBody(data)
	}}
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(l) })
	c.Cleanup(func() {
		c.Check(srv.Shutdown(), qt.IsNil)
		c.Check(g.Wait(), qt.IsNil)
	})
	return l.Addr().String()
}

// deployed are the settings files of one host.
var deployed = []string{"base.json", "overlays/ardenvliet.json", "hosts/ard-1.json"}

// enterDir writes the files that the tests name into a new directory and makes it the
// working directory, so that the paths in the output are always the same.
func enterDir(c *qt.C) {
	root, err := filepath.Abs("../..")
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	merged := []byte("{}")
	write := func(name string, data []byte) {
		c.Assert(os.WriteFile(filepath.Join(dir, name), data, 0o600), qt.IsNil)
	}
	merge := func(patch []byte) []byte {
		out, err := jsonpatch.MergePatch(merged, patch)
		c.Assert(err, qt.IsNil)
		return out
	}
	for _, name := range deployed {
		data, err := os.ReadFile(filepath.Join(root, "deploy", name))
		c.Assert(err, qt.IsNil)
		write(filepath.Base(name), data)
		merged = merge(data)
	}
	write("settings.json", merged)
	for name, overlay := range map[string]string{
		"warning": `{"host":{"domain":"vl-gnt"}}`,
		"error":   `{"host":{"domain":"vl-gnt"},"site":{"drainedWorkers":["vl-gent-r9-00"]}}`,
		"changed": `{"site":{"limits":{"attempts":5}}}`,
	} {
		write("overlay-"+name+".json", []byte(overlay))
		write("settings-"+name+".json", merge([]byte(overlay)))
	}
	for _, name := range []string{"no-fault", "key-twice", "host-version-lower", "host-guarantees-above-capacity", "neither-kind"} {
		data, err := os.ReadFile(filepath.Join(root, "platform/documentchecker/testdata", name+".json"))
		c.Assert(err, qt.IsNil)
		write("rules-"+name+".json", data)
	}
	for name, outage := range map[string]string{"host": `{"longestMs":45000}`, "host-error": `{"longestMs":5000,"holdCalls":-1}`} {
		write(name+".json", []byte(`{"host":"h","domain":"d","callers":"c:1","ready":"r:1","peers":"10.0.0.1:7000","metrics":"m:1","store":"s:1","processor":0.4,
			"bounds":{"holdMaxMs":6000,"drainMs":2500,"evacuateMs":5000,"applyMs":2500,"remotePenalty":3,"statusS":120,"graceS":6},"outage":`+outage+`}`))
	}
	write("cut-off.json", []byte("{\n  \"site\": {\n"))
	c.Chdir(dir)
}

var checkCases = []struct {
	name string
	code int
	// host means that a host can be asked.
	host bool
	args string
}{
	{name: "settings", code: 0, args: "settings.json"},
	{name: "settings-warning", code: 1, args: "settings-warning.json"},
	{name: "settings-error", code: 2, args: "settings-error.json"},
	{name: "host-settings", code: 0, args: "host.json"},
	{name: "host-settings-error", code: 2, args: "host-error.json"},
	{name: "settings-error-json", code: 2, args: "--json settings-error.json"},
	{name: "settings-same", code: 0, host: true, args: "settings.json"},
	{name: "settings-differ", code: 0, host: true, args: "settings-changed.json"},
	{name: "settings-differ-json", code: 0, host: true, args: "settings-changed.json --output json"},
	{name: "flags", code: 0, args: "--base base.json --overlay ardenvliet.json --overlay ard-1.json"},
	{name: "flags-error", code: 2, args: "--base base.json --overlay ardenvliet.json --overlay ard-1.json --overlay overlay-error.json"},
	{name: "document", code: 0, args: "rules-no-fault.json"},
	{name: "document-host", code: 0, host: true, args: "rules-no-fault.json"},
	{name: "document-warning", code: 1, args: "rules-key-twice.json"},
	{name: "document-version-lower", code: 2, host: true, args: "rules-host-version-lower.json --json"},
	{name: "document-above-capacity", code: 1, host: true, args: "rules-host-guarantees-above-capacity.json"},
	{name: "neither-kind", code: 2, args: "rules-neither-kind.json"},
	{name: "cut-off", code: 2, args: "cut-off.json"},
	{name: "cut-off-base", code: 2, args: "--base cut-off.json"},
	{name: "no-file", code: 2, args: "none.json"},
	{name: "no-arguments", code: 2, args: ""},
	{name: "two-files", code: 2, args: "settings.json settings.json"},
	{name: "file-and-flags", code: 2, args: "settings.json --base base.json"},
	{name: "overlay-only", code: 2, args: "--overlay overlay-error.json"},
	{name: "unknown-flag", code: 2, args: "--nothing"},
}

// TestConfigCheck guards the output and the exit codes of config check, which scripts use
// before they apply a configuration.
func TestConfigCheck(t *testing.T) {
	golden, err := filepath.Abs("testdata/check")
	qt.Assert(t, err, qt.IsNil)
	c := qt.New(t)
	enterDir(c)
	s, problems, err := loader.Load("settings.json")
	c.Assert(err, qt.IsNil)
	c.Assert(problems, qt.HasLen, 0)
	host := &hostStub{replies: map[string]any{
		"/v1/config": yuccapaddle.Config{Revision: 3, Site: s.Site},
		"/v1/state": []yuccapaddle.HostReply{{Host: "h", Status: &yuccapaddle.HostStatus{
			Revision: 7, Engine: &yuccapaddle.EngineStatus{Workers: []yuccapaddle.WorkerStatus{{Accelerators: 32}, {Accelerators: 32}}},
		}}},
	}}
	server := host.serve(c)
	for _, tc := range checkCases {
		c.Run(tc.name, func(c *qt.C) {
			args := append([]string{"config", "check", "--server="}, strings.Fields(tc.args)...)
			if tc.host {
				args = append(args, "--server", server)
			}
			code, out := run(args...)
			c.Check(code, qt.Equals, tc.code)
			file := filepath.Join(golden, tc.name+".golden")
			if *update {
				c.Assert(os.WriteFile(file, []byte(out), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			c.Check(out, qt.Equals, string(want))
		})
	}
	c.Check(host.changes.Load(), qt.Equals, int64(0))
}

// TestConfigCheckWithoutHost guards against a check that fails or keeps silent when no
// host can be asked.
func TestConfigCheckWithoutHost(t *testing.T) {
	c := qt.New(t)
	enterDir(c)
	for _, file := range []string{"settings.json", "rules-no-fault.json"} {
		empty := &hostStub{}
		code, out := run("config", "check", "--server", empty.serve(c), file)
		c.Check(code, qt.Equals, 0)
		c.Check(out, qt.Contains, notCompared+"no configuration has been applied yet")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		code, out = run("config", "check", "--server", l.Addr().String(), file)
		c.Check(code, qt.Equals, 0)
		c.Check(out, qt.Contains, notCompared+"no server answers")
	}
}

// TestDocumentOfOtherHost guards against a document that is refused because the host that
// was asked serves the request path, where the revision is no version of a document.
func TestDocumentOfOtherHost(t *testing.T) {
	c := qt.New(t)
	enterDir(c)
	host := &hostStub{replies: map[string]any{"/v1/state": []yuccapaddle.HostReply{
		{Host: "h", Status: &yuccapaddle.HostStatus{Revision: 900, Engine: &yuccapaddle.EngineStatus{}}}, {Host: "away", Error: "no answer"},
	}}}
	code, out := run("config", "check", "--server", host.serve(c), "rules-no-fault.json")
	c.Check(code, qt.Equals, 0)
	c.Check(out, qt.Contains, notCompared+"no active host of the job path")
}

// TestApplyChecks guards against a configuration with errors that is sent to a host, and
// against warnings that the operator does not see at config apply.
func TestApplyChecks(t *testing.T) {
	c := qt.New(t)
	enterDir(c)
	host := &hostStub{}
	server := host.serve(c)
	apply := func(base string) (int, string) {
		return run("config", "apply", "--server", server, "--reason", "test", "--base", base)
	}
	code, out := apply("settings-error.json")
	c.Check(code, qt.Equals, codeInvalid)
	c.Check(out, qt.Contains, `site.drainedWorkers[0]: "vl-gent-r9-00" does not exist`)
	c.Check(host.changes.Load(), qt.Equals, int64(0))
	code, out = apply("settings-warning.json")
	c.Check(code, qt.Equals, 0)
	c.Check(out, qt.Contains, `warning: settings-warning.json: host.domain: failure domain "vl-gnt" does not exist`)
	c.Check(host.changes.Load(), qt.Equals, int64(1))
	code, out = apply("settings.json")
	c.Check(code, qt.Equals, 0)
	c.Check(out, qt.Not(qt.Contains), "warning")
	c.Check(host.changes.Load(), qt.Equals, int64(2))
}
