package vmlink

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"crocusglade.example/crocusglade/internal/quota"
)

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
