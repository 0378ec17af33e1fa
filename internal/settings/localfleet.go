package settings

import (
	"io"
	"time"
)

// Localfleet contains the settings of localfleet, which runs a whole deployment on loopback.
type Localfleet struct {
	// Once stops all processes after the sample requests.
	Once bool
	// BasePort is the first of the 100 loopback ports that are used.
	BasePort int
	// Requests is the number of sample requests.
	Requests int
	// StartLimit is the maximum wait until all processes are ready.
	StartLimit time.Duration
	LogLevel   string
}

// LoadLocalfleet reads the settings of localfleet. The error is a *ValidationError or flag.ErrHelp.
func LoadLocalfleet(args []string, help io.Writer) (*Localfleet, error) {
	r, l := localfleetRegistry()
	return l, r.load(args, help)
}

func localfleetRegistry() (*registry, *Localfleet) {
	r, l := newRegistry("localfleet", "starts stand-ins, four gateways and four controllers on loopback"), &Localfleet{}
	r.boolean(&l.Once, "once", false, "exit after the sample requests, with code 0 when all responses were complete")
	r.integer(&l.BasePort, "base-port", 17000, "first of the 100 loopback ports that are used", 1024, 65000)
	r.integer(&l.Requests, "requests", 24, "number of sample requests", 1, 10000)
	r.duration(&l.StartLimit, "start-limit", 60*time.Second, "maximum wait until all processes are ready", time.Second, time.Hour)
	r.choice(&l.LogLevel, "log-level", "warn", "minimum level of the daemons' log lines", "debug", "info", "warn", "error")
	return r, l
}
