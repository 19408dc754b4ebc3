package gate

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"

	"crocusseam/pkg/placement"
	"crocusseam/service/ingress"
)

// The histograms' range is in microseconds.
const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	histogramDigits  = 2
	metricsPath      = "/metrics"
	minLatencyMicros = 1
)

// published is the expvar map of the gates in this process, by instance.
var published = expvar.NewMap("Gates")

// metrics counts store calls, reports, bytes and latencies, which the control
// state doesn't count.
type metrics struct {
	server    *Server
	calls     *expvar.Map // to the store, by step and outcome
	reports   *expvar.Map // of endpoints, by outcome
	sent      *expvar.Map // bytes of calls, by step
	received  *expvar.Map // bytes of their answers, by step
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // by route and status
}

// Latency summarises a histogram, in microseconds.
type Latency struct {
	Count int64
	P50   int64
	P90   int64
	P99   int64
	P999  int64
	Max   int64
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		server: s, calls: new(expvar.Map).Init(), reports: new(expvar.Map).Init(),
		sent: new(expvar.Map).Init(), received: new(expvar.Map).Init(), latencies: make(map[string]*hdrhistogram.Histogram),
	}
	published.Set(s.config.Self.Instance, expvar.Func(func() any { return m.snapshot() }))
	return m
}

func (m *metrics) countStoreCall(step string, err error) {
	outcome := "Ok"
	if err != nil {
		outcome = "Failed"
	}
	m.calls.Add(step+outcome, 1)
}

// countTraffic counts the bytes of a call to the store or to an endpoint.
func (m *metrics) countTraffic(step string, sent, received int) {
	m.sent.Add(step, int64(sent))
	m.received.Add(step, int64(received))
}

func (m *metrics) report(outcome placement.OrderOutcome) { m.reports.Add(outcome.String(), 1) }

func (m *metrics) recordLatency(f placement.Finished) {
	key := f.Route + " " + f.Status.String()
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.latencies[key]
	if !ok {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)
		m.latencies[key] = h
	}
	_ = h.RecordValue(min(max(f.Elapsed.Microseconds(), minLatencyMicros), maxLatencyMicros)) // within the range
}

func (m *metrics) snapshot() any {
	s := m.server
	m.mu.Lock()
	defer m.mu.Unlock()
	latencies := make(map[string]Latency, len(m.latencies))
	for key, h := range m.latencies {
		latencies[key] = Latency{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
		}
	}
	return struct {
		placement.Overview
		Endpoints         []placement.EndpointRating
		Latencies         map[string]Latency
		StoreCalls        json.RawMessage
		EndpointReports   json.RawMessage
		PeerBytesSent     int64
		PeerBytesReceived int64
		PeerMessagesSent  int64
		PeerBytesByKind   json.RawMessage
		CallBytesSent     json.RawMessage
		CallBytesReceived json.RawMessage
		LinesLeftOut      int64
		Ingress           ingress.Snapshot
	}{
		s.Overview(), s.endpointRatings(), latencies, json.RawMessage(m.calls.String()), json.RawMessage(m.reports.String()), s.links.Stats.SentBytes.Load(), s.links.Stats.ReceivedBytes.Load(),
		s.links.Stats.SentMessages.Load(), json.RawMessage(s.links.Stats.SentByKind.String()), json.RawMessage(m.sent.String()), json.RawMessage(m.received.String()),
		s.config.LinesLeftOut(), s.budget.Snapshot(),
	}
}

func (m *metrics) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET(metricsPath, echo.WrapHandler(expvar.Handler()))
	return e
}
