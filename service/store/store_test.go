package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/storage"
)

func withReply(tb testing.TB, status int, body []byte) *Client {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	tb.Cleanup(server.Close)
	return New(Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), ReadTimeout: time.Second, WriteTimeout: time.Second})
}

func TestAnswersToACommitAreToldApart(t *testing.T) {
	commit := func(status int, body string) error {
		_, err := withReply(t, status, []byte(body)).Commit(context.Background(), []storage.Write{{Key: "k"}})
		return err
	}
	var conflict *storage.ErrConflict
	var unavailable *storage.ErrUnavailable
	var uncertain *storage.ErrUncertain
	assert.NilError(t, commit(200, `{"Version":7}`))
	assert.Assert(t, errors.As(commit(409, `{"Rows":[{"Key":"k","Version":3}]}`), &conflict))
	assert.Assert(t, errors.As(commit(503, "busy"), &unavailable))
	assert.Assert(t, errors.As(commit(429, "busy"), &unavailable))
	for _, c := range []struct {
		status int
		body   string
	}{{0, ""}, {500, "x"}, {200, "{}"}, {200, `{"Version":`}, {409, "{}"}, {302, ""}} {
		err := commit(c.status, c.body)
		assert.Assert(t, errors.As(err, &uncertain), "%d %s: %v", c.status, c.body, err)
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	c := New(Config{Address: address, ReadTimeout: time.Second, WriteTimeout: time.Second})
	_, err := c.Commit(context.Background(), []storage.Write{{Key: "k"}})
	var unavailable *storage.ErrUnavailable
	assert.Assert(t, errors.As(err, &unavailable))
	assert.Equal(t, unavailable.Step, "commit")
	assert.Equal(t, unavailable.Peer, address.String())
}

// FuzzCommitReply holds that only a whole and sensible answer counts as one.
func FuzzCommitReply(f *testing.F) {
	f.Add(200, []byte(`{"Version":7}`))
	f.Add(409, []byte(`{"Rows":[{"Key":"k"}]}`))
	f.Add(503, []byte(`x`))
	c := New(Config{Address: netip.MustParseAddrPort("127.0.0.1:1")})
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		version, err := c.commitReply(call{status: status, body: body, written: true})
		if err == nil {
			assert.Assert(t, version > 0 && status == 200)
			return
		}
		var conflict *storage.ErrConflict
		if errors.As(err, &conflict) {
			assert.Assert(t, status == 409 && len(conflict.Rows) > 0)
		}
	})
}
