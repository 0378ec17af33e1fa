package settings

import "io"

// StandinPlatform contains the settings of `standin platform`.
type StandinPlatform struct {
	Listen string
	// VMsFile and EndpointsFile are the paths of JSON files with the list of VMs and with the provider's endpoints by pool.
	VMsFile       string
	EndpointsFile string
}

// StandinEndpoint contains the settings of `standin engine` and `standin service`.
type StandinEndpoint struct {
	Listen string
	Name   string
	// The fields below apply to engines only. PrefillRate and DecodeRate are in tokens per second.
	Model       string
	Version     string
	Slots       int
	PrefillRate float64
	DecodeRate  float64
	ChecksFence bool
}

// LoadStandinPlatform reads the settings of a stand-in platform. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinPlatform(args []string, help io.Writer) (*StandinPlatform, error) {
	r, s := standinPlatformRegistry()
	return s, r.load(args, help)
}

// LoadStandinEngine reads the settings of a stand-in engine. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinEngine(args []string, help io.Writer) (*StandinEndpoint, error) {
	r, s := standinEngineRegistry()
	return s, r.load(args, help)
}

// LoadStandinService reads the settings of a stand-in service. The error is a *ValidationError or flag.ErrHelp.
func LoadStandinService(args []string, help io.Writer) (*StandinEndpoint, error) {
	r, s := standinServiceRegistry()
	return s, r.load(args, help)
}

func standinPlatformRegistry() (*registry, *StandinPlatform) {
	r, s := newRegistry("standin platform", "in-memory platform for tests and demos"), &StandinPlatform{}
	r.listen(&s.Listen, "listen", "127.0.0.1:7000", "listen address")
	r.addText("vms-file", "", "JSON file with the list of VMs", func(raw string) { s.VMsFile = raw })
	r.addText("endpoints-file", "", "JSON file that maps pool names to lists of endpoints",
		func(raw string) { s.EndpointsFile = raw })
	return r, s
}

func standinEngineRegistry() (*registry, *StandinEndpoint) {
	r, s := newRegistry("standin engine", "model engine for tests and demos"), &StandinEndpoint{}
	r.listen(&s.Listen, "listen", "127.0.0.1:7100", "listen address")
	r.shortName(&s.Name, "name", "engine", "name of the endpoint", true)
	r.shortName(&s.Model, "model", "logreader", "model that the engine serves", true)
	r.shortName(&s.Version, "model-version", "1", "version of the model", true)
	r.integer(&s.Slots, "slots", 16, "maximum number of concurrent requests", 1, 4096)
	r.positiveNumber(&s.PrefillRate, "prefill-rate", 20000, "prompt tokens per second")
	r.positiveNumber(&s.DecodeRate, "decode-rate", 200, "output tokens per second of one request")
	r.boolean(&s.ChecksFence, "checks-fence", true, "reject orders with an outdated fencing token")
	return r, s
}

func standinServiceRegistry() (*registry, *StandinEndpoint) {
	r, s := newRegistry("standin service", "plain service for tests and demos"), &StandinEndpoint{}
	r.listen(&s.Listen, "listen", "127.0.0.1:7200", "listen address")
	r.shortName(&s.Name, "name", "service", "name of the endpoint", true)
	return r, s
}
