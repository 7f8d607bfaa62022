package processes

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccapaddle"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/standin/storer"
)

const (
	fleetHosts          = 8
	measureWindow       = 40 * time.Second
	fleetTeams          = 77
	clockTicksPerSecond = 100 // unit of the processor times in /proc/<pid>/stat
	tasksPerGang        = 4
	largestGangTasks    = 128
	fleetDomains        = 7
	submitters          = 16
)

// fleet is the size of a deployment to measure. extraWorkers is the size of one
// more rack in each failure domain, none if 0.
type fleet struct {
	racksPerDomain, extraWorkers, gangs int
}

// BenchmarkFleet starts the processes of a deployment, fills it with running
// tasks, and reports the resources that the active host and the others use per
// second while nothing else happens:
//
//	go test ./processes -run '^$' -bench Fleet -benchtime 1x -timeout 30m
func BenchmarkFleet(b *testing.B) {
	for name, f := range map[string]fleet{"workers=50": {racksPerDomain: 1, gangs: 56}, "workers=1099": {racksPerDomain: 19, extraWorkers: 5, gangs: 1250}} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f.run(b)
			}
		})
	}
}

func (f fleet) run(b *testing.B) {
	testbed := startTestbed(b, fleetHosts, f.site)
	f.submitGangs(testbed)
	submittedAt := time.Now()
	o, err := testbed.submit(1, responder.Submission{ID: "largest", Tasks: min(largestGangTasks, 32*f.racksPerDomain), Accelerators: 1, Span: "domain", Repeatable: true}, 1, "30s")
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, o.Verdict, qt.Equals, yuccapaddle.VerdictDone)
	b.ReportMetric(float64(time.Since(submittedAt).Milliseconds()), "largest-gang-ms")
	active := testbed.awaitActive()
	storeBefore, before := testbed.storeCounts(), testbed.hostUsage()
	time.Sleep(measureWindow)
	storeAfter, after := testbed.storeCounts(), testbed.hostUsage()
	var standby usage
	for i := range testbed.hosts {
		rates := after[i].ratesSince(before[i])
		if i == active {
			rates.report(b, "active")
			continue
		}
		standby = standby.maxOf(rates)
	}
	standby.report(b, "other")
	b.ReportMetric(float64(storeAfter.Writes-storeBefore.Writes)/measureWindow.Seconds(), "store-writes/s")
	b.ReportMetric(float64(storeAfter.Reads-storeBefore.Reads)/measureWindow.Seconds(), "store-reads/s")
	testbed.close()
	testbed.processes = nil
}

// site returns a site of seven failure domains in two regions, with 77 teams.
func (f fleet) site(b *testbed) yuccapaddle.Site {
	s := yuccapaddle.Site{Name: "fleet", Limits: yuccapaddle.Limits{EvictionGraceMS: 1500, GangAgeingMS: 600_000, RetentionMS: 3_600_000}}
	for d := range fleetDomains {
		dom := yuccapaddle.Domain{Name: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d%2)}
		for r := range f.racksPerDomain {
			dom.Upstreams = append(dom.Upstreams, yuccapaddle.Upstream{
				Name: fmt.Sprintf("d%du%02d", d, r), Address: b.freeAddress(),
				Racks: []yuccapaddle.Rack{{Name: fmt.Sprintf("d%dr%02d", d, r), Workers: 8, Accelerators: 8}},
			})
		}
		if f.extraWorkers > 0 {
			dom.Upstreams[0].Racks = append(dom.Upstreams[0].Racks, yuccapaddle.Rack{Name: fmt.Sprintf("d%dx", d), Workers: f.extraWorkers, Accelerators: 8})
		}
		s.Domains = append(s.Domains, dom)
	}
	s.Workspaces = []yuccapaddle.Workspace{{Name: "w", Guarantees: []yuccapaddle.Guarantee{
		{Count: f.racksPerDomain, Workers: 4, Accelerators: 8, Span: yuccapaddle.SpanRack},
	}}}
	for i := range fleetTeams {
		s.Workspaces[0].Teams = append(s.Workspaces[0].Teams, yuccapaddle.Team{Name: fmt.Sprintf("team-%d", i), Quota: 4096})
	}
	return s
}

// submitGangs submits the gangs and waits until all of them run.
func (f fleet) submitGangs(b *testbed) {
	var g errgroup.Group
	g.SetLimit(submitters)
	for i := range f.gangs {
		g.Go(func() error {
			s := responder.Submission{
				ID: fmt.Sprintf("x%d", i), Team: fmt.Sprintf("team-%d", i%fleetTeams),
				Tasks: tasksPerGang, Accelerators: 1, Span: "rack", Repeatable: true,
			}
			_, err := b.submit(i%fleetHosts, s, 3_600_000, "0s")
			return err
		})
	}
	qt.Assert(b.t, g.Wait(), qt.IsNil)
	b.waitFor("all gangs run", func() bool {
		st, ok := b.hostStatus(b.awaitActive())
		return ok && st.Engine != nil && st.Engine.Gangs == f.gangs && st.Engine.Waiting == 0
	})
}

// storeCounts returns the numbers of calls that the store has counted.
func (b *testbed) storeCounts() storer.Counts {
	var c storer.Counts
	err := b.client.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.platformAddr+"/counts", nil, &c, callTimeout)
	qt.Assert(b.t, err, qt.IsNil)
	return c
}

// usage is what a process has used so far: seconds of processor time, bytes over
// its open connections, and its resident memory in KB.
type usage struct {
	at                                               time.Time
	cpuSeconds, sentBytes, receivedBytes, residentKB float64
}

// hostUsage returns the usage of each host's process.
func (b *testbed) hostUsage() []usage {
	sockets, _ := exec.Command("ss", "-tinpH").Output() // without the ss command the byte counts are 0
	out := make([]usage, len(b.hosts))
	for i := range b.hosts {
		pid := b.processes[b.hosts[i].Name].Process.Pid
		out[i] = usage{at: time.Now(), cpuSeconds: readCPUSeconds(b, pid), residentKB: readResidentKB(b, pid)}
		out[i].sentBytes, out[i].receivedBytes = socketBytes(string(sockets), pid)
	}
	return out
}

func readCPUSeconds(b *testbed, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(b.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

func readResidentKB(b *testbed, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	qt.Assert(b.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb
}

var (
	sentPattern     = regexp.MustCompile(`bytes_sent:(\d+)`)
	receivedPattern = regexp.MustCompile(`bytes_received:(\d+)`)
)

// socketBytes sums up the bytes of a process's connections from the output of
// ss, where a line with the counters follows each line that names the process.
func socketBytes(text string, pid int) (sent, received float64) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if !strings.Contains(line, fmt.Sprintf("pid=%d,", pid)) || i+1 == len(lines) {
			continue
		}
		sent += parseCounter(sentPattern, lines[i+1])
		received += parseCounter(receivedPattern, lines[i+1])
	}
	return sent, received
}

// parseCounter returns the number that the pattern captures, 0 without a match.
func parseCounter(pattern *regexp.Regexp, line string) float64 {
	m := pattern.FindStringSubmatch(line)
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseFloat(m[1], 64)
	return n
}

// ratesSince returns the usage per second since before; the memory is not
// divided.
func (u usage) ratesSince(before usage) usage {
	d := u.at.Sub(before.at).Seconds()
	u.cpuSeconds, u.sentBytes, u.receivedBytes = (u.cpuSeconds-before.cpuSeconds)/d, (u.sentBytes-before.sentBytes)/d, (u.receivedBytes-before.receivedBytes)/d
	return u
}

// maxOf returns the larger value of each resource.
func (u usage) maxOf(other usage) usage {
	u.cpuSeconds, u.residentKB = max(u.cpuSeconds, other.cpuSeconds), max(u.residentKB, other.residentKB)
	u.sentBytes, u.receivedBytes = max(u.sentBytes, other.sentBytes), max(u.receivedBytes, other.receivedBytes)
	return u
}

func (u usage) report(b *testing.B, role string) {
	b.ReportMetric(100*u.cpuSeconds, role+"-core-%")
	b.ReportMetric(u.residentKB/1024, role+"-MB")
	b.ReportMetric(u.sentBytes/1000, role+"-sent-KB/s")
	b.ReportMetric(u.receivedBytes/1000, role+"-received-KB/s")
}
