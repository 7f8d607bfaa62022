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

func (w *world) doStart(args []string) {
	for _, name := range args {
		w.start(name)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
}

func (w *world) doKill(args []string) { w.kill(args[0]) }

func (w *world) doPause(args []string) { w.hosts[args[0]].gate.pause() }

func (w *world) doResume(args []string) { w.hosts[args[0]].gate.resume() }

// doStop is a planned stop; it returns when the host has drained.
func (w *world) doStop(args []string) {
	h := w.hosts[args[0]]
	close(h.stop)
	<-h.done
}

// doCut cuts or heals a host's connections: cut h1 store|reads|workers|peers on|off.
func (w *world) doCut(args []string) {
	g := w.hosts[args[0]].gate
	on := args[2] == "on"
	switch args[1] {
	case "store":
		g.storeCut.Store(on)
	case "reads":
		g.readCut.Store(on)
	case "workers":
		g.workCut.Store(on)
	case "peers":
		g.peersCut.Store(on)
	}
}

func (w *world) doApply(args []string) {
	site := w.site
	r := w.change(w.hosts[args[0]], "apply", "", 0, &site)
	w.printf("%s revision %d %s", r.Status, r.Revision, r.Reason)
}

// doChange: change h1 domain-out d1 [base]. With & the answer comes later.
func (w *world) doChange(args []string) {
	base := uint64(0)
	background := args[len(args)-1] == "&"
	if len(args) > 3 && !background {
		base, _ = strconv.ParseUint(args[3], 10, 64)
	}
	run := func() error {
		r := w.change(w.hosts[args[0]], args[1], args[2], base, nil)
		w.printf("%s %s: %s revision %d %s", args[1], args[2], r.Status, r.Revision, r.Reason)
		return nil
	}
	if background {
		w.group.Go(run)
		return
	}
	_ = run()
}

// doRace lets two operators change from the same revision at the same time:
// race 1 h1 worker-drain x h2 worker-drain y
func (w *world) doRace(args []string) {
	base, _ := strconv.ParseUint(args[0], 10, 64)
	results := make(chan string, 2)
	for _, c := range [][]string{args[1:4], args[4:7]} {
		w.group.Go(func() error {
			r := w.change(w.hosts[c[0]], c[1], c[2], base, nil)
			results <- fmt.Sprintf("%s revision %d %s", r.Status, r.Revision, r.Reason)
			return nil
		})
	}
	lines := []string{<-results, <-results}
	sort.Strings(lines)
	w.printf("%s", strings.Join(lines, "\n"))
}

// doSubmit: submit h1 a/x tasks=2 acc=4 ms=100 class=quick span=rack team=t
// repeatable fail=why wait=10s &
func (w *world) doSubmit(args []string) {
	h := w.hosts[args[0]]
	key := args[1]
	ws, id, _ := strings.Cut(key, "/")
	opts := options(args[2:])
	s := responder.Submission{
		ID: id, Team: opts["team"], Class: opts["class"], Tasks: atoi(opts["tasks"], 1), Accelerators: atoi(opts["acc"], 1),
		Span: opts["span"], Repeatable: opts["repeatable"] != "",
	}
	p := worker.Payload{MS: int64(atoi(opts["ms"], 100)), Answer: json.RawMessage(strconv.Quote(key)), Fail: opts["fail"]}
	s.Payload, _ = json.Marshal(p)
	if w.history.Requests[key] == nil {
		w.mu.Lock()
		w.history.Requests[key] = &yuccapaddle.Request{ID: id, Workspace: ws, Tasks: s.Tasks, Accelerators: s.Accelerators, Repeatable: s.Repeatable}
		w.mu.Unlock()
	}
	w.perform(opts["&"] != "", func() { w.tell(key, h, "POST", "/v1/requests?wait="+opts["wait"], ws, s) })
}

func (w *world) perform(background bool, f func()) {
	if !background {
		f()
		return
	}
	w.group.Go(func() error { f(); return nil })
}

// tell makes a call and prints what the caller was told.
func (w *world) tell(key string, h *host, method, uri, token string, body any) {
	status, answer := w.http(h, h.server.Callers(), method, uri, token, body)
	if answer == nil {
		w.printf("%s: the connection broke", key)
		return
	}
	var o yuccapaddle.Outcome
	if err := json.Unmarshal(answer, &o); err != nil || o.Verdict == "" {
		w.printf("%s: %d %s", key, status, answer)
		return
	}
	w.told(key, o)
	text := fmt.Sprintf("%s: %d %s", key, status, o.Verdict)
	if o.Verdict != yuccapaddle.VerdictWaiting && o.Verdict != yuccapaddle.VerdictRunning && o.Verdict != yuccapaddle.VerdictNotFound {
		text += fmt.Sprintf(" ran=%v attempts=%d parts=%d", o.Ran, o.Attempts, len(o.Parts))
	}
	if !o.RetryAfter.IsZero() {
		text += " retry"
	}
	if o.Reason != "" {
		text += " (" + o.Reason + ")"
	}
	w.printf("%s", text)
}

func (w *world) doCancel(args []string) {
	ws, id, _ := strings.Cut(args[1], "/")
	opts := options(args[2:])
	w.perform(opts["&"] != "", func() {
		w.tell(args[1], w.hosts[args[0]], "DELETE", "/v1/requests/"+id+"?wait="+opts["wait"], ws, nil)
	})
}

func (w *world) doShow(args []string) { w.doAwait([]string{args[0], args[1], "0s"}) }

func (w *world) doAwait(args []string) {
	ws, id, _ := strings.Cut(args[1], "/")
	w.perform(args[len(args)-1] == "&", func() {
		w.tell(args[1], w.hosts[args[0]], "GET", "/v1/requests/"+id+"?wait="+args[2], ws, nil)
	})
}

// doRaw sends a body as it is: raw h1 token body...
func (w *world) doRaw(args []string) {
	h := w.hosts[args[0]]
	status, answer := w.http(h, h.server.Callers(), "POST", "/v1/requests", args[1], strings.Join(args[2:], " "))
	w.printf("%d %s", status, answer)
}

// doBurst submits n requests at once and waits for all: burst h1 a/x n ms=50
func (w *world) doBurst(args []string) {
	n := atoi(args[2], 1)
	before := w.store.Counts()
	var done []string
	results := make(chan string, n)
	for i := range n {
		key := fmt.Sprintf("%s%d", args[1], i)
		ws, id, _ := strings.Cut(key, "/")
		w.mu.Lock()
		w.history.Requests[key] = &yuccapaddle.Request{ID: id, Workspace: ws, Tasks: 1, Accelerators: 1}
		w.mu.Unlock()
		p, _ := json.Marshal(worker.Payload{MS: int64(atoi(options(args[3:])["ms"], 100)), Answer: json.RawMessage(strconv.Quote(key))})
		s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker", Payload: p}
		w.group.Go(func() error {
			h := w.hosts[args[0]]
			_, answer := w.http(h, h.server.Callers(), "POST", "/v1/requests?wait=30s", ws, s)
			var o yuccapaddle.Outcome
			_ = json.Unmarshal(answer, &o)
			w.told(key, o)
			results <- string(o.Verdict)
			return nil
		})
	}
	for range n {
		done = append(done, <-results)
	}
	count := map[string]int{}
	for _, v := range done {
		count[v]++
	}
	for _, v := range sorted(count) {
		w.printf("%s: %d", v, count[v])
	}
	writes := w.store.Counts().Writes - before.Writes
	w.printf("at most 0.1 store writes a request: %v", float64(writes) <= 0.1*float64(n))
}

// doStream submits a request every interval for a while, at each host in turn,
// in the background: stream a/s 30s 50ms
func (w *world) doStream(args []string) {
	total, err := time.ParseDuration(args[1])
	qt.Assert(w.t, err, qt.IsNil)
	interval, err := time.ParseDuration(args[2])
	qt.Assert(w.t, err, qt.IsNil)
	var hosts []*host // those of now: others may start meanwhile
	for _, name := range sorted(w.hosts) {
		hosts = append(hosts, w.hosts[name])
	}
	w.streamed = true
	w.group.Go(func() error {
		for i := range int(total / interval) {
			key := fmt.Sprintf("%s%d", args[0], i)
			ws, id, _ := strings.Cut(key, "/")
			h := hosts[i%len(hosts)]
			p, _ := json.Marshal(worker.Payload{MS: 200, Answer: json.RawMessage(strconv.Quote(key))})
			s := responder.Submission{ID: id, Class: "quick", Tasks: 1, Accelerators: 1, Span: "worker", Payload: p, Repeatable: true}
			w.group.Go(func() error {
				w.http(h, h.server.Callers(), "POST", "/v1/requests?wait=20s", ws, s)
				return nil
			})
			time.Sleep(interval)
		}
		return nil
	})
}

// doRates watches the store's calls second by second, refused ones included,
// and compares the busiest second with the rates of the brief.
func (w *world) doRates(args []string) {
	const writeRate, readRate = 300, 2000
	d, err := time.ParseDuration(args[0])
	qt.Assert(w.t, err, qt.IsNil)
	var writes, reads, refused uint64
	last := w.store.Counts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := w.store.Counts()
		writes, reads, refused = max(writes, now.Writes-last.Writes), max(reads, now.Reads-last.Reads), max(refused, now.Refused-last.Refused)
		last = now
	}
	w.t.Logf("busiest second: %d writes, %d reads, %d refused", writes, reads, refused)
	w.printf("within %d writes and %d reads a second: %v", writeRate, readRate, writes+refused <= writeRate && reads+refused <= readRate)
}

func (w *world) doAdvance(args []string) {
	d, err := time.ParseDuration(args[0])
	qt.Assert(w.t, err, qt.IsNil)
	time.Sleep(d)
}

// doStore: store down|up, or store key=value...
func (w *world) doStore(args []string) {
	opts := options(args)
	w.store.SetFaults(storer.Faults{
		Down: opts["down"] != "", SlowMS: atoi(opts["slow"], 0), LoseAnswers: atoi(opts["lose-answers"], 0),
		LoseWrites: atoi(opts["lose-writes"], 0), StaleReads: opts["stale"] != "", HangWatches: opts["hang"] != "",
	})
}

func (w *world) doWorker(args []string) {
	opts := options(args[1:])
	f := worker.Faults{
		Dead: opts["dead"] != "", Leaving: opts["leaving"] != "", RefuseReserves: atoi(opts["refuse-reserves"], 0),
		RefuseStarts: atoi(opts["refuse-starts"], 0), LoseStartAnswers: atoi(opts["lose-start-answers"], 0),
		LoseStarts: atoi(opts["lose-starts"], 0), LoseStops: atoi(opts["lose-stops"], 0), FailTasks: opts["fail"] != "", IgnoreCheckpoint: opts["ignore-checkpoint"] != "",
		ReportTwice: opts["twice"] != "", ReverseParts: opts["reverse"] != "", LateMS: atoi(opts["late"], 0),
		ClockMS: atoi(opts["clock"], 0),
	}
	qt.Assert(w.t, w.worker.SetFaults(args[0], f), qt.IsNil)
}

func (w *world) doRestart(args []string) { qt.Assert(w.t, w.worker.Restart(args[0]), qt.IsNil) }

// doList sets a host's state in the host list: list d1u1 leaving
func (w *world) doList(args []string) {
	w.list.Set(yuccapaddle.Host{Name: args[0], Role: "upstream", State: yuccapaddle.HostState(args[1])})
	w.noteExit(args[1], args[0], 0, time.Now(), time.Now().Add(w.lag))
}

func (w *world) doLag(args []string) {
	d, err := time.ParseDuration(args[0])
	qt.Assert(w.t, err, qt.IsNil)
	w.lag = d
	w.list.SetFaults(d, false)
}

// doState prints the revisions in force and the work of the active host. Which
// host that is depends on who asks the platform first, so it is not printed.
func (w *world) doState([]string) {
	active := 0
	var revisions []uint64
	for _, name := range sorted(w.hosts) {
		h := w.hosts[name]
		if h.gate.dead.Load() || !h.gate.open() {
			continue
		}
		reply, err := h.server.Peers().State(w.t.Context(), nil)
		qt.Assert(w.t, err, qt.IsNil)
		var st yuccapaddle.HostStatus
		qt.Assert(w.t, json.Unmarshal(reply.GetState(), &st), qt.IsNil)
		revisions = append(revisions, st.Revision)
		if e := st.Engine; e != nil {
			active++
			w.printf("gangs=%d waiting=%d quarantined=%v shortages=%d", e.Gangs, e.Waiting, e.Quarantined, len(e.Shortages))
		}
	}
	w.printf("active hosts: %d, revisions: %v", active, revisions)
}

// doRuns prints how often the tasks of a request ran.
func (w *world) doRuns(args []string) {
	fresh, resumed, finished := 0, 0, 0
	var first time.Time
	for _, r := range w.worker.Runs() {
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
	w.printf("%s: %d fresh starts, %d resumed, %d finished", args[0], fresh, resumed, finished)
	if len(args) > 1 {
		w.printf("first start at second %d of the session", int(first.Sub(w.begin).Seconds()))
	}
}

func options(args []string) map[string]string {
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
