package settings

import (
	"io"
	"time"
)

// Gateway holds the settings of `crocusgladed gateway`.
type Gateway struct {
	Common
	// Listen and Advertise are the addresses for callers.
	Listen    string
	Advertise string
	CallerTLS TLSFiles
	// EntryLifetime is how long callers keep an address that GET /v1/entry gave them.
	EntryLifetime time.Duration
	// DrainLimit bounds the wait for requests in progress after SIGTERM, counted from the end of EntryLifetime.
	DrainLimit time.Duration
}

// LoadGateway reads the settings of a gateway. The error is a *ValidationError or flag.ErrHelp.
func LoadGateway(args []string, help io.Writer) (*Gateway, error) {
	f, g := gatewayForm()
	return g, f.load(args, help)
}

func gatewayForm() (*form, *Gateway) {
	f, g := newForm("crocusgladed gateway", "serves callers on an entry VM"), &Gateway{}
	f.listen(&g.Listen, "listen", "0.0.0.0:8080", "address for callers")
	f.advertise(&g.Advertise, "advertise", &g.Listen, "listen", "address that callers connect to")
	f.serverTLS(&g.CallerTLS, "caller", "connections of callers", "listen", &g.Listen)
	f.duration(&g.EntryLifetime, "entry-lifetime", 30*time.Second,
		"how long callers keep an address from GET /v1/entry", time.Second, 10*time.Minute)
	f.duration(&g.DrainLimit, "drain-limit", 10*time.Minute,
		"longest wait for requests in progress after SIGTERM, counted from the end of --entry-lifetime", 0, 24*time.Hour)
	f.node(&g.Common, "0.0.0.0:8081", "0.0.0.0:8082")
	return f, g
}
