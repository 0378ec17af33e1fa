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

// reloadPeriod is the interval at which the certificate files are read again.
const reloadPeriod = 10 * time.Second

// TLSFiles holds the paths of the PEM files of a TLS identity.
type TLSFiles struct {
	// Cert and Key are the paths of the process's certificate chain and private key.
	Cert, Key string
	// CA is the path of the certificate authorities that sign the peer's certificates; empty when peers present none.
	CA string
}

// TLS is a TLS identity that follows changes of its files without a restart. While the files are invalid, the last valid identity
// stays in use.
type TLS struct {
	files    TLSFiles
	current  atomic.Pointer[identity]
	mu       sync.Mutex
	contents [3][]byte // of the certificate, key and CA files that current was loaded from
	failures atomic.Uint64
}

// identity is the parsed content of the files.
type identity struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// LoadTLS reads the files once and returns an error when they are unreadable or invalid.
func LoadTLS(files TLSFiles) (*TLS, error) {
	t := &TLS{files: files}
	if err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Reload reads the files. On an error the last valid identity stays in use.
func (t *TLS) Reload() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var contents [3][]byte
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "auth: read TLS file; check the setting and the file's permissions")
		}
		contents[i] = data
	}
	if t.current.Load() != nil && bytes.Equal(contents[0], t.contents[0]) &&
		bytes.Equal(contents[1], t.contents[1]) && bytes.Equal(contents[2], t.contents[2]) {
		return nil
	}
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return errors.Wrapf(err, "auth: parse certificate %s and key %s; write a matching PEM pair", t.files.Cert, t.files.Key)
	}
	id := &identity{cert: &cert}
	if t.files.CA != "" {
		id.roots = x509.NewCertPool()
		if !id.roots.AppendCertsFromPEM(contents[2]) {
			return errors.Errorf("auth: CA file %s contains no PEM certificate; write the certificates of the authorities into it", t.files.CA)
		}
	}
	t.contents = contents
	t.current.Store(id)
	return nil
}

// Run reloads the files periodically until ctx ends and returns ctx's error. Failed reloads are counted.
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

// ServerConfig returns the TLS configuration of a server. When mutual is true, clients must present a certificate signed by one of the
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
		// A resumed session would skip the check against authorities that have been removed from the CA file since.
		c.SessionTicketsDisabled = true
	}
	return c
}

// PeerServerName is the DNS name in the certificates of the deployment's gateways and controllers. VMs can be replaced at any time, so
// certificates are issued for this name and not for an address.
const PeerServerName = "peer.crocusglade"

// ClientConfig returns the TLS configuration of a client that presents its certificate. The server's certificate must be signed by one
// of the authorities in the CA file and be valid for serverName, or for PeerServerName when serverName is empty.
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
		// VerifyConnection checks the chain and the name against the current CA file; RootCAs can't be changed after a reload.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return t.verify(s, serverName, x509.ExtKeyUsageServerAuth)
		},
	}
}

// certificateAlerts are the alerts with which a server rejects a client's certificate (RFC 8446, section 6). With TLS 1.3 they arrive
// after the client has completed its handshake.
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// IsCertificateRejected reports whether a call failed because the peer rejected this process's certificate. The peer has then read no
// part of the call.
func IsCertificateRejected(err error) bool {
	// crypto/tls reports an alert as an error of an unexported type with the same text as the AlertError.
	var remote *net.OpError
	return errors.As(err, &remote) && remote.Op == "remote error" &&
		slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return a.Error() == remote.Err.Error() })
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// handshakeTimeout limits the TLS handshake, after the TCP connection is open.
const handshakeTimeout = 2 * time.Second

// DialTLS returns a function that opens TLS connections on top of connections opened by dial. The server's certificate must be valid
// for the dialled host. With a nil receiver, the operating system's authorities are trusted and no client certificate is presented.
func (t *TLS) DialTLS(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.Wrapf(err, "auth: parse address %q; use host:port", addr)
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

// verify checks the peer's certificate chain against the current CA file. An empty name skips the check of the host name.
func (t *TLS) verify(s tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	roots := t.current.Load().roots
	if roots == nil || len(s.PeerCertificates) == 0 {
		return errors.New("auth: no CA file, or no peer certificate to verify; set the CA file")
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}, DNSName: name}
	for _, c := range s.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(options); err != nil {
		return errors.Wrap(err, "auth: verify peer certificate; have it signed by an authority in the CA file, valid for the address")
	}
	return nil
}

// CheckPlaintextAllowed returns an error unless addr is a loopback address with a port. Without TLS, keys would cross the network in
// clear text.
func CheckPlaintextAllowed(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrapf(err, "auth: parse address %q; use host:port", addr)
	}
	if apitypes.IsLoopback(host) {
		return nil
	}
	return errors.Errorf("auth: plain TCP on %s is not allowed; set the TLS files or use a loopback address", addr)
}
