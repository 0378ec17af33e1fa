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

// nameForm is the form of names that appear in object names, addresses and metric labels.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// label registers a required or optional short name.
func (f *form) label(p *string, name, fallback, usage string, required bool) {
	f.add(name, fallback, usage, func(raw string) {
		*p = raw
		if raw == "" && !required {
			return
		}
		if !nameForm.MatchString(raw) {
			f.wrong(name, "use 1 to 63 lower-case letters, digits, dots and dashes", "%q is not a name", raw)
		}
	})
}

// choice registers a setting with a fixed list of values.
func (f *form) choice(p *string, name, fallback, usage string, values ...string) {
	f.add(name, fallback, usage+" ("+strings.Join(values, ", ")+")", func(raw string) {
		*p = raw
		if !slices.Contains(values, raw) {
			f.wrong(name, "use one of: "+strings.Join(values, ", "), "%q is unknown", raw)
		}
	})
}

// duration registers a length of time between least and most.
func (f *form) duration(p *time.Duration, name string, fallback time.Duration, usage string, least, most time.Duration) {
	usage = fmt.Sprintf("%s (duration with unit, %v to %v)", usage, least, most)
	f.add(name, fallback.String(), usage, func(raw string) {
		d, err := time.ParseDuration(raw)
		if err != nil {
			f.wrong(name, "write a number with a unit, such as 30s or 5m", "%q is not a duration", raw)
			return
		}
		if d < least || d > most {
			f.wrong(name, fmt.Sprintf("use %v to %v", least, most), "%v is out of range", d)
		}
		*p = d
	})
}

// count registers a whole number between least and most.
func (f *form) count(p *int, name string, fallback int, usage string, least, most int) {
	usage = fmt.Sprintf("%s (whole number, %d to %d)", usage, least, most)
	f.add(name, strconv.Itoa(fallback), usage, func(raw string) {
		n, err := strconv.Atoi(raw)
		if err != nil {
			f.wrong(name, "write a whole number", "%q is not a whole number", raw)
			return
		}
		if n < least || n > most {
			f.wrong(name, fmt.Sprintf("use %d to %d", least, most), "%d is out of range", n)
		}
		*p = n
	})
}

// rate registers a positive number.
func (f *form) rate(p *float64, name string, fallback float64, usage string) {
	f.add(name, strconv.FormatFloat(fallback, 'g', -1, 64), usage, func(raw string) {
		n, err := strconv.ParseFloat(raw, 64)
		if err != nil || !(n > 0 && n < 1e12) {
			f.wrong(name, "write a number above 0", "%q is not a positive number", raw)
			return
		}
		*p = n
	})
}

// boolean registers a switch: --name means --name=true.
func (f *form) boolean(p *bool, name string, fallback bool, usage string) {
	raw := text(strconv.FormatBool(fallback))
	f.register(name, string(raw), usage+" (true or false)", switchText{&raw}, &raw, func(raw string) {
		b, err := strconv.ParseBool(raw)
		if err != nil {
			f.wrong(name, "write true or false", "%q is neither true nor false", raw)
		}
		*p = b
	})
}

// webURL registers the base URL of a server.
func (f *form) webURL(p *string, name, fallback, usage string) {
	f.add(name, fallback, usage, func(raw string) {
		u, err := url.Parse(raw)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			f.wrong(name, "write it as http://ADDRESS:PORT or https://ADDRESS:PORT", "%q is not a URL of a server", raw)
			return
		}
		*p = strings.TrimSuffix(raw, "/")
	})
}

// listen registers an address to listen on. Its host is an IP number, because VMs resolve no names.
func (f *form) listen(p *string, name, fallback, usage string) {
	f.add(name, fallback, usage+" (IP:port)", func(raw string) {
		*p = raw
		if _, err := netip.ParseAddrPort(raw); err != nil {
			f.wrong(name, "write an IP number and a port, such as 10.0.0.5:8080 or [::]:8080", "%q is not an IP:port", raw)
		}
	})
}

// advertise registers the address that others connect to. Empty means the listen address, which must then be
// a specific one.
func (f *form) advertise(p *string, name string, listen *string, listenName, usage string) {
	f.add(name, "", usage+" (IP:port; empty means the value of --"+listenName+")", func(raw string) {
		if raw == "" {
			raw = *listen
			if own, err := netip.ParseAddrPort(raw); err == nil && own.Addr().IsUnspecified() {
				f.wrong(name, "give the IP:port that others connect to", "it is empty and --%s is %s", listenName, raw)
			}
			*p = raw
			return
		}
		*p = raw
		address, err := netip.ParseAddrPort(raw)
		if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
			f.wrong(name, "write an IP number and a port that others can connect to", "%q can't be advertised", raw)
		}
	})
}

// secret registers a secret that a file or an environment variable holds. It is never a flag's value, because
// command lines are visible to other users of the machine.
func (f *form) secret(p *string, name, usage string, leastBytes int, required bool) {
	env := EnvName(name)
	fileFlag := name + "-file"
	f.add(fileFlag, "", usage+": file that holds it", func(path string) {
		value := os.Getenv(env)
		if path != "" && value != "" {
			f.wrong(fileFlag, "set only one of them", "%s is set too", env)
			return
		}
		if path != "" {
			read := f.readFile(fileFlag, path)
			if read == nil {
				return
			}
			value = string(read)
		}
		*p = value
		if value == "" && !required {
			return
		}
		if len(value) < leastBytes {
			f.wrong(fileFlag, fmt.Sprintf("give a file, or set %s, with at least %d bytes", env, leastBytes),
				"the secret has %d bytes", len(value))
		}
	})
	f.entries = append(f.entries, entry{env: env, usage: usage + ": the value itself"})
}

// TLSFiles names the TLS files of one side. All empty means plain TCP. Daemons read the files again when they change.
type TLSFiles struct {
	// Cert and Key are the own certificate and key, in PEM.
	Cert, Key string
	// CA is the certificate authority that the other side must show a certificate of, in PEM.
	CA string
}

// tlsFiles registers the TLS files of one side. A CA makes a server demand certificates of its clients.
func (f *form) tlsFiles(p *TLSFiles, side, usage string) {
	certName, keyName, caName := side+"-tls-cert", side+"-tls-key", side+"-tls-ca"
	f.add(certName, "", usage+": PEM file of the own certificate", func(raw string) { p.Cert = raw })
	f.add(keyName, "", usage+": PEM file of the own key", func(raw string) { p.Key = raw })
	f.add(caName, "", usage+": PEM file of the authority that the other side's certificate must come from",
		func(raw string) { p.CA = raw })
	f.later(func() {
		if (p.Cert == "") != (p.Key == "") {
			f.wrong(certName, "set both or neither", "only one of --%s and --%s is set", certName, keyName)
		} else if p.Cert != "" {
			if _, err := tls.LoadX509KeyPair(p.Cert, p.Key); err != nil {
				f.wrong(certName, "name PEM files of a certificate and its key", "%v", err)
			}
		}
		if p.CA == "" {
			return
		}
		if pem := f.readFile(caName, p.CA); pem != nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
			f.wrong(caName, "name a PEM file with a certificate", "%s holds no certificate", p.CA)
		}
	})
}

// serverTLS registers the TLS files of a side that listens. Without them it may listen on loopback only.
func (f *form) serverTLS(p *TLSFiles, side, usage, listenName string, listen *string) {
	f.tlsFiles(p, side, usage)
	f.later(func() {
		address, err := netip.ParseAddrPort(*listen)
		if err == nil && p.Cert == "" && !apitypes.IsLoopback(address.Addr().String()) {
			f.wrong(listenName, fmt.Sprintf("set --%s-tls-cert and --%s-tls-key, or listen on a loopback address", side, side),
				"plain TCP on %s is not allowed", *listen)
		}
	})
}

// securedURL checks that a URL is plain HTTP only on loopback.
func (f *form) securedURL(p *string, name string) {
	f.later(func() {
		u, err := url.Parse(*p)
		if err == nil && u.Scheme == "http" && !apitypes.IsLoopback(u.Hostname()) {
			f.wrong(name, "write it as https://ADDRESS:PORT, or use a loopback address", "plain TCP to %s is not allowed", u.Host)
		}
	})
}
