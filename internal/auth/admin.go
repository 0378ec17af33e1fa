package auth

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"slices"
	"strings"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
)

// Scopes of administrators' credentials.
const (
	ScopeRead      = "read"
	ScopeConfig    = "config"
	ScopeKeys      = "keys"
	ScopeEndpoints = "endpoints"
	// ScopeAdmin allows everything, including making credentials.
	ScopeAdmin = "admin"
)

// BootstrapName is the name of the credential that the settings give.
const BootstrapName = "bootstrap"

// adminPrefix starts every administrators' credential, so that one can't be mistaken for a team's key.
const adminPrefix = "cgadmin_"

// NewAdminSecret returns a new random credential with the given name.
func NewAdminSecret(name string) string {
	b := make([]byte, randomBytes)
	rand.Read(b)
	return adminPrefix + name + "_" + base64.RawURLEncoding.EncodeToString(b)
}

// Administrator is an authenticated administrator.
type Administrator struct {
	Name   string
	Scopes []string
	// Teams limits "keys" and "config" to these teams; empty means all.
	Teams []string
}

// AdminAuthenticator checks administrators' credentials.
type AdminAuthenticator struct {
	keyring   *Keyring
	bootstrap string
}

// NewAdminAuthenticator returns an authenticator. bootstrap is the credential from the settings, which has every scope; when it is
// empty only credentials in the configuration work.
func NewAdminAuthenticator(keyring *Keyring, bootstrap string) *AdminAuthenticator {
	a := &AdminAuthenticator{keyring: keyring}
	if bootstrap != "" {
		a.bootstrap = keyring.Hash(bootstrap)
	}
	return a
}

// Authenticate returns the administrator whose credential is in an Authorization header.
func (a *AdminAuthenticator) Authenticate(s *config.Snapshot, authorization string) (Administrator, error) {
	secret, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || secret == "" {
		return Administrator{}, apierror.New(apierror.Unauthenticated,
			"send 'Authorization: Bearer <administrator credential>'", "the request has no credential")
	}
	hash := []byte(a.keyring.Hash(secret))
	if a.bootstrap != "" && subtle.ConstantTimeCompare(hash, []byte(a.bootstrap)) == 1 {
		return Administrator{Name: BootstrapName, Scopes: []string{ScopeAdmin}}, nil
	}
	var found *apitypes.AdminCredential
	for _, c := range s.Admins() {
		if subtle.ConstantTimeCompare(hash, []byte(c.Hash)) == 1 {
			found = c
		}
	}
	if found == nil {
		return Administrator{}, apierror.New(apierror.Unauthenticated,
			"check the credential, or ask an administrator with scope admin for one", "the credential is not known")
	}
	if found.WithdrawnAt != 0 {
		return Administrator{}, apierror.New(apierror.KeyWithdrawn,
			"ask an administrator with scope admin for a new credential", "credential %s was withdrawn", found.Name)
	}
	return Administrator{Name: found.Name, Scopes: found.Scopes, Teams: found.Teams}, nil
}

// RequireScope returns an *apierror.Error of kind Forbidden unless the administrator has the scope. Every scope includes "read".
func (a Administrator) RequireScope(scope string) error {
	if slices.Contains(a.Scopes, ScopeAdmin) || slices.Contains(a.Scopes, scope) || scope == ScopeRead && len(a.Scopes) > 0 {
		return nil
	}
	return apierror.New(apierror.Forbidden, "use a credential with this scope, or ask an administrator with scope admin for one",
		"credential %s does not have scope %s", a.Name, scope)
}

// RequireTeam returns an *apierror.Error of kind Forbidden when the credential is limited to other teams. An empty team stands
// for what concerns all teams.
func (a Administrator) RequireTeam(team string) error {
	if len(a.Teams) == 0 || team != "" && slices.Contains(a.Teams, team) {
		return nil
	}
	what := "all teams"
	if team != "" {
		what = "team " + team
	}
	return apierror.New(apierror.Forbidden, "use a credential without a limit to teams, or one for this team",
		"credential %s is limited to teams %s and does not cover %s", a.Name, strings.Join(a.Teams, ", "), what)
}
