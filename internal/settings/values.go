package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// namePattern is the pattern of names that appear in object names, addresses and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// shortName registers a name that matches namePattern. Unless it is required, it may be empty.
func (r *registry) shortName(p *string, name, defaultValue, usage string, required bool) {
	r.addText(name, defaultValue, usage, func(raw string) {
		*p = raw
		if raw == "" && !required {
			return
		}
		if !namePattern.MatchString(raw) {
			r.addInvalid(name, "use 1 to 63 lower-case letters, digits, dots and dashes", "%q is not a valid name", raw)
		}
	})
}

// choice registers a setting with a fixed list of allowed values.
func (r *registry) choice(p *string, name, defaultValue, usage string, values ...string) {
	r.addText(name, defaultValue, usage+" ("+strings.Join(values, ", ")+")", func(raw string) {
		*p = raw
		if !slices.Contains(values, raw) {
			r.addInvalid(name, "use one of: "+strings.Join(values, ", "), "%q is not an allowed value", raw)
		}
	})
}

// duration registers a duration from minimum to maximum.
func (r *registry) duration(p *time.Duration, name string, defaultValue time.Duration, usage string, minimum, maximum time.Duration) {
	usage = fmt.Sprintf("%s (duration with unit, %v to %v)", usage, minimum, maximum)
	r.addText(name, defaultValue.String(), usage, func(raw string) {
		d, err := time.ParseDuration(raw)
		if err != nil {
			r.addInvalid(name, "write a number with a unit, such as 30s or 5m", "%q is not a duration", raw)
			return
		}
		if d < minimum || d > maximum {
			r.addInvalid(name, fmt.Sprintf("use %v to %v", minimum, maximum), "%v is out of range", d)
		}
		*p = d
	})
}

// integer registers a whole number from minimum to maximum.
func (r *registry) integer(p *int, name string, defaultValue int, usage string, minimum, maximum int) {
	usage = fmt.Sprintf("%s (whole number, %d to %d)", usage, minimum, maximum)
	r.addText(name, strconv.Itoa(defaultValue), usage, func(raw string) {
		n, err := strconv.Atoi(raw)
		if err != nil {
			r.addInvalid(name, "write a whole number", "%q is not a whole number", raw)
			return
		}
		if n < minimum || n > maximum {
			r.addInvalid(name, fmt.Sprintf("use %d to %d", minimum, maximum), "%d is out of range", n)
		}
		*p = n
	})
}

// positiveNumber registers a positive number.
func (r *registry) positiveNumber(p *float64, name string, defaultValue float64, usage string) {
	r.addText(name, strconv.FormatFloat(defaultValue, 'g', -1, 64), usage, func(raw string) {
		n, err := strconv.ParseFloat(raw, 64)
		if err != nil || !(n > 0 && n < 1e12) {
			r.addInvalid(name, "write a number above 0", "%q is not a positive number", raw)
			return
		}
		*p = n
	})
}

// boolean registers a boolean. The flag --name means --name=true.
func (r *registry) boolean(p *bool, name string, defaultValue bool, usage string) {
	raw := rawValue(strconv.FormatBool(defaultValue))
	r.addValue(name, string(raw), usage+" (true or false)", boolValue{&raw}, &raw, func(raw string) {
		b, err := strconv.ParseBool(raw)
		if err != nil {
			r.addInvalid(name, "write true or false", "%q is neither true nor false", raw)
		}
		*p = b
	})
}

// baseURL registers the base URL of a server.
func (r *registry) baseURL(p *string, name, defaultValue, usage string) {
	r.addText(name, defaultValue, usage, func(raw string) {
		u, err := url.Parse(raw)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			r.addInvalid(name, "write it as http://ADDRESS:PORT or https://ADDRESS:PORT", "%q is not a server URL", raw)
			return
		}
		*p = strings.TrimSuffix(raw, "/")
	})
}

// listen registers a listen address. Its host must be an IP address, because VMs resolve no names.
func (r *registry) listen(p *string, name, defaultValue, usage string) {
	r.addText(name, defaultValue, usage+" (IP:port)", func(raw string) {
		*p = raw
		if _, err := netip.ParseAddrPort(raw); err != nil {
			r.addInvalid(name, "write an IP address and a port, such as 10.0.0.5:8080 or [::]:8080", "%q is not an IP:port", raw)
		}
	})
}

// advertise registers the address that others connect to. Empty means the listen address, which must then not be the
// unspecified address.
func (r *registry) advertise(p *string, name string, listen *string, listenFlag, usage string) {
	r.addText(name, "", usage+" (IP:port; empty means the value of --"+listenFlag+")", func(raw string) {
		if raw == "" {
			raw = *listen
			if listenAddr, err := netip.ParseAddrPort(raw); err == nil && listenAddr.Addr().IsUnspecified() {
				r.addInvalid(name, "give the IP:port that others connect to", "it is empty and --%s is %s", listenFlag, raw)
			}
			*p = raw
			return
		}
		*p = raw
		addr, err := netip.ParseAddrPort(raw)
		if err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0 {
			r.addInvalid(name, "write an IP address and a port that others can connect to",
				"%q is not an address that others can connect to", raw)
		}
	})
}

// secret registers a secret that is read from a file or an environment variable. It is never the value of a flag, because command
// lines are visible to other users of the machine.
func (r *registry) secret(p *string, name, usage string, minBytes int, required bool) {
	env := EnvName(name)
	fileFlag := name + "-file"
	r.addText(fileFlag, "", usage+": path of the file that contains it", func(path string) {
		value := os.Getenv(env)
		if path != "" && value != "" {
			r.addInvalid(fileFlag, "set only one of the two", "%s is also set", env)
			return
		}
		if path != "" {
			content := r.readFile(fileFlag, path)
			if content == nil {
				return
			}
			value = string(content)
		}
		*p = value
		if value == "" && !required {
			return
		}
		if len(value) < minBytes {
			r.addInvalid(fileFlag, fmt.Sprintf("give a file, or set %s, with at least %d bytes", env, minBytes),
				"the secret has %d bytes", len(value))
		}
	})
	r.entries = append(r.entries, entry{env: env, usage: usage + ": the value itself"})
}

// TLSFiles contains the paths of the TLS files for one kind of connection. All empty means plain TCP. Daemons reload the files when
// they change.
type TLSFiles struct {
	// Cert and Key are the PEM files of this process's certificate and its private key.
	Cert, Key string
	// CA is the PEM file of the certificate authority that must have issued the other side's certificate.
	CA string
}

// tlsFiles registers the TLS files for one kind of connection, as flags that start with prefix. A server with a CA requires client
// certificates.
func (r *registry) tlsFiles(p *TLSFiles, prefix, usage string) {
	certName, keyName, caName := prefix+"-tls-cert", prefix+"-tls-key", prefix+"-tls-ca"
	r.addText(certName, "", usage+": PEM file with this process's certificate", func(raw string) { p.Cert = raw })
	r.addText(keyName, "", usage+": PEM file with this process's private key", func(raw string) { p.Key = raw })
	r.addText(caName, "", usage+": PEM file with the CA that must have issued the other side's certificate",
		func(raw string) { p.CA = raw })
	r.addCheck(func() {
		if (p.Cert == "") != (p.Key == "") {
			r.addInvalid(certName, "set both or neither", "only one of --%s and --%s is set", certName, keyName)
		} else if p.Cert != "" {
			if _, err := tls.LoadX509KeyPair(p.Cert, p.Key); err != nil {
				r.addInvalid(certName, "give the paths of the PEM files of a certificate and its key", "%v", err)
			}
		}
		if p.CA == "" {
			return
		}
		if pem := r.readFile(caName, p.CA); pem != nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
			r.addInvalid(caName, "give the path of a PEM file with a certificate", "%s contains no certificate", p.CA)
		}
	})
}

// serverTLS registers the TLS files of a server. Without a certificate it may listen on loopback only.
func (r *registry) serverTLS(p *TLSFiles, prefix, usage, listenFlag string, listen *string) {
	r.tlsFiles(p, prefix, usage)
	r.addCheck(func() {
		addr, err := netip.ParseAddrPort(*listen)
		if err == nil && p.Cert == "" && !apitypes.IsLoopback(addr.Addr().String()) {
			r.addInvalid(listenFlag, fmt.Sprintf("set --%s-tls-cert and --%s-tls-key, or listen on a loopback address", prefix, prefix),
				"plain TCP on %s is not allowed", *listen)
		}
	})
}

// requireTLSURL registers a check that a URL uses https, unless its host is on loopback.
func (r *registry) requireTLSURL(p *string, name string) {
	r.addCheck(func() {
		u, err := url.Parse(*p)
		if err == nil && u.Scheme == "http" && !apitypes.IsLoopback(u.Hostname()) {
			r.addInvalid(name, "write it as https://ADDRESS:PORT, or use a loopback address", "plain TCP to %s is not allowed", u.Host)
		}
	})
}
