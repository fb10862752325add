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

// asProgram makes the test binary run as the entry program.
const asProgram = "RUN_AS_ENTRY"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// entry runs the program, and returns what it printed and its exit code.
func entry(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), asProgram+"=1")
	output, err := command.CombinedOutput()
	if command.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func TestHelpAndVersion(t *testing.T) {
	help, code := entry(t, "--help")
	assert.Equal(t, code, exitOK)
	golden.Assert(t, help, "help.golden")
	text, code := entry(t, "--version")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, text, "entry devel\n")
}

func TestInvalidSettingsExitBeforeListening(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	content, err := os.ReadFile("../examples/sarki/entries/entry-1.toml")
	assert.NilError(t, err)
	// A socket opened before the check would fail with another exit code.
	sound := strings.Replace(string(content), "127.0.0.1:21010", taken.Addr().String(), 1)
	file := filepath.Join(t.TempDir(), "entry.toml")
	for name, test := range map[string]struct {
		content   string
		arguments []string
		code      int
		want      string
	}{
		"unknown key": {
			content: "colour = \"red\"\n" + sound,
			code:    exitSettings,
			want:    file + ":1: colour: unknown key",
		},
		"check of a sound file": {
			content:   sound,
			arguments: []string{"--check"},
			code:      exitOK,
			want:      file + ": ok",
		},
		"check of a wrong file": {
			content:   strings.Replace(sound, "region = \"eu-central\"", "region = \"\"", 1),
			arguments: []string{"--check"},
			code:      exitSettings,
			want:      file + ":2: region: is missing",
		},
		"unknown option": {
			content:   sound,
			arguments: []string{"--colour"},
			code:      exitSettings,
			want:      "unknown flag",
		},
		"address in use": {
			content: sound,
			code:    exitFailed,
			want:    "event=listen-failed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(file, []byte(test.content), 0o600))
			text, code := entry(t, append(test.arguments, "--settings", file)...)
			assert.Equal(t, code, test.code, text)
			assert.Assert(t, strings.Contains(text, test.want), text)
		})
	}
	text, code := entry(t)
	assert.Equal(t, code, exitSettings)
	assert.Equal(t, text, "entry: --settings is missing\n")
}
