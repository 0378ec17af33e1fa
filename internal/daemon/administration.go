package daemon

import (
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/controller/admin"
	"crocusglade.example/crocusglade/internal/settings"
)

// administration returns the part that serves the administration API.
func (c *controllerNode) administration(s *settings.Controller, t *auth.TLS) Part {
	server := &admin.Server{Store: c.platform, Holder: c.holder, Freshness: c.freshness, Members: c.members, Keyring: c.keyring,
		Admins: auth.NewAdministrators(c.keyring, s.BootstrapCredential), Gateway: c.clients.Gateway, Endpoints: c.directory,
		DialController: c.clients.DialController}
	return Server("administration", s.AdminListen, serverTLS(t, s.AdminTLS), server.Handler())
}
