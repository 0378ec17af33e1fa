package apitypes

import (
	"net"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
)

// tlsPrefix is the prefix of the address of an endpoint that is called over TLS.
const tlsPrefix = "https://"

// IsLoopback reports whether a host (IP address or "localhost") is on loopback. Plain TCP is allowed only there.
func IsLoopback(host string) bool {
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap().IsLoopback()
}

// CheckEndpointAddr returns an error unless addr is "https://host:port", or "host:port" on loopback. The error text has the form
// "problem; remedy".
func CheckEndpointAddr(addr string) error {
	hostPort, secure := strings.CutPrefix(addr, tlsPrefix)
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil || host == "" || port == "" || port == "0" || strings.ContainsAny(hostPort, "/?#@") {
		return errors.Errorf("%q is not an address; use https://host:port, such as https://10.0.0.7:8443, or host:port on loopback", addr)
	}
	if !secure && !IsLoopback(host) {
		return errors.Errorf("plain TCP to %q is not allowed; write it as https://%s, or use a loopback address", addr, hostPort)
	}
	return nil
}

// EndpointURL returns the URL of a path on an endpoint. The error is that of CheckEndpointAddr.
func EndpointURL(addr, path string) (string, error) {
	if err := CheckEndpointAddr(addr); err != nil {
		return "", err
	}
	if strings.HasPrefix(addr, tlsPrefix) {
		return addr + path, nil
	}
	return "http://" + addr + path, nil
}
