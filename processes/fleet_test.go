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
	fleetHosts   = 8
	fleetWindow  = 40 * time.Second
	fleetTeams   = 77
	clockTicks   = 100 // of /proc/<pid>/stat, a second
	tasksAGang   = 4
	largestGang  = 128
	domainsFleet = 7
	submitters   = 16
)

// fleet is a size of deployment to measure.
type fleet struct {
	racks, extra, gangs int
}

// BenchmarkFleet starts the processes of a deployment with its tasks running and
// reports what each role spends per second while nothing else happens:
//
//	go test ./processes -run '^$' -bench Fleet -benchtime 1x -timeout 30m
func BenchmarkFleet(b *testing.B) {
	for name, f := range map[string]fleet{"workers=50": {racks: 1, gangs: 56}, "workers=1099": {racks: 19, extra: 5, gangs: 1250}} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f.run(b)
			}
		})
	}
}

func (f fleet) run(b *testing.B) {
	bed := startBed(b, fleetHosts, f.site)
	f.fill(bed)
	began := time.Now()
	o, err := bed.submit(1, responder.Submission{ID: "largest", Tasks: min(largestGang, 32*f.racks), Accelerators: 1, Span: "domain", Repeatable: true}, 1, "30s")
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, o.Verdict, qt.Equals, yuccapaddle.VerdictDone)
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "largest-gang-ms")
	active := bed.active()
	storeBefore, before := bed.counts(), bed.costs()
	time.Sleep(fleetWindow)
	storeAfter, after := bed.counts(), bed.costs()
	var idle cost
	for i := range bed.hosts {
		spent := after[i].since(before[i])
		if i == active {
			spent.report(b, "active")
			continue
		}
		idle = idle.most(spent)
	}
	idle.report(b, "other")
	b.ReportMetric(float64(storeAfter.Writes-storeBefore.Writes)/fleetWindow.Seconds(), "store-writes/s")
	b.ReportMetric(float64(storeAfter.Reads-storeBefore.Reads)/fleetWindow.Seconds(), "store-reads/s")
	bed.close()
	bed.processes = nil
}

// site has seven failure domains in two regions, and 77 teams.
func (f fleet) site(b *bed) yuccapaddle.Site {
	s := yuccapaddle.Site{Name: "fleet", Limits: yuccapaddle.Limits{EvictionGraceMS: 1500, GangAgeingMS: 600_000, RetentionMS: 3_600_000}}
	for d := range domainsFleet {
		dom := yuccapaddle.Domain{Name: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d%2)}
		for r := range f.racks {
			dom.Upstreams = append(dom.Upstreams, yuccapaddle.Upstream{
				Name: fmt.Sprintf("d%du%02d", d, r), Address: b.address(),
				Racks: []yuccapaddle.Rack{{Name: fmt.Sprintf("d%dr%02d", d, r), Workers: 8, Accelerators: 8}},
			})
		}
		if f.extra > 0 {
			dom.Upstreams[0].Racks = append(dom.Upstreams[0].Racks, yuccapaddle.Rack{Name: fmt.Sprintf("d%dx", d), Workers: f.extra, Accelerators: 8})
		}
		s.Domains = append(s.Domains, dom)
	}
	s.Workspaces = []yuccapaddle.Workspace{{Name: "w", Guarantees: []yuccapaddle.Guarantee{
		{Count: f.racks, Workers: 4, Accelerators: 8, Span: yuccapaddle.SpanRack},
	}}}
	for i := range fleetTeams {
		s.Workspaces[0].Teams = append(s.Workspaces[0].Teams, yuccapaddle.Team{Name: fmt.Sprintf("team-%d", i), Quota: 4096})
	}
	return s
}

// fill submits the gangs and waits until all of them run.
func (f fleet) fill(b *bed) {
	var g errgroup.Group
	g.SetLimit(submitters)
	for i := range f.gangs {
		g.Go(func() error {
			s := responder.Submission{
				ID: fmt.Sprintf("x%d", i), Team: fmt.Sprintf("team-%d", i%fleetTeams),
				Tasks: tasksAGang, Accelerators: 1, Span: "rack", Repeatable: true,
			}
			_, err := b.submit(i%fleetHosts, s, 3_600_000, "0s")
			return err
		})
	}
	qt.Assert(b.t, g.Wait(), qt.IsNil)
	b.until("all gangs run", func() bool {
		st, ok := b.state(b.active())
		return ok && st.Engine != nil && st.Engine.Gangs == f.gangs && st.Engine.Waiting == 0
	})
}

func (b *bed) counts() storer.Counts {
	var c storer.Counts
	err := b.calls.Call(b.t.Context(), fasthttp.MethodGet, "http://"+b.platform+"/counts", nil, &c, callTime)
	qt.Assert(b.t, err, qt.IsNil)
	return c
}

// cost is what a process has spent so far: ticks of processor time, bytes over
// its open connections, and its memory in KB.
type cost struct {
	at                            time.Time
	seconds, sent, received, rsKB float64
}

func (b *bed) costs() []cost {
	sockets, _ := exec.Command("ss", "-tinpH").Output() // without it no bytes are reported
	out := make([]cost, len(b.hosts))
	for i := range b.hosts {
		pid := b.processes[b.hosts[i].Name].Process.Pid
		out[i] = cost{at: time.Now(), seconds: processorTime(b, pid), rsKB: residentMemory(b, pid)}
		out[i].sent, out[i].received = socketBytes(string(sockets), pid)
	}
	return out
}

func processorTime(b *bed, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(b.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

func residentMemory(b *bed, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	qt.Assert(b.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb
}

var (
	sentBytes     = regexp.MustCompile(`bytes_sent:(\d+)`)
	receivedBytes = regexp.MustCompile(`bytes_received:(\d+)`)
)

// socketBytes sums up the bytes of a process's connections: a line that names
// the process is followed by one with the counters.
func socketBytes(text string, pid int) (sent, received float64) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if !strings.Contains(line, fmt.Sprintf("pid=%d,", pid)) || i+1 == len(lines) {
			continue
		}
		sent += number(sentBytes, lines[i+1])
		received += number(receivedBytes, lines[i+1])
	}
	return sent, received
}

func number(pattern *regexp.Regexp, line string) float64 {
	m := pattern.FindStringSubmatch(line)
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseFloat(m[1], 64)
	return n
}

// since is what was spent a second; memory stays as it is.
func (c cost) since(former cost) cost {
	d := c.at.Sub(former.at).Seconds()
	c.seconds, c.sent, c.received = (c.seconds-former.seconds)/d, (c.sent-former.sent)/d, (c.received-former.received)/d
	return c
}

func (c cost) most(other cost) cost {
	c.seconds, c.rsKB = max(c.seconds, other.seconds), max(c.rsKB, other.rsKB)
	c.sent, c.received = max(c.sent, other.sent), max(c.received, other.received)
	return c
}

func (c cost) report(b *testing.B, role string) {
	b.ReportMetric(100*c.seconds, role+"-core-%")
	b.ReportMetric(c.rsKB/1024, role+"-MB")
	b.ReportMetric(c.sent/1000, role+"-sent-KB/s")
	b.ReportMetric(c.received/1000, role+"-received-KB/s")
}
