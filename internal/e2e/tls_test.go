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

// clusterTLS holds the certificates of a cluster. All processes share one identity, the stand-ins and the callers have their own.
type clusterTLS struct {
	hosts     []string
	processes certtest.Files
	dirs      struct{ processes, standins, callers string }
	first     *certtest.Authority
	second    *certtest.Authority
	standins  *auth.TLS
	callers   *auth.TLS
}

func newClusterTLS(c *cluster) *clusterTLS {
	t := c.t
	s := &clusterTLS{hosts: append([]string{"127.0.0.1", auth.PeerServerName}, c.hosts...),
		first: certtest.NewAuthority(t, "first"), second: certtest.NewAuthority(t, "second")}
	s.dirs.processes, s.dirs.standins, s.dirs.callers = t.TempDir(), t.TempDir(), t.TempDir()
	s.processes = s.first.WriteCertificateFiles(s.dirs.processes, s.hosts)
	s.standins = loadTLS(t, s.first.WriteCertificateFiles(s.dirs.standins, s.hosts))
	// Callers and operators trust both authorities throughout.
	s.callers = loadTLS(t, s.first.WriteCertificateFiles(s.dirs.callers, s.hosts, s.first, s.second))
	c.client.Transport.(*http.Transport).DialTLSContext = s.callers.DialTLS((&net.Dialer{}).DialContext)
	return s
}

func loadTLS(t testing.TB, f certtest.Files) *auth.TLS {
	t.Helper()
	loaded, err := auth.LoadTLS(auth.TLSFiles(f))
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// flags returns the flags of some sides of a process. Callers show no certificate; their keys name them.
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

// closed returns the addresses of all processes that demand a certificate.
func (c *cluster) closed() []string {
	var out []string
	for _, v := range c.vms {
		out = append(out, v.GatewayPeerAddr, v.ControllerPeerAddr, v.ControllerAddr, v.gatewayMetrics, v.controllerMetrics)
	}
	return out
}

// admits tells whether a server serves a client with an identity, and returns the name of the authority of its certificate.
func (c *cluster) admits(addr string, config *tls.Config) (admitted bool, authority string) {
	config = config.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		return false, ""
	}
	defer conn.Close()
	authority = conn.ConnectionState().PeerCertificates[0].Issuer.CommonName
	// With TLS 1.3 the server's verdict on the certificate comes after the handshake. Any answer to a request is one to an admitted client.
	if conn.ConnectionState().NegotiatedProtocol == "h2" {
		_, err = conn.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	} else {
		_, err = conn.Write([]byte("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return err == nil, authority
}

// awaitEverywhere waits until every process that demands a certificate admits a client with an identity, or refuses it, and shows a
// certificate of an authority.
func (c *cluster) awaitEverywhere(what string, config *tls.Config, want bool, from string) {
	c.t.Helper()
	for _, addr := range c.closed() {
		c.await(what+" at "+addr, func() bool {
			admitted, authority := c.admits(addr, config)
			return admitted == want && (authority == from || !want && authority == "")
		})
	}
}

// refuses fails the test when a server that demands certificates serves a client without a good one.
func (c *cluster) refuses(who string, config *tls.Config) {
	c.t.Helper()
	for _, addr := range c.closed() {
		if admitted, _ := c.admits(addr, config); admitted {
			c.t.Errorf("%s serves %s", addr, who)
		}
	}
}

// streams runs streamed chats at all gateways, one after the other at each, until it is told to stop. It returns how many were whole.
func (c *cluster) streams() (stop func() int) {
	ended, done := make(chan struct{}), make(chan int)
	for vm := range c.vms {
		go func() {
			whole := 0
			for {
				const prompt = "log of the season"
				if r := c.chat(vm, "skippers", prompt, 40, true); !r.whole || r.text != expected(prompt, 40) {
					c.t.Errorf("G2: a stream at %s was not whole while certificates were replaced: %+v", c.vms[vm].Name, r.err)
				} else {
					whole++
				}
				select {
				case <-ended:
					done <- whole
					return
				default:
				}
			}
		}()
	}
	return func() int {
		close(ended)
		whole := 0
		for range c.vms {
			whole += <-done
		}
		return whole
	}
}

// Guards against a side that has no TLS or that serves a peer without a certificate of the configured authority, and against
// certificates whose replacement needs a restart or cuts a stream. Everything runs over TLS: callers, operators, the system's own
// connections, the platform and the endpoints.
func TestEverythingOverTLS(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, services: 1, tls: true, engine: standin.EngineConfig{DecodeRate: 20}})
	s := c.tls
	stranger := loadTLS(t, certtest.NewAuthority(t, "stranger").WriteCertificateFiles(t.TempDir(), s.hosts, s.first, s.second)).ClientConfig("")
	first := loadTLS(t, s.first.WriteCertificateFiles(t.TempDir(), s.hosts, s.first, s.second)).ClientConfig("")
	second := loadTLS(t, s.second.WriteCertificateFiles(t.TempDir(), s.hosts, s.first, s.second)).ClientConfig("")
	c.awaitEverywhere("a peer of the authority", first, true, "first")
	c.refuses("a peer of another authority", stranger)
	c.refuses("a peer without a certificate", &tls.Config{InsecureSkipVerify: true})
	c.commandLineOverTLS()

	stop := c.streams()
	s.first.WriteCertificateFiles(s.dirs.processes, s.hosts, s.first, s.second)
	s.first.WriteCertificateFiles(s.dirs.standins, s.hosts, s.first, s.second)
	s.reloadStandins(t)
	c.awaitEverywhere("trust in the second authority", second, true, "first")
	s.second.WriteCertificateFiles(s.dirs.processes, s.hosts, s.first, s.second)
	c.awaitEverywhere("a certificate of the second authority", second, true, "second")
	s.second.WriteCertificateFiles(s.dirs.standins, s.hosts, s.first, s.second)
	s.reloadStandins(t)
	s.second.WriteCertificateFiles(s.dirs.processes, s.hosts)
	c.awaitEverywhere("the end of the first authority", first, false, "second")
	s.second.WriteCertificateFiles(s.dirs.standins, s.hosts)
	s.reloadStandins(t)
	if whole := stop(); whole < vmCount {
		t.Errorf("only %d streams were whole", whole)
	}
	s.second.WriteCertificateFiles(s.dirs.callers, s.hosts, s.first, s.second)
	if err := s.callers.Reload(); err != nil {
		t.Fatal(err)
	}
	c.client.CloseIdleConnections()
	c.refuses("a peer of the first authority", first)
	c.commandLineOverTLS()
	key := c.issueKey("clerks")
	for vm := range vmCount {
		c.await("the new key "+key, func() bool { return c.chat(vm, "clerks", "after", 2, true).whole })
	}
	c.check()
}

func (s *clusterTLS) reloadStandins(t testing.TB) {
	t.Helper()
	if err := s.standins.Reload(); err != nil {
		t.Fatal(err)
	}
}

// commandLineOverTLS checks that crocusgladectl reaches a controller with the callers' certificate, and not without it.
func (c *cluster) commandLineOverTLS() {
	c.t.Helper()
	run := func(flags ...string) (int, string) { return c.ctl(0, append(slices.Clone(flags), "status")...) }
	dir := c.tls.dirs.callers
	identity := []string{"--server-tls-ca=" + dir + "/ca.pem", "--server-tls-cert=" + dir + "/cert.pem", "--server-tls-key=" + dir + "/key.pem"}
	if code, out := run(identity...); code != ctl.ExitOK || !strings.Contains(out, "vm-4") {
		c.t.Errorf("status over TLS: exit code %d:\n%s", code, out)
	}
	for _, flags := range [][]string{nil, identity[:1]} {
		if code, out := run(flags...); code != ctl.ExitFailed {
			c.t.Errorf("status with %v: exit code %d:\n%s", flags, code, out)
		}
	}
}
