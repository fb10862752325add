package logline_test

import (
	"bytes"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/logline"
)

func TestNewWritesKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger := logline.New(&out, "entry", "entry-1")
	logger.Info().Str("event", "member-dead").Str("detail", "no answer").Bool("cut", false).Int("count", 3).Msg("")
	line := regexp.MustCompile(`time=\S+`).ReplaceAllString(out.String(), "time=T")
	assert.Equal(t, line, "time=T level=info entry=entry-1 event=member-dead detail=\"no answer\" cut=false count=3\n")
}
