// Package sessions plays whole sessions against golden files: the real hosts in
// virtual time, small fakes for the platform, faults at chosen moments.
package sessions

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
)

var update = flag.Bool("update", false, "write the golden files anew")

// smallSite has two failure domains of one upstream with two racks of two
// workers each, and three workspaces, two of which hold guarantees.
func smallSite() yuccapaddle.Site {
	var domains []yuccapaddle.Domain
	for _, d := range []string{"d1", "d2"} {
		var racks []yuccapaddle.Rack
		for _, r := range []string{"ra", "rb"} {
			racks = append(racks, yuccapaddle.Rack{Name: d + r, Workers: 2, Accelerators: 8})
		}
		domains = append(domains, yuccapaddle.Domain{Name: d, Region: "r" + d, Upstreams: []yuccapaddle.Upstream{
			{Name: d + "u1", Address: "127.0.0.1:1" + d[1:], Racks: racks[:1]},
			{Name: d + "u2", Address: "127.0.0.1:2" + d[1:], Racks: racks[1:]},
		}})
	}
	return yuccapaddle.Site{
		Name: "small", Domains: domains,
		Workspaces: []yuccapaddle.Workspace{
			{Name: "a", Guarantees: []yuccapaddle.Guarantee{{Count: 1, Workers: 2, Accelerators: 8, Span: yuccapaddle.SpanRack}}},
			{Name: "b", Guarantees: []yuccapaddle.Guarantee{{Count: 2, Workers: 1, Accelerators: 4, Span: yuccapaddle.SpanWorker}}, Quota: 32},
			{Name: "c", Teams: []yuccapaddle.Team{{Name: "t", Quota: 8}}},
		},
		Limits: yuccapaddle.Limits{WaitingPerWorkspace: 2000, Attempts: 3, EvictionGraceMS: 1500, QuarantineStrikes: 2, QuarantineMS: 60_000, GangAgeingMS: 30_000},
	}
}

func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".session")
		t.Run(name, func(t *testing.T) { playFile(t, file) })
	}
}

func playFile(t *testing.T, file string) {
	script, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	var got string
	synctest.Test(t, func(t *testing.T) {
		got = play(t, string(script))
	})
	golden := strings.TrimSuffix(file, ".session") + ".golden"
	if *update {
		qt.Assert(t, os.WriteFile(golden, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

func play(t *testing.T, script string) string {
	w := newWorld(t, smallSite())
	for _, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&w.out, "> %s\n", line)
		w.command(strings.Fields(line))
		synctest.Wait()
		w.flush()
	}
	for _, err := range w.check() {
		w.printf("BROKEN: %v", err)
	}
	if w.streamed {
		w.printf("history checked") // how many requests a host refuses depends on its retries
	} else {
		w.printf("history checked: %d runs", len(w.history.Runs))
	}
	w.flush()
	w.closeAll()
	return w.out.String()
}

func (w *world) command(args []string) {
	verbs := map[string]func([]string){
		"start": w.doStart, "kill": w.doKill, "pause": w.doPause, "resume": w.doResume, "stop": w.doStop, "cut": w.doCut,
		"apply": w.doApply, "change": w.doChange, "submit": w.doSubmit, "cancel": w.doCancel, "show": w.doShow, "await": w.doAwait,
		"advance": w.doAdvance, "store": w.doStore, "worker": w.doWorker, "restart": w.doRestart, "list": w.doList,
		"lag": w.doLag, "state": w.doState, "runs": w.doRuns, "raw": w.doRaw, "burst": w.doBurst, "race": w.doRace, "rates": w.doRates, "stream": w.doStream,
	}
	verb, ok := verbs[args[0]]
	qt.Assert(w.t, ok, qt.IsTrue, qt.Commentf("command %q does not exist", args[0]))
	verb(args[1:])
}
