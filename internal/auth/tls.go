package auth

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// reloadPeriod is the time between two looks at the files of certificates.
const reloadPeriod = 10 * time.Second

// TLSFiles names the PEM files of one identity.
type TLSFiles struct {
	// Cert and Key hold the process's certificate chain and private key.
	Cert, Key string
	// CA holds the authorities that sign the other side's certificates; empty when the other side shows none.
	CA string
}

// TLS is an identity that is read again when its files change, without a restart. Files that can't be used leave the last
// good identity in force.
type TLS struct {
	files    TLSFiles
	current  atomic.Pointer[identity]
	mu       sync.Mutex
	raw      [3][]byte
	failures atomic.Uint64
}

type identity struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// LoadTLS reads the files once and fails when they can't be used.
func LoadTLS(files TLSFiles) (*TLS, error) {
	t := &TLS{files: files}
	if err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Reload reads the files. On an error the last good identity stays in force.
func (t *TLS) Reload() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var raw [3][]byte
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "auth: read TLS file; check the setting and the file's permissions")
		}
		raw[i] = data
	}
	if t.current.Load() != nil && bytes.Equal(raw[0], t.raw[0]) && bytes.Equal(raw[1], t.raw[1]) && bytes.Equal(raw[2], t.raw[2]) {
		return nil
	}
	cert, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return errors.Wrapf(err, "auth: certificate %s and key %s; write a matching PEM pair", t.files.Cert, t.files.Key)
	}
	id := &identity{cert: &cert}
	if t.files.CA != "" {
		id.roots = x509.NewCertPool()
		if !id.roots.AppendCertsFromPEM(raw[2]) {
			return errors.Errorf("auth: %s holds no PEM certificate; write the authorities' certificates into it", t.files.CA)
		}
	}
	t.raw = raw
	t.current.Store(id)
	return nil
}

// Run reads the files again periodically until ctx ends.
func (t *TLS) Run(ctx context.Context) error {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := t.Reload(); err != nil {
			t.failures.Add(1)
		}
	}
}

// ReloadFailures returns the number of reloads that failed.
func (t *TLS) ReloadFailures() uint64 { return t.failures.Load() }

// ServerConfig returns the configuration of a server. When mutual is true, clients must show a certificate signed by one of the
// authorities in the CA file.
func (t *TLS) ServerConfig(mutual bool) *tls.Config {
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.current.Load().cert, nil },
	}
	if mutual {
		c.MinVersion = tls.VersionTLS13
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = func(s tls.ConnectionState) error { return t.verify(s, "", x509.ExtKeyUsageClientAuth) }
		// A resumed session would skip the check against authorities that were withdrawn since.
		c.SessionTicketsDisabled = true
	}
	return c
}

// PeerServerName is the DNS name that certificates of the system's own processes carry. VMs are replaced at any time, so a
// certificate names the deployment's processes and not one address.
const PeerServerName = "peer.crocusglade"

// ClientConfig returns the configuration of a client with mutual TLS. The server's certificate must be signed by one of the
// authorities in the CA file and be valid for serverName, or for PeerServerName when that is empty.
func (t *TLS) ClientConfig(serverName string) *tls.Config {
	if serverName == "" {
		serverName = PeerServerName
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.current.Load().cert, nil
		},
		// VerifyConnection checks the chain and the name against the CA file in force; RootCAs could not be reloaded.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return t.verify(s, serverName, x509.ExtKeyUsageServerAuth)
		},
	}
}

// Alerts by which a server refuses a client's certificate (RFC 8446, section 6). With TLS 1.3 they arrive after the client's handshake.
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// IsCertificateRejected tells whether a call failed because the other side refused the own certificate; it then read nothing of the call.
func IsCertificateRejected(err error) bool {
	// crypto/tls reports an alert as an error of an unexported type, whose text is that of the AlertError.
	var remote *net.OpError
	return errors.As(err, &remote) && remote.Op == "remote error" &&
		slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return a.Error() == remote.Err.Error() })
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// handshakeTimeout bounds a TLS handshake after the connection is open.
const handshakeTimeout = 2 * time.Second

// DialTLS returns a function that opens TLS connections over those of dial. The server's certificate must be valid for the host that
// is dialled. A nil TLS means the system's authorities and no client certificate.
func (t *TLS) DialTLS(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.Wrapf(err, "auth: address %q; use host:port", addr)
		}
		config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host}
		if t != nil {
			config = t.ClientConfig(host)
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

func (t *TLS) verify(s tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	roots := t.current.Load().roots
	if roots == nil || len(s.PeerCertificates) == 0 {
		return errors.New("auth: no authority is configured to check the certificate; set the CA file")
	}
	o := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}, DNSName: name}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return errors.Wrap(err, "auth: peer certificate; have it signed by an authority in the CA file, valid for the address")
	}
	return nil
}

// CheckPlaintextAllowed returns an error unless addr is on loopback: without TLS, keys would cross the network in the clear.
func CheckPlaintextAllowed(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrapf(err, "auth: address %q; use host:port", addr)
	}
	if apitypes.IsLoopback(host) {
		return nil
	}
	return errors.Errorf("auth: plain TCP on %s is not allowed; set the TLS files or use a loopback address", addr)
}
