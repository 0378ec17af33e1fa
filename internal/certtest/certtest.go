// Package certtest makes certificate authorities and certificates for tests. Nothing else uses it.
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

// lifetime is how long certificates are valid. No test runs that long.
const lifetime = time.Hour

// Authority signs certificates.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority whose certificate has the given name.
func NewAuthority(t testing.TB, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, key: newKey(t)}
	c := template(1)
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

// Files names the PEM files of one identity.
type Files struct{ Cert, Key, CA string }

// WriteCertificateFiles puts a new certificate for hosts (names and IP numbers), its key and the trusted authorities into dir, in place of earlier
// ones. Without trusted authorities it writes its own.
func (a *Authority) WriteCertificateFiles(dir string, hosts []string, trust ...*Authority) Files {
	a.t.Helper()
	key, c := newKey(a.t), template(2)
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
	for _, o := range trust {
		roots = append(roots, encode("CERTIFICATE", o.cert.Raw)...)
	}
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	a.replace(f.Cert, encode("CERTIFICATE", der))
	a.replace(f.Key, encode("PRIVATE KEY", keyDER))
	a.replace(f.CA, roots)
	return f
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// replace writes a file so that no reader meets a part of it.
func (a *Authority) replace(path string, data []byte) {
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

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime)}
}
