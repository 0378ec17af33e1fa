package claim

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// Guards against a MarkNotRun that arrives after the claim has changed, as for a call that its service rejected: it must release an
// unresolved claim, but overwrite neither an operator's outcome nor the claim of the next attempt.
func TestMarkNotRunAfterLaterChange(t *testing.T) {
	p := memplatform.New()
	s := NewStore(Options{Platform: p})
	for key, c := range map[string]struct {
		before  func(first apitypes.Claim) error
		wantWon bool
	}{
		"listed as unresolved": {func(first apitypes.Claim) error { return s.MarkUnresolved(ctx, first) }, true},
		"resolved as done": {func(first apitypes.Claim) error {
			return errors.Join(s.MarkUnresolved(ctx, first), resolveDone(p, first.Key))
		}, false},
		"next attempt": {func(first apitypes.Claim) error {
			err := s.MarkNotRun(ctx, first)
			_, _, createErr := s.CreateClaim(ctx, newClaim(first.Key, "2"))
			return errors.Join(err, createErr)
		}, false},
	} {
		first := newClaim(key, "1")
		mustCreateClaim(t, s, first)
		if err := c.before(first); err != nil {
			t.Fatal(err)
		}
		if err := s.MarkNotRun(ctx, first); err != nil && !errors.Is(err, ErrSuperseded) {
			t.Fatal(err)
		}
		if existing, won := mustCreateClaim(t, s, newClaim(key, "3")); won != c.wantWon {
			t.Errorf("%s: a later attempt won: %v, the claim is %+v", key, won, existing)
		}
	}
}

// resolveDone resolves a claim as done, as an operator does.
func resolveDone(p *memplatform.Platform, key string) error {
	shards, _, err := p.List(ctx, apitypes.KindClaims)
	for _, o := range shards {
		var shard apitypes.ClaimShard
		err = errors.Join(err, json.Unmarshal(o.Data, &shard))
		c, found := shard.Claims[key]
		if !found {
			continue
		}
		shard.Claims[key] = ResolveClaim(c, apitypes.ClaimDone, time.Now())
		data, _ := json.Marshal(shard)
		_, putErr := p.Put(ctx, o.Kind, o.Name, data, o.Version)
		return errors.Join(err, putErr)
	}
	return errors.Join(err, errors.New("no such claim"))
}
