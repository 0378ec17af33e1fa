package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

// Guards against requests for an endpoint during the pause that it asked for, against pauses that count as failures, and against refusals
// that don't tell when an endpoint is free.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 2)
		for range 2 * maxConsecutiveFailures {
			c := choose(t, b, Request{})
			c.Done(Outcome{Failed: true, Pause: 5 * time.Second})
			if b.endpoints[c.Endpoint.Name].ejection.ejected {
				t.Fatal("a pause ejected the endpoint")
			}
			other := choose(t, b, Request{})
			if other.Endpoint.Name == c.Endpoint.Name {
				t.Fatal("an endpoint got a request in its pause")
			}
			other.Done(Outcome{Failed: true, Pause: 3 * time.Second})
			_, err := b.Choose(Request{Pool: "p"})
			var e *apierror.Error
			if !errors.As(err, &e) || e.Kind != apierror.Overloaded || e.RetryAfterSeconds != 3 {
				t.Fatalf("both pause: %v, retry after %d s, want 3", err, e.RetryAfterSeconds)
			}
			time.Sleep(5 * time.Second)
		}
		c := choose(t, b, Request{})
		c.Done(Outcome{Failed: true, Pause: time.Hour})
		b.UpdateEndpoint("p", engine(c.Endpoint.Name, apitypes.Load{Instance: "restarted"}))
		if got := b.endpoints[c.Endpoint.Name].pausedUntil; !got.IsZero() {
			t.Errorf("a new instance still pauses until %v", got)
		}
	})
}
