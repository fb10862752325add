package logline_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/logline"
)

// blockedWriter is a writer that blocks until unblocked is closed, as standard
// output does when its reader hangs.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
}

func (w *blockedWriter) Write(content []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(content)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// TestBlockedWriterDoesNotBlockLogging logs more than the buffer holds while the
// writer blocks: logging doesn't block, memory stays bounded, no warning is
// dropped, and the lines dropped are counted.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{
			unblocked: make(chan struct{}),
		}
		buffer := logline.NewBuffer(out)
		logger := logline.NewJSON(buffer, "entry", "entry-1")
		start := time.Now()
		text := strings.Repeat("x", 1000)
		for range 5000 {
			logger.Info().Str("event", "answered").Str("text", text).Msg("")
		}
		for range 100 {
			logger.Warn().Str("event", "store-lost").Msg("")
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, buffer.Dropped() > 3000)
		close(out.unblocked)
		time.Sleep(time.Second)
		logger.Info().Str("event", "after").Msg("")
		buffer.Close()
		assert.Equal(t, strings.Count(out.text(), "store-lost"), 100)
		assert.Equal(t, strings.Count(out.text(), "log-lines-dropped"), 1)
		assert.Equal(t, strings.Count(out.text(), `"event":"after"`), 1)
		assert.Assert(t, len(out.text()) < 1<<20+1000)
	})
}

// TestCloseIsBoundedWhenWriterBlocks checks that Close returns in time, so that a
// hanging reader doesn't keep a process from exiting.
func TestCloseIsBoundedWhenWriterBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{
			unblocked: make(chan struct{}),
		}
		buffer := logline.NewBuffer(out)
		logline.NewJSON(buffer, "entry", "entry-1").Info().Str("event", "stopped").Msg("")
		start := time.Now()
		buffer.Close()
		assert.Assert(t, time.Since(start) <= 200*time.Millisecond)
		close(out.unblocked)
	})
}

// writeRecorder records the content of each write.
type writeRecorder struct{ writes []string }

func (r *writeRecorder) Write(content []byte) (int, error) {
	r.writes = append(r.writes, string(content))
	return len(content), nil
}

// TestWritesHoldWholeLines checks that each write ends with a newline and fits into
// an atomic write to a pipe, unless it is a single longer line. Otherwise the lines
// of several processes that share a pipe would mix.
func TestWritesHoldWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out writeRecorder
		buffer := logline.NewBuffer(&out)
		logger := logline.NewJSON(buffer, "entry", "entry-1")
		for i := range 200 {
			logger.Info().Str("event", "answered").Str("text", strings.Repeat("x", i)).Msg("")
		}
		logger.Info().Str("event", "long").Str("text", strings.Repeat("x", 5000)).Msg("")
		logger.Info().Str("event", "after").Msg("")
		buffer.Close()
		count := 0
		for _, write := range out.writes {
			assert.Assert(t, strings.HasSuffix(write, "\n"))
			assert.Assert(t, len(write) <= 4096 || strings.Count(write, "\n") == 1)
			count += strings.Count(write, "\n")
		}
		assert.Equal(t, count, 202)
	})
}
