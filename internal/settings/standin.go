package settings

import "io"

// StandinPlatform holds the settings of `standin platform`.
type StandinPlatform struct {
	Listen string
	// VMsFile and EndpointsFile are JSON files with the list of VMs and the provider's endpoints by pool.
	VMsFile       string
	EndpointsFile string
}

// StandinEndpoint holds the settings of `standin engine` and `standin service`.
type StandinEndpoint struct {
	Listen string
	Name   string
	// Model, Version, PrefillRate (tokens/s), DecodeRate (tokens/s) and Slots are for engines.
	Model       string
	Version     string
	Slots       int
	PrefillRate float64
	DecodeRate  float64
	ChecksFence bool
}

// LoadStandinPlatform reads the settings of a stand-in platform. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinPlatform(args []string, help io.Writer) (*StandinPlatform, error) {
	f, s := standinPlatformForm()
	return s, f.load(args, help)
}

// LoadStandinEngine reads the settings of a stand-in engine. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinEngine(args []string, help io.Writer) (*StandinEndpoint, error) {
	f, s := standinEngineForm()
	return s, f.load(args, help)
}

// LoadStandinService reads the settings of a stand-in service. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinService(args []string, help io.Writer) (*StandinEndpoint, error) {
	f, s := standinServiceForm()
	return s, f.load(args, help)
}

func standinPlatformForm() (*form, *StandinPlatform) {
	f, s := newForm("standin platform", "in-memory platform for tests and demos"), &StandinPlatform{}
	f.listen(&s.Listen, "listen", "127.0.0.1:7000", "address to serve on")
	f.add("vms-file", "", "JSON file with the list of VMs", func(raw string) { s.VMsFile = raw })
	f.add("endpoints-file", "", "JSON file with an object of pool names and lists of endpoints",
		func(raw string) { s.EndpointsFile = raw })
	return f, s
}

func standinEngineForm() (*form, *StandinEndpoint) {
	f, s := newForm("standin engine", "model engine for tests and demos"), &StandinEndpoint{}
	f.listen(&s.Listen, "listen", "127.0.0.1:7100", "address to serve on")
	f.label(&s.Name, "name", "engine", "name of the endpoint", true)
	f.label(&s.Model, "model", "logreader", "model that it serves", true)
	f.label(&s.Version, "model-version", "1", "version of the model", true)
	f.count(&s.Slots, "slots", 16, "requests that run at once", 1, 4096)
	f.rate(&s.PrefillRate, "prefill-rate", 20000, "prompt tokens per second")
	f.rate(&s.DecodeRate, "decode-rate", 200, "output tokens per second of one request")
	f.boolean(&s.ChecksFence, "checks-fence", true, "refuse orders with an old fencing number")
	return f, s
}

func standinServiceForm() (*form, *StandinEndpoint) {
	f, s := newForm("standin service", "plain service for tests and demos"), &StandinEndpoint{}
	f.listen(&s.Listen, "listen", "127.0.0.1:7200", "address to serve on")
	f.label(&s.Name, "name", "service", "name of the endpoint", true)
	return f, s
}
