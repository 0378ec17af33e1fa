package daemon

import (
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/controller/admin"
	"crocusglade.example/crocusglade/internal/settings"
)

// adminServer returns the component that serves the administration API.
func (c *controllerNode) adminServer(s *settings.Controller, t *auth.TLS) Component {
	server := &admin.Server{Store: c.platform, Config: c.configStore, Freshness: c.freshness, Members: c.members, Keyring: c.keyring,
		Admins: auth.NewAdminAuthenticator(c.keyring, s.BootstrapCredential), DialGateway: c.clients.GatewayClient, Endpoints: c.directory,
		DialController: c.clients.DialController}
	return HTTPServerComponent("administration", s.AdminListen, serverTLS(t, s.AdminTLS), server.Handler(), c.telemetry)
}
