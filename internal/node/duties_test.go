package node

import (
	"testing"
	"time"
)

// Guards against late usage reports after an outage of the store: a VM that reacquires the lease with no other holder in between
// must not pause. A successor of another VM must pause, as must a VM that has restarted.
func TestTakeoverPauseOnlyAfterOtherHolder(t *testing.T) {
	const lease = 3 * time.Second
	for name, c := range map[string]struct {
		lastToken, token uint64
		want             time.Duration
	}{
		"first term of the deployment": {0, 1, 0},
		"consecutive terms of one VM":  {4, 5, 0},
		"after another VM's term":      {4, 6, 1800 * time.Millisecond},
		"first term after a restart":   {0, 7, 1800 * time.Millisecond},
		"after losing the lease once":  {1, 3, 1800 * time.Millisecond},
	} {
		if got := takeoverPause(c.lastToken, c.token, lease); got != c.want {
			t.Errorf("%s: pause %v, want %v", name, got, c.want)
		}
	}
}

// Guards against requests that a stopping VM accepts and then cuts off: after the first seconds of a drain the server is told how long
// the VM still serves.
func TestTimeToStop(t *testing.T) {
	n := &Node{Settings: Settings{Grace: 8 * time.Second}}
	if left, stopping := n.timeToStop(); stopping {
		t.Errorf("before the drain: stops in %v", left)
	}
	for since, want := range map[time.Duration]time.Duration{time.Second: 0, 4 * time.Second: 3300 * time.Millisecond, 7 * time.Second: 300 * time.Millisecond} {
		started := time.Now().Add(-since)
		n.drainStartedAt.Store(&started)
		left, stopping := n.timeToStop()
		if stopping != (want > 0) || stopping && (left-want).Abs() > 100*time.Millisecond {
			t.Errorf("%v after the start of the drain: stops in %v (%v), want %v", since, left, stopping, want)
		}
	}
}
