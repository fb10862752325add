package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/teaselstack/teaselstack/entry/settings"
)

// validSettings is a settings file without errors.
const validSettings = `name = "entry-1"
region = "fi-central"
failure-domain = "fi-central-a"
callers-address = "127.0.0.1:20010"
peers-address = "127.0.0.1:20020"
operators-address = "127.0.0.1:20030"
platform = "http://127.0.0.1:20000"
peers = ["127.0.0.1:20021"]
peer-key = "local-run-peer-key"
operator-key = "local-run-operator-key"

[network]
relay = "127.0.0.1:20003"

[limits]
stop-timeout = "20s"
`

// TestParseValidSettings checks that values of the file are read and that those it
// leaves out keep their defaults.
func TestParseValidSettings(t *testing.T) {
	loaded, err := settings.Parse("entry.toml", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, loaded.Network.SOCKS5Proxy, "127.0.0.1:20003")
	assert.Equal(t, loaded.Limits.HeaderBytes, settings.Default().Limits.HeaderBytes)
}

// TestErrorsNameFileLineAndKey makes one error at a time in a valid file and compares
// the messages with the golden file.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	var text strings.Builder
	for _, change := range []struct {
		name string
		from string
		to   string
	}{
		{
			name: "unknown key",
			from: "region =",
			to:   "regoin =",
		},
		{
			name: "unknown key in a table",
			from: "stop-timeout",
			to:   "stop-time",
		},
		{
			name: "missing value",
			from: "name = \"entry-1\"\n",
		},
		{
			name: "missing address",
			from: "peers-address = \"127.0.0.1:20020\"\n",
		},
		{
			name: "host name for an address",
			from: "127.0.0.1:20010",
			to:   "localhost:20010",
		},
		{
			name: "address without a port",
			from: "127.0.0.1:20030",
			to:   "127.0.0.1",
		},
		{
			name: "wrong peer",
			from: "127.0.0.1:20021",
			to:   "peer-2",
		},
		{
			name: "wrong relay",
			from: "127.0.0.1:20003",
			to:   "relay",
		},
		{
			name: "wrong platform",
			from: "http://127.0.0.1:20000",
			to:   "127.0.0.1:20000",
		},
		{
			name: "short key",
			from: "local-run-peer-key",
			to:   "secret",
		},
		{
			name: "wrong type",
			from: "\"20s\"",
			to:   "20",
		},
		{
			name: "wrong duration",
			from: "\"20s\"",
			to:   "\"20 apples\"",
		},
		{
			name: "zero limit",
			from: "\"20s\"",
			to:   "\"0s\"",
		},
		{
			name: "no TOML",
			from: "name = ",
			to:   "name ",
		},
	} {
		_, err := settings.Parse("entry.toml", []byte(strings.Replace(validSettings, change.from, change.to, 1)))
		assert.Assert(t, err != nil, change.name)
		fmt.Fprintf(&text, "%s\n\t%s\n", change.name, strings.ReplaceAll(err.Error(), "\n", "\n\t"))
	}
	golden.Assert(t, text.String(), "faults.golden")
}
