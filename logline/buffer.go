package logline

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Buffer passes lines on to a writer from a goroutine of its own, in bounded
// memory, so that a writer that hangs never blocks who logs. When it is full,
// new lines are dropped, those of successes first; a line tells how many.
type Buffer struct {
	target io.Writer
	mu     sync.Mutex
	// pending holds the lines to be written next.
	pending bytes.Buffer
	// dropped counts the lines dropped since the last write, total all of them.
	dropped      int
	totalDropped int64
	closed       bool
	wake         chan struct{}
	// closing is closed by Close, done once the last line is written.
	closing chan struct{}
	flushed chan struct{}
	group   sync.WaitGroup
}

const (
	// maxPendingBytes bounds the lines that wait; plainBytes is where lines below the
	// level of warnings are dropped, so that room is left for the others.
	maxPendingBytes = 1 << 20
	infoLimitBytes  = maxPendingBytes * 3 / 4
	// flushInterval gathers lines, so that a write carries many.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is what a pipe takes at once: PIPE_BUF of pipe(7).
	maxWriteBytes = 4096
	// closeTimeout bounds the last write.
	closeTimeout = 200 * time.Millisecond
)

// NewBuffer returns a buffer before a writer.
func NewBuffer(target io.Writer) *Buffer {
	b := &Buffer{
		target:  target,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		flushed: make(chan struct{}),
	}
	b.group.Go(func() {
		defer close(b.flushed)
		b.run()
	})
	return b
}

// WriteEntry takes one line.
func (b *Buffer) WriteEntry(entry *log.Entry) (int, error) {
	line := entry.Value()
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxPendingBytes
	if entry.Level < log.WarnLevel {
		limit = infoLimitBytes
	}
	if b.closed || b.pending.Len()+len(line) > limit {
		b.dropped++
		b.totalDropped++
		return len(line), nil
	}
	first := b.pending.Len() == 0
	b.pending.Write(line)
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// run writes what is pending until the buffer is closed.
func (b *Buffer) run() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case <-b.wake:
		case <-b.closing:
			b.flush()
			return
		}
		timer.Reset(flushInterval)
		select {
		case <-timer.C:
		case <-b.closing:
		}
		b.flush()
	}
}

// flush writes what is pending.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	if b.dropped > 0 {
		lines = append(lines, `{"level":"warn","event":"log-lines-dropped","count":`+strconv.Itoa(b.dropped)+"}\n"...)
		b.dropped = 0
	}
	b.mu.Unlock()
	for len(lines) > 0 {
		end := writeEnd(lines)
		// There is nowhere to report that standard output fails.
		_, _ = b.target.Write(lines[:end])
		lines = lines[end:]
	}
}

// writeEnd returns the end of the whole lines that one write takes, so that a pipe
// with several writers or a slow reader splits none.
func writeEnd(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Dropped returns how many lines were dropped.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes what is pending, for a bounded time. Later lines are dropped.
func (b *Buffer) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.closing)
	}
	b.mu.Unlock()
	select {
	case <-b.flushed:
	case <-time.After(closeTimeout):
	}
}

// NewJSON returns a logger that writes one JSON object a line to a buffer.
func NewJSON(lines *Buffer, field, name string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeField:  "time",
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str(field, name).Value(),
		Writer:     lines,
	}
}
