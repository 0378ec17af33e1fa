// Package certtest creates certificate authorities and certificates. It is used by tests only.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// lifetime is how long certificates are valid, longer than any test runs.
const lifetime = time.Hour

// Authority is a certificate authority.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new self-signed certificate for the given common name.
func NewAuthority(t testing.TB, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, key: newKey(t)}
	c := newTemplate(1)
	c.Subject, c.IsCA, c.BasicConstraintsValid, c.KeyUsage = pkix.Name{CommonName: name}, true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// Files holds the paths of the PEM files of one identity.
type Files struct{ Cert, Key, CA string }

// WriteCertificateFiles writes a new certificate for hosts (DNS names and IP addresses), its key and the certificates of the
// trusted authorities to dir, where they replace earlier files. The default for trust is the authority itself.
func (a *Authority) WriteCertificateFiles(dir string, hosts []string, trust ...*Authority) Files {
	a.t.Helper()
	key, c := newKey(a.t), newTemplate(2)
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else {
			c.DNSNames = append(c.DNSNames, h)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	if len(trust) == 0 {
		trust = []*Authority{a}
	}
	var roots []byte
	for _, authority := range trust {
		roots = append(roots, encodePEM("CERTIFICATE", authority.cert.Raw)...)
	}
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	a.writeFileAtomically(f.Cert, encodePEM("CERTIFICATE", der))
	a.writeFileAtomically(f.Key, encodePEM("PRIVATE KEY", keyDER))
	a.writeFileAtomically(f.CA, roots)
	return f
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// writeFileAtomically replaces a file by a rename, so that concurrent readers never see partial content.
func (a *Authority) writeFileAtomically(path string, data []byte) {
	a.t.Helper()
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		a.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		a.t.Fatal(err)
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime)}
}
