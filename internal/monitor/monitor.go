// Package monitor serves metrics in the Prometheus format, and the health of
// the host for the balancer.
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

const reportEvery = time.Second

// Monitor collects metrics of one host.
type Monitor struct {
	scope   tally.Scope
	metrics fasthttp.RequestHandler
	ready   func() (bool, string)
	close   func() error
}

// New returns a Monitor; ready tells whether the balancer should send requests,
// and why not.
func New(host string, ready func() (bool, string)) *Monitor {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "yuccapaddle", Tags: map[string]string{"host": host}, CachedReporter: reporter,
		Separator: promreporter.DefaultSeparator,
	}, reportEvery)
	return &Monitor{
		scope: scope, ready: ready, close: closer.Close,
		metrics: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// Observe counts an answer to a caller and its time.
func (m *Monitor) Observe(verdict string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"verdict": verdict})
	s.Counter("answers").Inc(1)
	s.Timer("answer_time").Record(took)
}

// Time records in a histogram how long something took, by its outcome.
func (m *Monitor) Time(name, outcome string, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Histogram(name+"_seconds", buckets).RecordDuration(took)
}

// Tally adds to a total, by outcome.
func (m *Monitor) Tally(name, outcome string, n int64) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter(name).Inc(n)
}

// buckets reach from a fast answer of the ledger to the wait of a batch job.
var buckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 16)

// Gauge sets a value.
func (m *Monitor) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// Count adds to a total.
func (m *Monitor) Count(name string, n int64) {
	m.scope.Counter(name).Inc(n)
}

// Handle serves /metrics, /livez and /readyz.
func (m *Monitor) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		m.metrics(ctx)
	case "/livez":
		writer.JSON(ctx, fasthttp.StatusOK, "alive")
	case "/readyz":
		if ok, why := m.ready(); !ok {
			writer.Error(ctx, fasthttp.StatusServiceUnavailable, why)
			return
		}
		writer.JSON(ctx, fasthttp.StatusOK, "ready")
	default:
		writer.Error(ctx, fasthttp.StatusNotFound, "use /metrics, /livez or /readyz")
	}
}

// Close flushes the metrics.
func (m *Monitor) Close() error {
	return m.close()
}
