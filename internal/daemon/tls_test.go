package daemon

import (
	"crypto/tls"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/certtest"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/standin"
	"crocusglade.example/crocusglade/internal/telemetry"
)

// Guards against keys, counters or credentials that cross a network in clear text because no TLS files are set.
func TestPlaintextOutsideLoopbackIsRefused(t *testing.T) {
	tel, err := telemetry.New(io.Discard, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	const loopback, allInterfaces = "127.0.0.1:7001", "0.0.0.0:7001"
	common := func(platformURL, peerListen string) settings.Common {
		return settings.Common{VMName: "vm-1", Region: "r", FailureDomain: "d", PlatformURL: platformURL, PeerListen: peerListen, PeerAdvertise: loopback,
			MetricsListen: loopback, WindowLength: time.Minute, KeySecret: strings.Repeat("s", 32)}
	}
	withMetrics := func(s settings.Common, listen string) settings.Common {
		s.MetricsListen = listen
		return s
	}
	gateway := func(s settings.Common, listen string) error {
		_, err := GatewayComponents(&settings.Gateway{Common: s, Listen: listen, Advertise: loopback, EntryLifetime: time.Second}, tel)
		return err
	}
	controller := func(s settings.Common, listen string) error {
		_, err := ControllerComponents(&settings.Controller{Common: s, AdminListen: listen, AdminAdvertise: loopback}, tel)
		return err
	}
	plain := common("http://127.0.0.1:7000", loopback)
	if err := gateway(plain, loopback); err != nil {
		t.Errorf("loopback: %v", err)
	}
	if err := controller(plain, loopback); err != nil {
		t.Errorf("loopback: %v", err)
	}
	refused := map[string]error{
		"callers":        gateway(plain, allInterfaces),
		"administration": controller(plain, allInterfaces),
		"peers":          gateway(common("http://127.0.0.1:7000", allInterfaces), loopback),
		"platform":       controller(common("http://192.0.2.1:7000", loopback), loopback),
		"platform port":  controller(common("http://192.0.2.1", loopback), loopback),
		"metrics":        gateway(withMetrics(plain, allInterfaces), loopback),
	}
	for connection, err := range refused {
		if err == nil || !strings.Contains(err.Error(), "plain TCP") {
			t.Errorf("%s: %v", connection, err)
		}
	}
}

// writeLoopbackFiles writes the TLS files of a process at 127.0.0.1 into dir. issuer signs the certificate and is the trusted authority.
func writeLoopbackFiles(issuer *certtest.Authority, dir string) settings.TLSFiles {
	return settings.TLSFiles(issuer.WriteCertificateFiles(dir, []string{"127.0.0.1"}))
}

// Guards against a platform client that ignores the TLS files, trusts another authority, or keeps using a replaced certificate.
func TestPlatformOverMutualTLS(t *testing.T) {
	first, second := certtest.NewAuthority(t, "first"), certtest.NewAuthority(t, "second")
	serverDir, clientDir := t.TempDir(), t.TempDir()
	serverTLS, err := loadTLS(writeLoopbackFiles(first, serverDir))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(standin.NewPlatform(memplatform.New()))
	// StartTLS is not used because it would add its own certificate.
	server.Listener = tls.NewListener(server.Listener, serverTLS.ServerConfig(true))
	server.Start()
	defer server.Close()
	url := "https://" + server.Listener.Addr().String()
	n := &node{settings: settings.Common{PlatformURL: url}}
	call := func() error {
		options, err := n.platformOptions()
		if err != nil {
			t.Fatal(err)
		}
		client, err := httpplatform.New(url, options)
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = client.List(t.Context(), apitypes.KindTeam)
		return err
	}
	if call() == nil {
		t.Error("a client without TLS files was served")
	}
	if n.platformTLS, err = loadTLS(writeLoopbackFiles(first, clientDir)); err != nil {
		t.Fatal(err)
	}
	if err := call(); err != nil {
		t.Errorf("first authority: %v", err)
	}
	reload := func(issuer *certtest.Authority, dir string, identity *auth.TLS) {
		writeLoopbackFiles(issuer, dir)
		if err := identity.Reload(); err != nil {
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
	plain := &node{settings: settings.Common{PlatformURL: "http://127.0.0.1:7000"}, platformTLS: n.platformTLS}
	if _, err := plain.platformOptions(); err == nil {
		t.Error("TLS files were ignored for a plain URL")
	}
}
