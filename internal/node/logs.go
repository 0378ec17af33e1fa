package node

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the number of log lines buffered for standard output. Further lines are dropped and counted, so that a slow
	// log collector never blocks a request.
	logBufferLines = 4096
	// logFlushInterval is how often buffered lines are written.
	logFlushInterval = 20 * time.Millisecond
)

// droppedLinesMarker is written to the log in place of dropped lines.
const droppedLinesMarker = `{"level":"warn","message":"log lines dropped"}` + "\n"

// logWriter buffers log lines. Writes never block.
type logWriter struct {
	diode.Writer
	dropped atomic.Int64
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{}
	l.Writer = diode.NewWriter(w, logBufferLines, logFlushInterval, func(missed int) {
		l.dropped.Add(int64(missed))
		_, _ = io.WriteString(w, droppedLinesMarker) // a failed write can't be logged
	})
	return l
}

// Dropped returns the number of lines dropped so far.
func (l *logWriter) Dropped() int64 { return l.dropped.Load() }
