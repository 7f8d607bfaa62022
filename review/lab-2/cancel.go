package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["cancel"] = playCancel
}

const (
	// freezeTime is how long a host stands still, and cancelBound the bound `cancel_ms`.
	freezeTime  = 4000 * time.Millisecond
	cancelBound = 3 * time.Second
	// giveUpAfter is when the consumer leaves.
	giveUpAfter = 100 * time.Millisecond
	// consumers hand a job in each, of whom leaving leave: a third, while the pages allow 0.4.
	consumers = 12
	leaving   = 4
)

// playCancel hands jobs in at a host that stands still. Their consumers give up and cancel them at
// another host, which answers that there are no such jobs. Then the first host goes on.
func playCancel(l *lab) ([]string, error) {
	const workers = 8
	zones := []string{"vl-gent", "wa-namur", "br-anderlecht"}
	err := l.setUp(func() error {
		for i := range workers {
			if err := l.addWorker(zones[i%3], "a", fmt.Sprintf("r1-%d", 1+i/4), 8, 0); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	active := l.activeHost()
	if active < 0 {
		return nil, fmt.Errorf("no host is active")
	}
	frozen, other := (active+1)%len(l.hosts), (active+2)%len(l.hosts)
	if l.trouble {
		l.note("host %s stands still", l.hosts[frozen].name)
		if err := l.hosts[frozen].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
	}
	frozenAt := time.Now()
	for n := range leaving {
		l.submitAndLeave(frozen, jobID(n+1))
	}
	cancelledAt := map[string]time.Time{}
	for n := range leaving {
		c := l.call(other, http.MethodDelete, "/plain/"+jobID(n+1), nil)
		if c.status == http.StatusOK || c.status == http.StatusGone {
			cancelledAt[jobID(n+1)] = time.Now()
		}
	}
	for n := leaving; n < consumers; n++ {
		if err := l.submitAt(other, jobID(n+1)); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if l.trouble {
		if err := l.hosts[frozen].cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return nil, err
		}
		l.note("host %s goes on", l.hosts[frozen].name)
	}
	time.Sleep(10 * time.Second)
	var broken []string
	for _, e := range l.events() {
		id, _, _ := strings.Cut(e.Task, ".")
		at, ok := cancelledAt[id]
		if after := time.UnixMilli(e.MS).Sub(at); e.What == "start" && ok && after > cancelBound {
			broken = append(broken, fmt.Sprintf("task %s starts on %s %.1f s after the cancellation of its job was answered", e.Task, e.Worker, after.Seconds()))
		}
	}
	return broken, nil
}

// submitAt hands a job in at a host and waits until it is accepted.
func (l *lab) submitAt(host int, id string) error {
	payload, err := json.Marshal(&taskSpec{MS: 3000})
	if err != nil {
		return err
	}
	body := map[string]any{"spec": string(payload), "steps": []step{{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Estimate: 3000}}}
	if c := l.call(host, http.MethodPost, "/plain/"+id, body); c.status != http.StatusOK {
		return fmt.Errorf("job %s was not accepted: %d", id, c.status)
	}
	return nil
}

// submitAndLeave hands a job in as a consumer does who leaves before there is an answer.
func (l *lab) submitAndLeave(host int, id string) {
	payload, _ := json.Marshal(&taskSpec{MS: 3000})
	body, _ := json.Marshal(map[string]any{"spec": string(payload), "steps": []step{{Count: 1, CPU: 4000, MemoryMB: 8000, GPU: 1, Estimate: 3000}}})
	conn, err := net.DialTimeout("tcp", l.hosts[host].callers, time.Second)
	if err != nil {
		l.note("POST %s at %s: %v", id, l.hosts[host].name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	var req bytes.Buffer
	fmt.Fprintf(&req, "POST /plain/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\nX-Yuccapaddle-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
		id, authority, apiKey, len(body), body)
	_, _ = conn.Write(req.Bytes())
	_ = conn.SetReadDeadline(time.Now().Add(giveUpAfter))
	answer := make([]byte, 200)
	n, err := conn.Read(answer)
	line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	l.note("POST /plain/%s at %s: %q, then the consumer leaves", id, l.hosts[host].name, line)
}
