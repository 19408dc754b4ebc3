package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/mailbox"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/timer"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

// Guards against a stored job's task that runs again after it is done (soak seed 3002): a
// report request that follows an unanswered one may be answered by the endpoint's next
// incarnation, which numbers its ended runs anew. It acknowledges none of them, and no request
// acknowledges a run that an answered one has acknowledged.
func TestReportRequestsAcknowledgeOnlyAfterAnAnsweredOne(t *testing.T) {
	const sequence = 3
	report := workload.Report{Clock: time.Second, Ended: []workload.EndedRun{{Sequence: sequence, Run: workload.Run{Task: workload.TaskID{Job: "0a"}, Number: 1}, How: workload.Done}}}
	acknowledged := make(chan int64, 6)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		q, decodeErr := platform.DecodeReportRequest(body)
		if err != nil || decodeErr != nil || requests.Add(1) > int64(cap(acknowledged)) {
			<-r.Context().Done()
			return
		}
		acknowledged <- q.Acknowledged
		if requests.Load() == 2 {
			panic(http.ErrAbortHandler)
		}
		if q.Acknowledged == sequence {
			report.Ended = nil
		}
		_, _ = out.Write(platform.EncodeReport(1, &report))
	}))
	s := &Server{config: Config{Timing: placement.DefaultTiming()}, mailbox: mailbox.New[placement.Input](), timers: timer.New()}
	s.metrics = newMetrics(s)
	s.endpoints = platform.NewEndpoints(platform.EndpointsConfig{Connections: 1, OrderTimeout: time.Second, ReportTimeout: time.Second})
	w := &watch{ackAdvanced: make(chan struct{}, 1)}
	w.target.Store(&placement.Watch{
		Endpoint: workload.EndpointID{Name: "e-1", Born: 1}, Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Token: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.timers.Run(ctx) })
	group.Go(func() error {
		s.runWatch(ctx, w)
		return nil
	})
	defer func() {
		cancel()
		assert.Check(t, group.Wait())
		server.CloseClientConnections()
		server.Close()
	}()
	for _, want := range []int64{0, sequence, 0, sequence, 0, 0} {
		assert.Equal(t, <-acknowledged, want)
	}
}
