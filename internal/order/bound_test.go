package order

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against an order that is sent over an open connection after the VM was suspended. The monotonic clock stops during the
// suspension, so no timer ends the authority, and only the check at each write prevents the order (guarantees G1, G3 and G5).
func TestNoOrderOnOpenConnectionAfterSuspension(t *testing.T) {
	t.Run("engine", func(t *testing.T) {
		var orders atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders.Add(1) }))
		defer server.Close()
		// The wall clock is read when the authority begins, before the connection is opened, and at each write.
		var reads atomic.Int32
		a := lease.NewAuthority(t.Context(), 1, time.Hour, func() time.Time {
			if reads.Add(1) > 2 {
				return time.Now().Add(2 * time.Hour)
			}
			return time.Now()
		})
		err := newHTTPEngineClient(a, nil).SendOrder(t.Context(), apitypes.Endpoint{Addr: server.Listener.Addr().String()}, setRole("late"))
		if err == nil || orders.Load() != 0 {
			t.Errorf("%d orders arrived, error %v", orders.Load(), err)
		}
		if reads.Load() < 2 {
			t.Error("no connection was opened, so the write was not tested")
		}
	})
	t.Run("provider", func(t *testing.T) {
		mem := memplatform.New()
		server := httptest.NewServer(standin.NewPlatform(mem))
		defer server.Close()
		var skew atomic.Int64
		a := lease.NewAuthority(t.Context(), 1, time.Hour, func() time.Time { return time.Now().Add(time.Duration(skew.Load())) })
		client, err := httpplatform.New(server.URL, httpplatform.Options{DialContext: a.DialContext})
		if err != nil {
			t.Fatal(err)
		}
		view, err := client.Endpoints(t.Context(), "p")
		if err != nil {
			t.Fatal(err)
		}
		skew.Store(int64(2 * time.Hour))
		_, err = client.PlaceOrder(t.Context(), "p", apitypes.Order{ID: "late", Kind: apitypes.OrderAdd, FailureDomain: "roja"}, view.Version)
		if after, _ := mem.Endpoints(t.Context(), "p"); err == nil || len(after.Endpoints) != 0 {
			t.Errorf("the late order added %d endpoints, error %v", len(after.Endpoints), err)
		}
	})
}
