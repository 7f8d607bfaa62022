package crowd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	authority = "h.example"
	// key is the one with which crowds come, and ordinaryKey that of another workspace.
	key         = "key"
	ordinaryKey = "ordinary-key"
	// requestsPath is where hosts take requests at the project's own interface.
	requestsPath = "/v1/requests"
	// largestBody is the size of the largest body that a host takes, in bytes.
	largestBody = 1 << 20
	chunkBytes  = 64 << 10
	chunkCount  = 15
	// dripInterval is the pause between two bytes of a slow client.
	dripInterval = 50 * time.Millisecond
	// returnInterval is the pause of a client whose connection was closed.
	returnInterval = 100 * time.Millisecond
	// receiveBytes is the receive buffer of a client that reads no answer.
	receiveBytes = 4 << 10
	dialTimeout  = 5 * time.Second
	// longestPath keeps the head of a request below the largest that a host reads, in bytes.
	longestPath = 3800
)

// target is a listener of a host.
type target struct {
	host     *host
	listener listener
}

// behaviour is what a client does on one connection, until that breaks.
type behaviour func(ctx context.Context, conn net.Conn, t target)

// group is a number of clients that behave the same way towards each of the targets.
type group struct {
	clients   int
	behaviour behaviour
	targets   []target
}

// run lets the clients behave until ctx ends. One whose connection is closed comes again.
func (g group) run(ctx context.Context) error {
	var clients errgroup.Group
	for _, t := range g.targets {
		for range g.clients {
			clients.Go(func() error {
				for ctx.Err() == nil {
					g.visit(ctx, t)
					pause(ctx, returnInterval)
				}
				return nil
			})
		}
	}
	return clients.Wait()
}

// visit opens a connection and closes it when ctx ends at the latest.
func (g group) visit(ctx context.Context, t target) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.host.addresses[t.listener])
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	g.behaviour(ctx, conn, t)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitForClose reads until the connection is closed.
func waitForClose(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // it ends in whatever way
}

// path returns where a host takes submissions.
func (t target) path() string {
	if t.listener == callers {
		return "/quick/" + jobID(0)
	}
	return requestsPath
}

// head returns the beginning of a submission that passes all checks made before its body.
func head(path, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s", path, authority, key, fields)
}

func announcement(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// silent sends nothing.
func silent(_ context.Context, conn net.Conn, _ target) { waitForClose(conn) }

// announce announces the largest body and sends none.
func announce(_ context.Context, conn net.Conn, t target) {
	_, _ = io.WriteString(conn, head(t.path(), announcement(largestBody)))
	waitForClose(conn)
}

// hold sends all of the largest body but its last byte.
func hold(_ context.Context, conn net.Conn, t target) {
	_, _ = io.WriteString(conn, head(t.path(), announcement(largestBody))+strings.Repeat(" ", largestBody-1))
	waitForClose(conn)
}

// holdChunks sends chunks and then nothing.
func holdChunks(_ context.Context, conn net.Conn, t target) {
	_, _ = io.WriteString(conn, head(t.path(), "Transfer-Encoding: chunked\r\n\r\n"))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
	for range chunkCount {
		if _, err := io.WriteString(conn, chunk); err != nil {
			return
		}
	}
	waitForClose(conn)
}

// expect announces the largest body, asks whether to send it, and sends none.
func expect(_ context.Context, conn net.Conn, t target) {
	_, _ = io.WriteString(conn, head(t.path(), "Expect: 100-continue\r\n"+announcement(largestBody)))
	waitForClose(conn)
}

// endlessMetrics asks for the metrics with a body that does not end.
func endlessMetrics(ctx context.Context, conn net.Conn, _ target) {
	_, err := io.WriteString(conn, head("/metrics", "Transfer-Encoding: chunked\r\n\r\n"))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(conn, chunk)
	}
}

// drip announces the largest body and sends it a byte at a time.
func drip(ctx context.Context, conn net.Conn, t target) {
	_, err := io.WriteString(conn, head(t.path(), announcement(largestBody)))
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(conn, " ")
		pause(ctx, dripInterval)
	}
}

// dripHead sends a head a byte at a time.
func dripHead(ctx context.Context, conn net.Conn, t target) {
	for _, c := range []byte(head(t.path(), strings.Repeat("X-Field: x\r\n", 100))) {
		if _, err := conn.Write([]byte{c}); err != nil || ctx.Err() != nil {
			return
		}
		pause(ctx, dripInterval)
	}
}

// manySteps submits jobs with as many steps as the largest body holds, one after another.
func manySteps(ctx context.Context, conn net.Conn, t target) {
	repeat(ctx, conn, t.path(), filled(`{"spec":"x","steps":[{}`, ",{}", "]}", largestBody))
}

// longAfter submits jobs with a step that waits for as many as the largest body holds.
func longAfter(ctx context.Context, conn net.Conn, t target) {
	repeat(ctx, conn, t.path(), filled(`{"spec":"x","steps":[{"count":1},{"count":1,"after":[0`, ",0", "]}]}", largestBody))
}

// longTexts submits jobs with labels that take six times as much room once they are stored.
func longTexts(ctx context.Context, conn net.Conn, t target) {
	repeat(ctx, conn, t.path(), filled(`{"spec":"x","steps":[{"count":1,"required-label":"`, "<", `"}]}`, largestBody))
}

// manyFields submits requests with a payload of as many objects as the largest body holds.
func manyFields(ctx context.Context, conn net.Conn, t target) {
	repeat(ctx, conn, t.path(), filled(`{"id":"x","tasks":1,"accelerators":1,"payload":[{}`, ",{}", "]}", largestBody))
}

// filled returns a body of up to size bytes that repeats a text in its middle.
func filled(before, middle, after string, size int) string {
	return before + strings.Repeat(middle, (size-len(before)-len(after))/len(middle)) + after
}

// repeat submits a body again and again.
func repeat(ctx context.Context, conn net.Conn, path, body string) {
	request := head(path, announcement(len(body))) + body
	exchange(ctx, conn, func() string { return request })
}

// exchange sends requests and reads the answer to each, until the connection is closed.
func exchange(ctx context.Context, conn net.Conn, next func() string) {
	r := bufio.NewReader(conn)
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, next()); err != nil {
			return
		}
		var resp fasthttp.Response
		if resp.Read(r) != nil || resp.ConnectionClose() {
			return
		}
	}
}

// longPaths asks for jobs in queues that do not exist, with long names.
func longPaths(ctx context.Context, conn net.Conn, _ target) {
	path := "/" + strings.Repeat("x", longestPath) + "/"
	exchange(ctx, conn, func() string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, authority) })
}

// cancelUnknown cancels jobs that do not exist.
func cancelUnknown(ctx context.Context, conn net.Conn, _ target) {
	exchange(ctx, conn, func() string {
		return fmt.Sprintf("DELETE /quick/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", crowdJobID(), authority, key)
	})
}

// waitForever submits large jobs, inside the limits, that no worker can run.
func waitForever(ctx context.Context, conn net.Conn, _ target) {
	const labelBytes, steps = 1900, 61
	step := fmt.Sprintf(`{"count":1,"cpu":100,"mem-mb":64,"required-label":"%s"}`, strings.Repeat("l", labelBytes))
	body := fmt.Sprintf(`{"spec":"x","steps":[%s]}`, list(step, steps))
	exchange(ctx, conn, func() string { return head("/quick/"+crowdJobID(), announcement(len(body))) + body })
}

// lastCrowdJob is the number of the last job that a crowd has named.
var lastCrowdJob atomic.Int64

// crowdJobID returns an ID that only a crowd uses.
func crowdJobID() string { return fmt.Sprintf("c%015x", lastCrowdJob.Add(1)) }

// list returns n copies of a JSON value, separated by commas.
func list(element string, n int) string {
	return strings.TrimSuffix(strings.Repeat(element+",", n), ",")
}

// readNothing sends requests and reads no answer.
func readNothing(ctx context.Context, conn net.Conn, t target) {
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBytes)
	request := fmt.Sprintf("GET /quick/%s HTTP/1.1\r\nHost: %s\r\n\r\n", jobID(0), authority)
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, strings.Repeat(request, 100)); err != nil {
			return
		}
	}
}

// jobID returns the ID of a job.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

const ordinaryBody = `{"spec":"20","steps":[{"count":1,"cpu":100,"mem-mb":64}]}`

// answer is the answer to a request.
type answer struct {
	status     int
	retryAfter string
	body       []byte
}

// call sends one ordinary request on a connection of its own. Without a body it is a GET.
func (t target) call(path, body string) (answer, error) {
	return t.callAs(ordinaryKey, path, body)
}

// callAs is call with a key.
func (t target) callAs(key, path, body string) (answer, error) {
	client := fasthttp.HostClient{Addr: t.host.addresses[t.listener], MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry}
	defer client.CloseIdleConnections()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + authority + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	if body != "" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(body)
	}
	if err := client.DoTimeout(&req, &resp, patience); err != nil {
		return answer{}, err
	}
	return answer{resp.StatusCode(), string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), resp.Body()}, nil
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// isReady reports whether the host's readiness check succeeds.
func (h *host) isReady() bool {
	a, err := target{h, readiness}.call("/", "")
	return err == nil && a.status == fasthttp.StatusOK
}

// jobState returns the state of a job as a host tells it.
func (h *host) jobState(id string) string {
	a, err := target{h, callers}.call("/quick/"+id, "")
	if err != nil || a.status != fasthttp.StatusOK {
		return ""
	}
	var reply struct{ State string }
	_ = json.Unmarshal(a.body, &reply) // an answer in another form has no state
	return reply.State
}
