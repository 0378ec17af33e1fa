package settings

import "time"

// minSecretBytes is the minimum length of secrets in bytes: the output size of SHA-256, which the key hashes use.
const minSecretBytes = 32

// Common contains the settings that gateways and controllers have in common.
type Common struct {
	VMName        string
	Region        string
	FailureDomain string
	// PlatformURL is the base URL of the platform's HTTP API.
	PlatformURL string
	// KeySecret is the secret with which API keys are hashed. It must be the same in all processes of a deployment.
	KeySecret string
	// PeerListen and PeerAdvertise are the gRPC addresses for the system's other processes.
	PeerListen    string
	PeerAdvertise string
	// MetricsListen is the listen address of /metrics, /livez and /readyz.
	MetricsListen string
	MetricsTLS    TLSFiles
	LogLevel      string
	// WindowLength is the length of a usage window. It must be the same in all processes of a deployment.
	WindowLength time.Duration
	PeerTLS      TLSFiles
	PlatformTLS  TLSFiles
	EndpointTLS  TLSFiles
}

// common registers the settings of Common. The default ports allow one gateway and one controller on a VM.
func (r *registry) common(c *Common, peerListen, metricsListen string) {
	r.shortName(&c.VMName, "vm-name", "", "name of this VM in the platform's list", true)
	r.shortName(&c.Region, "region", "", "region of this VM", true)
	r.shortName(&c.FailureDomain, "failure-domain", "", "failure domain of this VM", true)
	r.baseURL(&c.PlatformURL, "platform-url", "", "base URL of the platform")
	r.requireTLSURL(&c.PlatformURL, "platform-url")
	r.secret(&c.KeySecret, "key-secret", "secret with which API keys are hashed, the same in all processes of a deployment",
		minSecretBytes, true)
	r.listen(&c.PeerListen, "peer-listen", peerListen, "listen address for the system's other processes")
	r.advertise(&c.PeerAdvertise, "peer-advertise", &c.PeerListen, "peer-listen",
		"address that the system's other processes connect to")
	r.listen(&c.MetricsListen, "metrics-listen", metricsListen, "listen address of /metrics, /livez and /readyz")
	r.serverTLS(&c.MetricsTLS, "metrics", "connections from metrics scrapers", "metrics-listen", &c.MetricsListen)
	r.choice(&c.LogLevel, "log-level", "info", "minimum level of log lines", "debug", "info", "warn", "error")
	r.duration(&c.WindowLength, "usage-window", 5*time.Minute,
		"length of a usage window, in whole seconds, the same in all processes of a deployment", 10*time.Second, 24*time.Hour)
	r.addCheck(func() {
		if c.WindowLength%time.Second != 0 {
			r.addInvalid("usage-window", "use whole seconds", "%v has a fraction of a second", c.WindowLength)
		}
	})
	r.serverTLS(&c.PeerTLS, "peer", "connections between the system's processes", "peer-listen", &c.PeerListen)
	r.tlsFiles(&c.PlatformTLS, "platform", "connections to the platform")
	r.tlsFiles(&c.EndpointTLS, "endpoint", "connections to engines and services")
}
