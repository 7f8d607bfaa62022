// Package sessions runs scripted sessions and random histories on hosts in
// virtual time, with fakes for the platform and faults at chosen moments. The
// output of a session is compared with a golden file.
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

// smallSite returns a site of two failure domains, each with two upstreams of one
// rack of two workers, and three workspaces, two of which have guarantees.
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
		t.Run(name, func(t *testing.T) { runFile(t, file) })
	}
}

func runFile(t *testing.T, file string) {
	script, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	var got string
	synctest.Test(t, func(t *testing.T) {
		got = runScript(t, string(script))
	})
	golden := strings.TrimSuffix(file, ".session") + ".golden"
	if *update {
		qt.Assert(t, os.WriteFile(golden, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

func runScript(t *testing.T, script string) string {
	sim := newSimulation(t, smallSite())
	for _, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&sim.output, "> %s\n", line)
		sim.runLine(strings.Fields(line))
		synctest.Wait()
		sim.flushOutput()
	}
	for _, err := range sim.check() {
		sim.printf("BROKEN: %v", err)
	}
	if sim.streamed {
		sim.printf("history checked") // the number of runs varies: how many requests a host refuses depends on its retries
	} else {
		sim.printf("history checked: %d runs", len(sim.history.Runs))
	}
	sim.flushOutput()
	sim.killAll()
	return sim.output.String()
}

// runLine runs one line of a session: a command and its arguments.
func (sim *simulation) runLine(args []string) {
	commands := map[string]func([]string){
		"start": sim.doStart, "kill": sim.doKill, "pause": sim.doPause, "resume": sim.doResume, "stop": sim.doStop, "cut": sim.doCut,
		"apply": sim.doApply, "change": sim.doChange, "submit": sim.doSubmit, "cancel": sim.doCancel, "show": sim.doShow, "await": sim.doAwait,
		"advance": sim.doAdvance, "store": sim.doStore, "worker": sim.doWorker, "restart": sim.doRestart, "list": sim.doList,
		"lag": sim.doLag, "state": sim.doState, "runs": sim.doRuns, "raw": sim.doRaw, "burst": sim.doBurst, "race": sim.doRace, "rates": sim.doRates, "stream": sim.doStream,
	}
	run, ok := commands[args[0]]
	qt.Assert(sim.t, ok, qt.IsTrue, qt.Commentf("command %q does not exist", args[0]))
	run(args[1:])
}
