package loader

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const deployDir = "../../deploy/"

// TestCheckFaults guards against a fault that the check no longer finds, or finds in
// another place. Each file in testdata/check is an overlay with one fault, and is merged
// over the settings in deploy; the golden file beside it holds the findings.
func TestCheckFaults(t *testing.T) {
	faults, err := filepath.Glob("testdata/check/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(faults) > 0, qt.IsTrue)
	for _, fault := range faults {
		t.Run(filepath.Base(fault), func(t *testing.T) {
			_, findings, err := Check(deployDir+"base.json", deployDir+"overlays/ardenvliet.json", deployDir+"hosts/ard-1.json", fault)
			qt.Assert(t, err, qt.IsNil)
			var b strings.Builder
			for _, f := range findings {
				fmt.Fprintln(&b, f)
			}
			golden := strings.TrimSuffix(fault, ".json") + ".golden"
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(b.String()), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.String(), qt.Equals, string(want))
		})
	}
}

// TestCheckDeployed guards against findings in settings that are in use: the overlays and
// host files in deploy have none.
func TestCheckDeployed(t *testing.T) {
	hosts, err := filepath.Glob(deployDir + "hosts/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(hosts) > 0, qt.IsTrue)
	for _, host := range hosts {
		site := "ardenvliet"
		if strings.HasPrefix(filepath.Base(host), "abr") {
			site = "abrazo-norte"
		}
		_, findings, err := Check(deployDir+"base.json", deployDir+"overlays/"+site+".json", host)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, findings, qt.HasLen, 0, qt.Commentf("%s", host))
	}
}
