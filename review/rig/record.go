//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what happens to a file and to the standard output, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: io.MultiWriter(f, os.Stdout), file: f, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close() // all lines are written by then
}
