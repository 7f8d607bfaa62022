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
	measure = flag.Bool("measure", false, "run the whole table, which takes minutes")
	only    = flag.String("size", "", "measure only this size")
	seed    = flag.Uint64("seed", 1, "seed of the workloads")
	asJSON  = flag.String("json", "", "file for the table in JSON")
)

// size is a deployment to measure.
type size struct {
	name   string
	site   func() *yuccapaddle.Site
	factor float64 // arrivals in proportion to today's
	window time.Duration
	drain  time.Duration
}

var sizes = []size{
	{"today", func() *yuccapaddle.Site { return grid(3, 2, 1) }, 1, time.Hour, time.Hour},
	{"letter-1", func() *yuccapaddle.Site { return grid(7, 19, 5) }, 21.5, 15 * time.Minute, 30 * time.Minute},
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
	FragmentationBest             float64 // Fragmentation if the free accelerators lay as well as they can
	Work                          float64 // accelerator-hours completed
	ExitWork                      float64 // accelerator-hours in the window of the exit
	CommitsPerJob                 float64
}

// workload makes the arrivals of a scenario.
func workload(seed uint64, scenario string, factor float64, window time.Duration) []*job {
	r := rand.New(rand.NewPCG(seed, 11))
	var out []*job
	load := 1.0
	if scenario == "exit" {
		load = 1.5
	}
	add := func(kind, ws string, at time.Duration, tasks, acc int, span yuccapaddle.Span, class yuccapaddle.Class, repeatable bool, work time.Duration) {
		out = append(out, &job{kind: kind, at: time.Time{}.Add(at), work: work, request: yuccapaddle.Request{
			ID: fmt.Sprintf("%s%d", kind, len(out)), Workspace: ws, Tasks: tasks, Accelerators: acc, Span: span, Class: class, Repeatable: repeatable,
		}})
	}
	spread := func(interval float64, each func(at time.Duration)) {
		for t := r.ExpFloat64() * interval / factor / load; t < window.Seconds(); t += r.ExpFloat64() * interval / factor / load {
			each(time.Duration(t * float64(time.Second)))
		}
	}
	between := func(a, b int) time.Duration { return time.Duration(a*1000+r.IntN((b-a)*1000)) * time.Millisecond }
	spread(2, func(at time.Duration) {
		add("quick", "checks", at, 1, 1+r.IntN(4), yuccapaddle.SpanWorker, yuccapaddle.ClassQuick, true, between(2, 9))
	})
	spread(190, func(at time.Duration) {
		add("gang", "proofing", at, 4+4*r.IntN(2), 8-4*r.IntN(2), yuccapaddle.SpanRack, yuccapaddle.ClassBatch, true, between(300, 1500))
	})
	spread(72, func(at time.Duration) {
		add("sweep", "sweeps", at, 4, 4, yuccapaddle.SpanRack, yuccapaddle.ClassBatch, false, between(120, 600))
	})
	spread(900, func(at time.Duration) {
		add("large", "large", at, 8, 8, yuccapaddle.SpanRack, yuccapaddle.ClassBatch, true, between(600, 1200))
	})
	if scenario == "burst" {
		for range int(400 * factor) {
			add("quick", "checks", window/3+between(0, 2), 1, 1, yuccapaddle.SpanWorker, yuccapaddle.ClassQuick, true, between(2, 9))
		}
	}
	if scenario == "lies" {
		spread(60, func(at time.Duration) {
			add("liar", "sweeps", at, 2, 8, yuccapaddle.SpanRack, yuccapaddle.ClassQuick, true, between(600, 1800))
		})
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].at.Before(out[b].at) })
	return out
}

// window of the exit and of the outage, as shares of the arrivals' window.
const (
	exitFrom, exitTo     = 0.4, 0.7
	outageFrom, outageTo = 0.4, 0.5
)

func play(seed uint64, sz size, scenario string, policy yuccapaddle.Policy) row {
	site := sz.site()
	e := newEngine(policy, site)
	jobs := workload(seed, scenario, sz.factor, sz.window)
	for _, j := range jobs {
		e.after(j.at.Sub(time.Time{}), func() { e.submit(j) })
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(sz.window)) }
	var before, after float64
	if scenario == "exit" {
		out := *site
		out.Domains = append([]yuccapaddle.Domain(nil), site.Domains...)
		out.Domains[0].Out = true
		e.after(part(exitFrom), func() { e.out = out.Domains[0].Name; e.configure(&out) })
		e.after(part(exitTo), func() { e.out = ""; e.configure(site) })
	}
	e.after(part(exitFrom), func() { before = e.worked() })
	e.after(part(exitTo), func() { after = e.worked() })
	if scenario == "outage" {
		e.after(part(outageFrom), func() { e.freeze(true) })
		e.after(part(outageTo), func() { e.freeze(false) })
	}
	sampling := true
	e.every(5*time.Second, func() {
		if sampling {
			e.sample()
		}
	})
	e.run(e.begin.Add(sz.window))
	sampling = false
	e.run(e.begin.Add(sz.window + sz.drain))
	out := e.summary(jobs)
	out.Size, out.Scenario, out.Policy = sz.name, scenario, policy.Name()
	out.ExitWork = (after - before) / 3600
	return out
}

// worked is the accelerator-seconds done so far, running gangs included.
func (e *engine) worked() float64 {
	total := e.useful
	// The order of the sum is fixed: the same seed gives the same last digit.
	for _, lease := range slices.Sorted(maps.Keys(e.running)) {
		run := e.running[lease]
		if !run.began.IsZero() {
			total += e.now.Sub(run.began).Seconds() * float64(e.jobs[keyOf(run.lease)].request.Need())
		}
	}
	return total
}

func (e *engine) summary(jobs []*job) row {
	all, quick := hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3), hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3)
	out := row{Jobs: len(jobs), Work: e.useful / 3600}
	out.Fragmentation, out.FragmentationLargest, out.FragmentationBest = e.mean(e.frag), e.mean(e.fragLargest), e.mean(e.fragBest)
	var waited float64
	large := 0
	for _, j := range jobs {
		key := j.request.Key()
		end, ok := e.ended[key]
		if !ok {
			out.Open++
			end = e.now // still open: counted as if it ended now, which flatters it
		}
		ms := end.Sub(j.at).Milliseconds()
		_ = all.RecordValue(ms)
		if j.kind == "quick" {
			_ = quick.RecordValue(ms)
		}
		if j.kind == "large" {
			start, ok := e.started[key]
			if !ok {
				start = e.now
			}
			waited += start.Sub(j.at).Seconds()
			large++
		}
	}
	second := func(ms float64) float64 { return ms / 1000 }
	out.Mean, out.P50, out.P99 = second(all.Mean()), second(float64(all.ValueAtQuantile(50))), second(float64(all.ValueAtQuantile(99)))
	out.QuickMean, out.QuickP50, out.QuickP99 = second(quick.Mean()), second(float64(quick.ValueAtQuantile(50))), second(float64(quick.ValueAtQuantile(99)))
	if large > 0 {
		out.LargeWait = waited / float64(large)
	}
	out.CommitsPerJob = float64(e.commits) / float64(len(jobs))
	return out
}

// TestMeasures prints the table; without -measure it plays one short line of it
// twice, to see that the same seed gives the same figures.
func TestMeasures(t *testing.T) {
	if !*measure {
		short := size{"today", sizes[0].site, 1, 5 * time.Minute, 10 * time.Minute}
		a, b := play(1, short, "burst", placer.New()), play(1, short, "burst", placer.New())
		qt.Assert(t, a, qt.Equals, b)
		return
	}
	var mu sync.Mutex
	var rows []row
	t.Run("all", func(t *testing.T) {
		for _, sz := range sizes {
			if *only != "" && sz.name != *only {
				continue
			}
			for _, sc := range scenarios {
				for _, p := range policies() {
					t.Run(sz.name+"/"+sc+"/"+p.Name(), func(t *testing.T) {
						t.Parallel()
						r := play(*seed, sz, sc, p)
						mu.Lock()
						defer mu.Unlock()
						rows = append(rows, r)
						t.Log("\n" + table([]row{r}))
					})
				}
			}
		}
	})
	sort.Slice(rows, func(a, b int) bool {
		x, y := rows[a], rows[b]
		return x.Size+x.Scenario+x.Policy > y.Size+y.Scenario+y.Policy
	})
	t.Log("\n" + table(rows))
	if *asJSON != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(*asJSON, data, 0o644), qt.IsNil)
	}
}

func table(rows []row) string {
	var b strings.Builder
	fmt.Fprintln(&b, "| size | scenario | policy | jobs | open | mean s | p50 s | p99 s | quick mean | quick p50 | quick p99 | large wait s | fragmentation | for the largest | best possible | work acc-h | window work | commits/job |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.1f | %.3f | %.3f | %.3f | %.1f | %.1f | %.3f |\n",
			r.Size, r.Scenario, r.Policy, r.Jobs, r.Open, r.Mean, r.P50, r.P99, r.QuickMean, r.QuickP50, r.QuickP99, r.LargeWait, r.Fragmentation, r.FragmentationLargest, r.FragmentationBest, r.Work, r.ExitWork, r.CommitsPerJob)
	}
	return b.String()
}

// TestUrgentStart: guaranteed urgent work starts within 2.8 s although the
// cluster is full of borrowers, also with a rack down and a failure domain out.
func TestUrgentStart(t *testing.T) {
	const target = 2800 * time.Millisecond
	for _, sz := range sizes {
		t.Run(sz.name, func(t *testing.T) {
			site := sz.site()
			e := newEngine(placer.New(), site)
			for i := range 8 * len(site.Domains) * len(site.Domains[0].Upstreams) * 3 {
				e.submit(&job{kind: "borrower", work: 10 * time.Hour, request: yuccapaddle.Request{
					ID: fmt.Sprintf("b%d", i), Workspace: "sweeps", Tasks: 4, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassBatch, Repeatable: true,
				}})
			}
			e.run(e.now.Add(10 * time.Second))
			rack := site.Domains[1].Upstreams[0]
			for i := range rack.Racks[0].Workers {
				e.feed(yuccapaddle.Reported{SentAt: e.now, Report: yuccapaddle.Report{Upstream: rack.Name, Boot: "b", Seq: 9, Workers: []yuccapaddle.WorkerCondition{
					{Worker: rack.Racks[0].WorkerName(i), Down: true},
				}}})
			}
			for i := range 5 {
				j := &job{kind: "urgent", work: time.Second, request: yuccapaddle.Request{
					ID: fmt.Sprintf("u%d", i), Workspace: "proofing", Tasks: 4, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassQuick, Repeatable: true,
				}}
				e.submit(j)
				asked := e.now
				e.run(e.now.Add(20 * time.Second))
				start, ok := e.started[j.request.Key()]
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("urgent request %d has not started", i))
				qt.Assert(t, start.Sub(asked) <= target, qt.IsTrue, qt.Commentf("urgent request %d started after %v", i, start.Sub(asked)))
			}
		})
	}
}

// TestLargestGang: a gang of 128 tasks over 128 workers starts and ends whole, in
// a failure domain half of which is used by gangs that can be moved.
func TestLargestGang(t *testing.T) {
	site := grid(7, 19, 5)
	e := newEngine(placer.New(), site)
	for i := range 1000 {
		e.submit(&job{kind: "other", work: 10 * time.Hour, request: yuccapaddle.Request{
			ID: fmt.Sprintf("o%d", i), Workspace: "checks", Tasks: 4, Accelerators: 1, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassBatch, Repeatable: true,
		}})
	}
	e.run(e.now.Add(time.Minute))
	j := &job{kind: "largest", work: time.Minute, request: yuccapaddle.Request{
		ID: "largest", Workspace: "large", Tasks: 128, Accelerators: 8, Span: yuccapaddle.SpanDomain, Class: yuccapaddle.ClassBatch,
	}}
	e.submit(j)
	e.run(e.now.Add(10 * time.Second))
	g := e.core.State().Gang(j.request.Key())
	qt.Assert(t, g, qt.IsNotNil)
	qt.Assert(t, len(g.Members), qt.Equals, 128)
	e.run(e.now.Add(2 * time.Minute))
	qt.Assert(t, e.ended[j.request.Key()].IsZero(), qt.IsFalse)
}
