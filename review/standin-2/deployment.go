package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zone is a zone of the deployment with its region.
type zone struct {
	name   string
	region string
}

// zones are those of the site sarki-lb.
var zones = []zone{
	{
		name:   "bud-a",
		region: "eu-central",
	},
	{
		name:   "deb-b",
		region: "eu-central",
	},
	{
		name:   "falk-a",
		region: "south-atl",
	},
	{
		name:   "falk-b",
		region: "south-atl",
	},
	{
		name:   "trom-a",
		region: "nordic",
	},
	{
		name:   "trom-b",
		region: "nordic",
	},
}

// Bounds of the site that the checks use.
const (
	boundStableWindow = 3 * time.Second
	boundDrain        = 2 * time.Second
	boundConfigApply  = 2 * time.Second
	boundMaxSkew      = 5 * time.Second
	boundLostSlack    = 200 * time.Millisecond
	boundGrace        = 6 * time.Second
)

// deployment holds the entries, the backends and the store of a run, all on loopback addresses.
type deployment struct {
	// prefix is the first three bytes of all addresses, as text.
	prefix    string
	directory string
	store     *store
	log       *record
	entries   []*entry
	backends  []*backend
	operator  operator
	server    *http.Server
	group     sync.WaitGroup
}

// entry is a process of the system on one machine.
type entry struct {
	name     string
	ip       string
	zone     zone
	settings string
	process  *os.Process
	output   *os.File
}

// operator writes the configuration and keeps what it has written last.
type operator struct {
	store *store
	log   *record
	// written holds what was last written by key, and era the era of the store then.
	written map[string][]byte
	era     int
}

// newDeployment starts the store, and makes a folder for the files of the processes.
func newDeployment(log *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		directory: directory,
		store:     newStore(),
		log:       log,
	}
	d.operator = operator{
		store:   d.store,
		log:     log,
		written: make(map[string][]byte),
		era:     1,
	}
	var listener net.Listener
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if listener, err = net.Listen("tcp4", d.prefix+".200:8169"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{
		Handler: d.store,
	}
	d.group.Go(func() { _ = d.server.Serve(listener) })
	return d, nil
}

// close ends all that the deployment started.
func (d *deployment) close() {
	for _, each := range d.entries {
		each.signal(syscall.SIGCONT)
		each.signal(syscall.SIGKILL)
		_, _ = each.process.Wait()
		_ = each.output.Close()
	}
	for _, each := range d.backends {
		each.stop()
	}
	_ = d.server.Close()
	d.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("files of the processes are in", d.directory)
	}
}

// addBackend starts a backend of a service in the next zone, and registers it.
func (d *deployment) addBackend(service string, slots int, work time.Duration) (*backend, error) {
	index := len(d.backends)
	added := &backend{
		id:      fmt.Sprintf("i-%04x%04x", index, rand.IntN(1<<16)),
		service: service,
		zone:    zones[index%len(zones)].name,
		address: fmt.Sprintf("%s.%d:8646", d.prefix, 20+index),
		slots:   slots,
		work:    work,
		phase:   time.Duration(rand.Int64N(int64(heartbeatInterval))),
		store:   d.store,
		log:     d.log,
	}
	d.backends = append(d.backends, added)
	return added, added.start()
}

// startEntries starts one entry in each zone and a second one in the first, and waits until
// all are ready.
func (d *deployment) startEntries() error {
	for i, each := range append([]zone{zones[0]}, zones...) {
		started := &entry{
			name: fmt.Sprintf("front-%s-%d", each.name, 1+i%2),
			ip:   fmt.Sprintf("%s.%d", d.prefix, 10+i),
			zone: each,
		}
		started.settings = filepath.Join(d.directory, started.name+".conf")
		output, err := os.Create(filepath.Join(d.directory, started.name+".log"))
		if err != nil {
			return err
		}
		started.output = output
		if err := os.WriteFile(started.settings, []byte(d.settings(started)), 0o600); err != nil {
			return err
		}
		if err := started.start(); err != nil {
			return err
		}
		d.entries = append(d.entries, started)
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(d.entries, func(each *entry) bool { return !each.ready() }) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after 15 s")
}

// start starts the program with the command of the deploy file.
func (e *entry) start() (err error) {
	command := []string{"target/entry", "--platform"}
	e.process, err = os.StartProcess(command[0], command, &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELSTACK_NODE_FILE=" + e.settings},
		Files: []*os.File{nil, e.output, e.output},
	})
	return err
}

// signal sends a signal to the process.
func (e *entry) signal(signal syscall.Signal) { _ = e.process.Signal(signal) }

// ready reports whether the readiness probe succeeds.
func (e *entry) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + e.ip + ":8167/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// address returns where clients connect to.
func (e *entry) address() string { return e.ip + ":8161" }

// nearest returns three entries, those of the zone first and then those of its region.
func (d *deployment) nearest(from zone) []*entry {
	distance := func(each *entry) int {
		switch {
		case each.zone == from:
			return 0
		case each.zone.region == from.region:
			return 1
		}
		return 2
	}
	sorted := slices.Clone(d.entries)
	slices.SortStableFunc(sorted, func(a, b *entry) int { return distance(a) - distance(b) })
	return sorted[:min(3, len(sorted))]
}

// settings returns the settings file of an entry, as DEPLOY.md shows it, with the values of the
// site sarki-lb.
func (d *deployment) settings(e *entry) string {
	lines := []string{
		"node=" + e.name, "role=entry", "class=front", "serves=front,directory,control", "ip=" + e.ip, "zone=" + e.zone.name, "region=" + e.zone.region,
	}
	for _, each := range zones {
		lines = append(lines, "zones."+each.name+"="+each.region)
	}
	lines = append(lines,
		"listen.front="+e.ip+":8161", "listen.ready="+e.ip+":8167", "listen.control="+e.ip+":8166", "listen.directory="+e.ip+":8164",
		"port_range=7720,7735", "seeds="+d.prefix+".10:8166,"+d.prefix+".12:8166,"+d.prefix+".14:8166", "bootstrap=true", "count_loss=false",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,places,platform",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=1",
		"bounds.seed_lag=3s", "bounds.addr_reuse=2s", "bounds.stable_window=3000ms", "bounds.ack=4000ms", "bounds.sync_time=4s", "bounds.drain=2000ms",
		"bounds.grace=6s", "bounds.lost_slack=200ms", "bounds.config_apply=2000ms", "bounds.rollback_slack=250ms", "bounds.max_skew=5000ms",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56", "bounds.cold_overshoot=1.5", "bounds.cold_slack=5",
		"bounds.evacuate=5000ms", "bounds.recovery=15s", "bounds.ttl_max=5s", "bounds.max_shift=0.15",
		"platform.addr="+d.prefix+".200:8169", "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx=3ms",
		"platform.part_writes_s=300", "platform.row_bytes=65536", "platform.across=true", "platform.history=20s", "platform.blob_bytes=8388608",
		"platform.blob=25ms", "platform.blob_mb_s=80.0")
	return strings.Join(lines, "\n") + "\n"
}

// write writes a row of the operator, and returns when the store acknowledged it.
func (o *operator) write(key string, value []byte) (time.Time, error) {
	for {
		_, era, err := o.store.write("op", key, value)
		if err == nil {
			o.written[key], o.era = value, era
			o.log.add("operator", key, string(value))
			return time.Now(), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// writeAgain writes all again if the store has come back from a copy.
func (o *operator) writeAgain() error {
	for {
		era, _, err := o.store.peek("op", "config")
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if era == o.era {
			return nil
		}
		for key, value := range o.written {
			if _, err := o.write(key, value); err != nil {
				return err
			}
		}
	}
}

// clientHost is the host of all routes.
const clientHost = "wuny96.example"

// configuration returns a configuration whose route for bookings goes to a service.
func configuration(version int, readTimeout, bookService string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"dele69a","health_path":"/healthz","max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":9.0},`+
		`{"name":"xano55b","health_path":"/healthz","max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":9.0}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"vhosts":[{"host":%q,"paths":[`+
		`{"name":"r-read","prefix":"/gono990/","kind":"safe","timeout":%q,"goal":"300ms","priority":2,"service":"dele69a","attempts":2,"sticky":true,"home_regions":[]},`+
		`{"name":"r-book","prefix":"/bopu901/","kind":"unsafe","timeout":"1500ms","goal":"400ms","priority":1,"service":%q,"attempts":2,"sticky":true,"home_regions":[]}]}]}`,
		version, clientHost, readTimeout, bookService)
}
