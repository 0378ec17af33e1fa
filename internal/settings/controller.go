package settings

import (
	"io"
	"time"
)

// Controller holds the settings of `crocusgladed controller`.
type Controller struct {
	Common
	// AdminListen and AdminAdvertise are the addresses of the administration API.
	AdminListen    string
	AdminAdvertise string
	AdminTLS       TLSFiles
	// BootstrapCredential is the administrator credential that scoped ones are made with; empty turns it off.
	BootstrapCredential string
	// DrainLimit bounds the wait for administration calls in progress after SIGTERM.
	DrainLimit time.Duration
}

// LoadController reads the settings of a controller. The error is a *ValidationError or flag.ErrHelp.
func LoadController(args []string, help io.Writer) (*Controller, error) {
	f, c := controllerForm()
	return c, f.load(args, help)
}

func controllerForm() (*form, *Controller) {
	f, c := newForm("crocusgladed controller", "serves administration, relays configuration and runs duties"), &Controller{}
	f.listen(&c.AdminListen, "admin-listen", "0.0.0.0:8090", "address of the administration API")
	f.advertise(&c.AdminAdvertise, "admin-advertise", &c.AdminListen, "admin-listen",
		"address that operators connect to")
	f.serverTLS(&c.AdminTLS, "admin", "connections of operators", "admin-listen", &c.AdminListen)
	f.secret(&c.BootstrapCredential, "bootstrap-credential",
		"administrator credential that scoped ones are made with; none turns it off", leastSecretBytes, false)
	f.duration(&c.DrainLimit, "drain-limit", 10*time.Second,
		"longest wait for administration calls in progress after SIGTERM", 0, 10*time.Minute)
	f.node(&c.Common, "0.0.0.0:8091", "0.0.0.0:8092")
	return f, c
}
