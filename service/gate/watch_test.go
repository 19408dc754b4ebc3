package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
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

// newConnection is the key of the context value that is true until the first request of a
// connection, which identifies the endpoint's life.
type newConnection struct{}

func withNewConnection(ctx context.Context, _ net.Conn) context.Context {
	var first atomic.Bool
	first.Store(true)
	return context.WithValue(ctx, newConnection{}, &first)
}

// Guards against a stored job's task that runs again after it is done (soak seed 3002): a
// report request that follows an unanswered one may be answered by the endpoint's next
// incarnation, which numbers its ended runs anew. It acknowledges none of them, and no request
// acknowledges a run that an answered one has acknowledged.
func TestReportRequestsAcknowledgeOnlyAfterAnAnsweredOne(t *testing.T) {
	const sequence = 3
	report := workload.Report{Clock: time.Second, Ended: []workload.EndedRun{{Sequence: sequence, Run: workload.Run{Task: workload.TaskID{Job: "0a"}, Number: 1}, How: workload.Done}}}
	acknowledged := make(chan int64, 6)
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		q, decodeErr := platform.DecodeReportRequest(body)
		if err == nil && decodeErr == nil && r.Context().Value(newConnection{}).(*atomic.Bool).Swap(false) {
			assert.Check(t, q == platform.ReportRequest{Token: 1}, "identification %+v", q)
			answer := platform.EncodeReport(1, &workload.Report{Clock: time.Second})
			_, _ = out.Write(answer)
			return
		}
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
	server.Config.ConnContext = withNewConnection
	server.Start()
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

// Guards against ends that the next life forgets unseen, and leases that it extends, by a report
// request that was meant for the former life (docs/incidents/start-at-a-next-life.md).
func TestReportRequestsOfAFormerLifeReachNoNextOne(t *testing.T) {
	for crashAfter := time.Duration(0); crashAfter < 5*time.Millisecond; crashAfter += 500 * time.Microsecond {
		t.Run(crashAfter.String(), func(t *testing.T) { playNextLife(t, crashAfter) })
	}
}

func playNextLife(t *testing.T, crashAfter time.Duration) {
	var mu sync.Mutex
	received := make(map[string]int)
	sequence := int64(0)
	depends := make(chan struct{})
	var once sync.Once
	begin := func(l net.Listener, born int64) *httptest.Server {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			q, decodeErr := platform.DecodeReportRequest(body)
			if err != nil || decodeErr != nil {
				return
			}
			mu.Lock()
			received[fmt.Sprintf("%d acknowledge %t renew %t", born, q.Acknowledged != 0, q.Until != 0)]++
			sequence++
			ended := workload.EndedRun{Sequence: sequence, Run: workload.Run{Task: workload.TaskID{Job: "0a"}, Number: int(sequence)}, How: workload.Done}
			mu.Unlock()
			if q.Acknowledged != 0 && q.Until != 0 {
				once.Do(func() { close(depends) })
			}
			time.Sleep(time.Millisecond)
			answer := platform.EncodeReport(born, &workload.Report{Clock: time.Second, Ended: []workload.EndedRun{ended}})
			_, _ = out.Write(answer)
		}))
		_ = server.Listener.Close()
		server.Listener = l
		server.Start()
		return server
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	former := begin(l, 1)
	s := &Server{config: Config{Timing: placement.DefaultTiming()}, mailbox: mailbox.New[placement.Input](), timers: timer.New()}
	s.metrics = newMetrics(s)
	s.endpoints = platform.NewEndpoints(platform.EndpointsConfig{Connections: 2, OrderTimeout: time.Second, ReportTimeout: time.Second})
	w := &watch{ackAdvanced: make(chan struct{}, 1)}
	address := netip.MustParseAddrPort(l.Addr().String())
	w.target.Store(&placement.Watch{
		Endpoint: workload.EndpointID{Name: "e-1", Born: 1}, Address: address, Token: 1, Renew: true, RenewUntil: s.timers.SinceBoot().Add(time.Hour),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.timers.Run(ctx) })
	watched := make(chan struct{})
	group.Go(func() error {
		defer close(watched)
		s.runWatch(ctx, w)
		return nil
	})
	<-depends
	time.Sleep(crashAfter)
	former.CloseClientConnections()
	former.Close()
	l, err = net.Listen("tcp", address.String())
	assert.NilError(t, err)
	next := begin(l, 2)
	select {
	case <-watched: // the next life has shown itself
	case <-time.After(5 * time.Second):
		t.Error("the watch of the former life goes on")
	}
	cancel()
	assert.NilError(t, group.Wait())
	next.CloseClientConnections()
	next.Close()
	assert.Check(t, received["1 acknowledge true renew true"] > 0, "%v", received)
	assert.Check(t, received["2 acknowledge false renew false"] > 0, "%v", received)
	for _, kind := range []string{"2 acknowledge true renew true", "2 acknowledge true renew false", "2 acknowledge false renew true"} {
		assert.Equal(t, received[kind], 0, "%v", received)
	}
}
