package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestInsideTheLimits checks that single requests inside the limits are served in calm, sent
// in two pieces a second apart: the longest spec in its longest form with the most steps, and
// many long labels.
func TestInsideTheLimits(t *testing.T) {
	const longestSpec, mostSteps = 4000, 64
	const labelBytes, labelledSteps = 3000, 61
	step := `{"count":1,"cpu":100,"mem-mb":64}`
	labelled := fmt.Sprintf(`{"count":1,"cpu":100,"mem-mb":64,"required-label":"%s"}`, strings.Repeat("l", labelBytes))
	bodies := map[string]string{
		"spec":   fmt.Sprintf(`{"spec":"%s","steps":[%s]}`, strings.Repeat(`\u0001`, longestSpec), list(step, mostSteps)),
		"labels": fmt.Sprintf(`{"spec":"x","steps":[%s]}`, list(labelled, labelledSteps)),
	}
	b := newTestbed(t, false)
	for name, body := range bodies {
		for _, chunked := range []bool{false, true} {
			b.c.Run(fmt.Sprintf("%s_chunked=%v", name, chunked), func(c *qt.C) {
				b.jobs++
				c.Check(submitInPieces(c, b.hosts[0], jobID(b.jobs), body, chunked), qt.Equals, fasthttp.StatusOK)
			})
		}
	}
}

// submitInPieces sends a job in two halves a second apart and returns the status of the answer.
func submitInPieces(c *qt.C, h *host, id, body string, chunked bool) int {
	conn, err := net.Dial("tcp", h.addresses[callers])
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	head := fmt.Sprintf("POST /quick/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", id, authority, key)
	halves := []string{body[:len(body)/2], body[len(body)/2:]}
	pieces := []string{head + announcement(len(body)) + halves[0], halves[1]}
	if chunked {
		pieces = []string{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(halves[0]), chunk(halves[1]) + "0\r\n\r\n"}
	}
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(time.Second)
		}
		_, err := io.WriteString(conn, p)
		c.Assert(err, qt.IsNil)
	}
	var resp fasthttp.Response
	c.Assert(resp.Read(bufio.NewReader(conn)), qt.IsNil)
	return resp.StatusCode()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
