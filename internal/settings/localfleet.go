package settings

import (
	"io"
	"time"
)

// Localfleet holds the settings of localfleet.
type Localfleet struct {
	// Once ends the fleet after the sample requests.
	Once bool
	// BasePort is the first of the loopback ports that the fleet uses.
	BasePort int
	// Requests is the number of sample requests.
	Requests int
	// StartLimit bounds the wait until all processes are ready.
	StartLimit time.Duration
	LogLevel   string
}

// LoadLocalfleet reads the settings of localfleet. The error is a *ValidationError or flag.ErrHelp.
func LoadLocalfleet(args []string, help io.Writer) (*Localfleet, error) {
	f, l := localfleetForm()
	return l, f.load(args, help)
}

func localfleetForm() (*form, *Localfleet) {
	f, l := newForm("localfleet", "starts stand-ins, four gateways and four controllers on loopback"), &Localfleet{}
	f.boolean(&l.Once, "once", false, "end by itself after the sample requests, with code 0 when all answers were whole")
	f.count(&l.BasePort, "base-port", 17000, "first of the 100 loopback ports that the fleet uses", 1024, 65000)
	f.count(&l.Requests, "requests", 24, "sample requests", 1, 10000)
	f.duration(&l.StartLimit, "start-limit", 60*time.Second, "longest wait until all processes are ready", time.Second, time.Hour)
	f.choice(&l.LogLevel, "log-level", "warn", "least level of the daemons' log lines", "debug", "info", "warn", "error")
	return f, l
}
