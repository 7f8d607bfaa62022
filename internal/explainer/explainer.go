// Package explainer reconstructs the history of one job from the logs of the hosts, and
// names the cause of its outcome in the last line.
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

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// becameActiveMsg is the message that a host logs when it has become active and loaded
// the jobs.
const becameActiveMsg = "jobs loaded"

// Explainer collects the log lines of one job.
type Explainer struct {
	jobID       string
	lines       []line
	activations []line // hosts becoming active, which concerns every job
}

// line has the fields of a log line that are used here. The messages and fields are
// those that other packages log.
type line struct {
	Timestamp    float64 `json:"ts"`
	Msg          string  `json:"msg"`
	Host         string  `json:"host"`
	Job          string  `json:"job"`
	Task         string  `json:"task"`
	Worker       string  `json:"worker"`
	Run          int     `json:"run"`
	Detail       string  `json:"detail"`
	Error        string  `json:"error"`
	Call         string  `json:"call"`
	Status       int     `json:"status"`
	TookMS       int64   `json:"took_ms"`
	RulesVersion int64   `json:"rules"`
	Epoch        uint64  `json:"epoch"`
}

// New returns an Explainer for the job with the ID.
func New(id string) *Explainer {
	return &Explainer{jobID: id}
}

// Read adds the lines of a log. A line may have a prefix before its JSON object; lines
// without a valid object are skipped. The error is that of reading, or of a line longer
// than maxLineBytes.
func (e *Explainer) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
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
		case l.Job == e.jobID:
			e.lines = append(e.lines, l)
		case l.Msg == becameActiveMsg:
			e.activations = append(e.activations, l)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read a log: %w", err)
	}
	return nil
}

// Write prints the lines of the job in the order of time, then the cause of its outcome.
// It returns an error if the job is in none of the logs.
func (e *Explainer) Write(w io.Writer) error {
	if len(e.lines) == 0 {
		return fmt.Errorf("job %s is in none of the logs", e.jobID)
	}
	all := slices.Concat(e.lines, e.activationsDuringJob())
	byTime := func(a, b line) int { return cmp.Compare(a.Timestamp, b.Timestamp) }
	slices.SortStableFunc(all, byTime)
	slices.SortStableFunc(e.lines, byTime)
	first := all[0].Timestamp
	for i := range all {
		if _, err := fmt.Fprintf(w, "%8.3f s  %-22s %s\n", all[i].Timestamp-first, all[i].Host, all[i].describe()); err != nil {
			return fmt.Errorf("write the explanation: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "cause: %s\n", e.cause()); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	return nil
}

// activationsDuringJob returns the lines of hosts that became active between the first
// and the last line of the job.
func (e *Explainer) activationsDuringJob() []line {
	from, to := e.lines[0].Timestamp, e.lines[0].Timestamp
	for i := range e.lines {
		from, to = min(from, e.lines[i].Timestamp), max(to, e.lines[i].Timestamp)
	}
	var list []line
	for _, l := range e.activations {
		if l.Timestamp > from && l.Timestamp <= to {
			list = append(list, l)
		}
	}
	return list
}

// describe returns the message of a line and those of its fields that are set.
func (l *line) describe() string {
	var b strings.Builder
	b.WriteString(l.Msg)
	add := func(format string, args ...any) { fmt.Fprintf(&b, " "+format, args...) }
	if l.Call != "" {
		add("%s with %d in %d ms", l.Call, l.Status, l.TookMS)
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
	if l.RulesVersion != 0 {
		add("under rules %d", l.RulesVersion)
	}
	return b.String()
}

// cause returns what decided the outcome of the job.
func (e *Explainer) cause() string {
	outcome := e.lastWithMsg("completed", "failed", "canceled")
	accepted := e.lastWithMsg("accepted")
	switch {
	case outcome != nil && outcome.Msg == "failed":
		return "failed: " + outcome.Detail + "; " + e.failureCause()
	case outcome != nil && outcome.Msg == "canceled":
		return "cancelled by its caller"
	case accepted == nil:
		return "not accepted, and not run: " + e.rejectionCause()
	case outcome == nil:
		return "not ended yet: " + e.waitingCause()
	}
	took := time.Duration((outcome.Timestamp - accepted.Timestamp) * float64(time.Second)).Round(time.Millisecond)
	return fmt.Sprintf("completed %v after it was accepted; %s", took, e.delaySummary())
}

// lastWithMsg returns the last line of the job with one of the messages, or nil.
func (e *Explainer) lastWithMsg(msgs ...string) *line {
	for i := len(e.lines) - 1; i >= 0; i-- {
		if slices.Contains(msgs, e.lines[i].Msg) {
			return &e.lines[i]
		}
	}
	return nil
}

func (e *Explainer) rejectionCause() string {
	if l := e.lastWithMsg("refused"); l != nil {
		return l.Detail
	}
	if l := e.lastWithMsg("not accepted"); l != nil {
		return l.Error
	}
	if l := e.lastWithMsg("answered"); l != nil {
		return fmt.Sprintf("the last answer was %d under rules %d", l.Status, l.RulesVersion)
	}
	return "no host has a line of an answer"
}

func (e *Explainer) failureCause() string {
	if l := e.lastWithMsg("failed"); strings.Contains(l.Detail, "workers have crashed under ") {
		return "it ran on " + strings.Join(e.crashedWorkers(l.Detail), ", ") + " when they crashed"
	}
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

// crashedWorkers returns the workers whose crashes were counted for the task that the
// reason names, in order.
func (e *Explainer) crashedWorkers(reason string) []string {
	var list []string
	for i := range e.lines {
		l := &e.lines[i]
		if l.Msg == "crash" && (strings.HasSuffix(reason, "task "+l.Task) || strings.Contains(reason, "task "+l.Task+",")) {
			list = append(list, l.Worker)
		}
	}
	if len(list) == 0 {
		return []string{"workers that these logs do not name"}
	}
	return list
}

func (e *Explainer) waitingCause() string {
	l := e.lastWithMsg("waits", "placed", "ended", "stop", "start unanswered", "start refused")
	if l == nil {
		return "nothing has been decided since"
	}
	return "last " + l.describe()
}

// delaySummary returns what delayed a completed job, and how often.
func (e *Explainer) delaySummary() string {
	counts := map[string]int{}
	for i := range e.lines {
		l := &e.lines[i]
		switch {
		case l.Msg == "stop" && strings.HasPrefix(l.Detail, "its room is for"):
			counts["stopped for urgent work"]++
		case l.Msg == "stop" && strings.HasPrefix(l.Detail, "its worker leaves in"):
			counts["stopped before its worker left"]++
		case l.Msg == "stop":
			counts["stopped: "+l.Detail]++
		case l.Msg == "ended" && l.Detail != "done":
			counts["runs ended "+l.Detail]++
		case l.Msg == "start unanswered":
			counts["starts without an answer"]++
		case l.Msg == "waits":
			counts["waited "+l.Detail]++
		case l.Msg == "crash":
			counts["crashes of its workers"]++
		}
	}
	if n := len(e.activationsDuringJob()); n > 0 {
		counts["changes of the active host"] = n
	}
	if len(counts) == 0 {
		return "nothing held it up"
	}
	var parts []string
	for delay, n := range counts {
		parts = append(parts, fmt.Sprintf("%d x %s", n, delay))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
