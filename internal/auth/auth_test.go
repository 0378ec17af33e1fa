package auth

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/certtest"
	"crocusglade.example/crocusglade/internal/config"
)

// newSnapshot returns a configuration of n teams with one key each, and the keys. The keys with odd indexes are withdrawn.
func newSnapshot(t testing.TB, k *Keyring, n int, admins ...apitypes.AdminCredential) (*config.Snapshot, []string) {
	sets := map[string]*apitypes.KeySet{}
	var keys []string
	for i := range n {
		key := NewKey(fmt.Sprintf("team-%d", i))
		keys = append(keys, key)
		hash := k.Hash(key)
		if sets[KeyShard(hash)] == nil {
			sets[KeyShard(hash)] = &apitypes.KeySet{}
		}
		set := sets[KeyShard(hash)]
		set.Keys = append(set.Keys, apitypes.KeyRecord{ID: fmt.Sprint(i), Hash: hash, Team: fmt.Sprintf("team-%d", i), WithdrawnAt: int64(i % 2)})
	}
	var objects []apitypes.Object
	add := func(kind, name string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, apitypes.Object{Kind: kind, Name: name, Version: 1, Data: data})
	}
	for shard, set := range sets {
		add(apitypes.KindKeySet, shard, set)
	}
	for _, a := range admins {
		add(apitypes.KindAdmin, a.Name, a)
	}
	store := config.NewSnapshotStore()
	if err := store.ReplaceObjects(objects, 1); err != nil {
		t.Fatal(err)
	}
	return store.Current(), keys
}

func kindOf(err error) apierror.Kind {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against a key that authenticates as another team when concurrent requests share the pooled hash states, and against withdrawn
// keys that are accepted.
func TestAuthenticateConcurrently(t *testing.T) {
	k := NewKeyring([]byte("secret"))
	s, keys := newSnapshot(t, k, 64)
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Go(func() {
			for range 100 {
				r, err := k.Authenticate(s, "Bearer "+key)
				if i%2 == 0 && (err != nil || r.Team != fmt.Sprintf("team-%d", i)) || i%2 == 1 && kindOf(err) != apierror.KeyWithdrawn {
					t.Errorf("key %d: team %q, error %v", i, r.Team, err)
				}
			}
		})
	}
	wg.Wait()
	for _, bad := range []string{"", "Bearer ", "Bearer cg_x", "Basic " + keys[0], "Bearer " + keys[0] + "x"} {
		if _, err := k.Authenticate(s, bad); kindOf(err) != apierror.Unauthenticated {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if _, err := NewKeyring([]byte("other")).Authenticate(s, "Bearer "+keys[0]); err == nil {
		t.Error("a key was accepted with another secret")
	}
}

// Guards against a credential that allows more than its scopes and teams.
func TestAdministratorScopes(t *testing.T) {
	k := NewKeyring([]byte("secret"))
	s, _ := newSnapshot(t, k, 0,
		apitypes.AdminCredential{Name: "keys", Hash: k.Hash("a"), Scopes: []string{ScopeKeys}, Teams: []string{"x"}},
		apitypes.AdminCredential{Name: "old", Hash: k.Hash("b"), Scopes: []string{ScopeAdmin}, WithdrawnAt: 1})
	admins := NewAdminAuthenticator(k, "boot")
	boot, err := admins.Authenticate(s, "Bearer boot")
	if err != nil || boot.RequireScope(ScopeConfig) != nil || boot.RequireTeam("") != nil {
		t.Fatalf("bootstrap: %v", err)
	}
	keys, err := admins.Authenticate(s, "Bearer a")
	if err != nil || keys.RequireScope(ScopeKeys) != nil || keys.RequireScope(ScopeRead) != nil || keys.RequireTeam("x") != nil {
		t.Fatalf("keys: %v", err)
	}
	for _, err := range []error{keys.RequireScope(ScopeConfig), keys.RequireScope(ScopeAdmin), keys.RequireTeam("y"), keys.RequireTeam("")} {
		if kindOf(err) != apierror.Forbidden {
			t.Errorf("not forbidden: %v", err)
		}
	}
	if _, err := admins.Authenticate(s, "Bearer b"); kindOf(err) != apierror.KeyWithdrawn {
		t.Errorf("withdrawn credential: %v", err)
	}
	if _, err := NewAdminAuthenticator(k, "").Authenticate(s, "Bearer "); kindOf(err) != apierror.Unauthenticated {
		t.Errorf("empty credential: %v", err)
	}
}

// writePeerFiles writes the TLS files of a peer into dir: a certificate signed by issuer, and trusted as the only authority.
func writePeerFiles(issuer *certtest.Authority, dir string, trusted *certtest.Authority) TLSFiles {
	return TLSFiles(issuer.WriteCertificateFiles(dir, []string{PeerServerName}, trusted))
}

// handshake connects client to server over loopback and returns the errors of both. It uses TCP because a net.Pipe would block when
// both sides write an alert.
func handshake(server, client *TLS, serverName string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer clientConn.Close()
	serverConn, err := l.Accept()
	if err != nil {
		return err
	}
	defer serverConn.Close()
	done := make(chan error, 1)
	go func() {
		s := tls.Server(serverConn, server.ServerConfig(true))
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		done <- err
		serverConn.Close()
	}()
	conn := tls.Client(clientConn, client.ClientConfig(serverName))
	_, err = conn.Read(make([]byte, 1))
	clientConn.Close()
	return errors.Join(err, <-done)
}

// Guards against accepting peers of another authority, against new certificates that need a restart, and against an invalid file that
// replaces a valid identity.
func TestMutualTLSReload(t *testing.T) {
	first, second := certtest.NewAuthority(t, "first"), certtest.NewAuthority(t, "second")
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, err := LoadTLS(writePeerFiles(first, serverDir, first))
	if err != nil {
		t.Fatal(err)
	}
	client, err := LoadTLS(writePeerFiles(first, clientDir, first))
	if err != nil {
		t.Fatal(err)
	}
	if err := handshake(server, client, ""); err != nil {
		t.Fatalf("same authority: %v", err)
	}
	if handshake(server, client, "10.0.0.1") == nil {
		t.Fatal("a certificate for another name was accepted")
	}
	writePeerFiles(second, clientDir, first)
	if err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	if handshake(server, client, "") == nil {
		t.Fatal("a client certificate of another authority was accepted")
	}
	writePeerFiles(second, serverDir, second)
	writePeerFiles(second, clientDir, second)
	if err := errors.Join(server.Reload(), client.Reload()); err != nil {
		t.Fatal(err)
	}
	if err := handshake(server, client, ""); err != nil {
		t.Fatalf("after both changed to the second authority: %v", err)
	}
	if err := os.WriteFile(filepath.Join(serverDir, "cert.pem"), []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	if server.Reload() == nil {
		t.Fatal("an invalid file was accepted")
	}
	if err := handshake(server, client, ""); err != nil {
		t.Fatalf("after an invalid file: %v", err)
	}
}

// Guards against keys that cross the network without TLS.
func TestPlainOnlyOnLoopback(t *testing.T) {
	for addr, ok := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "localhost:1": true, "10.0.0.1:1": false, ":1": false, "0.0.0.0:1": false, "x": false} {
		if err := CheckPlaintextAllowed(addr); (err == nil) != ok {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

// BenchmarkAuthenticate measures one authentication among 3,500 keys; it should take at most 1 µs.
func BenchmarkAuthenticate(b *testing.B) {
	k := NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	s, keys := newSnapshot(b, k, 3500)
	header := "Bearer " + keys[42]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Authenticate(s, header); err != nil {
			b.Fatal(err)
		}
	}
}
