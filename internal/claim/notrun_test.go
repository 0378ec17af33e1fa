package claim

import (
	"errors"
	"testing"

	"crocusglade.example/crocusglade/internal/platform/memplatform"
	"crocusglade.example/crocusglade/internal/world"
)

// Guards against a late "not run" of a call that its service turned away: it frees the key once, and it takes back neither an outcome
// nor the claim of the next attempt.
func TestLateNotRun(t *testing.T) {
	s := NewStore(Options{Platform: memplatform.New()})
	for key, c := range map[string]struct {
		before func(first world.Claim) error
		frees  bool
	}{
		"listed as unresolved": {func(first world.Claim) error { return s.Unresolved(ctx, first) }, true},
		"resolved as done": {func(first world.Claim) error {
			return errors.Join(s.Unresolved(ctx, first), s.Resolve(ctx, first.Key, world.ClaimDone))
		}, false},
		"next attempt": {func(first world.Claim) error {
			err := s.NotRun(ctx, first)
			_, _, beginErr := s.Begin(ctx, attempt(first.Key, "2"))
			return errors.Join(err, beginErr)
		}, false},
	} {
		first := attempt(key, "1")
		begin(t, s, first)
		if err := c.before(first); err != nil {
			t.Fatal(err)
		}
		if err := s.NotRun(ctx, first); err != nil && !errors.Is(err, ErrSuperseded) {
			t.Fatal(err)
		}
		if existing, won := begin(t, s, attempt(key, "3")); won != c.frees {
			t.Errorf("%s: a later attempt won: %v, the claim is %+v", key, won, existing)
		}
	}
}
