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

// Scopes of administrator credentials.
const (
	ScopeRead      = "read"
	ScopeConfig    = "config"
	ScopeKeys      = "keys"
	ScopeEndpoints = "endpoints"
	// ScopeAdmin allows every operation, including the creation of credentials.
	ScopeAdmin = "admin"
)

// BootstrapName is the administrator name of the bootstrap credential, which is in the settings and not in the configuration.
const BootstrapName = "bootstrap"

// adminPrefix is the prefix of every administrator credential; it distinguishes them from the keys of teams.
const adminPrefix = "cgadmin_"

// NewAdminSecret returns a new random administrator credential that contains the given name.
func NewAdminSecret(name string) string {
	b := make([]byte, randomBytes)
	rand.Read(b)
	return adminPrefix + name + "_" + base64.RawURLEncoding.EncodeToString(b)
}

// Administrator is an authenticated administrator with the permissions of its credential.
type Administrator struct {
	Name   string
	Scopes []string
	// Teams restricts the scopes "keys" and "config" to these teams; empty means all teams.
	Teams []string
}

// AdminAuthenticator authenticates administrators by their credentials.
type AdminAuthenticator struct {
	keyring *Keyring
	// bootstrapHash is the hash of the bootstrap credential; empty when there is none.
	bootstrapHash string
}

// NewAdminAuthenticator returns an authenticator. bootstrap is the credential from the settings, which has every scope; when it is
// empty, only credentials in the configuration are accepted.
func NewAdminAuthenticator(keyring *Keyring, bootstrap string) *AdminAuthenticator {
	a := &AdminAuthenticator{keyring: keyring}
	if bootstrap != "" {
		a.bootstrapHash = keyring.Hash(bootstrap)
	}
	return a
}

// Authenticate returns the administrator whose credential is in an Authorization header. It returns an *apierror.Error of kind
// Unauthenticated for a missing or unknown credential and of kind KeyWithdrawn for a withdrawn one.
func (a *AdminAuthenticator) Authenticate(s *config.Snapshot, authorization string) (Administrator, error) {
	secret, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || secret == "" {
		return Administrator{}, apierror.New(apierror.Unauthenticated,
			"send 'Authorization: Bearer <administrator credential>'", "the request has no credential")
	}
	hash := []byte(a.keyring.Hash(secret))
	if a.bootstrapHash != "" && subtle.ConstantTimeCompare(hash, []byte(a.bootstrapHash)) == 1 {
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

// RequireScope returns an *apierror.Error of kind Forbidden unless the administrator has the scope. Every scope includes "read", and
// "admin" includes all scopes.
func (a Administrator) RequireScope(scope string) error {
	if slices.Contains(a.Scopes, ScopeAdmin) || slices.Contains(a.Scopes, scope) || scope == ScopeRead && len(a.Scopes) > 0 {
		return nil
	}
	return apierror.New(apierror.Forbidden, "use a credential with this scope, or ask an administrator with scope admin for one",
		"credential %s does not have scope %s", a.Name, scope)
}

// RequireTeam returns an *apierror.Error of kind Forbidden when the credential is restricted to other teams. An empty team requires
// a credential for all teams.
func (a Administrator) RequireTeam(team string) error {
	if len(a.Teams) == 0 || team != "" && slices.Contains(a.Teams, team) {
		return nil
	}
	required := "all teams"
	if team != "" {
		required = "team " + team
	}
	return apierror.New(apierror.Forbidden, "use a credential without a limit to teams, or one for this team",
		"credential %s is limited to teams %s and does not cover %s", a.Name, strings.Join(a.Teams, ", "), required)
}
