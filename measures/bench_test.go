package measures

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/guarantor"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/mapper"
	"yuccapaddle/internal/placer"
	"yuccapaddle/internal/scheduler"
)

// scales are numbers of workers: those of the sizes today and letter-1, and ten
// times the latter.
var scales = []struct {
	workers int
	site    func() *yuccapaddle.Site
}{
	{50, func() *yuccapaddle.Site { return gridSite(3, 2, 1) }},
	{1100, func() *yuccapaddle.Site { return gridSite(7, 19, 5) }},
	{11000, func() *yuccapaddle.Site { return gridSite(10, 137, 4) }},
}

// newBusySimulation returns a simulation in which gangs of four tasks hold most
// accelerators, with 4.5 tasks per worker as in the size letter-1.
func newBusySimulation(site *yuccapaddle.Site, workers int) *simulation {
	sim := newSimulation(placer.New(), site)
	for i := range workers * 45 / 40 {
		sim.submit(&job{kind: "x", runTime: 1000 * time.Hour, request: yuccapaddle.Request{
			ID: fmt.Sprintf("x%d", i), Workspace: "sweeps", Tasks: 4, Accelerators: 1, Span: yuccapaddle.SpanRack,
			Class: yuccapaddle.ClassBatch, Repeatable: true, Payload: json.RawMessage(`{"input":"archive/2026/12/film-0042"}`),
		}})
		if i%64 == 0 {
			sim.runUntil(sim.now.Add(200 * time.Millisecond))
		}
	}
	sim.runUntil(sim.now.Add(5 * time.Second))
	return sim
}

// BenchmarkPlace measures one request from its submission to its reservation:
// accepting, planning and placing.
func BenchmarkPlace(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			sim := newBusySimulation(sc.site(), sc.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("p%d", i)
				r := yuccapaddle.Request{
					ID: id, Workspace: "checks", Tasks: 1, Accelerators: 1, Span: yuccapaddle.SpanWorker,
					Class: yuccapaddle.ClassQuick, AcceptBy: sim.now.Add(time.Hour), Repeatable: true,
				}
				sim.sched.Handle(sim.now, yuccapaddle.Submitted{Ticket: uint64(i), Request: &r})
				b.StopTimer()
				sim.sched.Handle(sim.now, yuccapaddle.Cancelled{Key: r.Key()})
				sim.sched.TakeBatch()
				sim.sched.Handle(sim.now, yuccapaddle.Committed{})
				for _, g := range sim.sched.State().Gangs() {
					if g.Key == r.Key() {
						sim.sched.Handle(sim.now, yuccapaddle.Stopped{Lease: g.Lease()})
					}
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkReclaim measures planning for a guaranteed request that has to evict
// borrowers.
func BenchmarkReclaim(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			v := newFullView(sc.site())
			p := placer.New()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				n := len(p.Plan(v).Placements)
				if n != 1 {
					b.Fatalf("%d placements", n)
				}
			}
		})
	}
}

// newFullView returns the view of a cluster full of borrowers with one guaranteed
// request waiting.
func newFullView(site *yuccapaddle.Site) *yuccapaddle.View {
	m := mapper.New(site)
	homes, _ := guarantor.New(site, m).Assign(func(string) bool { return true }, nil)
	v := &yuccapaddle.View{Now: time.Unix(1000, 0), Site: site, Workers: m.Workers(), Index: m.Index(), Homes: homes, Gangs: map[string]*yuccapaddle.Gang{}}
	borrower := &yuccapaddle.Request{Workspace: "sweeps", Tasks: 1, Accelerators: 8, Repeatable: true}
	urgent := &yuccapaddle.Request{ID: "u", Workspace: "proofing", Tasks: 4, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassQuick}
	for i := range v.Workers {
		v.Workers[i].Usable = true
		key := fmt.Sprintf("sweeps/b%d", i)
		v.Gangs[key] = &yuccapaddle.Gang{Key: key, Workspace: "sweeps", Accelerators: 8, State: yuccapaddle.GangReleased, Members: []yuccapaddle.Member{{Worker: v.Workers[i].Name, Count: 1}}}
	}
	v.Request = func(key string) *yuccapaddle.Request { return borrower }
	v.LostWork = func(g *yuccapaddle.Gang) float64 { return float64(len(g.Key)) }
	v.Waiting = []yuccapaddle.Waiting{{Request: urgent, Since: v.Now}}
	return v
}

// BenchmarkExit measures the order to take a failure domain out: the new
// topology, the places of the guarantees, and the evictions.
func BenchmarkExit(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			site := sc.site()
			sim := newBusySimulation(site, sc.workers)
			data, _ := sim.sched.State().Snapshot()
			out := *site
			out.Domains = append([]yuccapaddle.Domain(nil), site.Domains...)
			out.Domains[0].Out = true
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				k := keeper.New()
				_ = k.Restore(data)
				s := scheduler.New(k, placer.New(), 1, sim.now)
				s.Handle(sim.now, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 1, Site: *site}}, yuccapaddle.StartsPermitted{Until: sim.now.Add(time.Hour)})
				b.StartTimer()
				s.Handle(sim.now, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 2, Site: out}})
			}
		})
	}
}

// BenchmarkTick measures the scheduler's tick, ten times a second, when nothing
// else happens.
func BenchmarkTick(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			sim := newBusySimulation(sc.site(), sc.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.sched.Handle(sim.now, yuccapaddle.Ticked{})
			}
		})
	}
}

// BenchmarkSnapshot measures encoding the whole state, which happens every 128
// journal entries.
func BenchmarkSnapshot(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			sim := newBusySimulation(sc.site(), sc.workers)
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				data, err := sim.sched.State().Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			_, gangs := sim.sched.State().Counts()
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(gangs), "gangs")
		})
	}
}

// BenchmarkSubmit measures a submission in the scheduler, from the request to its
// journal record, in batches of 100 as in a burst.
func BenchmarkSubmit(b *testing.B) {
	site := gridSite(7, 19, 5)
	site.Limits.WaitingPerWorkspace = 1 << 30
	sim := newSimulation(placer.New(), site)
	sim.storeDown = true
	sim.sched.Handle(sim.now, yuccapaddle.StartsPermitted{})
	events := make([]yuccapaddle.Event, 0, 100)
	bytes := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := &yuccapaddle.Request{
			ID: fmt.Sprintf("s%d", i), Workspace: "checks", Tasks: 1, Accelerators: 1, Span: yuccapaddle.SpanWorker,
			Class: yuccapaddle.ClassQuick, AcceptBy: sim.now.Add(time.Hour), Payload: json.RawMessage(`{"input":"archive/2026/12/film-0042"}`),
		}
		events = append(events, yuccapaddle.Submitted{Ticket: uint64(i), Request: r})
		if len(events) < 100 && i < b.N-1 {
			continue
		}
		sim.sched.Handle(sim.now, events...)
		events = events[:0]
		data, _ := json.Marshal(sim.sched.TakeBatch())
		bytes += len(data)
		sim.sched.Handle(sim.now, yuccapaddle.Committed{})
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "journal-bytes/op")
}

// BenchmarkMessages reports the sizes of network messages and configurations.
func BenchmarkMessages(b *testing.B) {
	now := time.Now()
	sync := yuccapaddle.SyncRequest{Upstream: "d3u07", Token: 123456, Digest: 1 << 63, Boot: "abcdefghijklmnop-1", Seq: 99999, Renew: true, WaitUntil: now, Expiry: now}
	idle := yuccapaddle.Report{Upstream: "d3u07", Boot: "abcdefghijklmnop-1", Seq: 99999}
	cfg := yuccapaddle.Config{Revision: 1, Site: *gridSite(7, 19, 5)}
	for i := range 77 {
		ws := &cfg.Site.Workspaces[i%len(cfg.Site.Workspaces)]
		ws.Teams = append(ws.Teams, yuccapaddle.Team{Name: fmt.Sprintf("team-%d", i), Quota: 100})
	}
	full := cfg
	for i := range 200 {
		full.Audit = append(full.Audit, yuccapaddle.Audit{
			Revision: uint64(i), ChangeID: "change-abcdefghijklmnop", Operator: "operator", Action: "upstream-drain d3u07",
			Reason: "a reason of the usual length for a change", At: now, Diff: `{"drainedUpstreams":["d3u07"]}`,
		})
	}
	size := func(v any) float64 {
		data, _ := json.Marshal(v)
		return float64(len(data))
	}
	for range b.N {
		_ = size(sync)
	}
	b.ReportMetric(size(sync), "sync-bytes")
	b.ReportMetric(size(idle), "report-bytes")
	b.ReportMetric(size(cfg), "config-bytes")
	b.ReportMetric(size(full), "config-with-audit-bytes")
}

// BenchmarkMove measures planning for a waiting gang that borrowers in any rack
// could be moved for.
func BenchmarkMove(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			v := newFullView(sc.site())
			for _, g := range v.Gangs {
				g.Accelerators, g.PlacedAt = 3, v.Now.Add(-time.Hour)
				v.Workers[v.Index[g.Members[0].Worker]].Free = 5
				v.Workers[v.Index[g.Members[0].Worker]].FreeLater = 5
			}
			small := &yuccapaddle.Request{Workspace: "sweeps", Tasks: 1, Accelerators: 3, Span: yuccapaddle.SpanWorker, Repeatable: true}
			v.Request = func(string) *yuccapaddle.Request { return small }
			v.Movable = func(*yuccapaddle.Gang) bool { return true }
			v.Homes = nil
			v.Waiting[0].Request = &yuccapaddle.Request{ID: "l", Workspace: "large", Tasks: 8, Accelerators: 8, Span: yuccapaddle.SpanRack, Class: yuccapaddle.ClassBatch}
			v.Waiting[0].Since = v.Now.Add(-time.Minute)
			p := placer.New()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				plan := p.Plan(v)
				if len(plan.Placements) != 1 || len(plan.Placements[0].Moves) != 8 {
					b.Fatalf("%+v", plan)
				}
			}
		})
	}
}
