package usage

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an answer that a peer never hears of because a copy was lost, one that two gateways count, and a memory that grows for ever.
func TestAnswersAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := NewCountedAnswers(), NewCountedAnswers()
		own.MarkCounted(1)
		if got, _ := own.UnconfirmedByPeer("p"); !slices.Equal(got, []uint64{1}) {
			t.Errorf("first copy tells of %v", got)
		}
		own.MarkCounted(2)
		got, confirm := own.UnconfirmedByPeer("p")
		if !slices.Equal(got, []uint64{1, 2}) {
			t.Errorf("the copy after a lost one tells of %v", got)
		}
		own.MarkCounted(3)
		confirm()
		if got, _ := own.UnconfirmedByPeer("p"); !slices.Equal(got, []uint64{3}) {
			t.Errorf("after the confirmation %v are told", got)
		}
		if counted := peer.AcceptFromPeer([]uint64{1, 2}); len(counted) != 0 {
			t.Errorf("%v were known before", counted)
		}
		if counted := peer.AcceptFromPeer([]uint64{2, 4}); !slices.Equal(counted, []uint64{2}) {
			t.Errorf("%v were known, want 2", counted)
		}
		time.Sleep(answersFor + time.Second)
		for n := range uint64(2 * maxAnswersAtOnce) {
			own.MarkCounted(100 + n)
		}
		if got, _ := own.UnconfirmedByPeer("new"); len(got) != maxAnswersAtOnce || len(own.known) != 2*maxAnswersAtOnce {
			t.Errorf("a new peer is told of %d answers, %d are known", len(got), len(own.known))
		}
	})
}
