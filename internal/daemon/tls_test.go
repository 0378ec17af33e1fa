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

// Guards against keys, counters or credentials that cross a network in the clear because TLS files were forgotten.
func TestPlainOutsideLoopbackIsRefused(t *testing.T) {
	tel, err := telemetry.New(io.Discard, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	const local, wide = "127.0.0.1:7001", "0.0.0.0:7001"
	node := func(platformURL, peer string) settings.Common {
		return settings.Common{VMName: "vm-1", Region: "r", FailureDomain: "d", PlatformURL: platformURL, PeerListen: peer, PeerAdvertise: local,
			MetricsListen: local, WindowLength: time.Minute, KeySecret: strings.Repeat("s", 32)}
	}
	withMetrics := func(n settings.Common, listen string) settings.Common {
		n.MetricsListen = listen
		return n
	}
	gateway := func(n settings.Common, listen string) error {
		_, err := GatewayComponents(&settings.Gateway{Common: n, Listen: listen, Advertise: local, EntryLifetime: time.Second}, tel)
		return err
	}
	controller := func(n settings.Common, listen string) error {
		_, err := ControllerComponents(&settings.Controller{Common: n, AdminListen: listen, AdminAdvertise: local}, tel)
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
		"metrics":        gateway(withMetrics(plain, wide), local),
	}
	for side, err := range refused {
		if err == nil || !strings.Contains(err.Error(), "plain TCP") {
			t.Errorf("%s: %v", side, err)
		}
	}
}

// loopbackFiles writes the files of a process at 127.0.0.1 into dir.
func loopbackFiles(a *certtest.Authority, dir string) settings.TLSFiles {
	return settings.TLSFiles(a.WriteCertificateFiles(dir, []string{"127.0.0.1"}))
}

// Guards against a platform client that ignores the TLS files, trusts another authority, or keeps a replaced certificate.
func TestPlatformOverMutualTLS(t *testing.T) {
	first, second := certtest.NewAuthority(t, "first"), certtest.NewAuthority(t, "second")
	serverDir, clientDir := t.TempDir(), t.TempDir()
	serverTLS, err := loadTLS(loopbackFiles(first, serverDir))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(standin.NewPlatform(memplatform.New()))
	// StartTLS would add a certificate of its own.
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
	if n.platformTLS, err = loadTLS(loopbackFiles(first, clientDir)); err != nil {
		t.Fatal(err)
	}
	if err := call(); err != nil {
		t.Errorf("first authority: %v", err)
	}
	reload := func(a *certtest.Authority, dir string, side *auth.TLS) {
		loopbackFiles(a, dir)
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
	plain := &node{settings: settings.Common{PlatformURL: "http://127.0.0.1:7000"}, platformTLS: n.platformTLS}
	if _, err := plain.platformOptions(); err == nil {
		t.Error("TLS files were ignored for a plain URL")
	}
}
