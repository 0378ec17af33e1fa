package admin

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
)

// keyView is a key record without the hash of the key.
type keyView struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	IssuedAt    int64  `json:"issued_at"`
	WithdrawnAt int64  `json:"withdrawn_at"`
}

func (s *Server) listKeys(c echo.Context) error {
	team := c.QueryParam("team")
	if err := authorize(c, auth.ScopeRead, team); err != nil {
		return err
	}
	sets, err := listObjects[apitypes.KeySet](c.Request().Context(), s, apitypes.KindKeySet)
	if err != nil {
		return err
	}
	keys := []keyView{}
	for _, set := range sets {
		for _, k := range set.Keys {
			if team == "" || k.Team == team {
				keys = append(keys, keyView{k.ID, k.Team, k.IssuedAt, k.WithdrawnAt})
			}
		}
	}
	slices.SortFunc(keys, func(a, b keyView) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(http.StatusOK, map[string]any{"keys": keys})
}

// issueKey creates a key for a team and returns it with its id. The id begins with the name of the key's shard, so that a
// withdrawal finds the key without reading all shards.
func (s *Server) issueKey(c echo.Context) error {
	var body struct {
		Team string `json:"team"`
	}
	if err := bind(c, &body); err != nil {
		return err
	}
	if err := authorize(c, auth.ScopeKeys, body.Team); err != nil {
		return err
	}
	ctx := c.Request().Context()
	if _, err := s.Store.Get(ctx, apitypes.KindTeam, body.Team); err != nil {
		return s.storeError(ctx, apitypes.KindTeam, body.Team, err)
	}
	key := auth.NewKey(body.Team)
	hash := s.Keyring.Hash(key)
	shard := auth.KeyShard(hash)
	record := apitypes.KeyRecord{ID: shard + "-" + randomID(), Hash: hash, Team: body.Team, IssuedAt: time.Now().UnixMilli()}
	_, err := editObject(ctx, s, apitypes.KindKeySet, shard, true, func(set *apitypes.KeySet) error {
		if slices.ContainsFunc(set.Keys, func(k apitypes.KeyRecord) bool { return k.ID == record.ID }) {
			return errUnchanged
		}
		dropExpiredKeys(set, time.Now())
		set.Keys = append(set.Keys, record)
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, map[string]string{"id": record.ID, "team": record.Team, "key": key})
}

// withdrawnKeyRetention is the time for which the record of a withdrawn key stays visible to operators, the same as for a sealed
// usage window. A key without a record is refused like a withdrawn one. Without this bound a shard would reach the platform's
// limit of 1 MiB, and no key could be issued.
const withdrawnKeyRetention = 35 * 24 * time.Hour

// dropExpiredKeys removes records of keys that were withdrawn longer ago than withdrawnKeyRetention.
func dropExpiredKeys(set *apitypes.KeySet, now time.Time) {
	oldest := now.Add(-withdrawnKeyRetention).UnixMilli()
	set.Keys = slices.DeleteFunc(set.Keys, func(k apitypes.KeyRecord) bool { return k.WithdrawnAt != 0 && k.WithdrawnAt < oldest })
}

func randomID() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// withdrawKey withdraws a key and returns success once a majority of the live gateways refuses it. The call may be repeated.
func (s *Server) withdrawKey(c echo.Context) error {
	id := c.Param("id")
	if err := c.Get(administratorContextKey).(auth.Administrator).RequireScope(auth.ScopeKeys); err != nil {
		return err
	}
	shard, _, ok := strings.Cut(id, "-")
	if !ok {
		return notFound("key", id)
	}
	ctx := c.Request().Context()
	version, err := editObject(ctx, s, apitypes.KindKeySet, shard, false, func(set *apitypes.KeySet) error {
		i := slices.IndexFunc(set.Keys, func(k apitypes.KeyRecord) bool { return k.ID == id })
		if i < 0 {
			return notFound("key", id)
		}
		if err := authorize(c, auth.ScopeKeys, set.Keys[i].Team); err != nil {
			return err
		}
		if set.Keys[i].WithdrawnAt != 0 {
			return errUnchanged
		}
		set.Keys[i].WithdrawnAt = time.Now().UnixMilli()
		dropExpiredKeys(set, time.Now())
		return nil
	})
	if err != nil {
		return err
	}
	confirmed := s.confirm(ctx, apitypes.KindKeySet, shard, version)
	if !confirmed.majority() {
		return apierror.New(apierror.Unavailable, "repeat the call until a majority confirms",
			"key %s is withdrawn on the platform, but only %d of %d live gateways have confirmed", id, confirmed.Confirmed, confirmed.Gateways).WithExecution(apierror.Executed)
	}
	return c.JSON(http.StatusOK, struct {
		ID string `json:"id"`
		confirmation
	}{id, confirmed})
}

// credentialView is a credential without the hash of its secret. It is also the body of a request that creates one.
type credentialView struct {
	Name        string   `json:"name"`
	Scopes      []string `json:"scopes"`
	Teams       []string `json:"teams,omitempty"`
	WithdrawnAt int64    `json:"withdrawn_at,omitempty"`
}

func (s *Server) listCredentials(c echo.Context) error {
	if err := authorize(c, auth.ScopeAdmin, ""); err != nil {
		return err
	}
	all, err := listObjects[apitypes.AdminCredential](c.Request().Context(), s, apitypes.KindAdmin)
	if err != nil {
		return err
	}
	views := []credentialView{}
	for _, a := range all {
		views = append(views, credentialView{a.Name, a.Scopes, a.Teams, a.WithdrawnAt})
	}
	slices.SortFunc(views, func(a, b credentialView) int { return strings.Compare(a.Name, b.Name) })
	return c.JSON(http.StatusOK, map[string]any{"credentials": views})
}

func (s *Server) createCredential(c echo.Context) error {
	if err := authorize(c, auth.ScopeAdmin, ""); err != nil {
		return err
	}
	var body credentialView
	if err := bind(c, &body); err != nil {
		return err
	}
	secret := auth.NewAdminSecret(body.Name)
	credential := &apitypes.AdminCredential{Name: body.Name, Hash: s.Keyring.Hash(secret), Scopes: body.Scopes, Teams: body.Teams}
	raw, err := apitypes.MarshalObject(credential)
	if err != nil {
		return err
	}
	data, err := validateBody(apitypes.KindAdmin, body.Name, raw)
	if err != nil {
		return err
	}
	if body.Name == auth.BootstrapName {
		return apierror.New(apierror.InvalidRequest, "use another name", "the name %q is reserved", body.Name)
	}
	if _, err := s.writeObject(c.Request().Context(), apitypes.KindAdmin, body.Name, data, 0); err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, map[string]any{"name": body.Name, "scopes": body.Scopes, "teams": body.Teams, "credential": secret})
}

// withdrawCredential marks a credential as withdrawn. The object stays, so that its name can't be used for another credential.
func (s *Server) withdrawCredential(c echo.Context) error {
	if err := authorize(c, auth.ScopeAdmin, ""); err != nil {
		return err
	}
	ctx, name := c.Request().Context(), c.Param("name")
	version, err := editObject(ctx, s, apitypes.KindAdmin, name, false, func(a *apitypes.AdminCredential) error {
		if a.WithdrawnAt != 0 {
			return errUnchanged
		}
		a.WithdrawnAt = time.Now().UnixMilli()
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{version, s.confirm(ctx, apitypes.KindAdmin, name, version)})
}
