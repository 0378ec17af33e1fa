package node

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until it is released, like standard output without a reader.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against requests that block on a slow or stopped log collector: writes never block, and dropped lines are counted and
// marked in the log.
func TestLogsNeverBlock(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := newLogWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * logBufferLines {
			if _, err := l.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocks while standard output has no reader")
	}
	close(w.release)
	for range 500 {
		if l.Dropped() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if l.Dropped() == 0 {
		t.Error("dropped lines are not counted")
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.text.String(), "log lines dropped") {
		t.Error("the log has no marker for the dropped lines")
	}
}
