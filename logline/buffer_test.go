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

// stuck is a standard output that nobody reads until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(content []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(content)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// TestBlockedWriterDoesNotBlockLogging: a writer that hangs blocks nobody who logs, memory stays
// bounded, warnings outlast others, and the lines dropped are counted.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{
			open: make(chan struct{}),
		}
		lines := logline.NewBuffer(out)
		logger := logline.NewJSON(lines, "entry", "entry-1")
		began := time.Now()
		text := strings.Repeat("x", 1000)
		for range 5000 {
			logger.Info().Str("event", "answered").Str("text", text).Msg("")
		}
		for range 100 {
			logger.Warn().Str("event", "store-lost").Msg("")
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, lines.Dropped() > 3000)
		close(out.open)
		time.Sleep(time.Second)
		logger.Info().Str("event", "after").Msg("")
		lines.Close()
		assert.Equal(t, strings.Count(out.text(), "store-lost"), 100)
		assert.Equal(t, strings.Count(out.text(), "log-lines-dropped"), 1)
		assert.Equal(t, strings.Count(out.text(), `"event":"after"`), 1)
		assert.Assert(t, len(out.text()) < 1<<20+1000)
	})
}

// TestCloseIsBoundedWhenWriterBlocks: a process that ends does not wait for its reader.
func TestCloseIsBoundedWhenWriterBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{
			open: make(chan struct{}),
		}
		lines := logline.NewBuffer(out)
		logline.NewJSON(lines, "entry", "entry-1").Info().Str("event", "stopped").Msg("")
		began := time.Now()
		lines.Close()
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond)
		close(out.open)
	})
}

// chunks remembers each write.
type chunks struct{ all []string }

func (c *chunks) Write(content []byte) (int, error) {
	c.all = append(c.all, string(content))
	return len(content), nil
}

// TestWritesHoldWholeLines: a write fits a pipe and ends with a line's end, so that
// lines of several processes don't mix.
func TestWritesHoldWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out chunks
		lines := logline.NewBuffer(&out)
		logger := logline.NewJSON(lines, "entry", "entry-1")
		for i := range 200 {
			logger.Info().Str("event", "answered").Str("text", strings.Repeat("x", i)).Msg("")
		}
		logger.Info().Str("event", "long").Str("text", strings.Repeat("x", 5000)).Msg("")
		logger.Info().Str("event", "after").Msg("")
		lines.Close()
		count := 0
		for _, write := range out.all {
			assert.Assert(t, strings.HasSuffix(write, "\n"))
			assert.Assert(t, len(write) <= 4096 || strings.Count(write, "\n") == 1)
			count += strings.Count(write, "\n")
		}
		assert.Equal(t, count, 202)
	})
}
