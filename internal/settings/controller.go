package settings

import (
	"io"
	"time"
)

// Controller contains the settings of `crocusgladed controller`.
type Controller struct {
	Common
	// AdminListen and AdminAdvertise are the addresses of the administration API.
	AdminListen    string
	AdminAdvertise string
	AdminTLS       TLSFiles
	// BootstrapCredential is the administrator credential with which scoped credentials are created; empty disables it.
	BootstrapCredential string
	// DrainLimit is the maximum wait, after SIGTERM, for administration calls in progress.
	DrainLimit time.Duration
}

// LoadController reads the settings of a controller. The error is a *ValidationError or flag.ErrHelp.
func LoadController(args []string, help io.Writer) (*Controller, error) {
	r, c := controllerRegistry()
	return c, r.load(args, help)
}

func controllerRegistry() (*registry, *Controller) {
	r, c := newRegistry("crocusgladed controller", "serves administration, relays configuration and runs duties"), &Controller{}
	r.listen(&c.AdminListen, "admin-listen", "0.0.0.0:8090", "listen address of the administration API")
	r.advertise(&c.AdminAdvertise, "admin-advertise", &c.AdminListen, "admin-listen",
		"address that operators connect to")
	r.serverTLS(&c.AdminTLS, "admin", "connections from operators", "admin-listen", &c.AdminListen)
	r.secret(&c.BootstrapCredential, "bootstrap-credential",
		"administrator credential with which scoped credentials are created; empty disables it", minSecretBytes, false)
	r.duration(&c.DrainLimit, "drain-limit", 10*time.Second,
		"maximum wait for administration calls in progress after SIGTERM", 0, 10*time.Minute)
	r.common(&c.Common, "0.0.0.0:8091", "0.0.0.0:8092")
	return r, c
}
