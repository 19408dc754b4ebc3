package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// certificateCheckInterval is the shortest time between two checks of a certificate
// file for changes.
const certificateCheckInterval = 5 * time.Second

// certificate is a certificate and key loaded from files. It reloads them when the
// certificate file changes, so that they can be replaced while the process runs.
type certificate struct {
	certFile string
	keyFile  string

	mu          sync.Mutex
	lastChecked time.Time
	modifiedAt  time.Time
	pair        *tls.Certificate
}

// get returns the certificate and key, and first reloads them if the certificate
// file has changed. If that fails, get returns the ones loaded before.
func (c *certificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pair != nil && time.Since(c.lastChecked) < certificateCheckInterval {
		return c.pair, nil
	}
	c.lastChecked = time.Now()
	info, err := os.Stat(c.certFile)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.modifiedAt) {
		return c.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, eris.Wrapf(err, "read certificate %s", c.certFile)
	}
	c.pair = &pair
	if info != nil {
		c.modifiedAt = info.ModTime()
	}
	return c.pair, nil
}

// CallersTLS returns the TLS configuration of the listener for callers, or nil if
// it is to run without TLS.
func (s *Entry) CallersTLS() (*tls.Config, error) {
	if s.CallersCert == "" {
		return nil, nil
	}
	c := &certificate{certFile: s.CallersCert, keyFile: s.CallersKey}
	if _, err := c.get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}, nil
}

// PeersTLS returns the configuration of mutual TLS between instances, or nil if
// they are to connect without TLS. Instances trust any peer whose certificate the
// authority has signed, whatever its address.
func (s *Entry) PeersTLS() (*tls.Config, error) {
	if s.PeersCert == "" {
		return nil, nil
	}
	c := &certificate{certFile: s.PeersCert, keyFile: s.PeersKey}
	if _, err := c.get(); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(s.PeersAuthority)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s holds no certificate", s.PeersAuthority)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName:           PeerServerName,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}, nil
}

// PeerServerName is the server name in the certificates of all instances.
const PeerServerName = "crocusseam-instance"
