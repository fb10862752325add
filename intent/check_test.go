package intent

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const testDeployment = `name = "test"
[objective]
latency = 1
[[region]]
name = "north"
[[region]]
name = "south"
[[failure-domain]]
name = "north-a"
region = "north"
[[failure-domain]]
name = "south-a"
region = "south"
[[failure-domain]]
name = "south-b"
region = "south"
[[entry]]
name = "entry-1"
failure-domain = "north-a"
[[entry]]
name = "entry-2"
failure-domain = "south-a"
[[entry]]
name = "entry-3"
failure-domain = "south-b"
`

const testService = `name = "desk"
service-time = "200ms"
deadline = "2s"

[[region]]
name = "north"
max-rate = 25
shift-rate = 5

[[region]]
name = "south"
max-rate = 10

[[backend-server]]
name = "desk-1"
address = "127.0.0.1:1"
failure-domain = "north-a"
slots = 2

[[backend-server]]
name = "desk-2"
address = "127.0.0.1:2"
failure-domain = "north-a"
slots = 2

[[backend-server]]
name = "desk-3"
address = "127.0.0.1:3"
failure-domain = "south-a"
slots = 2
`

// testDocuments returns the documents of a deployment, a service and drains. A
// drain is written as "kind name [service] [force]", and each is published
// one second after the one before it.
func testDocuments(service string, drains ...string) []Document {
	all := []Document{
		{
			Name:    DeploymentDocument,
			Content: []byte(testDeployment),
		},
		{
			Name:    "services/desk.toml",
			Content: []byte(service),
		},
	}
	for i, line := range drains {
		words := strings.Fields(line)
		content := fmt.Sprintf("kind = %q\nname = %q\nsince = 2026-01-01T00:00:%02dZ\n", words[0], words[1], i)
		for _, word := range words[2:] {
			if word == "force" {
				content += "force = true\n"
				continue
			}
			content += fmt.Sprintf("service = %q\n", word)
		}
		all = append(all, Document{
			Name:    fmt.Sprintf("drains/%d.toml", i),
			Content: []byte(content),
		})
	}
	return all
}

// TestCheck compares the errors and warnings of Check with golden files. Compile must
// accept documents that Check rejects for lack of capacity, since entries only compile.
func TestCheck(t *testing.T) {
	cases := []struct {
		name string
		// replaced is a part of testService, and replacement takes its place.
		replaced    string
		replacement string
		drains      []string
	}{
		{
			name: "caps-beyond-slots",
		},
		{
			name:        "shift-above-max",
			replaced:    "shift-rate = 5",
			replacement: "shift-rate = 50",
		},
		{
			name:        "service-time-above-deadline",
			replaced:    `"200ms"`,
			replacement: `"3s"`,
		},
		{
			name:        "region-without-servers",
			replaced:    `"south-a"`,
			replacement: `"north-a"`,
		},
		{
			name:   "one-drain-leaves-room",
			drains: []string{"backend-server desk-1"},
		},
		{
			name:   "two-drains-empty-a-region",
			drains: []string{"backend-server desk-1", "backend-server desk-2"},
		},
		{
			name:   "forced-second-drain",
			drains: []string{"backend-server desk-1", "backend-server desk-2 force"},
		},
		{
			name:   "force-of-the-first-drain-does-not-cover-the-second",
			drains: []string{"backend-server desk-1 force", "backend-server desk-2"},
		},
		{
			name:   "region-drain-without-shift",
			drains: []string{"service-region north desk"},
		},
		{
			name:   "region-drain-with-shift",
			drains: []string{"service-region south desk"},
		},
		{
			name:   "all-regions-drained",
			drains: []string{"service-region south desk", "service-region north desk"},
		},
		{
			name:   "last-entry-of-a-failure-domain",
			drains: []string{"entry entry-2"},
		},
		{
			name:   "last-entries-of-a-region",
			drains: []string{"entry entry-2", "entry entry-3"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			service := strings.Replace(testService, test.replaced, test.replacement, 1)
			_, warnings, err := Check(1, testDocuments(service, test.drains...))
			var report strings.Builder
			for _, warning := range warnings {
				fmt.Fprintln(&report, "warning:", warning)
			}
			if err != nil {
				fmt.Fprintln(&report, err)
			}
			golden.Assert(t, report.String(), "check/"+test.name+".golden")
		})
	}
	_, err := Compile(1, testDocuments(testService, "backend-server desk-1", "backend-server desk-2"))
	assert.NilError(t, err, "Compile rejects a configuration for its capacity")
}
