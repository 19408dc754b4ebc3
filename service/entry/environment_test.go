package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/service/endpoint"
)

// memoryPlatform is a platform in memory whose commits take a while.
type memoryPlatform struct {
	*storage.Memory
	writeTime time.Duration
}

func (m *memoryPlatform) Commit(ctx context.Context, writes []storage.Write) (storage.Version, error) {
	if m.writeTime > 0 {
		time.Sleep(m.writeTime)
	}
	return m.Memory.Commit(ctx, writes)
}

func (m *memoryPlatform) Instances(context.Context) ([]storage.ListedInstance, error) {
	return nil, nil
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// echoTask answers every task at once with its id.
func echoTask(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.Header.Get(endpoint.HeaderID)+"/"+r.Header.Get(endpoint.HeaderTask))
}

func startEndpoints(tb testing.TB, count int, handler http.HandlerFunc) []netip.AddrPort {
	tb.Helper()
	var list []netip.AddrPort
	for range count {
		server := httptest.NewServer(handler)
		tb.Cleanup(server.Close)
		list = append(list, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	return list
}

func storeDocument(tb testing.TB, table storage.Table, d *document.Document) {
	tb.Helper()
	text, err := json.Marshal(d)
	assert.NilError(tb, err)
	digest := document.Digest(text)
	row, err := json.Marshal(dispatch.Rollout{Active: dispatch.Revision{Version: 1, Digest: digest}})
	assert.NilError(tb, err)
	_, err = table.Commit(context.Background(), []storage.Write{
		{Key: dispatch.DocumentKey(digest), Value: text, Expect: storage.AnyVersion},
		{Key: dispatch.RolloutKey, Value: row, Expect: storage.AnyVersion},
	})
	assert.NilError(tb, err)
}

func testDocument(endpoints []netip.AddrPort, slots int) *document.Document {
	return &document.Document{
		Environment: "test", Teams: []document.Team{{Name: "capstone"}},
		Domains: []document.Domain{{Name: "east", Groups: []document.Group{{
			Name: "workers", Endpoints: endpoints, Slots: slots, Connections: 2 * slots, Processors: 8, MemoryBytes: 1 << 30,
		}}}},
	}
}

// startServer starts a server and returns it with the function that ends it.
func startServer(tb testing.TB, p Platform, change func(*Config)) (*Server, func()) {
	tb.Helper()
	config := Config{
		Instance: "east-1", Incarnation: 1, Domain: "east", Capacity: 1, Callers: loopback, Peers: loopback,
		Platform: p, Limits: submission.DefaultLimits(), Timing: dispatch.DefaultTiming(), Logger: zap.NewNop(),
	}
	if change != nil {
		change(&config)
	}
	s, err := New(config)
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.runInBackground(ctx, done)
	return s, func() {
		cancel()
		<-done
	}
}

// withServer starts a server and waits until it holds all endpoints.
func startReadyServer(tb testing.TB, p Platform, change func(*Config)) *Server {
	tb.Helper()
	s, stop := startServer(tb, p, change)
	tb.Cleanup(stop)
	for !allHeld(s) {
		time.Sleep(5 * time.Millisecond)
	}
	return s
}

func allHeld(s *Server) bool {
	status := s.Status()
	for _, e := range status.Endpoints {
		if !e.Held {
			return false
		}
	}
	return len(status.Endpoints) > 0
}

func testJob(id string, tasks int) *submission.Submission {
	s := &submission.Submission{
		Key: submission.Key{Team: "capstone", ID: id}, Deadline: time.Now().Add(time.Minute).UTC().Round(0), Attempt: 1,
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, submission.Task{Name: taskName(i), Kind: "hold", Payload: []byte("{}"), DeclaredRunTime: time.Millisecond})
	}
	return s
}
