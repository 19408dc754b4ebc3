package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// reloadPeriod is how often certificate files are looked at for changes.
const certificateCheckInterval = 5 * time.Second

// certificate is a key pair in files that may be replaced while in use.
type certificate struct {
	certFile string
	keyFile  string

	mu          sync.Mutex
	lastChecked time.Time
	modifiedAt  time.Time
	pair        *tls.Certificate
}

// get returns the key pair, read again if the file has changed. A pair that
// cannot be read leaves the one in use in force.
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

// CallersTLS returns the TLS settings for callers, or nil for plain listeners.
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

// PeersTLS returns the mutual TLS settings between instances, or nil. Instances
// trust whoever the authority has signed, under whatever address.
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

// PeerServerName is the name that instances' certificates carry.
const PeerServerName = "crocusseam-instance"
