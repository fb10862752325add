package story_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/teaselstack/teaselstack/teaselctl/story"
)

// TestWriteMatchesGoldenFiles compares the output for each log in testdata with its
// golden file. The name of a log is a word, a hyphen and the ID of the request to
// print. A log may also hold lines about other requests, which must not be printed.
func TestWriteMatchesGoldenFiles(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 0)
	for _, log := range logs {
		name := strings.TrimSuffix(filepath.Base(log), ".log")
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(log)
			assert.NilError(t, err)
			_, id, _ := strings.Cut(name, "-")
			var out bytes.Buffer
			assert.NilError(t, story.Write(&out, id, bytes.NewReader(content)))
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	var out bytes.Buffer
	err := story.Write(&out, "none", strings.NewReader("no json\n{\"event\":\"x\"}\n"))
	assert.ErrorIs(t, err, story.ErrNotFound)
}
