package gate_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
)

const (
	// deadlyPath is the page for which callers of these tests ask.
	deadlyPath = "/browse/page"
	// deadlyHeader marks a request that crashes each server that runs it.
	deadlyHeader = "X-Deadly"
	// undisturbedWindow is the value of bounds.stable_window in the settings of every entry.
	undisturbedWindow = 3 * time.Second
	// maxLateSends is how many times the platform lets a request that has crashed three servers
	// be sent on, later than the undisturbed window after the third crash.
	maxLateSends = 3
)

// crashLog holds when requests crashed servers.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

// lateCrashes returns how many crashes were later than the undisturbed window after the third.
func (c *crashLog) lateCrashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		return 0
	}
	slices.SortFunc(c.at, time.Time.Compare)
	return countBetween(c.at, c.at[2].Add(undisturbedWindow), time.Now())
}

// startDeadlyDeployment starts a deployment in whose servers a request with deadlyHeader crashes
// each one that runs it. A server that has crashed starts again a second later.
func startDeadlyDeployment(t *testing.T) (*deployment, *crashLog) {
	t.Helper()
	d, crashes := startDeployment(t, 20), &crashLog{}
	ctx, cancel := context.WithCancel(context.Background())
	var restarts sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		restarts.Wait()
	})
	for index, backend := range d.servers {
		address := d.proxies[index].Target
		backend.SetDeadly(func(r *http.Request) bool { return r.Header.Get(deadlyHeader) != "" }, func() {
			crashes.mu.Lock()
			crashes.at = append(crashes.at, time.Now())
			crashes.mu.Unlock()
			restarts.Go(func() {
				if sleep(ctx, time.Second); ctx.Err() == nil {
					d.startServer(backend, address)
				}
			})
		})
	}
	return d, crashes
}

// pageCaller is a caller with an IP address of its own that asks for the page again and again.
type pageCaller struct {
	deployment *deployment
	number     int
	header     http.Header
	// sent counts the requests, served those answered with status 200, and quarantined those
	// refused because the request is suspected of crashing servers.
	sent, served, quarantined int
	// lastQuarantined reports whether the last request was refused for that reason.
	lastQuarantined bool
}

// run sends requests until ctx is done.
func (c *pageCaller) run(ctx context.Context, pause time.Duration) {
	random := rand.New(rand.NewPCG(uint64(c.number), 3))
	client := &http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: (&net.Dialer{
				Timeout: time.Second,
				LocalAddr: &net.TCPAddr{
					IP: net.ParseIP(fmt.Sprintf("%s.%d", c.deployment.ipPrefix, 100+c.number)),
				},
			}).DialContext,
		},
	}
	for ; ctx.Err() == nil; sleep(ctx, time.Duration(float64(pause)*(0.5+random.Float64()))) {
		c.send(client, c.deployment.entries[random.IntN(len(c.deployment.entries))])
	}
}

// send sends one request to an entry.
func (c *pageCaller) send(client *http.Client, entry *process) {
	c.sent++
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.ip+":8161"+deadlyPath, http.NoBody)
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header = c.header.Clone()
	request.Header.Set(platform.HeaderNames.RequestID, fmt.Sprintf("page-%d-%d", c.number, c.sent))
	request.Header.Set(platform.HeaderNames.DeadlineMS, "4000")
	response, err := client.Do(request)
	c.lastQuarantined = false
	if err != nil {
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		c.served++
	}
	if c.lastQuarantined = strings.TrimSpace(string(content)) == "quarantined"; c.lastQuarantined {
		c.quarantined++
	}
}

// runPageCallers runs callers for a while, the first deadly of whom send requests with
// deadlyHeader.
func runPageCallers(d *deployment, count, deadly int, pause, duration time.Duration) []*pageCaller {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	callers := make([]*pageCaller, count)
	var group sync.WaitGroup
	for number := range callers {
		callers[number] = &pageCaller{
			deployment: d,
			number:     number,
			header:     make(http.Header),
		}
		if number < deadly {
			callers[number].header.Set(deadlyHeader, "1")
		}
		group.Go(func() { callers[number].run(ctx, pause) })
	}
	group.Wait()
	return callers
}

// TestDeadlyRequestOfManyCallers guards against a request that crashes each server that runs it,
// and that each of many callers may send until it has crashed three more.
func TestDeadlyRequestOfManyCallers(t *testing.T) {
	d, crashes := startDeadlyDeployment(t)
	callers := runPageCallers(d, 30, 30, 300*time.Millisecond, 16*time.Second)
	late := crashes.lateCrashes()
	t.Logf("%d crashes, %d late", len(crashes.at), late)
	assert.Assert(t, late <= maxLateSends, "%d late crashes", late)
	for _, caller := range callers {
		assert.Assert(t, caller.lastQuarantined, "caller %d is not refused", caller.number)
	}
}

// TestRequestDeadlyForOneCaller guards against the refusal of a page to all callers because the
// requests of one of them, by a header of theirs, crash each server that runs them, and against
// endless crashes by that one because the others' succeed.
func TestRequestDeadlyForOneCaller(t *testing.T) {
	d, crashes := startDeadlyDeployment(t)
	callers := runPageCallers(d, 30, 1, 300*time.Millisecond, 16*time.Second)
	late := crashes.lateCrashes()
	t.Logf("%d crashes, %d late", len(crashes.at), late)
	assert.Assert(t, late <= maxLateSends, "%d late crashes", late)
	assert.Assert(t, callers[0].lastQuarantined, "the caller whose requests crash servers is not refused")
	for _, caller := range callers[1:] {
		assert.Equal(t, caller.quarantined, 0, "caller %d was refused, %d of %d served", caller.number, caller.served, caller.sent)
	}
}
