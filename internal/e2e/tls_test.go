package e2e

import (
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/certtest"
	"crocusglade.example/crocusglade/internal/ctl"
	"crocusglade.example/crocusglade/internal/standin"
)

// clusterTLS holds the certificates of a cluster. All gateways and controllers share one certificate; the stand-ins share
// another, and the callers a third. Two certificate authorities allow tests to rotate them.
type clusterTLS struct {
	hosts     []string
	processes certtest.Files
	dirs      struct{ processes, standins, callers string }
	firstCA   *certtest.Authority
	secondCA  *certtest.Authority
	standins  *auth.TLS
	callers   *auth.TLS
}

func newClusterTLS(c *cluster) *clusterTLS {
	t := c.t
	s := &clusterTLS{hosts: append([]string{"127.0.0.1", auth.PeerServerName}, c.hosts...),
		firstCA: certtest.NewAuthority(t, "first"), secondCA: certtest.NewAuthority(t, "second")}
	s.dirs.processes, s.dirs.standins, s.dirs.callers = t.TempDir(), t.TempDir(), t.TempDir()
	s.processes = s.firstCA.WriteCertificateFiles(s.dirs.processes, s.hosts)
	s.standins = loadTLS(t, s.firstCA.WriteCertificateFiles(s.dirs.standins, s.hosts))
	// Callers and operators trust both authorities for the whole test.
	s.callers = loadTLS(t, s.firstCA.WriteCertificateFiles(s.dirs.callers, s.hosts, s.firstCA, s.secondCA))
	c.client.Transport.(*http.Transport).DialTLSContext = s.callers.DialTLS((&net.Dialer{}).DialContext)
	return s
}

// loadTLS loads certificate files and fails the test on an error.
func loadTLS(t testing.TB, f certtest.Files) *auth.TLS {
	t.Helper()
	loaded, err := auth.LoadTLS(auth.TLSFiles(f))
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// flags returns the TLS flags for the given listeners and connections of a process, or none without TLS. Callers present no client
// certificate, since they authenticate with keys, so "caller" gets no CA.
func (s *clusterTLS) flags(sides ...string) []string {
	if s == nil {
		return nil
	}
	var out []string
	for _, side := range sides {
		out = append(out, "--"+side+"-tls-cert="+s.processes.Cert, "--"+side+"-tls-key="+s.processes.Key)
		if side != "caller" {
			out = append(out, "--"+side+"-tls-ca="+s.processes.CA)
		}
	}
	return out
}

// clientCertAddrs returns the addresses of all listeners that require a client certificate.
func (c *cluster) clientCertAddrs() []string {
	var out []string
	for _, v := range c.vms {
		out = append(out, v.GatewayPeerAddr, v.ControllerPeerAddr, v.ControllerAddr, v.gatewayMetrics, v.controllerMetrics)
	}
	return out
}

// acceptsClient reports whether a server accepts a client with the given TLS configuration, and returns the common name of the
// authority that issued the server's certificate, or "" when the handshake fails.
func (c *cluster) acceptsClient(addr string, config *tls.Config) (accepted bool, issuer string) {
	config = config.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		return false, ""
	}
	defer conn.Close()
	issuer = conn.ConnectionState().PeerCertificates[0].Issuer.CommonName
	// With TLS 1.3 the server rejects a client certificate only after the client's handshake has ended. A response to a request
	// shows that the client was accepted.
	if conn.ConnectionState().NegotiatedProtocol == "h2" {
		_, err = conn.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	} else {
		_, err = conn.Write([]byte("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return err == nil, issuer
}

// awaitClientAccess waits until every listener that requires a client certificate accepts the client, or refuses it when want is
// false, and presents a certificate of the given issuer. A refusal during the handshake satisfies any issuer.
func (c *cluster) awaitClientAccess(what string, config *tls.Config, want bool, wantIssuer string) {
	c.t.Helper()
	for _, addr := range c.clientCertAddrs() {
		c.await(what+" at "+addr, func() bool {
			accepted, issuer := c.acceptsClient(addr, config)
			return accepted == want && (issuer == wantIssuer || !want && issuer == "")
		})
	}
}

// checkClientRefused fails the test when a listener that requires a client certificate accepts the client.
func (c *cluster) checkClientRefused(client string, config *tls.Config) {
	c.t.Helper()
	for _, addr := range c.clientCertAddrs() {
		if accepted, _ := c.acceptsClient(addr, config); accepted {
			c.t.Errorf("%s accepted %s", addr, client)
		}
	}
}

// streamAtAllGateways sends one streamed chat after another to each gateway and fails the test for each answer that is not
// complete. The returned function stops the streams and returns the number of complete answers.
func (c *cluster) streamAtAllGateways() (stop func() int) {
	stopping, counts := make(chan struct{}), make(chan int)
	for vm := range c.vms {
		go func() {
			complete := 0
			for {
				const prompt = "log of the season"
				if r := c.chat(vm, "skippers", prompt, 40, true); !r.complete || r.text != expected(prompt, 40) {
					c.t.Errorf("G2: a stream at %s was not complete while certificates were replaced: %+v", c.vms[vm].Name, r.err)
				} else {
					complete++
				}
				select {
				case <-stopping:
					counts <- complete
					return
				default:
				}
			}
		}()
	}
	return func() int {
		close(stopping)
		complete := 0
		for range c.vms {
			complete += <-counts
		}
		return complete
	}
}

// Guards against a listener that does not use TLS or accepts a peer without a certificate of the configured authority, and
// against a replacement of certificates that needs a restart or interrupts a stream. All connections use TLS: those of callers
// and operators, those between gateways and controllers, and those to the platform and the endpoints.
func TestEverythingOverTLS(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, services: 1, tls: true, engine: standin.EngineConfig{DecodeRate: 20}})
	s := c.tls
	unknownClient := loadTLS(t, certtest.NewAuthority(t, "stranger").WriteCertificateFiles(t.TempDir(), s.hosts, s.firstCA, s.secondCA)).ClientConfig("")
	firstClient := loadTLS(t, s.firstCA.WriteCertificateFiles(t.TempDir(), s.hosts, s.firstCA, s.secondCA)).ClientConfig("")
	secondClient := loadTLS(t, s.secondCA.WriteCertificateFiles(t.TempDir(), s.hosts, s.firstCA, s.secondCA)).ClientConfig("")
	c.awaitClientAccess("a peer of the first authority to be accepted", firstClient, true, "first")
	c.checkClientRefused("a peer of another authority", unknownClient)
	c.checkClientRefused("a peer without a certificate", &tls.Config{InsecureSkipVerify: true})
	c.checkCommandLine()

	stop := c.streamAtAllGateways()
	s.firstCA.WriteCertificateFiles(s.dirs.processes, s.hosts, s.firstCA, s.secondCA)
	s.firstCA.WriteCertificateFiles(s.dirs.standins, s.hosts, s.firstCA, s.secondCA)
	s.reloadStandins(t)
	c.awaitClientAccess("a peer of the second authority to be accepted", secondClient, true, "first")
	s.secondCA.WriteCertificateFiles(s.dirs.processes, s.hosts, s.firstCA, s.secondCA)
	c.awaitClientAccess("a certificate of the second authority", secondClient, true, "second")
	s.secondCA.WriteCertificateFiles(s.dirs.standins, s.hosts, s.firstCA, s.secondCA)
	s.reloadStandins(t)
	s.secondCA.WriteCertificateFiles(s.dirs.processes, s.hosts)
	c.awaitClientAccess("a peer of the first authority to be refused", firstClient, false, "second")
	s.secondCA.WriteCertificateFiles(s.dirs.standins, s.hosts)
	s.reloadStandins(t)
	if complete := stop(); complete < vmCount {
		t.Errorf("only %d streams were complete", complete)
	}
	s.secondCA.WriteCertificateFiles(s.dirs.callers, s.hosts, s.firstCA, s.secondCA)
	if err := s.callers.Reload(); err != nil {
		t.Fatal(err)
	}
	c.client.CloseIdleConnections()
	c.checkClientRefused("a peer of the first authority", firstClient)
	c.checkCommandLine()
	key := c.issueKey("clerks")
	for vm := range vmCount {
		c.await("the new key "+key+" to be accepted", func() bool { return c.chat(vm, "clerks", "after", 2, true).complete })
	}
	c.checkGuarantees()
}

func (s *clusterTLS) reloadStandins(t testing.TB) {
	t.Helper()
	if err := s.standins.Reload(); err != nil {
		t.Fatal(err)
	}
}

// checkCommandLine checks that crocusgladectl reaches a controller with the callers' certificate, and fails without it.
func (c *cluster) checkCommandLine() {
	c.t.Helper()
	run := func(flags ...string) (int, string) { return c.ctl(0, append(slices.Clone(flags), "status")...) }
	dir := c.tls.dirs.callers
	certFlags := []string{"--server-tls-ca=" + dir + "/ca.pem", "--server-tls-cert=" + dir + "/cert.pem", "--server-tls-key=" + dir + "/key.pem"}
	if code, out := run(certFlags...); code != ctl.ExitOK || !strings.Contains(out, "vm-4") {
		c.t.Errorf("status over TLS: exit code %d:\n%s", code, out)
	}
	for _, flags := range [][]string{nil, certFlags[:1]} {
		if code, out := run(flags...); code != ctl.ExitFailed {
			c.t.Errorf("status with %v: exit code %d:\n%s", flags, code, out)
		}
	}
}
