// Package explainer reads the logs of hosts and tells the life of one job, with
// the cause of its outcome in the last line.
package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// mostLine is the longest log line that is read, in bytes.
const mostLine = 1 << 20

// activeMsg is the line of a host that has loaded the jobs and decides.
const activeMsg = "jobs loaded"

// Explainer collects the lines of one job.
type Explainer struct {
	id    string
	lines []line
	roles []line // changes of the active host, which concern every job
}

// line is one line of a log. Lines that are not JSON objects are passed over.
type line struct {
	At     float64 `json:"ts"`
	Msg    string  `json:"msg"`
	Host   string  `json:"host"`
	Job    string  `json:"job"`
	Task   string  `json:"task"`
	Worker string  `json:"worker"`
	Run    int     `json:"run"`
	Detail string  `json:"detail"`
	Error  string  `json:"error"`
	Call   string  `json:"call"`
	Status int     `json:"status"`
	Took   int64   `json:"took_ms"`
	Rules  int64   `json:"rules"`
	Epoch  uint64  `json:"epoch"`
}

// New returns an Explainer of the job with the ID.
func New(id string) *Explainer {
	return &Explainer{id: id}
}

// Read takes in a log. What stands before the object of a line is passed over.
func (e *Explainer) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), mostLine)
	for sc.Scan() {
		text := sc.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue
		}
		switch {
		case l.Job == e.id:
			e.lines = append(e.lines, l)
		case l.Msg == activeMsg:
			e.roles = append(e.roles, l)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read a log: %w", err)
	}
	return nil
}

// Write tells the life of the job.
func (e *Explainer) Write(w io.Writer) error {
	if len(e.lines) == 0 {
		return fmt.Errorf("job %s is in none of the logs", e.id)
	}
	all := slices.Concat(e.lines, e.during())
	byTime := func(a, b line) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(all, byTime)
	slices.SortStableFunc(e.lines, byTime)
	first := all[0].At
	for i := range all {
		if _, err := fmt.Fprintf(w, "%8.3f s  %-22s %s\n", all[i].At-first, all[i].Host, all[i].tell()); err != nil {
			return fmt.Errorf("write the explanation: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "cause: %s\n", e.cause()); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	return nil
}

// during lists the changes of the active host while the job lived.
func (e *Explainer) during() []line {
	from, to := e.lines[0].At, e.lines[0].At
	for i := range e.lines {
		from, to = min(from, e.lines[i].At), max(to, e.lines[i].At)
	}
	var list []line
	for _, l := range e.roles {
		if l.At > from && l.At <= to {
			list = append(list, l)
		}
	}
	return list
}

func (l *line) tell() string {
	var b strings.Builder
	b.WriteString(l.Msg)
	add := func(format string, args ...any) { fmt.Fprintf(&b, " "+format, args...) }
	if l.Call != "" {
		add("%s with %d in %d ms", l.Call, l.Status, l.Took)
	}
	if l.Task != "" {
		add("%s run %d", l.Task, l.Run)
	}
	if l.Worker != "" {
		add("on %s", l.Worker)
	}
	for _, s := range []string{l.Detail, l.Error} {
		if s != "" {
			add("(%s)", s)
		}
	}
	if l.Rules != 0 {
		add("under rules %d", l.Rules)
	}
	return b.String()
}

// cause names what decided the outcome.
func (e *Explainer) cause() string {
	outcome := e.last("completed", "failed", "canceled")
	accepted := e.last("accepted")
	switch {
	case outcome != nil && outcome.Msg == "failed":
		return "failed: " + outcome.Detail + "; " + e.failures()
	case outcome != nil && outcome.Msg == "canceled":
		return "cancelled by its caller"
	case accepted == nil:
		return "not accepted, and not run: " + e.rejection()
	case outcome == nil:
		return "not ended yet: " + e.waiting()
	}
	took := time.Duration((outcome.At - accepted.At) * float64(time.Second)).Round(time.Millisecond)
	return fmt.Sprintf("completed %v after it was accepted; %s", took, e.delays())
}

func (e *Explainer) last(names ...string) *line {
	for i := len(e.lines) - 1; i >= 0; i-- {
		if slices.Contains(names, e.lines[i].Msg) {
			return &e.lines[i]
		}
	}
	return nil
}

func (e *Explainer) rejection() string {
	if l := e.last("refused"); l != nil {
		return l.Detail
	}
	if l := e.last("not accepted"); l != nil {
		return l.Error
	}
	if l := e.last("answered"); l != nil {
		return fmt.Sprintf("the last answer was %d under rules %d", l.Status, l.Rules)
	}
	return "no host has a line of an answer"
}

func (e *Explainer) failures() string {
	workers := map[string]int{}
	for i := range e.lines {
		if e.lines[i].Msg == "ended" && e.lines[i].Detail == "failed" {
			workers[e.lines[i].Worker]++
		}
	}
	if len(workers) > 1 {
		return fmt.Sprintf("it failed on %d workers, which speaks for the job's own fault", len(workers))
	}
	return "all failures were on one worker, which speaks for that worker's fault"
}

func (e *Explainer) waiting() string {
	l := e.last("waits", "placed", "ended", "stop", "start unanswered", "start refused")
	if l == nil {
		return "nothing has been decided since"
	}
	return "last " + l.tell()
}

// delays counts what held a completed job up.
func (e *Explainer) delays() string {
	counts := map[string]int{}
	for i := range e.lines {
		l := &e.lines[i]
		switch {
		case l.Msg == "stop" && strings.HasPrefix(l.Detail, "its room is for"):
			counts["stopped for urgent work"]++
		case l.Msg == "stop":
			counts["stopped: "+l.Detail]++
		case l.Msg == "ended" && l.Detail != "done":
			counts["runs ended "+l.Detail]++
		case l.Msg == "start unanswered":
			counts["starts without an answer"]++
		case l.Msg == "waits":
			counts["waited "+l.Detail]++
		}
	}
	if n := len(e.during()); n > 0 {
		counts["changes of the active host"] = n
	}
	if len(counts) == 0 {
		return "nothing held it up"
	}
	var parts []string
	for what, n := range counts {
		parts = append(parts, fmt.Sprintf("%d x %s", n, what))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
