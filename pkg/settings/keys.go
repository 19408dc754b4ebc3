package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Keys are the tokens that MakeKeys has made; the files lie beside them.
type Keys struct {
	TeamToken     string
	OperatorToken string
}

// Names of the files that MakeKeys writes.
const (
	AuthorityFile = "authority.pem"
	CertFile      = "instance.pem"
	KeyFile       = "instance.key"
	TokensFile    = "tokens.txt"
)

const (
	trialValidity = 90 * 24 * time.Hour
	tokenBytes    = 24
	serialBits    = 120
)

// MakeKeys makes an authority, one key pair for instances (for callers and for
// peers) and two tokens in a directory. They serve a trial; in production the
// operators' own authority signs.
func MakeKeys(directory string) (Keys, error) {
	var keys Keys
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return keys, eris.Wrap(err, "make the directory")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keys, eris.Wrap(err, "make the authority's key")
	}
	authority := newTemplate("crocusseam trial authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	if err := writeCertificate(filepath.Join(directory, AuthorityFile), authority, authority, authorityKey, authorityKey); err != nil {
		return keys, err
	}
	instanceKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keys, eris.Wrap(err, "make the instances' key")
	}
	instance := newTemplate(PeerServerName)
	instance.DNSNames = []string{PeerServerName, "localhost"}
	instance.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	instance.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := writeCertificate(filepath.Join(directory, CertFile), instance, authority, instanceKey, authorityKey); err != nil {
		return keys, err
	}
	if err := writeKey(filepath.Join(directory, KeyFile), instanceKey); err != nil {
		return keys, err
	}
	keys = Keys{TeamToken: newToken(), OperatorToken: newToken()}
	text := "Team " + keys.TeamToken + "\nOperator " + keys.OperatorToken + "\n"
	return keys, eris.Wrap(os.WriteFile(filepath.Join(directory, TokensFile), []byte(text), 0o600), "write the tokens")
}

func newToken() string {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

func newTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(trialValidity),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func writeCertificate(path string, c, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		return eris.Wrapf(err, "sign %s", path)
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return eris.Wrapf(os.WriteFile(path, text, 0o644), "write %s", path)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrapf(err, "encode %s", path)
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return eris.Wrapf(os.WriteFile(path, text, 0o600), "write %s", path)
}
