// Package auth issues and checks keys. Only a keyed hash of a key is ever stored.
package auth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/world"
)

// keyPrefix starts every key, so that secret scanners can find leaked ones.
const keyPrefix = "cg_"

// randomBytes is the number of random bytes in a key.
const randomBytes = 24

// Keyring hashes keys under the deployment's secret.
type Keyring struct{ secret []byte }

// NewKeyring returns a keyring. The secret must be the same in all processes of a deployment.
func NewKeyring(secret []byte) *Keyring { return &Keyring{secret: secret} }

// Hash returns the keyed hash of a key in hexadecimal.
func (k *Keyring) Hash(key string) string {
	m := hmac.New(sha256.New, k.secret)
	m.Write([]byte(key))
	return hex.EncodeToString(m.Sum(nil))
}

// Shard returns the name of the keyset object that holds a hash.
func Shard(hash string) string {
	b, err := hex.DecodeString(hash[:2])
	if err != nil {
		return "00"
	}
	return fmt.Sprintf("%02d", int(b[0])%world.KeySetShards)
}

// NewKey returns a new random key for a team.
func NewKey(team string) string {
	b := make([]byte, randomBytes)
	rand.Read(b)
	return keyPrefix + team + "_" + base64.RawURLEncoding.EncodeToString(b)
}

// CacheSalt returns the prefix-cache salt of a team. It differs between teams so that no team can probe another's prompts.
func (k *Keyring) CacheSalt(team string) string {
	return k.Hash("cache-salt/" + team)[:32]
}

// Authenticate returns the record of the key in an Authorization header.
func (k *Keyring) Authenticate(s *config.Snapshot, authorization string) (world.KeyRecord, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || !strings.HasPrefix(key, keyPrefix) {
		return world.KeyRecord{}, apierror.New(apierror.Unauthenticated,
			"send 'Authorization: Bearer <key>' with a key issued by an operator", "the request has no well-formed key")
	}
	record, ok := s.Key(k.Hash(key))
	if !ok {
		return world.KeyRecord{}, apierror.New(apierror.Unauthenticated,
			"check the key, or ask an operator to issue one", "the key is not known")
	}
	if record.WithdrawnAt != 0 {
		return world.KeyRecord{}, apierror.New(apierror.KeyWithdrawn,
			"ask an operator for a new key", "key %s was withdrawn", record.ID)
	}
	return record, nil
}
