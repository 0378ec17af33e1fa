package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/upstream"
)

// Guards against a request that is accepted by a VM which stops before the request's time limit, and cut off then (seen when all VMs are
// stopped at the same time, so that callers have no other address).
func TestStoppingVMRefusesLongRequests(t *testing.T) {
	s := &Server{Config: Config{TimeToStop: func() (time.Duration, bool) { return 2 * time.Second, true }}}
	for timeout, refused := range map[time.Duration]bool{time.Second: false, 5 * time.Second: true} {
		c := &call{Server: s, r: &Request{Timeout: timeout}, route: &catalog.Route{}}
		err := c.stopRefusal()
		if (err != nil) != refused || err != nil && err.Kind != apierror.Unavailable {
			t.Errorf("time limit %v: %v", timeout, err)
		}
	}
	s.TimeToStop = func() (time.Duration, bool) { return 0, false }
	if err := (&call{Server: s, r: &Request{}, route: &catalog.Route{}}).stopRefusal(); err != nil {
		t.Errorf("a VM that doesn't stop refuses: %v", err)
	}
}

// Guards against a limit of 30 s for callers that send none where the route allows more: their requests ended early.
func TestTimeLimit(t *testing.T) {
	for name, c := range map[string]struct{ caller, route, want time.Duration }{
		"neither":              {0, 0, defaultTimeout},
		"caller only":          {45 * time.Second, 0, 45 * time.Second},
		"route only, long":     {0, time.Minute, time.Minute - timeoutMargin},
		"route only, short":    {0, time.Second, time.Second - timeoutMargin},
		"the caller's shorter": {time.Second, time.Minute, time.Second},
		"the route's shorter":  {time.Minute, time.Second, time.Second - timeoutMargin},
	} {
		call := &call{r: &Request{Timeout: c.caller}, route: &catalog.Route{Timeout: c.route}}
		if got := call.timeLimit(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a caller that is told to check whether its request took effect although no byte of it was sent when its time ended, and
// against the opposite.
func TestUnsentRequestHasNotRun(t *testing.T) {
	fleet := placement.New("z", placement.DefaultWeights)
	fleet.SetServices(map[string]catalog.Service{"app": {Name: "app"}})
	fleet.SetEndpoints([]catalog.Endpoint{{ID: "a", Service: "app"}})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, sent := range []bool{false, true} {
		c := &call{ctx: ended, r: &Request{}, route: &catalog.Route{Attempts: 1}}
		c.recordFailure(fleet.PlaceCall("app", placement.Filter{}), &upstream.SendError{MaySent: sent, Err: errors.New("connect")})
		if c.mayHaveRun != sent {
			t.Errorf("bytes sent: %v, may have run: %v", sent, c.mayHaveRun)
		}
	}
}
