package settings

import (
	"flag"
	"time"
)

// Ctl contains the settings that all commands of crocusgladectl have in common. Their flags precede the command's name.
type Ctl struct {
	// Server is the base URL of a controller's administration API.
	Server     string
	Credential string
	TLS        TLSFiles
	Timeout    time.Duration
}

// RegisterCtlFlags registers the common settings of crocusgladectl on flags, which the caller parses. After that, load reads the
// environment and checks all values; its error is a *ValidationError. Commands that need no server don't call load.
func RegisterCtlFlags(flags *flag.FlagSet) (load func() (*Ctl, error)) {
	r, c := ctlRegistry()
	r.flags.VisitAll(func(fl *flag.Flag) { flags.Var(fl.Value, fl.Name, fl.Usage) })
	r.flags = flags
	return func() (*Ctl, error) { return c, r.parseEnvAndCheck() }
}

func ctlRegistry() (*registry, *Ctl) {
	r, c := newRegistry("crocusgladectl", "command line of the administration API"), &Ctl{}
	r.baseURL(&c.Server, "server", "http://127.0.0.1:8090", "base URL of a controller's administration API")
	r.requireTLSURL(&c.Server, "server")
	r.secret(&c.Credential, "credential", "administrator credential", 1, true)
	r.tlsFiles(&c.TLS, "server", "connections to the administration API")
	r.duration(&c.Timeout, "timeout", 30*time.Second, "maximum duration of one call", time.Second, 10*time.Minute)
	return r, c
}
