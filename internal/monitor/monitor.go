// Package monitor serves metrics in the Prometheus format, and health checks for the
// load balancer.
package monitor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"yuccapaddle/internal/writer"
)

const reportInterval = time.Second

// Monitor collects the metrics of a host. It implements yuccapaddle.Meter.
type Monitor struct {
	scope   tally.Scope
	metrics fasthttp.RequestHandler
	ready   func() (bool, string)
	close   func() error
}

// New returns a Monitor. ready reports whether the load balancer should send
// requests to this host, and otherwise the reason.
func New(host string, ready func() (bool, string)) *Monitor {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "yuccapaddle", Tags: map[string]string{"host": host}, CachedReporter: reporter,
		Separator: promreporter.DefaultSeparator,
	}, reportInterval)
	return &Monitor{
		scope: scope, ready: ready, close: closer.Close,
		metrics: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// ObserveAnswer counts an answer to a caller and records how long it took.
func (m *Monitor) ObserveAnswer(verdict string, duration time.Duration) {
	s := m.scope.Tagged(map[string]string{"verdict": verdict})
	s.Counter("answers").Inc(1)
	s.Timer("answer_time").Record(duration)
}

// Observe records a duration in a histogram, by outcome.
func (m *Monitor) Observe(name, outcome string, duration time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Histogram(name+"_seconds", durationBuckets).RecordDuration(duration)
}

// Count adds n to a counter, by outcome.
func (m *Monitor) Count(name, outcome string, n int64) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter(name).Inc(n)
}

// Set sets a workspace's gauge to v.
func (m *Monitor) Set(name, workspace string, v float64) {
	m.scope.Tagged(map[string]string{"workspace": workspace}).Gauge(name).Update(v)
}

// durationBuckets range from 2 ms, a fast reply of the ledger, to 65 s, the wait of a
// batch job.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 16)

// Gauge sets a gauge to v.
func (m *Monitor) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// Add adds n to a counter.
func (m *Monitor) Add(name string, n int64) {
	m.scope.Counter(name).Inc(n)
}

// Handle serves /metrics, /livez and /readyz.
func (m *Monitor) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		m.serveMetrics(ctx)
	case "/livez":
		writer.JSON(ctx, fasthttp.StatusOK, "alive")
	case "/readyz":
		if ok, reason := m.ready(); !ok {
			writer.Error(ctx, fasthttp.StatusServiceUnavailable, reason)
			return
		}
		writer.JSON(ctx, fasthttp.StatusOK, "ready")
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, "use /metrics, /livez or /readyz")
	}
}

// serveMetrics serves /metrics to requests without a body: the handler of the metrics would
// read one whole, of any size.
func (m *Monitor) serveMetrics(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() || ctx.RequestBodyStream() != nil {
		writer.Error(ctx, fasthttp.StatusBadRequest, "use GET /metrics without a body")
		return
	}
	m.metrics(ctx)
}

// Close reports the last values and ends the collection.
func (m *Monitor) Close() error {
	return m.close()
}
