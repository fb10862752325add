package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    file,
		writer:  bufio.NewWriter(file),
	}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.writer, format+"\n", args...)
}

// close writes what is buffered.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}
