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
