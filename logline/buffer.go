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
// blocks when the writer does. Its memory is bounded: once it is three quarters full
// it drops new lines below the warning level, and once it is full it drops all new
// lines. A later line reports the number of lines dropped, unless they were dropped
// after Close.
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
	// wake signals the goroutine that pending is no longer empty.
	wake chan struct{}
	// closing is closed by Close and tells the goroutine to return after a last flush.
	closing chan struct{}
	// flushed is closed when the goroutine has written the last line.
	flushed chan struct{}
	group   sync.WaitGroup
}

const (
	// maxPendingBytes is the maximum size of the pending lines. Lines below the
	// warning level are dropped above maxInfoPendingBytes, which reserves the rest
	// for warnings and errors.
	maxPendingBytes     = 1 << 20
	maxInfoPendingBytes = maxPendingBytes * 3 / 4
	// flushInterval is how long a flush is delayed so that it writes several lines at
	// once.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is the size up to which a write to a pipe is atomic: PIPE_BUF
	// of pipe(7).
	maxWriteBytes = 4096
	// closeTimeout is the maximum time that Close waits for the last write.
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

// WriteEntry adds a line to the buffer or drops it. It implements log.Writer and never
// waits for the target.
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

// run flushes the pending lines flushInterval after the first of them was added,
// until the buffer is closed.
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
		// There is nowhere to report an error of the log output.
		_, _ = b.target.Write(lines[:end])
		lines = lines[end:]
	}
}

// writeEnd returns the number of leading bytes of lines to pass to one write. These
// are as many whole lines as fit into maxWriteBytes, so that a pipe with several
// writers or a slow reader splits no line. A line longer than that is written alone.
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

// NewJSON returns a logger that writes one JSON object per line to a buffer. Each
// object holds the name of the process under the key given by field.
func NewJSON(buffer *Buffer, field, name string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeField:  "time",
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str(field, name).Value(),
		Writer:     buffer,
	}
}
