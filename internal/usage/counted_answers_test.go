package usage

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a counted answer that is not sent to a peer again after a copy was lost, an answer that two gateways count, and a
// set that grows without bound.
func TestCountedAnswersReachPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := NewCountedAnswers(), NewCountedAnswers()
		own.MarkCounted(1)
		if got, _ := own.UnconfirmedByPeer("p"); !slices.Equal(got, []uint64{1}) {
			t.Errorf("the first copy sends %v, want 1", got)
		}
		own.MarkCounted(2)
		got, confirm := own.UnconfirmedByPeer("p")
		if !slices.Equal(got, []uint64{1, 2}) {
			t.Errorf("the copy after a lost one sends %v, want 1 and 2", got)
		}
		own.MarkCounted(3)
		confirm()
		if got, _ := own.UnconfirmedByPeer("p"); !slices.Equal(got, []uint64{3}) {
			t.Errorf("the copy after the confirmation sends %v, want 3", got)
		}
		if counted := peer.AcceptFromPeer([]uint64{1, 2}); len(counted) != 0 {
			t.Errorf("%v were already counted, want none", counted)
		}
		if counted := peer.AcceptFromPeer([]uint64{2, 4}); !slices.Equal(counted, []uint64{2}) {
			t.Errorf("%v were already counted, want 2", counted)
		}
		time.Sleep(answerRetention + time.Second)
		for n := range uint64(2 * maxRecentAnswers) {
			own.MarkCounted(100 + n)
		}
		if got, _ := own.UnconfirmedByPeer("new"); len(got) != maxRecentAnswers || len(own.counted) != 2*maxRecentAnswers {
			t.Errorf("a new peer is sent %d answers, %d are held", len(got), len(own.counted))
		}
	})
}
