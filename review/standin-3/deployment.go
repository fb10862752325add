package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// deployment holds the processes and stand-ins of a case.
type deployment struct {
	record *record
	// trouble reports whether the disruption is played.
	trouble bool
	// domains maps each failure domain to its region.
	domains map[string]string
	// prefix is the first three bytes of all addresses.
	prefix    string
	directory string
	store     *store
	backends  []*backend
	entries   []*entry

	// group starts goroutines, for which nothing waits.
	group sync.WaitGroup

	mu sync.Mutex
	// counts holds the answers of the clients by status.
	counts map[string]int
}

// entry is a process of the program.
type entry struct {
	name    string
	ip      string
	zone    string
	process *os.Process
}

// startPlatform starts the store on free loopback addresses.
func (d *deployment) startPlatform() error {
	var err error
	if d.directory, err = os.MkdirTemp("", "review-3-"); err != nil {
		return err
	}
	d.store, d.counts = newStore(), make(map[string]int)
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		var listener net.Listener
		if listener, err = net.Listen("tcp4", d.prefix+".200:8169"); err == nil {
			d.group.Go(func() { _ = http.Serve(listener, d.store) })
			return nil
		}
	}
	return err
}

// publish writes a configuration with the service desk and some routes.
func (d *deployment) publish(routes string) {
	d.store.put("op", "config", fmt.Appendf(nil, `{"version":7,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"3s","cold_per_s":%g}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"vhosts":[{"host":"desk.example","paths":[%s]}]}`, coldPerSecond, routes))
}

// startBackend starts a backend of the service desk, which changed may change before.
func (d *deployment) startBackend(zone string, changed func(*backend)) error {
	number := len(d.backends)
	b := &backend{
		id:       fmt.Sprintf("i-%d", number),
		service:  "desk",
		zone:     zone,
		addr:     fmt.Sprintf("%s.%d:8367", d.prefix, 30+number),
		slots:    6,
		work:     100 * time.Millisecond,
		coldTime: 3 * time.Second,
		record:   d.record,
		store:    d.store,
	}
	changed(b)
	d.backends = append(d.backends, b)
	return b.start(false)
}

// startEntry starts an entry with the command of the deploy file, in the root of the repository.
func (d *deployment) startEntry(name, zone string, host int, extra ...string) error {
	e := &entry{
		name: name,
		ip:   fmt.Sprintf("%s.%d", d.prefix, host),
		zone: zone,
	}
	lines := []string{
		"node=" + name, "role=entry", "class=front", "serves=front,directory,control", "ip=" + e.ip,
		"zone=" + zone, "region=" + d.domains[zone],
		"listen.front=" + e.ip + ":8161", "listen.ready=" + e.ip + ":8167",
		"listen.control=" + e.ip + ":8166", "listen.directory=" + e.ip + ":8164",
		"port_range=7720,7735", "seeds=" + d.prefix + ".10:8166", "bootstrap=true", "heartbeat=1500ms",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"bounds.seed_lag=3s", "bounds.addr_reuse=2s", "bounds.stable_window=3000ms", "bounds.ack=4000ms",
		"bounds.sync_time=4s", "bounds.drain=2000ms", "bounds.grace=6s", "bounds.lost_slack=200ms",
		"bounds.config_apply=2000ms", "bounds.rollback_slack=250ms", "bounds.max_skew=5000ms",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56",
		"bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate=5000ms", "bounds.recovery=15s",
		"bounds.ttl_max=5s", "bounds.max_shift=0.15",
		"platform.addr=" + d.prefix + ".200:8169", "platform.form=table", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history=20s",
	}
	for domain, region := range d.domains {
		lines = append(lines, "zones."+domain+"="+region)
	}
	settings := filepath.Join(d.directory, name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.directory, name+".log"))
	if err != nil {
		return err
	}
	input, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	e.process, err = os.StartProcess("target/entry", []string{"target/entry", "--platform"}, &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELSTACK_NODE_FILE=" + settings},
		Files: []*os.File{input, output, output},
	})
	if err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	d.record.line("entry %s started in %s", name, zone)
	return d.awaitReady(e)
}

// awaitReady waits until an entry says that it is ready.
func (d *deployment) awaitReady(e *entry) error {
	client := http.Client{
		Timeout: time.Second,
	}
	for range 200 {
		response, err := client.Get("http://" + e.ip + ":8167/v1/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("entry " + e.name + " is not ready")
}

// stop ends the processes that the case has started.
func (d *deployment) stop() {
	for _, e := range d.entries {
		_ = e.process.Kill()
		_, _ = e.process.Wait()
	}
	if d.directory != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}
