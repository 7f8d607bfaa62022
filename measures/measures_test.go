package measures

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/placer"
	"yuccapaddle/internal/queuer"
)

var (
	fullTable = flag.Bool("measure", false, "run the whole table, which takes minutes")
	onlySize  = flag.String("size", "", "measure only this size")
	seed      = flag.Uint64("seed", 1, "seed of the workloads")
	jsonFile  = flag.String("json", "", "file for the table in JSON")
)

// size is a deployment to measure.
type size struct {
	name          string
	site          func() *yuccapaddle.Site
	arrivalFactor float64 // rate of arrivals relative to the size today
	arrivalWindow time.Duration
	drainTime     time.Duration
}

var sizes = []size{
	{"today", func() *yuccapaddle.Site { return gridSite(3, 2, 1) }, 1, time.Hour, time.Hour},
	{"letter-1", func() *yuccapaddle.Site { return gridSite(7, 19, 5) }, 21.5, 15 * time.Minute, 30 * time.Minute},
}

var scenarios = []string{"calm", "burst", "lies", "exit", "outage"}

func policies() []yuccapaddle.Policy {
	return []yuccapaddle.Policy{placer.New(), placer.New(placer.WithoutMoves()), queuer.New(), queuer.New(queuer.WithBestFit())}
}

// row is one line of the table. Times are in seconds.
type row struct {
	Size, Scenario, Policy        string
	Jobs, Open                    int
	Mean, P50, P99                float64 // completion of all jobs
	QuickMean, QuickP50, QuickP99 float64
	LargeWait                     float64 // mean wait of the largest gangs
	Fragmentation                 float64 // for the largest waiting gang, else the largest guarantee
	FragmentationLargest          float64 // always for the largest guarantee
	FragmentationBest             float64 // Fragmentation with the best distribution of the free accelerators
	Work                          float64 // accelerator-hours completed
	ExitWork                      float64 // accelerator-hours in the window of the exit
	CommitsPerJob                 float64
}

// workload returns the jobs of a scenario, ordered by their submission.
func workload(seed uint64, scenario string, factor float64, window time.Duration) []*job {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []*job
	loadFactor := 1.0
	if scenario == "exit" {
		loadFactor = 1.5
	}
	add := func(kind, ws string, at time.Duration, tasks, acc int, span yuccapaddle.Span, class yuccapaddle.Class, repeatable bool, work time.Duration) {
		out = append(out, &job{kind: kind, submitAt: time.Time{}.Add(at), runTime: work, request: yuccapaddle.Request{
			ID: fmt.Sprintf("%s%d", kind, len(out)), Workspace: ws, Tasks: tasks, Accelerators: acc, Span: span, Class: class, Repeatable: repeatable,
		}})
	}
	poissonArrivals := func(interval float64, each func(at time.Duration)) {
		for t := r.ExpFloat64() * interval / factor / loadFactor; t < window.Seconds(); t += r.ExpFloat64() * interval / factor / loadFactor {
			each(time.Duration(t * float64(time.Second)))
		}
	}
	secondsBetween := func(a, b int) time.Duration { return time.Duration(a*1000+r.IntN((b-a)*1000)) * time.Millisecond }
	poissonArrivals(2, func(at time.Duration) {
		add("quick", "checks", at, 1, 1+r.IntN(4), yuccapaddle.SpanWorker, yuccapaddle.ClassQuick, true, secondsBetween(2, 9))
	})
	poissonArrivals(190, func(at time.Duration) {
		add("gang", "proofing", at, 4+4*r.IntN(2), 8-4*r.IntN(2), yuccapaddle.SpanRack, yuccapaddle.ClassBatch, true, secondsBetween(300, 1500))
	})
	poissonArrivals(72, func(at time.Duration) {
		add("sweep", "sweeps", at, 4, 4, yuccapaddle.SpanRack, yuccapaddle.ClassBatch, false, secondsBetween(120, 600))
	})
	poissonArrivals(900, func(at time.Duration) {
		add("large", "large", at, 8, 8, yuccapaddle.SpanRack, yuccapaddle.ClassBatch, true, secondsBetween(600, 1200))
	})
	if scenario == "burst" {
		for range int(400 * factor) {
			add("quick", "checks", window/3+secondsBetween(0, 2), 1, 1, yuccapaddle.SpanWorker, yuccapaddle.ClassQuick, true, secondsBetween(2, 9))
		}
	}
	if scenario == "lies" { // long jobs that claim the quick class
		poissonArrivals(60, func(at time.Duration) {
			add("liar", "sweeps", at, 2, 8, yuccapaddle.SpanRack, yuccapaddle.ClassQuick, true, secondsBetween(600, 1800))
		})
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].submitAt.Before(out[b].submitAt) })
	return out
}

// Windows of the exit and of the outage, as shares of the arrival window.
const (
	exitFrom, exitTo     = 0.4, 0.7
	outageFrom, outageTo = 0.4, 0.5
)

func runScenario(seed uint64, sz size, scenario string, policy yuccapaddle.Policy) row {
	site := sz.site()
	sim := newSimulation(policy, site)
	jobs := workload(seed, scenario, sz.arrivalFactor, sz.arrivalWindow)
	for _, j := range jobs {
		sim.after(j.submitAt.Sub(time.Time{}), func() { sim.submit(j) })
	}
	atShare := func(share float64) time.Duration { return time.Duration(share * float64(sz.arrivalWindow)) }
	var before, after float64
	if scenario == "exit" {
		out := *site
		out.Domains = append([]yuccapaddle.Domain(nil), site.Domains...)
		out.Domains[0].Out = true
		sim.after(atShare(exitFrom), func() { sim.outDomain = out.Domains[0].Name; sim.configure(&out) })
		sim.after(atShare(exitTo), func() { sim.outDomain = ""; sim.configure(site) })
	}
	sim.after(atShare(exitFrom), func() { before = sim.workDone() })
	sim.after(atShare(exitTo), func() { after = sim.workDone() })
	if scenario == "outage" {
		sim.after(atShare(outageFrom), func() { sim.setStoreDown(true) })
		sim.after(atShare(outageTo), func() { sim.setStoreDown(false) })
	}
	sampling := true
	sim.every(5*time.Second, func() {
		if sampling {
			sim.sample()
		}
	})
	sim.runUntil(sim.startTime.Add(sz.arrivalWindow))
	sampling = false
	sim.runUntil(sim.startTime.Add(sz.arrivalWindow + sz.drainTime))
	out := sim.summary(jobs)
	out.Size, out.Scenario, out.Policy = sz.name, scenario, policy.Name()
	out.ExitWork = (after - before) / 3600
	return out
}

// workDone returns the accelerator-seconds done so far, including running gangs.
func (sim *simulation) workDone() float64 {
	total := sim.usefulSeconds
	// Summed in a fixed order, so that the same seed gives the same rounding.
	for _, lease := range slices.Sorted(maps.Keys(sim.gangs)) {
		gang := sim.gangs[lease]
		if !gang.startedAt.IsZero() {
			total += sim.now.Sub(gang.startedAt).Seconds() * float64(sim.jobs[requestKey(gang.lease)].request.Need())
		}
	}
	return total
}

func (sim *simulation) summary(jobs []*job) row {
	all, quick := hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3), hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3)
	out := row{Jobs: len(jobs), Work: sim.usefulSeconds / 3600}
	out.Fragmentation, out.FragmentationLargest, out.FragmentationBest = sim.meanOverSamples(sim.fragSum), sim.meanOverSamples(sim.fragLargestSum), sim.meanOverSamples(sim.fragBestSum)
	var largeWait float64
	large := 0
	for _, j := range jobs {
		key := j.request.Key()
		end, ok := sim.endTimes[key]
		if !ok {
			out.Open++
			end = sim.now // still open: counted as if it ended now, which understates its time
		}
		ms := end.Sub(j.submitAt).Milliseconds()
		_ = all.RecordValue(ms)
		if j.kind == "quick" {
			_ = quick.RecordValue(ms)
		}
		if j.kind == "large" {
			start, ok := sim.startTimes[key]
			if !ok {
				start = sim.now
			}
			largeWait += start.Sub(j.submitAt).Seconds()
			large++
		}
	}
	seconds := func(ms float64) float64 { return ms / 1000 }
	out.Mean, out.P50, out.P99 = seconds(all.Mean()), seconds(float64(all.ValueAtQuantile(50))), seconds(float64(all.ValueAtQuantile(99)))
	out.QuickMean, out.QuickP50, out.QuickP99 = seconds(quick.Mean()), seconds(float64(quick.ValueAtQuantile(50))), seconds(float64(quick.ValueAtQuantile(99)))
	if large > 0 {
		out.LargeWait = largeWait / float64(large)
	}
	out.CommitsPerJob = float64(sim.commits) / float64(len(jobs))
	return out
}

// TestMeasures prints the table. Without -measure it runs one short scenario
// twice and checks that the same seed gives the same figures.
func TestMeasures(t *testing.T) {
	if !*fullTable {
		short := size{"today", sizes[0].site, 1, 5 * time.Minute, 10 * time.Minute}
		a, b := runScenario(1, short, "burst", placer.New()), runScenario(1, short, "burst", placer.New())
		qt.Assert(t, a, qt.Equals, b)
		return
	}
	var mu sync.Mutex
	var rows []row
	t.Run("all", func(t *testing.T) {
		for _, sz := range sizes {
			if *onlySize != "" && sz.name != *onlySize {
				continue
			}
			for _, sc := range scenarios {
				for _, p := range policies() {
					t.Run(sz.name+"/"+sc+"/"+p.Name(), func(t *testing.T) {
						t.Parallel()
						r := runScenario(*seed, sz, sc, p)
						mu.Lock()
						defer mu.Unlock()
						rows = append(rows, r)
						t.Log("\n" + markdownTable([]row{r}))
					})
				}
			}
		}
	})
	sort.Slice(rows, func(a, b int) bool {
		x, y := rows[a], rows[b]
		return x.Size+x.Scenario+x.Policy > y.Size+y.Scenario+y.Policy
	})
	t.Log("\n" + markdownTable(rows))
	if *jsonFile != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(*jsonFile, data, 0o644), qt.IsNil)
	}
}

func markdownTable(rows []row) string {
	var b strings.Builder
	fmt.Fprintln(&b, "| size | scenario | policy | jobs | open | mean s | p50 s | p99 s | quick mean | quick p50 | quick p99 | large wait s | fragmentation | for the largest | best possible | work acc-h | window work | commits/job |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.1f | %.3f | %.3f | %.3f | %.1f | %.1f | %.3f |\n",
			r.Size, r.Scenario, r.Policy, r.Jobs, r.Open, r.Mean, r.P50, r.P99, r.QuickMean, r.QuickP50, r.QuickP99, r.LargeWait, r.Fragmentation, r.FragmentationLargest, r.FragmentationBest, r.Work, r.ExitWork, r.CommitsPerJob)
	}
	return b.String()
}

// TestUrgentStart checks that guaranteed urgent requests start within 2.8 s
// although borrowers fill the cluster and one rack is down.
func TestUrgentStart(t *testing.T) {
	const target = 2800 * time.Millisecond
	for _, sz := range sizes {
		t.Run(sz.name, func(t *testing.T) {
			site := sz.site()
			sim := newSimulation(placer.New(), site)
			for i := range 8 * len(site.Domains) * len(site.Domains[0].Upstreams) * 3 {
				sim.submit(&job{kind: "borrower", runTime: 10 * time.Hour, request: yuccapaddle.Request{
					ID: fmt.Sprintf("b%d", i), Workspace: "sweeps", Tasks: 4, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassBatch, Repeatable: true,
				}})
			}
			sim.runUntil(sim.now.Add(10 * time.Second))
			rack := site.Domains[1].Upstreams[0]
			for i := range rack.Racks[0].Workers {
				sim.handle(yuccapaddle.Reported{SentAt: sim.now, Report: yuccapaddle.Report{Upstream: rack.Name, Boot: "b", Seq: 9, Workers: []yuccapaddle.WorkerCondition{
					{Worker: rack.Racks[0].WorkerName(i), Down: true},
				}}})
			}
			for i := range 5 {
				j := &job{kind: "urgent", runTime: time.Second, request: yuccapaddle.Request{
					ID: fmt.Sprintf("u%d", i), Workspace: "proofing", Tasks: 4, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassQuick, Repeatable: true,
				}}
				sim.submit(j)
				submittedAt := sim.now
				sim.runUntil(sim.now.Add(20 * time.Second))
				start, ok := sim.startTimes[j.request.Key()]
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("urgent request %d has not started", i))
				qt.Assert(t, start.Sub(submittedAt) <= target, qt.IsTrue, qt.Commentf("urgent request %d started after %v", i, start.Sub(submittedAt)))
			}
		})
	}
}

// TestLargestGang checks that a gang of 128 tasks on 128 workers is placed and
// completes although movable gangs use almost half of the accelerators.
func TestLargestGang(t *testing.T) {
	site := gridSite(7, 19, 5)
	sim := newSimulation(placer.New(), site)
	for i := range 1000 {
		sim.submit(&job{kind: "other", runTime: 10 * time.Hour, request: yuccapaddle.Request{
			ID: fmt.Sprintf("o%d", i), Workspace: "checks", Tasks: 4, Accelerators: 1, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassBatch, Repeatable: true,
		}})
	}
	sim.runUntil(sim.now.Add(time.Minute))
	j := &job{kind: "largest", runTime: time.Minute, request: yuccapaddle.Request{
		ID: "largest", Workspace: "large", Tasks: 128, Accelerators: 8, Span: yuccapaddle.SpanDomain, Class: yuccapaddle.ClassBatch,
	}}
	sim.submit(j)
	sim.runUntil(sim.now.Add(10 * time.Second))
	g := sim.sched.State().Gang(j.request.Key())
	qt.Assert(t, g, qt.IsNotNil)
	qt.Assert(t, len(g.Members), qt.Equals, 128)
	sim.runUntil(sim.now.Add(2 * time.Minute))
	qt.Assert(t, sim.endTimes[j.request.Key()].IsZero(), qt.IsFalse)
}
