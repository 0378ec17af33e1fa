// Package auth creates and checks the keys of teams and the credentials of administrators, and holds the TLS identities of processes.
// Keys and credentials are stored only as a keyed hash.
package auth

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"hash"
	"strings"
	"sync"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
)

// keyPrefix is the prefix of every key. Secret scanners use it to find leaked keys.
const keyPrefix = "cg_"

// randomBytes is the number of random bytes in a key or an administrator credential.
const randomBytes = 24

// Keyring computes keyed hashes (HMAC-SHA-256) with the deployment's secret. Its methods may be called concurrently.
type Keyring struct {
	// states holds *hashState. Reusing an HMAC saves two of four SHA-256 blocks and the allocations in each request.
	states sync.Pool
}

// hashState is a reusable HMAC with its buffers.
type hashState struct {
	mac hash.Hash
	sum [sha256.Size]byte
	hex [2 * sha256.Size]byte
	in  []byte
}

// NewKeyring returns a keyring. The secret must be the same in all processes of a deployment.
func NewKeyring(secret []byte) *Keyring {
	secret = bytes.Clone(secret)
	k := &Keyring{}
	k.states.New = func() any { return &hashState{mac: hmac.New(sha256.New, secret)} }
	return k
}

// Hash returns the keyed hash of a key in lower-case hexadecimal.
func (k *Keyring) Hash(key string) string {
	s := k.states.Get().(*hashState)
	defer k.states.Put(s)
	s.mac.Reset()
	s.in = append(s.in[:0], key...)
	s.mac.Write(s.in)
	clear(s.in)
	hex.Encode(s.hex[:], s.mac.Sum(s.sum[:0]))
	return string(s.hex[:])
}

// KeyShard returns the name of the keyset object that stores the record of a key with the given hash; "00" for a hash that is not
// hexadecimal.
func KeyShard(hash string) string {
	if shard := config.KeyShard(hash); shard != "" {
		return shard
	}
	return "00"
}

// NewKey returns a new random key that contains the name of its team.
func NewKey(team string) string {
	b := make([]byte, randomBytes)
	rand.Read(b)
	return keyPrefix + team + "_" + base64.RawURLEncoding.EncodeToString(b)
}

// CacheSalt returns the prefix-cache salt of a team. Each team has its own salt, so that no team can probe the cache for the prompts
// of another.
func (k *Keyring) CacheSalt(team string) string {
	return k.Hash("cache-salt/" + team)[:32]
}

// Authenticate returns the record of the key in an Authorization header. It returns an *apierror.Error of kind Unauthenticated for a
// missing, malformed or unknown key and of kind KeyWithdrawn for a withdrawn one.
func (k *Keyring) Authenticate(s *config.Snapshot, authorization string) (apitypes.KeyRecord, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || !strings.HasPrefix(key, keyPrefix) {
		return apitypes.KeyRecord{}, apierror.New(apierror.Unauthenticated,
			"send 'Authorization: Bearer <key>' with a key issued by an operator", "the request has no well-formed key")
	}
	hash := k.Hash(key)
	record, ok := s.Key(hash)
	// The index lookup is not in constant time, so the hashes are compared again in constant time.
	if !ok || subtle.ConstantTimeCompare([]byte(record.Hash), []byte(hash)) != 1 {
		return apitypes.KeyRecord{}, apierror.New(apierror.Unauthenticated,
			"check the key, or ask an operator to issue one", "the key is not known")
	}
	if record.WithdrawnAt != 0 {
		return apitypes.KeyRecord{}, apierror.New(apierror.KeyWithdrawn,
			"ask an operator for a new key", "key %s was withdrawn", record.ID)
	}
	return record, nil
}
