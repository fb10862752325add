package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/measure/capacity"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/standin/store"
)

// TestEntryMemory checks that the entry program, started without peers, has less than
// ControlMemoryBytes of resident memory once its configuration is in force. At a tenth
// of the target size the memory is only logged.
func TestEntryMemory(t *testing.T) {
	program := filepath.Join(t.TempDir(), "entry")
	build := exec.Command("go", "build", "-o", program, "github.com/teaselstack/teaselstack/entry")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, string(output))
	for name, test := range map[string]struct {
		size fleet.Size
		// bounded is set if the resident memory must stay below ControlMemoryBytes.
		bounded bool
	}{
		"today": {
			size:    fleet.FirstDeployment(),
			bounded: true,
		},
		"hundredth": {
			size:    fleet.HundredthOfTarget(),
			bounded: true,
		},
		"tenth": {
			size: fleet.TenthOfTarget(),
		},
	} {
		t.Run(name, func(t *testing.T) {
			resident := entryMemory(t, program, test.size)
			t.Logf("%d nodes, %d sites, %d blocks: %d bytes resident", test.size.Nodes, test.size.Sites, test.size.Blocks, resident)
			if test.bounded {
				assert.Assert(t, float64(resident) < capacity.ControlMemoryBytes, "%d bytes resident", resident)
			}
		})
	}
}

// entryMemory publishes the configuration of a deployment of the given size, starts
// the entry program, and returns its resident memory in bytes once the configuration
// is in force.
func entryMemory(t *testing.T, program string, size fleet.Size) int64 {
	server := httptest.NewServer(store.New())
	defer server.Close()
	publisher := &publication.Publisher{
		Platform: platform.NewClient(server.URL, server.Client()).Platform(),
		Author:   "test",
	}
	current, err := publisher.ReadState(t.Context())
	assert.NilError(t, err)
	_, err = publisher.Publish(t.Context(), current, publication.Change{
		Documents: append(size.Documents(), size.BlockDocuments()...),
	})
	assert.NilError(t, err)
	addresses := freeAddresses(t, 3)
	operatorsAddress := addresses[2]
	settingsFile := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(settingsFile, []byte(fmt.Sprintf(`name = "%s"
region = "%s"
failure-domain = "%s"
callers-address = "%s"
peers-address = "%s"
operators-address = "%s"
platform = "%s"
peer-key = "measured-peer-key"
operator-key = "measured-operator-key"
`, fleet.EntryName(0), fleet.RegionName(0), fleet.FailureDomainName(0), addresses[0], addresses[1], operatorsAddress, server.URL)), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	process := exec.CommandContext(ctx, program, "--settings", settingsFile)
	stderr, err := process.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "configuration-in-force") {
			break
		}
	}
	assert.NilError(t, lines.Err())
	// The entry never becomes ready, as its peers do not run, so the test checks
	// only its health.
	response, err := http.Get("http://" + operatorsAddress + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	resident := residentBytes(t, process.Process.Pid)
	assert.NilError(t, process.Process.Signal(syscall.SIGKILL))
	_ = process.Wait()
	return resident
}

// freeAddresses returns distinct loopback addresses whose ports were free at the
// time of the call. It opens all listeners before it closes any, because the system
// may assign a released port again at once.
func freeAddresses(t *testing.T, count int) []string {
	listeners := make([]net.Listener, count)
	addresses := make([]string, count)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i], addresses[i] = listener, listener.Addr().String()
	}
	for _, listener := range listeners {
		assert.NilError(t, listener.Close())
	}
	return addresses
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(t *testing.T, pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kibibytes, err := strconv.ParseInt(fields[1], 10, 64)
			assert.NilError(t, err)
			return kibibytes << 10
		}
	}
	t.Fatalf("no VmRSS of process %d", pid)
	return 0
}
