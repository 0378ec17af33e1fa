package vmlink

import (
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/quota"
)

// recordedExchange records what a link passes to the quotas.
type recordedExchange struct{ merged, forgotten []string }

func (*recordedExchange) Report() []quota.TeamReport { return nil }
func (e *recordedExchange) MergeReport(vm, incarnation string, _ []quota.TeamReport) {
	e.merged = append(e.merged, vm+"/"+incarnation)
}
func (e *recordedExchange) Forget(vm string) { e.forgotten = append(e.forgotten, vm) }

// Guards against a VM that grants too much because it counts too few VMs, or keeps hearing a silent one, and against seeds without a VM
// whose part of the quotas nobody uses.
func TestQuotasFollowPeers(t *testing.T) {
	l, exchange := newTestLink(1), &recordedExchange{}
	l.Quota = exchange
	l.AddSeedAddress("127.0.0.8:2")
	l.SetListedAddresses([]string{"127.0.0.8:1", "127.0.0.8:3", "127.0.0.8:4"})
	if got := l.KnownVMs(); got != 3 {
		t.Errorf("%d known VMs with two others listed", got)
	}
	data, err := cbor.Marshal(StatusMessage{VM: "vm2", Incarnation: "inc2", Link: "127.0.0.8:2", SentAt: 1, ConfirmedMS: -1})
	if err != nil {
		t.Fatal(err)
	}
	l.receive(t.Context(), data, &net.UDPAddr{})
	if got := l.KnownVMs(); got != 4 || !slices.Equal(exchange.merged, []string{"vm2/inc2"}) {
		t.Errorf("%d known VMs, merged %v, after a datagram of one that isn't listed", got, exchange.merged)
	}
	l.peers["127.0.0.8:2"].receivedAt = bootclock.Now().Add(-l.silentTimeout() - time.Second)
	l.markSilentPeers()
	if got := l.KnownVMs(); got != 4 || !slices.Equal(exchange.forgotten, []string{"vm2"}) {
		t.Errorf("%d known VMs, forgotten %v, after a silence", got, exchange.forgotten)
	}
}

// Guards against quota reports that change on the way between VMs, debts included, and against bytes in the messages of deployments
// without quotas.
func TestQuotaReportsSurviveEncoding(t *testing.T) {
	want := []quota.TeamReport{{Team: "a", Spent: 1 << 40, Baseline: 7, Demand: 120, Level: -3}, {Team: "b", Spent: -5}}
	var received StatusMessage
	data, err := cbor.Marshal(StatusMessage{Quotas: encodeQuotas(want)})
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	if got := decodeQuotas(received.Quotas); !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	var fields map[int]any
	if data, err = cbor.Marshal(StatusMessage{Quotas: encodeQuotas(nil)}); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if _, ok := fields[25]; ok {
		t.Error("a message without quotas has the field of quotas")
	}
}
