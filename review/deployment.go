package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones lists the failure domains of the site kasikirjoitus-edge with their regions.
var zones = []struct{ name, region string }{
	{"fi-central-a", "fi-central"},
	{"se-east-a", "se-east"},
	{"de-west-a", "de-west"},
	{"fi-central-b", "fi-central"},
	{"se-east-b", "se-east"},
	{"de-west-b", "de-west"},
}

// entryCommand is the command of the deploy file.
var entryCommand = []string{"target/entry", "--platform"}

// configuration is the operator's configuration: the routes of the site, with its time-outs.
const configuration = `{"version":7,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"3s","cold_per_s":9},
{"name":"intake","health_path":"/healthz","max_conns":330,"cold_start":"3s","cold_per_s":9}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"20s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"reads","prefix":"/reads/","kind":"safe","timeout":"1500ms","goal":"600ms","priority":2,"service":"desk","attempts":3,"sticky":true},
{"name":"sends","prefix":"/sends/","kind":"unsafe","timeout":"2000ms","goal":"800ms","priority":1,"service":"desk","attempts":3,"sticky":true},
{"name":"uploads","prefix":"/uploads/","kind":"upload","timeout":"5000ms","goal":"800ms","priority":1,"service":"intake","attempts":3}]}]}`

// deployment is a small deployment: entries as processes of their own, and stand-ins for the
// store and the backend servers.
type deployment struct {
	record    *record
	root      string
	directory string
	// prefix is the first three bytes of all addresses.
	prefix  string
	store   *store
	servers []*backend
	entries []*entry
	group   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// entry is a process of the entry program.
type entry struct {
	index   int
	ip      string
	process *os.Process
	exited  chan struct{}
}

// newDeployment starts the store.
func newDeployment(rec *record, root string) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record:    rec,
		root:      root,
		directory: directory,
		store:     newStore(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	var listener net.Listener
	for try := range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 100+(os.Getpid()/200+try)%100, 1+os.Getpid()%200)
		if listener, err = net.Listen("tcp4", d.prefix+".200:8169"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	d.group.Go(func() { _ = http.Serve(listener, d.store) })
	d.store.put("op", "config", []byte(configuration))
	return d, nil
}

// addServers starts stand-ins for backend servers of a service, one after the other in the
// failure domains.
func (d *deployment) addServers(service string, count, slots int) error {
	for range count {
		index := len(d.servers)
		b := &backend{
			record:  d.record,
			store:   d.store,
			id:      fmt.Sprintf("i-%s-%d", service, index),
			service: service,
			zone:    zones[index%len(zones)].name,
			address: fmt.Sprintf("%s.%d:8140", d.prefix, 20+index),
			slots:   slots,
		}
		if err := b.start(); err != nil {
			return err
		}
		d.servers = append(d.servers, b)
		d.group.Go(func() { b.heartbeat(d.ctx) })
	}
	return nil
}

// startEntries starts entries in the first failure domains, and waits until they are ready.
func (d *deployment) startEntries(count int) error {
	for index := range count {
		e := &entry{
			index: index,
			ip:    fmt.Sprintf("%s.%d", d.prefix, 10+index),
		}
		d.entries = append(d.entries, e)
		if err := d.startEntry(e, count); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if err := d.awaitReady(e); err != nil {
			return err
		}
	}
	// The entries get to know each other, and the time for which a machine must have run
	// undisturbed to be in touch (stable_window, 4 s) passes.
	time.Sleep(4500 * time.Millisecond)
	return nil
}

// startEntry starts the process of an entry, for the first time or again.
func (d *deployment) startEntry(e *entry, count int) error {
	settings := filepath.Join(d.directory, fmt.Sprintf("settings-%d", e.index))
	if err := os.WriteFile(settings, []byte(d.settings(e, count)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.directory, fmt.Sprintf("entry-%d.log", e.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	program := filepath.Join(d.root, entryCommand[0])
	process, err := os.StartProcess(program, append([]string{program}, entryCommand[1:]...), &os.ProcAttr{
		Dir:   d.root,
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TEASELSTACK_NODE_FILE=" + settings},
		Files: []*os.File{nil, output, output},
	})
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	e.process, e.exited = process, exited
	d.group.Go(func() {
		state, err := process.Wait()
		d.record.log("entry %s has ended: %v, %v", e.ip, state, err)
		close(exited)
	})
	d.record.log("entry %s starts", e.ip)
	return nil
}

// settings returns the settings file of an entry: those of a VM of the site.
func (d *deployment) settings(e *entry, count int) string {
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8166", d.prefix, 10+i))
	}
	lines := []string{
		fmt.Sprintf("node=front-%s-1", zones[e.index].name), "role=entry", "class=front", "serves=front,directory,control",
		"ip=" + e.ip, "zone=" + zones[e.index].name, "region=" + zones[e.index].region,
		"listen.front=" + e.ip + ":8161", "listen.ready=" + e.ip + ":8167", "listen.control=" + e.ip + ":8166", "listen.directory=" + e.ip + ":8164",
		"port_range=7720,7735", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "count_loss=false",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,places,platform",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=1",
		"bounds.seed_lag=3s", "bounds.addr_reuse=2s", "bounds.stable_window=4000ms", "bounds.ack=5000ms", "bounds.sync_time=4s",
		"bounds.drain=2500ms", "bounds.grace=6s", "bounds.lost_slack=200ms", "bounds.config_apply=2500ms", "bounds.rollback_slack=250ms",
		"bounds.max_skew=6000ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56",
		"bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate=5000ms", "bounds.recovery=15s", "bounds.ttl_max=5s", "bounds.max_shift=0.15",
		"platform.addr=" + d.prefix + ".200:8169", "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.tx=3ms", "platform.part_writes_s=300", "platform.row_bytes=65536", "platform.across=true", "platform.history=20s",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone.name+"="+zone.region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// awaitReady waits until an entry says that it is ready.
func (d *deployment) awaitReady(e *entry) error {
	client := &http.Client{
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
	return errors.New("entry " + e.ip + " is not ready")
}

// signal sends a signal to the process of an entry.
func (d *deployment) signal(e *entry, sig syscall.Signal) {
	d.record.log("entry %s gets the signal %s", e.ip, sig)
	_ = e.process.Signal(sig)
}

// close ends all processes that were started, and keeps the logs of the entries if keep names
// a directory.
func (d *deployment) close() {
	for _, e := range d.entries {
		if e.process == nil {
			continue
		}
		select {
		case <-e.exited:
		default:
			_ = e.process.Signal(syscall.SIGCONT)
			_ = e.process.Kill()
			<-e.exited
		}
	}
	d.cancel()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, e := range d.entries {
			copyFile(filepath.Join(d.directory, fmt.Sprintf("entry-%d.log", e.index)), filepath.Join(keep, fmt.Sprintf("entry-%d.log", e.index)))
		}
	}
	_ = os.RemoveAll(d.directory)
}

// copyFile copies a file, as far as it can.
func copyFile(from, to string) {
	source, err := os.Open(from)
	if err != nil {
		return
	}
	defer source.Close()
	target, err := os.Create(to)
	if err != nil {
		return
	}
	defer target.Close()
	_, _ = io.Copy(target, source)
}
