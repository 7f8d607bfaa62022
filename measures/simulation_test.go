// Package measures runs seeded workloads in virtual time on the scheduler and its
// policies, and benchmarks their operations.
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
	messageDelay    = time.Millisecond
	commitDelay     = 5 * time.Millisecond
	tickInterval    = 100 * time.Millisecond
	permitInterval  = 800 * time.Millisecond
	checkpointDelay = 50 * time.Millisecond
)

// timer is a call that is due at a moment of virtual time.
type timer struct {
	at   time.Time
	seq  int // order of the timers that are due at the same moment
	fire func()
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// job is a request of a workload and what the simulation knows about it.
type job struct {
	request     yuccapaddle.Request
	submitAt    time.Time     // in a workload, the offset from the zero time
	runTime     time.Duration // the true run time of its tasks
	kind        string
	cancelAfter time.Duration // after the submission, 0 for never
}

// simulation runs one scheduler in virtual time, with simulated workers and a
// simulated journal.
type simulation struct {
	sched          *scheduler.Scheduler
	now            time.Time
	startTime      time.Time
	timers         timerHeap
	seq            int
	site           *yuccapaddle.Site
	configRevision uint64
	jobs           map[string]*job
	gangs          map[string]*runningGang
	remaining      map[string]time.Duration // run time left, by request
	reportSeqs     map[string]uint64        // by upstream
	storeDown      bool
	pendingCommits []func() // commits that wait for the store

	startTimes, endTimes map[string]time.Time // by request
	doneCount            int
	commits              int
	records              int
	usefulSeconds        float64 // accelerator-seconds of completed and saved work
	fragSum              float64
	fragLargestSum       float64
	fragBestSum          float64
	fragSamples          int
	outDomain            string // the failure domain that is out, if any
}

type runningGang struct {
	lease     string
	members   map[string][]yuccapaddle.Member // by upstream
	startedAt time.Time
	phase     int // 0 reserved, 1 started, -1 stopped
}

func newSimulation(policy yuccapaddle.Policy, site *yuccapaddle.Site) *simulation {
	begin := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		sched: scheduler.New(keeper.New(), policy, 1, begin), now: begin, startTime: begin, site: site,
		jobs: map[string]*job{}, gangs: map[string]*runningGang{}, remaining: map[string]time.Duration{},
		reportSeqs: map[string]uint64{}, startTimes: map[string]time.Time{}, endTimes: map[string]time.Time{},
	}
	sim.configure(site)
	for _, d := range site.Domains {
		for _, u := range d.Upstreams {
			sim.handle(yuccapaddle.Reported{Report: yuccapaddle.Report{Upstream: u.Name, Boot: "b", Seq: 1}, SentAt: sim.now})
		}
	}
	sim.every(tickInterval, func() { sim.handle(yuccapaddle.Ticked{}) })
	sim.every(permitInterval, func() {
		if !sim.storeDown {
			sim.handle(yuccapaddle.StartsPermitted{Until: sim.now.Add(2500 * time.Millisecond)})
		}
	})
	sim.handle(yuccapaddle.StartsPermitted{Until: sim.now.Add(2500 * time.Millisecond)})
	return sim
}

func (sim *simulation) configure(site *yuccapaddle.Site) {
	sim.configRevision++
	data, _ := json.Marshal(site)
	var copied yuccapaddle.Site
	_ = json.Unmarshal(data, &copied)
	sim.handle(yuccapaddle.Configured{Config: &yuccapaddle.Config{Revision: sim.configRevision, Site: copied}})
}

// after calls do once after d of virtual time.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), seq: sim.seq, fire: do})
}

// every calls do again and again at an interval of d.
func (sim *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		sim.after(d, again)
	}
	sim.after(d, again)
}

// runUntil fires the timers in order up to a time.
func (sim *simulation) runUntil(until time.Time) {
	for len(sim.timers) > 0 && !sim.timers[0].at.After(until) {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		next.fire()
	}
	sim.now = until
}

// handle passes events to the scheduler, performs its actions, and commits the
// records that it has produced.
func (sim *simulation) handle(events ...yuccapaddle.Event) {
	for _, a := range sim.sched.Handle(sim.now, events...) {
		sim.perform(a)
	}
	if batch := sim.sched.TakeBatch(); batch != nil {
		sim.commits++
		sim.records += len(batch)
		commit := func() { sim.handle(yuccapaddle.Committed{}) }
		if sim.storeDown {
			sim.pendingCommits = append(sim.pendingCommits, commit)
			return
		}
		sim.after(commitDelay, commit)
	}
}

// setStoreDown starts or ends an outage of the store.
func (sim *simulation) setStoreDown(down bool) {
	sim.storeDown = down
	sim.handle(yuccapaddle.Stalled{Stalled: down})
	if down {
		return
	}
	for _, commit := range sim.pendingCommits {
		sim.after(commitDelay, commit)
	}
	sim.pendingCommits = nil
}

func (sim *simulation) submit(j *job) {
	j.request.AcceptBy = sim.now.Add(5 * time.Second)
	j.submitAt = sim.now
	sim.jobs[j.request.Key()] = j
	sim.remaining[j.request.Key()] = j.runTime
	r := j.request
	sim.handle(yuccapaddle.Submitted{Ticket: uint64(len(sim.jobs)), Request: &r})
	if j.cancelAfter > 0 {
		sim.after(j.cancelAfter, func() { sim.handle(yuccapaddle.Cancelled{Key: r.Key()}) })
	}
}

// resubmit submits a refused request again, as a caller would.
func (sim *simulation) resubmit(key string) {
	r := sim.jobs[key].request
	r.AcceptBy = sim.now.Add(5 * time.Second)
	sim.handle(yuccapaddle.Submitted{Ticket: uint64(len(sim.jobs)), Request: &r})
}

func (sim *simulation) perform(a yuccapaddle.Action) {
	switch a := a.(type) {
	case yuccapaddle.ReserveAction:
		r := a.Reservation
		sim.after(messageDelay, func() { sim.reserve(r) })
	case yuccapaddle.StartAction:
		c := a.Command
		sim.after(messageDelay, func() {
			sim.handle(yuccapaddle.Started{Upstream: c.Upstream, Lease: c.Lease})
			sim.markStarted(c.Lease)
		})
	case yuccapaddle.CheckpointAction:
		c := a.Command
		sim.after(checkpointDelay, func() { sim.checkpoint(c) })
	case yuccapaddle.StopAction:
		c := a.Command
		sim.after(messageDelay, func() { sim.stopGang(c) })
	case yuccapaddle.Reply:
		o := a.Outcome
		if o.Verdict == yuccapaddle.VerdictRefused && !o.RetryAfter.IsZero() {
			sim.after(o.RetryAfter.Sub(sim.now), func() { sim.resubmit(o.Workspace + "/" + o.ID) })
		}
	case yuccapaddle.InvariantViolation:
		panic(a.Err)
	}
}

func (sim *simulation) reserve(r yuccapaddle.Reservation) {
	gang := sim.gangs[r.Lease]
	if gang == nil {
		gang = &runningGang{lease: r.Lease, members: map[string][]yuccapaddle.Member{}}
		sim.gangs[r.Lease] = gang
	}
	gang.members[r.Upstream] = r.Members
	sim.handle(yuccapaddle.Reserved{Upstream: r.Upstream, Lease: r.Lease})
	if r.Start {
		sim.markStarted(r.Lease)
	}
}

// requestKey returns the key of the request that a lease is for.
func requestKey(lease string) string {
	for i := len(lease) - 1; i >= 0; i-- {
		if lease[i] == '/' {
			return lease[:i]
		}
	}
	return lease
}

// markStarted notes the start of a gang when the first of its upstreams starts
// its members, and schedules its end.
func (sim *simulation) markStarted(lease string) {
	gang := sim.gangs[lease]
	if gang == nil || !gang.startedAt.IsZero() {
		return
	}
	key := requestKey(lease)
	gang.startedAt = sim.now
	if _, ok := sim.startTimes[key]; !ok {
		sim.startTimes[key] = sim.now
	}
	gang.phase++
	sim.after(sim.remaining[key], func() { sim.finishGang(gang, key) })
}

func (sim *simulation) finishGang(gang *runningGang, key string) {
	if sim.gangs[gang.lease] != gang || gang.phase < 0 {
		return
	}
	delete(sim.gangs, gang.lease)
	j := sim.jobs[key]
	sim.usefulSeconds += sim.now.Sub(gang.startedAt).Seconds() * float64(j.request.Need())
	sim.doneCount++
	sim.endTimes[key] = sim.now
	sim.reportTasks(gang, yuccapaddle.TaskDone, false)
}

// reportTasks reports the state of all tasks of a gang, one report per upstream.
func (sim *simulation) reportTasks(gang *runningGang, state yuccapaddle.TaskState, checkpointed bool) {
	for _, up := range sortedUpstreams(gang.members) {
		sim.reportSeqs[up]++
		report := yuccapaddle.Report{Upstream: up, Boot: "b", Seq: sim.reportSeqs[up]}
		for _, m := range gang.members[up] {
			for _, rank := range m.Ranks() {
				report.Tasks = append(report.Tasks, yuccapaddle.TaskReport{
					Lease: gang.lease, Rank: rank, Worker: m.Worker, State: state, Checkpointed: checkpointed, Part: json.RawMessage("1"),
				})
			}
		}
		sim.handle(yuccapaddle.Reported{Report: report, SentAt: sim.now})
	}
}

func (sim *simulation) checkpoint(c yuccapaddle.LeaseCommand) {
	gang := sim.gangs[c.Lease]
	if gang == nil || gang.startedAt.IsZero() {
		return
	}
	sim.reportTasks(gang, yuccapaddle.TaskRunning, true)
}

// stopGang stops a gang's members at one upstream. The gang's work so far counts
// as saved.
func (sim *simulation) stopGang(c yuccapaddle.LeaseCommand) {
	reply := yuccapaddle.StopReply{Boot: "b"}
	if gang := sim.gangs[c.Lease]; gang != nil {
		key := requestKey(c.Lease)
		if !gang.startedAt.IsZero() {
			elapsed := sim.now.Sub(gang.startedAt)
			sim.remaining[key] = max(sim.remaining[key]-elapsed, time.Millisecond)
			sim.usefulSeconds += elapsed.Seconds() * float64(sim.jobs[key].request.Need())
			gang.startedAt = time.Time{}
			gang.phase = -1
		}
		state := yuccapaddle.TaskNeverStarted
		if gang.phase == -1 {
			state = yuccapaddle.TaskStopped
		}
		for _, m := range gang.members[c.Upstream] {
			for _, rank := range m.Ranks() {
				reply.Tasks = append(reply.Tasks, yuccapaddle.TaskReport{Lease: c.Lease, Rank: rank, Worker: m.Worker, State: state, Checkpointed: true})
			}
		}
		delete(gang.members, c.Upstream)
		if len(gang.members) == 0 {
			delete(sim.gangs, c.Lease)
		}
	}
	sim.handle(yuccapaddle.Stopped{Upstream: c.Upstream, Lease: c.Lease, Reply: reply})
}

func sortedUpstreams(m map[string][]yuccapaddle.Member) []string {
	return slices.Sorted(maps.Keys(m))
}

// gridSite returns a site with the given numbers of failure domains, of racks of
// 8 workers per domain and of extra workers per domain, all with 8 accelerators.
// About an eighth of the accelerators is guaranteed to checks, a quarter to
// proofing, a twelfth to sweeps and a ninth to large.
func gridSite(domains, racks, extra int) *yuccapaddle.Site {
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
