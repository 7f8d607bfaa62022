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

// scales are numbers of workers: today, letter 1, ten times letter 1.
var scales = []struct {
	workers int
	site    func() *yuccapaddle.Site
}{
	{50, func() *yuccapaddle.Site { return grid(3, 2, 1) }},
	{1100, func() *yuccapaddle.Site { return grid(7, 19, 5) }},
	{11000, func() *yuccapaddle.Site { return grid(10, 137, 4) }},
}

// busy returns an engine whose accelerators are mostly held by gangs of four
// tasks, 4.5 tasks a worker as in letter 1.
func busy(site *yuccapaddle.Site, workers int) *engine {
	e := newEngine(placer.New(), site)
	for i := range workers * 45 / 40 {
		e.submit(&job{kind: "x", work: 1000 * time.Hour, request: yuccapaddle.Request{
			ID: fmt.Sprintf("x%d", i), Workspace: "sweeps", Tasks: 4, Accelerators: 1, Span: yuccapaddle.SpanRack,
			Class: yuccapaddle.ClassBatch, Repeatable: true, Payload: json.RawMessage(`{"input":"archive/2026/12/film-0042"}`),
		}})
		if i%64 == 0 {
			e.run(e.now.Add(200 * time.Millisecond))
		}
	}
	e.run(e.now.Add(5 * time.Second))
	return e
}

// BenchmarkPlace is one request from its submission to the reservation: accept,
// plan, place.
func BenchmarkPlace(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			e := busy(sc.site(), sc.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("p%d", i)
				r := yuccapaddle.Request{
					ID: id, Workspace: "checks", Tasks: 1, Accelerators: 1, Span: yuccapaddle.SpanWorker,
					Class: yuccapaddle.ClassQuick, AcceptBy: e.now.Add(time.Hour), Repeatable: true,
				}
				e.core.Handle(e.now, yuccapaddle.Submitted{Ticket: uint64(i), Request: &r})
				b.StopTimer()
				e.core.Handle(e.now, yuccapaddle.Cancelled{Key: r.Key()})
				e.core.TakeBatch()
				e.core.Handle(e.now, yuccapaddle.Committed{})
				for _, g := range e.core.State().Gangs() {
					if g.Key == r.Key() {
						e.core.Handle(e.now, yuccapaddle.Stopped{Lease: g.Lease()})
					}
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkReclaim is a guaranteed request that has to evict borrowers.
func BenchmarkReclaim(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			v := fullView(sc.site())
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

// fullView is a cluster full of borrowers with one guaranteed request waiting.
func fullView(site *yuccapaddle.Site) *yuccapaddle.View {
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
	v.Lost = func(g *yuccapaddle.Gang) float64 { return float64(len(g.Key)) }
	v.Waiting = []yuccapaddle.Waiting{{Request: urgent, Since: v.Now}}
	return v
}

// BenchmarkExit is the order to take a failure domain out: the new topology, the
// homes, and the evictions.
func BenchmarkExit(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			site := sc.site()
			e := busy(site, sc.workers)
			data, _ := e.core.State().Snapshot()
			out := *site
			out.Domains = append([]yuccapaddle.Domain(nil), site.Domains...)
			out.Domains[0].Out = true
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				k := keeper.New()
				_ = k.Restore(data)
				s := scheduler.New(k, placer.New(), 1, e.now)
				s.Handle(e.now, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 1, Site: *site}}, yuccapaddle.Permitted{Until: e.now.Add(time.Hour)})
				b.StartTimer()
				s.Handle(e.now, yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: 2, Site: out}})
			}
		})
	}
}

// BenchmarkTick is what the core spends ten times a second when nothing happens.
func BenchmarkTick(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			e := busy(sc.site(), sc.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				e.core.Handle(e.now, yuccapaddle.Ticked{})
			}
		})
	}
}

// BenchmarkSnapshot encodes the whole state, as is done every 128 entries.
func BenchmarkSnapshot(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			e := busy(sc.site(), sc.workers)
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				data, err := e.core.State().Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			_, gangs := e.core.State().Counts()
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(gangs), "gangs")
		})
	}
}

// BenchmarkSubmit is the caller's path in the core, from the request to the
// record of its intent, in batches of 100 as in a burst.
func BenchmarkSubmit(b *testing.B) {
	site := grid(7, 19, 5)
	site.Limits.WaitingPerWorkspace = 1 << 30
	e := newEngine(placer.New(), site)
	e.frozen = true
	e.core.Handle(e.now, yuccapaddle.Permitted{})
	events := make([]yuccapaddle.Event, 0, 100)
	bytes := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := &yuccapaddle.Request{
			ID: fmt.Sprintf("s%d", i), Workspace: "checks", Tasks: 1, Accelerators: 1, Span: yuccapaddle.SpanWorker,
			Class: yuccapaddle.ClassQuick, AcceptBy: e.now.Add(time.Hour), Payload: json.RawMessage(`{"input":"archive/2026/12/film-0042"}`),
		}
		events = append(events, yuccapaddle.Submitted{Ticket: uint64(i), Request: r})
		if len(events) < 100 && i < b.N-1 {
			continue
		}
		e.core.Handle(e.now, events...)
		events = events[:0]
		data, _ := json.Marshal(e.core.TakeBatch())
		bytes += len(data)
		e.core.Handle(e.now, yuccapaddle.Committed{})
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "journal-bytes/op")
}

// BenchmarkMessages reports the sizes of what goes over the network.
func BenchmarkMessages(b *testing.B) {
	now := time.Now()
	sync := yuccapaddle.SyncRequest{Upstream: "d3u07", Token: 123456, Digest: 1 << 63, Boot: "abcdefghijklmnop-1", Seq: 99999, Renew: true, WaitUntil: now, Expiry: now}
	idle := yuccapaddle.Report{Upstream: "d3u07", Boot: "abcdefghijklmnop-1", Seq: 99999}
	cfg := yuccapaddle.Config{Revision: 1, Site: *grid(7, 19, 5)}
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

// BenchmarkMove is a waiting gang for which borrowers in every rack could be
// moved.
func BenchmarkMove(b *testing.B) {
	for _, sc := range scales {
		b.Run(fmt.Sprintf("workers=%d", sc.workers), func(b *testing.B) {
			v := fullView(sc.site())
			for _, g := range v.Gangs {
				g.Accelerators, g.PlacedAt = 3, v.Now.Add(-time.Hour)
				v.Workers[v.Index[g.Members[0].Worker]].Free = 5
				v.Workers[v.Index[g.Members[0].Worker]].Later = 5
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
