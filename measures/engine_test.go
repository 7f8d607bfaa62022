// Package measures runs seeded workloads in virtual time on the real decision
// core, and benchmarks its parts.
package measures

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"yuccapaddle"
	"yuccapaddle/internal/keeper"
	"yuccapaddle/internal/scheduler"
)

const (
	messageDelay = time.Millisecond
	commitDelay  = 5 * time.Millisecond
	tickDelay    = 100 * time.Millisecond
	permitDelay  = 800 * time.Millisecond
	saveDelay    = 50 * time.Millisecond
)

// happening is something due at a moment of virtual time.
type happening struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || (a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// job is what a workload submits; work is its true run time.
type job struct {
	request yuccapaddle.Request
	at      time.Time
	work    time.Duration
	kind    string
	cancel  time.Duration
}

// engine plays workers and the journal around one core.
type engine struct {
	core    *scheduler.Scheduler
	now     time.Time
	begin   time.Time
	agenda  agenda
	seq     int
	site    *yuccapaddle.Site
	cfg     uint64
	jobs    map[string]*job
	running map[string]*running
	left    map[string]time.Duration
	reports map[string]uint64
	frozen  bool // the store is down
	pending []func()

	started, ended map[string]time.Time
	done           int
	commits        int
	records        int
	useful         float64 // accelerator-seconds of completed and saved work
	frag           float64
	fragLargest    float64
	fragBest       float64
	fragN          int
	out            string // the failure domain that is out
}

type running struct {
	lease   string
	members map[string][]yuccapaddle.Member // by upstream
	began   time.Time
	gen     int
}

func newEngine(policy yuccapaddle.Policy, site *yuccapaddle.Site) *engine {
	begin := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e := &engine{
		core: scheduler.New(keeper.New(), policy, 1, begin), now: begin, begin: begin, site: site,
		jobs: map[string]*job{}, running: map[string]*running{}, left: map[string]time.Duration{},
		reports: map[string]uint64{}, started: map[string]time.Time{}, ended: map[string]time.Time{},
	}
	e.configure(site)
	for _, d := range site.Domains {
		for _, u := range d.Upstreams {
			e.feed(yuccapaddle.Reported{Report: yuccapaddle.Report{Upstream: u.Name, Boot: "b", Seq: 1}, SentAt: e.now})
		}
	}
	e.every(tickDelay, func() { e.feed(yuccapaddle.Ticked{}) })
	e.every(permitDelay, func() {
		if !e.frozen {
			e.feed(yuccapaddle.Permitted{Until: e.now.Add(2500 * time.Millisecond)})
		}
	})
	e.feed(yuccapaddle.Permitted{Until: e.now.Add(2500 * time.Millisecond)})
	return e
}

func (e *engine) configure(site *yuccapaddle.Site) {
	e.cfg++
	data, _ := json.Marshal(site)
	var copied yuccapaddle.Site
	_ = json.Unmarshal(data, &copied)
	e.feed(yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: e.cfg, Site: copied}})
}

func (e *engine) after(d time.Duration, do func()) {
	e.seq++
	heap.Push(&e.agenda, happening{at: e.now.Add(d), seq: e.seq, do: do})
}

func (e *engine) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		e.after(d, again)
	}
	e.after(d, again)
}

// run plays until a time.
func (e *engine) run(until time.Time) {
	for len(e.agenda) > 0 && !e.agenda[0].at.After(until) {
		h := heap.Pop(&e.agenda).(happening)
		e.now = h.at
		h.do()
	}
	e.now = until
}

func (e *engine) feed(events ...yuccapaddle.Event) {
	for _, a := range e.core.Handle(e.now, events...) {
		e.act(a)
	}
	if batch := e.core.TakeBatch(); batch != nil {
		e.commits++
		e.records += len(batch)
		land := func() { e.feed(yuccapaddle.Committed{}) }
		if e.frozen {
			e.pending = append(e.pending, land)
			return
		}
		e.after(commitDelay, land)
	}
}

// freeze takes the store down or brings it back.
func (e *engine) freeze(on bool) {
	e.frozen = on
	e.feed(yuccapaddle.Stalled{Stalled: on})
	if on {
		return
	}
	for _, land := range e.pending {
		e.after(commitDelay, land)
	}
	e.pending = nil
}

func (e *engine) submit(j *job) {
	j.request.AcceptBy = e.now.Add(5 * time.Second)
	j.at = e.now
	e.jobs[j.request.Key()] = j
	e.left[j.request.Key()] = j.work
	r := j.request
	e.feed(yuccapaddle.Submitted{Ticket: uint64(len(e.jobs)), Request: &r})
	if j.cancel > 0 {
		e.after(j.cancel, func() { e.feed(yuccapaddle.Cancelled{Key: r.Key()}) })
	}
}

// again submits a refused request once more, as a caller does.
func (e *engine) again(key string) {
	r := e.jobs[key].request
	r.AcceptBy = e.now.Add(5 * time.Second)
	e.feed(yuccapaddle.Submitted{Ticket: uint64(len(e.jobs)), Request: &r})
}

func (e *engine) act(a yuccapaddle.Action) {
	switch a := a.(type) {
	case yuccapaddle.ReserveAction:
		r := a.Reservation
		e.after(messageDelay, func() { e.reserve(r) })
	case yuccapaddle.StartAction:
		c := a.Command
		e.after(messageDelay, func() {
			e.feed(yuccapaddle.Started{Upstream: c.Upstream, Lease: c.Lease})
			e.begun(c.Lease)
		})
	case yuccapaddle.CheckpointAction:
		c := a.Command
		e.after(saveDelay, func() { e.save(c) })
	case yuccapaddle.StopAction:
		c := a.Command
		e.after(messageDelay, func() { e.stop(c) })
	case yuccapaddle.Reply:
		o := a.Outcome
		if o.Verdict == yuccapaddle.VerdictRefused && !o.RetryAfter.IsZero() {
			e.after(o.RetryAfter.Sub(e.now), func() { e.again(o.Workspace + "/" + o.ID) })
		}
	case yuccapaddle.Broken:
		panic(a.Err)
	}
}

func (e *engine) reserve(r yuccapaddle.Reservation) {
	run := e.running[r.Lease]
	if run == nil {
		run = &running{lease: r.Lease, members: map[string][]yuccapaddle.Member{}}
		e.running[r.Lease] = run
	}
	run.members[r.Upstream] = r.Members
	e.feed(yuccapaddle.Reserved{Upstream: r.Upstream, Lease: r.Lease})
	if r.Start {
		e.begun(r.Lease)
	}
}

func keyOf(lease string) string {
	for i := len(lease) - 1; i >= 0; i-- {
		if lease[i] == '/' {
			return lease[:i]
		}
	}
	return lease
}

// begun starts the clock of a gang with its first started share.
func (e *engine) begun(lease string) {
	run := e.running[lease]
	if run == nil || !run.began.IsZero() {
		return
	}
	key := keyOf(lease)
	run.began = e.now
	if _, ok := e.started[key]; !ok {
		e.started[key] = e.now
	}
	run.gen++
	e.after(e.left[key], func() { e.finish(run, key) })
}

func (e *engine) finish(run *running, key string) {
	if e.running[run.lease] != run || run.gen < 0 {
		return
	}
	delete(e.running, run.lease)
	j := e.jobs[key]
	e.useful += e.now.Sub(run.began).Seconds() * float64(j.request.Need())
	e.done++
	e.ended[key] = e.now
	e.report(run, yuccapaddle.TaskDone, false)
}

// report tells the state of all tasks of a gang, upstream by upstream.
func (e *engine) report(run *running, state yuccapaddle.TaskState, saved bool) {
	for _, up := range sortedUpstreams(run.members) {
		e.reports[up]++
		rep := yuccapaddle.Report{Upstream: up, Boot: "b", Seq: e.reports[up]}
		for _, m := range run.members[up] {
			for _, rank := range m.Ranks() {
				rep.Tasks = append(rep.Tasks, yuccapaddle.TaskReport{
					Lease: run.lease, Rank: rank, Worker: m.Worker, State: state, Checkpointed: saved, Part: json.RawMessage("1"),
				})
			}
		}
		e.feed(yuccapaddle.Reported{Report: rep, SentAt: e.now})
	}
}

func (e *engine) save(c yuccapaddle.LeaseCommand) {
	run := e.running[c.Lease]
	if run == nil || run.began.IsZero() {
		return
	}
	e.report(run, yuccapaddle.TaskRunning, true)
}

// stop ends a gang; what it did until now counts as saved work.
func (e *engine) stop(c yuccapaddle.LeaseCommand) {
	reply := yuccapaddle.StopReply{Boot: "b"}
	if run := e.running[c.Lease]; run != nil {
		key := keyOf(c.Lease)
		if !run.began.IsZero() {
			ran := e.now.Sub(run.began)
			e.left[key] = max(e.left[key]-ran, time.Millisecond)
			e.useful += ran.Seconds() * float64(e.jobs[key].request.Need())
			run.began = time.Time{}
			run.gen = -1
		}
		state := yuccapaddle.TaskNeverStarted
		if run.gen == -1 {
			state = yuccapaddle.TaskStopped
		}
		for _, m := range run.members[c.Upstream] {
			for _, rank := range m.Ranks() {
				reply.Tasks = append(reply.Tasks, yuccapaddle.TaskReport{Lease: c.Lease, Rank: rank, Worker: m.Worker, State: state, Checkpointed: true})
			}
		}
		delete(run.members, c.Upstream)
		if len(run.members) == 0 {
			delete(e.running, c.Lease)
		}
	}
	e.feed(yuccapaddle.Stopped{Upstream: c.Upstream, Lease: c.Lease, Reply: reply})
}

func sortedUpstreams(m map[string][]yuccapaddle.Member) []string {
	return slices.Sorted(maps.Keys(m))
}

// grid is a site of domains x racks x 8 workers of 8 accelerators, with a quarter
// of each domain guaranteed to quick, half to proofing and some to sweeps.
func grid(domains, racks, extra int) *yuccapaddle.Site {
	s := &yuccapaddle.Site{Name: "grid", Limits: yuccapaddle.Limits{
		WaitingPerWorkspace: 100_000, EvictionGraceMS: 1500, GangAgeingMS: 600_000, RetentionMS: 60_000,
	}}
	for d := range domains {
		dom := yuccapaddle.Domain{Name: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d%2)}
		for r := range racks {
			dom.Upstreams = append(dom.Upstreams, yuccapaddle.Upstream{
				Name: fmt.Sprintf("d%du%d", d, r), Address: fmt.Sprintf("127.%d.%d.1:1", d, r),
				Racks: []yuccapaddle.Rack{{Name: fmt.Sprintf("d%dr%02d", d, r), Workers: 8, Accelerators: 8}},
			})
		}
		if extra > 0 {
			dom.Upstreams[0].Racks = append(dom.Upstreams[0].Racks, yuccapaddle.Rack{Name: fmt.Sprintf("d%dx", d), Workers: extra, Accelerators: 8})
		}
		s.Domains = append(s.Domains, dom)
	}
	n := domains * racks
	guarantee := func(count, workers, acc int, span yuccapaddle.Span) []yuccapaddle.Guarantee {
		return []yuccapaddle.Guarantee{{Count: max(count, 1), Workers: workers, Accelerators: acc, Span: span}}
	}
	s.Workspaces = []yuccapaddle.Workspace{
		{Name: "checks", Guarantees: guarantee(n*2, 1, 4, yuccapaddle.SpanWorker)},
		{Name: "proofing", Guarantees: guarantee(n/2, 4, 8, yuccapaddle.SpanRack)},
		{Name: "sweeps", Guarantees: guarantee(n/3, 2, 8, yuccapaddle.SpanRack)},
		{Name: "large", Guarantees: guarantee(max(n/9, 1), 8, 8, yuccapaddle.SpanRack)},
	}
	return s
}
