package sessions

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/responder"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/standin/worker"
)

func (sim *simulation) doStart(args []string) {
	for _, name := range args {
		sim.startHost(name)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
}

func (sim *simulation) doKill(args []string) { sim.killHost(args[0]) }

func (sim *simulation) doPause(args []string) { sim.hosts[args[0]].interceptor.pause() }

func (sim *simulation) doResume(args []string) { sim.hosts[args[0]].interceptor.resume() }

// doStop stops a host in an orderly way and returns when it has drained.
func (sim *simulation) doStop(args []string) {
	h := sim.hosts[args[0]]
	close(h.stop)
	<-h.done
}

// doCut breaks or restores a host's connections: cut h1 store|reads|workers|peers on|off.
func (sim *simulation) doCut(args []string) {
	g := sim.hosts[args[0]].interceptor
	on := args[2] == "on"
	switch args[1] {
	case "store":
		g.storeDown.Store(on)
	case "reads":
		g.readsDown.Store(on)
	case "workers":
		g.workersDown.Store(on)
	case "peers":
		g.peersDown.Store(on)
	}
}

func (sim *simulation) doApply(args []string) {
	site := sim.site
	r := sim.change(sim.hosts[args[0]], "apply", "", 0, &site)
	sim.printf("%s revision %d %s", r.Status, r.Revision, r.Reason)
}

// doChange asks a host for an operator's change: change h1 domain-out d1 [base].
// With & the command runs in the background.
func (sim *simulation) doChange(args []string) {
	base := uint64(0)
	background := args[len(args)-1] == "&"
	if len(args) > 3 && !background {
		base, _ = strconv.ParseUint(args[3], 10, 64)
	}
	run := func() error {
		r := sim.change(sim.hosts[args[0]], args[1], args[2], base, nil)
		sim.printf("%s %s: %s revision %d %s", args[1], args[2], r.Status, r.Revision, r.Reason)
		return nil
	}
	if background {
		sim.group.Go(run)
		return
	}
	_ = run()
}

// doRace makes two concurrent changes that are based on the same revision:
// race 1 h1 worker-drain x h2 worker-drain y
func (sim *simulation) doRace(args []string) {
	base, _ := strconv.ParseUint(args[0], 10, 64)
	results := make(chan string, 2)
	for _, c := range [][]string{args[1:4], args[4:7]} {
		sim.group.Go(func() error {
			r := sim.change(sim.hosts[c[0]], c[1], c[2], base, nil)
			results <- fmt.Sprintf("%s revision %d %s", r.Status, r.Revision, r.Reason)
			return nil
		})
	}
	lines := []string{<-results, <-results}
	sort.Strings(lines)
	sim.printf("%s", strings.Join(lines, "\n"))
}

// doSubmit submits a request: submit h1 a/x tasks=2 acc=4 ms=100 class=quick
// span=rack team=t repeatable fail=why wait=10s &
func (sim *simulation) doSubmit(args []string) {
	h := sim.hosts[args[0]]
	key := args[1]
	ws, id, _ := strings.Cut(key, "/")
	opts := parseOptions(args[2:])
	s := responder.Submission{
		ID: id, Team: opts["team"], Class: opts["class"], Tasks: atoi(opts["tasks"], 1), Accelerators: atoi(opts["acc"], 1),
		Span: opts["span"], Repeatable: opts["repeatable"] != "",
	}
	p := worker.Payload{MS: int64(atoi(opts["ms"], 100)), Answer: json.RawMessage(strconv.Quote(key)), Fail: opts["fail"]}
	s.Payload, _ = json.Marshal(p)
	if sim.history.Requests[key] == nil {
		sim.mu.Lock()
		sim.history.Requests[key] = &yuccapaddle.Request{ID: id, Workspace: ws, Tasks: s.Tasks, Accelerators: s.Accelerators, Repeatable: s.Repeatable}
		sim.mu.Unlock()
	}
	sim.runCommand(opts["&"] != "", func() { sim.callAndPrint(key, h, "POST", "/v1/requests?wait="+opts["wait"], ws, s) })
}

// runCommand runs f, in the background if asked to.
func (sim *simulation) runCommand(background bool, f func()) {
	if !background {
		f()
		return
	}
	sim.group.Go(func() error { f(); return nil })
}

// callAndPrint makes a call, records the outcome that the caller was told, and
// prints it.
func (sim *simulation) callAndPrint(key string, h *host, method, uri, token string, body any) {
	status, answer := sim.callHandler(h, h.server.CallerHandler(), method, uri, token, body)
	if answer == nil {
		sim.printf("%s: the connection broke", key)
		return
	}
	var o yuccapaddle.Outcome
	if err := json.Unmarshal(answer, &o); err != nil || o.Verdict == "" {
		sim.printf("%s: %d %s", key, status, answer)
		return
	}
	sim.recordOutcome(key, o)
	text := fmt.Sprintf("%s: %d %s", key, status, o.Verdict)
	if o.Verdict != yuccapaddle.VerdictWaiting && o.Verdict != yuccapaddle.VerdictRunning && o.Verdict != yuccapaddle.VerdictNotFound {
		text += fmt.Sprintf(" ran=%v attempts=%d parts=%d", o.MayHaveRun, o.Attempts, len(o.Parts))
	}
	if !o.RetryAfter.IsZero() {
		text += " retry"
	}
	if o.Reason != "" {
		text += " (" + o.Reason + ")"
	}
	sim.printf("%s", text)
}

func (sim *simulation) doCancel(args []string) {
	ws, id, _ := strings.Cut(args[1], "/")
	opts := parseOptions(args[2:])
	sim.runCommand(opts["&"] != "", func() {
		sim.callAndPrint(args[1], sim.hosts[args[0]], "DELETE", "/v1/requests/"+id+"?wait="+opts["wait"], ws, nil)
	})
}

func (sim *simulation) doShow(args []string) { sim.doAwait([]string{args[0], args[1], "0s"}) }

func (sim *simulation) doAwait(args []string) {
	ws, id, _ := strings.Cut(args[1], "/")
	sim.runCommand(args[len(args)-1] == "&", func() {
		sim.callAndPrint(args[1], sim.hosts[args[0]], "GET", "/v1/requests/"+id+"?wait="+args[2], ws, nil)
	})
}

// doRaw submits a body unchanged: raw h1 token body...
func (sim *simulation) doRaw(args []string) {
	h := sim.hosts[args[0]]
	status, answer := sim.callHandler(h, h.server.CallerHandler(), "POST", "/v1/requests", args[1], strings.Join(args[2:], " "))
	sim.printf("%d %s", status, answer)
}

// doBurst submits n requests concurrently and waits for all of them:
// burst h1 a/x n ms=50
func (sim *simulation) doBurst(args []string) {
	n := atoi(args[2], 1)
	before := sim.store.Counts()
	var verdicts []string
	results := make(chan string, n)
	for i := range n {
		key := fmt.Sprintf("%s%d", args[1], i)
		ws, id, _ := strings.Cut(key, "/")
		sim.mu.Lock()
		sim.history.Requests[key] = &yuccapaddle.Request{ID: id, Workspace: ws, Tasks: 1, Accelerators: 1}
		sim.mu.Unlock()
		p, _ := json.Marshal(worker.Payload{MS: int64(atoi(parseOptions(args[3:])["ms"], 100)), Answer: json.RawMessage(strconv.Quote(key))})
		s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker", Payload: p}
		sim.group.Go(func() error {
			h := sim.hosts[args[0]]
			_, answer := sim.callHandler(h, h.server.CallerHandler(), "POST", "/v1/requests?wait=30s", ws, s)
			var o yuccapaddle.Outcome
			_ = json.Unmarshal(answer, &o)
			sim.recordOutcome(key, o)
			results <- string(o.Verdict)
			return nil
		})
	}
	for range n {
		verdicts = append(verdicts, <-results)
	}
	count := map[string]int{}
	for _, v := range verdicts {
		count[v]++
	}
	for _, v := range sortedKeys(count) {
		sim.printf("%s: %d", v, count[v])
	}
	writes := sim.store.Counts().Writes - before.Writes
	sim.printf("at most 0.1 store writes a request: %v", float64(writes) <= 0.1*float64(n))
}

// doStream submits a request at every interval for a total time, to the hosts in
// turn and in the background: stream a/s 30s 50ms
func (sim *simulation) doStream(args []string) {
	total, err := time.ParseDuration(args[1])
	qt.Assert(sim.t, err, qt.IsNil)
	interval, err := time.ParseDuration(args[2])
	qt.Assert(sim.t, err, qt.IsNil)
	var hosts []*host // only the current hosts: others may start later
	for _, name := range sortedKeys(sim.hosts) {
		hosts = append(hosts, sim.hosts[name])
	}
	sim.streamed = true
	sim.group.Go(func() error {
		for i := range int(total / interval) {
			key := fmt.Sprintf("%s%d", args[0], i)
			ws, id, _ := strings.Cut(key, "/")
			h := hosts[i%len(hosts)]
			p, _ := json.Marshal(worker.Payload{MS: 200, Answer: json.RawMessage(strconv.Quote(key))})
			s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker", Payload: p, Repeatable: true}
			sim.group.Go(func() error {
				sim.callHandler(h, h.server.CallerHandler(), "POST", "/v1/requests?wait=20s", ws, s)
				return nil
			})
			time.Sleep(interval)
		}
		return nil
	})
}

// doRates counts the store's calls, refused ones included, in each second of a
// period and compares the busiest second with the required rates: rates 30s
func (sim *simulation) doRates(args []string) {
	const writeRate, readRate = 300, 2000
	d, err := time.ParseDuration(args[0])
	qt.Assert(sim.t, err, qt.IsNil)
	var writes, reads, refused uint64
	last := sim.store.Counts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := sim.store.Counts()
		writes, reads, refused = max(writes, now.Writes-last.Writes), max(reads, now.Reads-last.Reads), max(refused, now.Refused-last.Refused)
		last = now
	}
	sim.t.Logf("busiest second: %d writes, %d reads, %d refused", writes, reads, refused)
	sim.printf("within %d writes and %d reads a second: %v", writeRate, readRate, writes+refused <= writeRate && reads+refused <= readRate)
}

// doAdvance lets virtual time pass: advance 2s
func (sim *simulation) doAdvance(args []string) {
	d, err := time.ParseDuration(args[0])
	qt.Assert(sim.t, err, qt.IsNil)
	time.Sleep(d)
}

// doStore replaces the store's faults: store down, store lose-answers=1, or with
// any other word, such as up, none.
func (sim *simulation) doStore(args []string) {
	opts := parseOptions(args)
	sim.store.SetFaults(storer.Faults{
		Down: opts["down"] != "", SlowMS: atoi(opts["slow"], 0), LoseAnswers: atoi(opts["lose-answers"], 0),
		LoseWrites: atoi(opts["lose-writes"], 0), StaleReads: opts["stale"] != "", HangWatches: opts["hang"] != "",
	})
}

// doWorker replaces the faults of an upstream or one of its workers:
// worker d1u1 lose-starts=1, or with any other word, such as ok, none.
func (sim *simulation) doWorker(args []string) {
	opts := parseOptions(args[1:])
	f := worker.Faults{
		Down: opts["dead"] != "", Leaving: opts["leaving"] != "", RefuseReserves: atoi(opts["refuse-reserves"], 0),
		RefuseStarts: atoi(opts["refuse-starts"], 0), LoseStartAnswers: atoi(opts["lose-start-answers"], 0),
		LoseStarts: atoi(opts["lose-starts"], 0), LoseStops: atoi(opts["lose-stops"], 0), FailTasks: opts["fail"] != "", IgnoreCheckpoint: opts["ignore-checkpoint"] != "",
		ReportTwice: opts["twice"] != "", ReverseParts: opts["reverse"] != "", LateMS: atoi(opts["late"], 0),
		ClockMS: atoi(opts["clock"], 0),
	}
	qt.Assert(sim.t, sim.worker.SetFaults(args[0], f), qt.IsNil)
}

func (sim *simulation) doRestart(args []string) {
	qt.Assert(sim.t, sim.worker.Restart(args[0]), qt.IsNil)
}

// doList sets an upstream's state in the host list: list d1u1 leaving
func (sim *simulation) doList(args []string) {
	sim.list.Set(yuccapaddle.Host{Name: args[0], Role: "upstream", State: yuccapaddle.HostState(args[1])})
	sim.recordExclusionOrder(args[1], args[0], 0, time.Now(), time.Now().Add(sim.listLag))
}

// doLag sets how late the host list shows a change: lag 2s
func (sim *simulation) doLag(args []string) {
	d, err := time.ParseDuration(args[0])
	qt.Assert(sim.t, err, qt.IsNil)
	sim.listLag = d
	sim.list.SetFaults(d, false)
}

// doState prints the revisions in force and the load of the active host. Which
// host is active depends on which asks the platform first, so its name is not
// printed.
func (sim *simulation) doState([]string) {
	active := 0
	var revisions []uint64
	for _, name := range sortedKeys(sim.hosts) {
		h := sim.hosts[name]
		if h.interceptor.killed.Load() || !h.interceptor.isRunning() {
			continue
		}
		reply, err := h.server.PeerServer().State(sim.t.Context(), nil)
		qt.Assert(sim.t, err, qt.IsNil)
		var st yuccapaddle.HostStatus
		qt.Assert(sim.t, json.Unmarshal(reply.GetState(), &st), qt.IsNil)
		revisions = append(revisions, st.Revision)
		if e := st.Engine; e != nil {
			active++
			sim.printf("gangs=%d waiting=%d quarantined=%v shortages=%d", e.Gangs, e.Waiting, e.Quarantined, len(e.Shortages))
		}
	}
	sim.printf("active hosts: %d, revisions: %v", active, revisions)
}

// doRuns prints how often the tasks of a request started afresh, resumed and
// finished, and with a second argument when the first of them started.
func (sim *simulation) doRuns(args []string) {
	fresh, resumed, finished := 0, 0, 0
	var first time.Time
	for _, r := range sim.worker.Runs() {
		if r.Key != args[0] {
			continue
		}
		if first.IsZero() {
			first = r.StartAt
		}
		if r.Resumed {
			resumed++
		} else {
			fresh++
		}
		if r.Done {
			finished++
		}
	}
	sim.printf("%s: %d fresh starts, %d resumed, %d finished", args[0], fresh, resumed, finished)
	if len(args) > 1 {
		sim.printf("first start at second %d of the session", int(first.Sub(sim.startedAt).Seconds()))
	}
}

// parseOptions parses words and key=value pairs; a word alone has the value yes.
// The option wait defaults to 0s.
func parseOptions(args []string) map[string]string {
	out := map[string]string{}
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			v = "yes"
		}
		out[k] = v
	}
	if out["wait"] == "" {
		out["wait"] = "0s"
	}
	return out
}

func atoi(s string, fallback int) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return fallback
	}
	return n
}
