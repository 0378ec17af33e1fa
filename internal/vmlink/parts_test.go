package vmlink

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusglade.example/crocusglade/internal/retry"
)

// Guards against reports about prompt parts that change on the way between VMs, and against ages that no clock can have.
func TestPartReportsSurviveEncoding(t *testing.T) {
	part := retry.NewPart("llm", "5c1e07a2")
	want := retry.PartReport{
		Crashes: []retry.ReportedCrash{{Part: part, Crash: 1 << 63, Depth: 2, Age: 1500 * time.Millisecond}},
		Proofs:  []retry.ReportedProof{{Part: part, Age: 20 * time.Millisecond}},
		Blocks:  []retry.ReportedBlock{{Part: part, LastCrashAge: time.Second, UntilProbe: 14 * time.Second, Explains: []retry.ExplainedCrash{{Crash: 7, Age: 3 * time.Second}, {Crash: 8, Age: time.Second}}}},
	}
	var sent, received StatusMessage
	sent.encodeParts(want)
	data, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	if got := received.decodeParts(); !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	for ms, want := range map[int64]time.Duration{-1: 0, 5: 5 * time.Millisecond, 1 << 62: maxAge} {
		if got := age(ms); got != want {
			t.Errorf("age of %d ms: %v, want %v", ms, got, want)
		}
	}
}
