package settings

import (
	"flag"
	"time"
)

// Ctl holds the settings of crocusgladectl that all commands share. Their flags stand before the command's name.
type Ctl struct {
	// Server is the base URL of a controller's administration API.
	Server     string
	Credential string
	TLS        TLSFiles
	Timeout    time.Duration
}

// RegisterCtlFlags registers the shared settings of crocusgladectl on flags, which the caller parses. The returned function
// then reads the environment and checks all values; its error is a *ValidationError. Commands that need no server don't call it.
func RegisterCtlFlags(flags *flag.FlagSet) (load func() (*Ctl, error)) {
	f, c := ctlForm()
	f.flags.VisitAll(func(one *flag.Flag) { flags.Var(one.Value, one.Name, one.Usage) })
	f.flags = flags
	return func() (*Ctl, error) { return c, f.finish() }
}

func ctlForm() (*form, *Ctl) {
	f, c := newForm("crocusgladectl", "command line of the administration API"), &Ctl{}
	f.webURL(&c.Server, "server", "http://127.0.0.1:8090", "base URL of a controller's administration API")
	f.securedURL(&c.Server, "server")
	f.secret(&c.Credential, "credential", "administrator credential", 1, true)
	f.tlsFiles(&c.TLS, "server", "connections to the administration API")
	f.duration(&c.Timeout, "timeout", 30*time.Second, "longest wait for one call", time.Second, 10*time.Minute)
	return f, c
}
