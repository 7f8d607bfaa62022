package loader

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden file anew")

// TestExamples checks that the settings in deploy load without problems.
func TestExamples(t *testing.T) {
	for _, host := range []string{"ard-1", "ard-2", "ard-3", "abr-1", "abr-2", "abr-3"} {
		site := "ardenvliet"
		if strings.HasPrefix(host, "abr") {
			site = "abrazo-norte"
		}
		dir := "../../deploy/"
		s, problems, err := Load(dir+"base.json", dir+"overlays/"+site+".json", dir+"hosts/"+host+".json")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, problems, qt.HasLen, 0)
		qt.Assert(t, s.Host.Name, qt.Equals, host)
		qt.Assert(t, len(s.Site.Domains), qt.Equals, 3)
		qt.Assert(t, s.Host.Limits.InFlight, qt.Equals, DefaultHost().Limits.InFlight)
	}
}

// invalidOverlays are merged over the settings in deploy.
var invalidOverlays = []struct{ name, overlay string }{
	{"unknown keys", `{"host":{"surprise":1},"site":{"limits":{"attemps":3}},"extra":{}}`},
	{"wrong types", `{"host":{"name":7,"limits":{"inFlight":"many"}},"site":{"domains":{}}}`},
	{"ranges", `{"host":{"limits":{"bodyBytes":1,"callerRate":-1}},"site":{"limits":{"quarantineStrikes":9}}}`},
	{"peers token", `{"host":{"tokens":{"peers":"short"}}}`},
	{"addresses", `{"host":{"listen":{"callers":"localhost:80","operators":"127.0.0.1:7203"},"platform":{"store":"127.0.0.1:99999"}}}`},
	{"duplicates", `{"site":{"domains":[
		{"name":"x","region":"r","upstreams":[{"name":"u","address":"127.0.0.1:1","racks":[{"name":"k","workers":1,"accelerators":8}]}]},
		{"name":"x","region":"r","upstreams":[{"name":"u","address":"127.0.0.1:1","racks":[{"name":"k","workers":1,"accelerators":8}]}]}],
		"workspaces":[{"name":"w","guarantees":[]},{"name":"w","guarantees":[]}]}}`},
	{"references", `{"site":{"drainedWorkers":["nobody"],"workspaces":[{"name":"w","quota":4,"guarantees":[{"count":1,"workers":2,"accelerators":8,"span":"worker","domain":"nowhere"}],"teams":[{"name":"t","quota":5},{"name":"t","quota":1}]}]}}`},
	{"no room", `{"site":{"workspaces":[{"name":"w","guarantees":[{"count":7,"workers":8,"accelerators":8,"span":"rack"}]}]}}`},
	{"no room with a domain out", `{"site":{"workspaces":[{"name":"w","guarantees":[{"count":5,"workers":8,"accelerators":8,"span":"rack"}]}]}}`},
	{"not an object", `[1]`},
	{"cut off", `{"host":{"name":"x`},
}

func TestMistakes(t *testing.T) {
	var b strings.Builder
	dir := t.TempDir()
	for _, m := range invalidOverlays {
		file := filepath.Join(dir, "overlay.json")
		qt.Assert(t, os.WriteFile(file, []byte(m.overlay), 0o600), qt.IsNil)
		_, problems, err := Load("../../deploy/base.json", "../../deploy/overlays/ardenvliet.json", "../../deploy/hosts/ard-1.json", file)
		fmt.Fprintf(&b, "# %s\n", m.name)
		if err != nil {
			fmt.Fprintln(&b, strings.ReplaceAll(err.Error(), dir+"/", ""))
		}
		for _, p := range problems {
			fmt.Fprintln(&b, strings.ReplaceAll(p.String(), dir+"/", ""))
		}
	}
	golden := "testdata/mistakes.golden"
	if *update {
		qt.Assert(t, os.WriteFile(golden, []byte(b.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.String(), qt.Equals, string(want))
}

func FuzzParse(f *testing.F) {
	for _, m := range invalidOverlays {
		f.Add([]byte(m.overlay))
	}
	base, err := os.ReadFile("../../deploy/overlays/ardenvliet.json")
	if err == nil {
		f.Add(base)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems, err := Parse(data)
		if err == nil && len(problems) == 0 {
			qt.Assert(t, s, qt.IsNotNil)
		}
	})
}
