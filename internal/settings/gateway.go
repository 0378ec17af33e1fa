package settings

import (
	"io"
	"time"
)

// Gateway contains the settings of `crocusgladed gateway`.
type Gateway struct {
	Common
	// Listen and Advertise are the addresses for callers.
	Listen    string
	Advertise string
	CallerTLS TLSFiles
	// EntryLifetime is how long callers may use an address that GET /v1/entry returned.
	EntryLifetime time.Duration
	// DrainLimit is the maximum wait, after SIGTERM, for requests in progress, counted from the end of EntryLifetime.
	DrainLimit time.Duration
	// BodyMemoryMB is the memory in MiB for the bodies of callers' requests.
	BodyMemoryMB int
	// CallerConnections is the maximum number of connections from callers.
	CallerConnections int
}

// LoadGateway reads the settings of a gateway. The error is a *ValidationError or flag.ErrHelp.
func LoadGateway(args []string, help io.Writer) (*Gateway, error) {
	r, g := gatewayRegistry()
	return g, r.load(args, help)
}

func gatewayRegistry() (*registry, *Gateway) {
	r, g := newRegistry("crocusgladed gateway", "serves callers on an entry VM"), &Gateway{}
	r.listen(&g.Listen, "listen", "0.0.0.0:8080", "listen address for callers")
	r.advertise(&g.Advertise, "advertise", &g.Listen, "listen", "address that callers connect to")
	r.serverTLS(&g.CallerTLS, "caller", "connections from callers", "listen", &g.Listen)
	r.duration(&g.EntryLifetime, "entry-lifetime", 30*time.Second,
		"how long callers may use an address from GET /v1/entry", time.Second, 10*time.Minute)
	r.duration(&g.DrainLimit, "drain-limit", 10*time.Minute,
		"maximum wait for requests in progress after SIGTERM, counted from the end of --entry-lifetime", 0, 24*time.Hour)
	r.integer(&g.BodyMemoryMB, "body-memory-mb", 32,
		"memory in MiB for the bodies of callers' requests; one team gets at most half of it, and the largest body needs up to twice its size", 16, 1<<20)
	r.integer(&g.CallerConnections, "caller-connections", 4096,
		"maximum number of connections from callers; half of the process's file descriptors if that is less", 16, 1<<20)
	r.common(&g.Common, "0.0.0.0:8081", "0.0.0.0:8082")
	return r, g
}
