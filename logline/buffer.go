package logline

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Buffer writes log lines to a writer from its own goroutine, so that logging never
// blocks when the writer does. Its memory is bounded: when it is three quarters full
// it drops new lines below the warning level, and when it is full all new lines. A
// later line reports the number of lines dropped.
type Buffer struct {
	target io.Writer
	mu     sync.Mutex
	// pending holds the lines that are not yet passed to target.
	pending bytes.Buffer
	// unreportedDrops is the number of lines dropped since the last flush, and
	// totalDropped the number dropped since the start.
	unreportedDrops int
	totalDropped    int64
	closed          bool
	// wake tells the goroutine that pending is no longer empty.
	wake chan struct{}
	// closing is closed by Close, and flushed once the last line is written.
	closing chan struct{}
	flushed chan struct{}
	group   sync.WaitGroup
}

const (
	// maxPendingBytes is the maximum size of the pending lines. Lines below the
	// warning level are dropped above maxInfoPendingBytes, which reserves the rest
	// for warnings and errors.
	maxPendingBytes     = 1 << 20
	maxInfoPendingBytes = maxPendingBytes * 3 / 4
	// flushInterval is the time over which lines are collected into one flush.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is the size up to which a write to a pipe is atomic: PIPE_BUF
	// of pipe(7).
	maxWriteBytes = 4096
	// closeTimeout is how long Close waits for the last write.
	closeTimeout = 200 * time.Millisecond
)

// NewBuffer returns a buffer that writes to target, and starts its goroutine.
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

// WriteEntry adds one line or drops it. It implements log.Writer and never blocks
// on the target.
func (b *Buffer) WriteEntry(entry *log.Entry) (int, error) {
	line := entry.Value()
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxPendingBytes
	if entry.Level < log.WarnLevel {
		limit = maxInfoPendingBytes
	}
	if b.closed || b.pending.Len()+len(line) > limit {
		b.unreportedDrops++
		b.totalDropped++
		return len(line), nil
	}
	wasEmpty := b.pending.Len() == 0
	b.pending.Write(line)
	if wasEmpty {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// run flushes the pending lines at intervals until the buffer is closed.
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

// flush writes the pending lines, and a line with the number of lines dropped
// since the last flush, if any.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	if b.unreportedDrops > 0 {
		lines = append(lines, `{"level":"warn","event":"log-lines-dropped","count":`+strconv.Itoa(b.unreportedDrops)+"}\n"...)
		b.unreportedDrops = 0
	}
	b.mu.Unlock()
	for len(lines) > 0 {
		end := writeEnd(lines)
		// There is nowhere to report an error of standard output.
		_, _ = b.target.Write(lines[:end])
		lines = lines[end:]
	}
}

// writeEnd returns the end of the whole lines that one write may contain, so that a
// pipe with several writers or a slow reader splits no line. A longer line has a
// write of its own.
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

// Dropped returns the number of lines dropped since the start.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close writes the pending lines and returns after closeTimeout at the latest.
// Lines logged later are dropped.
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

// NewJSON returns a logger that writes lines with one JSON object each to a buffer.
// Each has a field with the name of the process; the argument field is its key.
func NewJSON(lines *Buffer, field, name string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeField:  "time",
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str(field, name).Value(),
		Writer:     lines,
	}
}
