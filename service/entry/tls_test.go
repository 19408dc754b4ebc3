package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/settings"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// withTLS makes keys and returns a change that makes a server use them.
func withTLS(t *testing.T, name string, directory string) func(*Config) {
	t.Helper()
	own := settings.Entry{
		CallersCert: filepath.Join(directory, settings.CertFile), CallersKey: filepath.Join(directory, settings.KeyFile),
		PeersCert: filepath.Join(directory, settings.CertFile), PeersKey: filepath.Join(directory, settings.KeyFile),
		PeersAuthority: filepath.Join(directory, settings.AuthorityFile),
	}
	callers, err := own.CallersTLS()
	assert.NilError(t, err)
	peers, err := own.PeersTLS()
	assert.NilError(t, err)
	return func(c *Config) { c.Instance, c.CallersTLS, c.PeersTLS = name, callers, peers }
}

func callersTransport(t *testing.T, directory string) *http.Transport {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(directory, settings.AuthorityFile))
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(text))
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
}

func hasPeerSession(s *Server) bool {
	for _, m := range s.Status().Members {
		if m.Linked {
			return true
		}
	}
	return false
}

func TestInstancesSpeakMutualTLS(t *testing.T) {
	directory := t.TempDir()
	_, err := settings.MakeKeys(directory)
	assert.NilError(t, err)
	p := &memoryPlatform{Memory: storage.NewMemory()}
	storeDocument(t, p, testDocument(startEndpoints(t, 4, echoTask), 4))
	first := startReadyServer(t, p, withTLS(t, "east-1", directory))
	config := withTLS(t, "east-2", directory)
	second := startJoinedServer(t, p, config)
	for !hasPeerSession(first) || !hasPeerSession(second) {
		time.Sleep(10 * time.Millisecond)
	}
	c := client.New(client.Config{Secure: true, Transport: callersTransport(t, directory)})
	answer, err := c.SubmitOnce(context.Background(), second.Address(), testJob("one", 8))
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, submission.Complete)

	// A stranger without a certificate gets no session.
	conn, err := net.Dial("tcp", first.PeerAddress().String())
	assert.NilError(t, err)
	stranger := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	if err = stranger.Handshake(); err == nil {
		_, err = stranger.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil)
	_ = conn.Close()
}

// withJoining starts a server and waits until it has joined.
func startJoinedServer(t *testing.T, p Platform, change func(*Config)) *Server {
	t.Helper()
	s, stop := startServer(t, p, change)
	t.Cleanup(stop)
	for s.Status().State != "Live" {
		time.Sleep(5 * time.Millisecond)
	}
	return s
}
