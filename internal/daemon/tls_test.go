package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/platform/httpplatform"
	"crocusglade.example/crocusglade/internal/platform/memplatform"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/standin"
	"crocusglade.example/crocusglade/internal/telemetry"
	"crocusglade.example/crocusglade/internal/world"
)

// Guards against keys, counters or credentials that cross a network in the clear because TLS files were forgotten.
func TestPlainOutsideLoopbackIsRefused(t *testing.T) {
	tel, err := telemetry.New(io.Discard, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	const local, wide = "127.0.0.1:7001", "0.0.0.0:7001"
	node := func(platformURL, peer string) settings.Node {
		return settings.Node{VMName: "vm-1", Region: "r", FailureDomain: "d", PlatformURL: platformURL, PeerListen: peer, PeerAdvertise: local,
			MetricsListen: local, WindowLength: time.Minute, KeySecret: strings.Repeat("s", 32)}
	}
	gateway := func(n settings.Node, listen string) error {
		_, err := GatewayParts(&settings.Gateway{Node: n, Listen: listen, Advertise: local, EntryLifetime: time.Second}, tel)
		return err
	}
	controller := func(n settings.Node, listen string) error {
		_, err := ControllerParts(&settings.Controller{Node: n, AdminListen: listen, AdminAdvertise: local}, tel)
		return err
	}
	plain := node("http://127.0.0.1:7000", local)
	if err := gateway(plain, local); err != nil {
		t.Errorf("loopback: %v", err)
	}
	if err := controller(plain, local); err != nil {
		t.Errorf("loopback: %v", err)
	}
	refused := map[string]error{
		"callers":        gateway(plain, wide),
		"administration": controller(plain, wide),
		"peers":          gateway(node("http://127.0.0.1:7000", wide), local),
		"platform":       controller(node("http://192.0.2.1:7000", local), local),
		"platform port":  controller(node("http://192.0.2.1", local), local),
	}
	for side, err := range refused {
		if err == nil || !strings.Contains(err.Error(), "plain TCP") {
			t.Errorf("%s: %v", side, err)
		}
	}
}

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key, cert: &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// write signs a new certificate and writes it, its key and the authority into dir.
func (a *authority) write(t *testing.T, dir string) settings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for name, block := range map[string]*pem.Block{files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key: {Type: "PRIVATE KEY", Bytes: keyDER}, files.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against a platform client that ignores the TLS files, trusts another authority, or keeps a replaced certificate.
func TestPlatformOverMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	serverTLS, err := loadTLS(first.write(t, serverDir))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(standin.NewPlatform(memplatform.New()))
	// StartTLS would add a certificate of its own.
	server.Listener = tls.NewListener(server.Listener, serverTLS.ServerConfig(true))
	server.Start()
	defer server.Close()
	url := "https://" + server.Listener.Addr().String()
	n := &node{settings: settings.Node{PlatformURL: url}}
	call := func() error {
		options, err := n.platformOptions()
		if err != nil {
			t.Fatal(err)
		}
		client, err := httpplatform.New(url, options)
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = client.List(t.Context(), world.KindTeam)
		return err
	}
	if call() == nil {
		t.Error("a client without TLS files was served")
	}
	if n.platformTLS, err = loadTLS(first.write(t, clientDir)); err != nil {
		t.Fatal(err)
	}
	if err := call(); err != nil {
		t.Errorf("first authority: %v", err)
	}
	reload := func(a *authority, dir string, side *auth.TLS) {
		a.write(t, dir)
		if err := side.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	reload(second, serverDir, serverTLS)
	if call() == nil {
		t.Error("a server of another authority was trusted")
	}
	reload(second, clientDir, n.platformTLS)
	if err := call(); err != nil {
		t.Errorf("second authority: %v", err)
	}
	plain := &node{settings: settings.Node{PlatformURL: "http://127.0.0.1:7000"}, platformTLS: n.platformTLS}
	if _, err := plain.platformOptions(); err == nil {
		t.Error("TLS files were ignored for a plain URL")
	}
}
