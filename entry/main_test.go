package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// runAsEntryEnv is the environment variable that makes the test binary run as the entry
// program.
const runAsEntryEnv = "RUN_AS_ENTRY"

// TestMain runs the tests, or the entry program if runAsEntryEnv is set.
func TestMain(m *testing.M) {
	if os.Getenv(runAsEntryEnv) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// runEntry runs the entry program in a new process and returns its output and exit code.
func runEntry(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), runAsEntryEnv+"=1")
	output, err := command.CombinedOutput()
	if command.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func TestHelpAndVersion(t *testing.T) {
	help, code := runEntry(t, "--help")
	assert.Equal(t, code, exitOK)
	golden.Assert(t, help, "help.golden")
	text, code := runEntry(t, "--version")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, text, "entry devel\n")
}

// TestInvalidSettingsExitBeforeListening checks the exit code and the output for valid
// and invalid settings files and command lines. Errors in them must be reported before
// the entry opens a socket.
func TestInvalidSettingsExitBeforeListening(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = busy.Close() }()
	content, err := os.ReadFile("../examples/sarki/entries/entry-1.toml")
	assert.NilError(t, err)
	// The address for callers is in use: if the entry listened before it checked the
	// settings, it would exit with exitFailed.
	valid := strings.Replace(string(content), "127.0.0.1:21010", busy.Addr().String(), 1)
	file := filepath.Join(t.TempDir(), "entry.toml")
	for name, test := range map[string]struct {
		content   string
		arguments []string
		code      int
		want      string
	}{
		"unknown key": {
			content: "colour = \"red\"\n" + valid,
			code:    exitUsage,
			want:    file + ":1: colour: unknown key",
		},
		"check of a valid file": {
			content:   valid,
			arguments: []string{"--check"},
			code:      exitOK,
			want:      file + ": ok",
		},
		"check of an invalid file": {
			content:   strings.Replace(valid, "region = \"eu-central\"", "region = \"\"", 1),
			arguments: []string{"--check"},
			code:      exitUsage,
			want:      file + ":2: region: is missing",
		},
		"unknown option": {
			content:   valid,
			arguments: []string{"--colour"},
			code:      exitUsage,
			want:      "unknown flag",
		},
		"address in use": {
			content: valid,
			code:    exitFailed,
			want:    "event=listen-failed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(file, []byte(test.content), 0o600))
			text, code := runEntry(t, append(test.arguments, "--settings", file)...)
			assert.Equal(t, code, test.code, text)
			assert.Assert(t, strings.Contains(text, test.want), text)
		})
	}
	text, code := runEntry(t)
	assert.Equal(t, code, exitUsage)
	assert.Equal(t, text, "entry: --settings is missing\n")
}
