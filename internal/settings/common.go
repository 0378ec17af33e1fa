package settings

import "time"

// leastSecretBytes is the least length of secrets, in bytes: the output size of the SHA-256 in the key hashes.
const leastSecretBytes = 32

// Common holds the settings that gateways and controllers share.
type Common struct {
	VMName        string
	Region        string
	FailureDomain string
	// PlatformURL is the base URL of the platform's HTTP API.
	PlatformURL string
	// KeySecret is the secret of the key hashes. It is the same in all processes of a deployment.
	KeySecret string
	// PeerListen and PeerAdvertise are the addresses for the system's other processes (gRPC).
	PeerListen    string
	PeerAdvertise string
	// MetricsListen serves /metrics, /livez and /readyz.
	MetricsListen string
	MetricsTLS    TLSFiles
	LogLevel      string
	// WindowLength is the length of a usage window. It is the same in all processes of a deployment.
	WindowLength time.Duration
	PeerTLS      TLSFiles
	PlatformTLS  TLSFiles
	EndpointTLS  TLSFiles
}

// node registers the shared settings. The ports are defaults for one process of each role on a VM.
func (f *form) node(n *Common, peerListen, metricsListen string) {
	f.label(&n.VMName, "vm-name", "", "name of this VM in the platform's list", true)
	f.label(&n.Region, "region", "", "region of this VM", true)
	f.label(&n.FailureDomain, "failure-domain", "", "failure domain of this VM", true)
	f.webURL(&n.PlatformURL, "platform-url", "", "base URL of the platform")
	f.securedURL(&n.PlatformURL, "platform-url")
	f.secret(&n.KeySecret, "key-secret", "secret of the key hashes, the same in all processes of a deployment",
		leastSecretBytes, true)
	f.listen(&n.PeerListen, "peer-listen", peerListen, "address for the system's other processes")
	f.advertise(&n.PeerAdvertise, "peer-advertise", &n.PeerListen, "peer-listen",
		"address that the system's other processes connect to")
	f.listen(&n.MetricsListen, "metrics-listen", metricsListen, "address of /metrics, /livez and /readyz")
	f.serverTLS(&n.MetricsTLS, "metrics", "connections of those that read metrics", "metrics-listen", &n.MetricsListen)
	f.choice(&n.LogLevel, "log-level", "info", "least level of log lines", "debug", "info", "warn", "error")
	f.duration(&n.WindowLength, "usage-window", 5*time.Minute,
		"length of a usage window, in whole seconds, the same in all processes of a deployment", 10*time.Second, 24*time.Hour)
	f.later(func() {
		if n.WindowLength%time.Second != 0 {
			f.wrong("usage-window", "use whole seconds", "%v has a fraction of a second", n.WindowLength)
		}
	})
	f.serverTLS(&n.PeerTLS, "peer", "connections between the system's processes", "peer-listen", &n.PeerListen)
	f.tlsFiles(&n.PlatformTLS, "platform", "connections to the platform")
	f.tlsFiles(&n.EndpointTLS, "endpoint", "connections to engines and services")
}
